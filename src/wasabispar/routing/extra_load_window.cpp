/// @file
/// @brief Sliding window of extra sends, counted in slices of a twentieth of the window.
#include "wasabispar/routing/extra_load_window.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

constexpr std::int64_t kSlicesPerWindow = 20;
/// Largest fraction of the budget that hedges leave free for retries.
constexpr double kMaxRetryHeadroomRatio = 0.35;

} // namespace

ExtraLoadWindow::ExtraLoadWindow(ExtraLoadOptions aOptions, double aRounding)
  : mOptions(aOptions)
  , mRounding(aRounding)
{
}

void
ExtraLoadWindow::OnRequest(TimePoint aNow)
{
  ++CurrentSlice(aNow).mRequests;
  ++mRequests;
}

bool
ExtraLoadWindow::TryTake(ExtraSend aKind, TimePoint aNow)
{
  const auto left = RemainingSends(aNow);
  const bool isHedge = aKind == ExtraSend::Hedge;
  const auto retryHeadroom = isHedge ? std::min(kMaxRetryHeadroomRatio * MaxExtraSends(),
                                                static_cast<double>(mRetries))
                                     : 0;
  if (left < 1 - mRounding + retryHeadroom) {
    return false;
  }
  auto& slice = CurrentSlice(aNow);
  ++slice.mExtraSends;
  ++mExtraSends;
  slice.mRetries += isHedge ? 0 : 1;
  mRetries += isHedge ? 0 : 1;
  return true;
}

double
ExtraLoadWindow::RemainingSends(TimePoint aNow)
{
  CurrentSlice(aNow);
  return MaxExtraSends() - static_cast<double>(mExtraSends);
}

double
ExtraLoadWindow::MaxExtraSends() const
{
  return mOptions.mRatio * static_cast<double>(RequestsInWindow()) + mOptions.mReserve;
}

std::uint64_t
ExtraLoadWindow::RequestsInWindow() const
{
  if (mSlices.empty()) {
    return 0;
  }
  const auto& oldest = mSlices.front();
  const bool beginsBeforeWindow =
    oldest.mNumber <= mSlices.back().mNumber - kSlicesPerWindow;
  return beginsBeforeWindow ? mRequests - oldest.mRequests : mRequests;
}

ExtraLoadWindow::Slice&
ExtraLoadWindow::CurrentSlice(TimePoint aNow)
{
  const auto number = aNow.time_since_epoch() / (mOptions.mWindow / kSlicesPerWindow);
  ExpireSlices(number);
  if (mSlices.empty() || mSlices.back().mNumber != number) {
    mSlices.push_back({ number, 0, 0, 0 });
  }
  return mSlices.back();
}

void
ExtraLoadWindow::ExpireSlices(std::int64_t aNumber)
{
  // Keeps the slice in which the window begins although its first part is older than the
  // window, so that no extra send of the window is left out.
  while (!mSlices.empty() && mSlices.front().mNumber < aNumber - kSlicesPerWindow) {
    mRequests -= mSlices.front().mRequests;
    mExtraSends -= mSlices.front().mExtraSends;
    mRetries -= mSlices.front().mRetries;
    mSlices.pop_front();
  }
}

} // namespace wasabispar
