/// @file
/// @brief Additive increase, multiplicative decrease of the slot limit.
#include "wasabispar/upstream/slot_limiter.hpp"

#include <algorithm>

namespace wasabispar {

SlotLimiter::SlotLimiter(SlotLimiterOptions aOptions)
  : mOptions(aOptions)
  , mLimit(std::max(aOptions.mInitialLimit, 1U))
  , mMax(std::max(aOptions.mInitialLimit, 1U) * std::max(aOptions.mMaxFactor, 1U))
{
  mBatch.reserve(kBatchSize);
}

void
SlotLimiter::OnDeclaredSlots(std::uint32_t aSlots)
{
  if (aSlots == 0) {
    return;
  }
  mMax = static_cast<double>(aSlots) * std::max(mOptions.mMaxFactor, 1U);
  if (!mDeclared) {
    mDeclared = true;
    mLimit = aSlots;
  }
  mLimit = std::clamp(mLimit, 1.0, mMax);
}

void
SlotLimiter::OnSuccess(Duration aLatency, std::uint32_t aInFlight)
{
  mBatch.push_back(aLatency);
  if (mBatch.size() >= kBatchSize) {
    CheckLatency();
  }
  // The limit grows only when it is reached: a lower number of exchanges does not show
  // that the upstream can take more.
  if (aInFlight >= Limit()) {
    mLimit = std::min(mLimit + 1.0 / mLimit, mMax);
  }
}

void
SlotLimiter::OnShed(TimePoint aStarted, TimePoint aNow)
{
  if (aStarted < mLastDecrease) {
    return;
  }
  mLastDecrease = aNow;
  Scale(mOptions.mShedFactor);
}

void
SlotLimiter::CheckLatency()
{
  const auto middle = mBatch.begin() + kBatchSize / 2;
  std::nth_element(mBatch.begin(), middle, mBatch.end());
  const auto median = *middle;
  mBatch.clear();
  if (mBaseline == Duration::zero() || median < mBaseline) {
    mBaseline = median;
    return;
  }
  if (static_cast<double>(median.count()) >
      static_cast<double>(mBaseline.count()) * mOptions.mLatencyGrowth) {
    Scale(mOptions.mLatencyFactor);
  }
  // The baseline follows a lasting change of the index within a few hundred batches.
  mBaseline += (median - mBaseline) / 64;
}

void
SlotLimiter::Scale(double aFactor)
{
  mLimit = std::max(1.0, mLimit * aFactor);
}

std::uint32_t
SlotLimiter::Limit() const
{
  return static_cast<std::uint32_t>(mLimit);
}

} // namespace wasabispar
