/// @file
/// @brief When the caller of a rejected request should return.
///
/// Load pattern: a burst is rejected within a few milliseconds. If all its callers were
/// given the same time, they would return as the same burst.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/random.hpp"

namespace wasabispar {

/// @brief The shortest and the longest delay that a rejection states.
struct RetryDelayBounds
{
  Duration mMin{};
  /// At least mMin.
  Duration mMax{};
};

/// @brief The delay to state when capacity is expected after @p aWait: that time, brought
/// within the bounds and extended at random by up to a quarter of it or 50 ms, whichever
/// is more. In whole milliseconds, as callers read it.
///
/// Invariant: the delay lies within the bounds, and before @p aWait only if that exceeds
/// RetryDelayBounds::mMax.
Duration
RetryDelay(Duration aWait, const RetryDelayBounds& aBounds, const RandomFn& aRandom);

} // namespace wasabispar
