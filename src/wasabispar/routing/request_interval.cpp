/// @file
/// @brief Exponentially weighted mean of the time between requests.
#include "wasabispar/routing/request_interval.hpp"

#include <algorithm>
#include <chrono>

namespace wasabispar {

namespace {

/// The weight of a new sample is one divided by this.
constexpr int kSampleDivisor = 8;
/// Longer gaps count as this long: a service that was idle is not a service with a low
/// rate.
constexpr Duration kMaxGap = std::chrono::seconds(5);

} // namespace

void
RequestInterval::OnRequest(TimePoint aNow)
{
  if (mLastRequestAt) {
    const auto gap = std::min(aNow - *mLastRequestAt, kMaxGap);
    mMean = mMean ? *mMean + (gap - *mMean) / kSampleDivisor : gap;
  }
  mLastRequestAt = aNow;
}

} // namespace wasabispar
