/// @file
/// @brief ExtraLoadWindow: counts in slices of a twentieth of the window.
#include "wasabispar/routing/extra_load_window.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

constexpr std::int64_t kSlicesPerWindow = 20;
/// Share of the bound that hedges leave for retries at the most.
constexpr double kRetryShare = 0.35;

} // namespace

ExtraLoadWindow::ExtraLoadWindow(ExtraLoadOptions aOptions)
  : mOptions(aOptions)
{
}

void
ExtraLoadWindow::OnRequest(TimePoint aNow)
{
  ++Current(aNow).mRequests;
  ++mRequests;
}

bool
ExtraLoadWindow::TryTake(ExtraSend aKind, TimePoint aNow)
{
  const auto left = Left(aNow);
  const bool isHedge = aKind == ExtraSend::Hedge;
  const auto reserve =
    isHedge ? std::min(kRetryShare * Allowed(), static_cast<double>(mRetries)) : 0;
  if (left < 1 + reserve) {
    return false;
  }
  auto& slice = Current(aNow);
  ++slice.mExtra;
  ++mExtra;
  slice.mRetries += isHedge ? 0 : 1;
  mRetries += isHedge ? 0 : 1;
  return true;
}

double
ExtraLoadWindow::Left(TimePoint aNow)
{
  Current(aNow);
  return Allowed() - static_cast<double>(mExtra);
}

double
ExtraLoadWindow::Allowed() const
{
  return mOptions.mRatio * static_cast<double>(mRequests) + mOptions.mAllowance;
}

ExtraLoadWindow::Slice&
ExtraLoadWindow::Current(TimePoint aNow)
{
  const auto number = aNow.time_since_epoch() / (mOptions.mWindow / kSlicesPerWindow);
  Expire(number);
  if (mSlices.empty() || mSlices.back().mNumber != number) {
    mSlices.push_back({ number, 0, 0, 0 });
  }
  return mSlices.back();
}

void
ExtraLoadWindow::Expire(std::int64_t aNumber)
{
  // One slice more than the window is kept, so that no window is undercounted.
  while (!mSlices.empty() && mSlices.front().mNumber < aNumber - kSlicesPerWindow) {
    mRequests -= mSlices.front().mRequests;
    mExtra -= mSlices.front().mExtra;
    mRetries -= mSlices.front().mRetries;
    mSlices.pop_front();
  }
}

} // namespace wasabispar
