/// @file
/// @brief A concurrency limit that adapts to the queueing delay of the process.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstddef>
#include <optional>

namespace wasabispar {

/// @brief Settings of CodelLimit.
struct CodelLimitOptions
{
  /// Lower bound of the limit.
  std::size_t mMin = 8;
  /// Limit before the first interval ends.
  std::size_t mInitial = 256;
  /// Upper bound of the limit.
  std::size_t mMax = 4096;
  /// A standing delay above this target means that the workers are overloaded.
  Duration mTarget = std::chrono::milliseconds(5);
  /// Interval over which the minimum of the delay is taken. A delay is standing when this
  /// minimum exceeds the target.
  Duration mInterval = std::chrono::milliseconds(100);
  /// Factor by which an interval with a standing delay reduces the limit.
  double mDecreaseFactor = 0.8;
  /// Fraction of the limit that is added after an interval without a standing delay in
  /// which the limit was reached.
  double mIncreaseFraction = 0.05;
};

/// @brief Lowers the limit when even the smallest queueing delay of an interval exceeds
/// the target, as CoDel does. Otherwise raises the limit, if it was reached in the
/// interval. Not thread-safe.
///
/// A burst does not lower the limit, because its smallest delay is short. Slow upstreams
/// do not lower it either, because their response time is not an input.
class CodelLimit
{
public:
  explicit CodelLimit(CodelLimitOptions aOptions = {});

  /// @brief Records the time for which a handler was ready to run before it ran.
  void OnDelay(Duration aDelay, TimePoint aNow);
  /// @brief Records that a request had to wait because of the limit in this interval.
  void OnLimitReached() { mLimitReached = true; }
  /// @brief Number of requests that may run at the same time.
  std::size_t Value() const { return static_cast<std::size_t>(mLimit); }

private:
  CodelLimitOptions mOptions;
  double mLimit;
  bool mLimitReached = false;
  std::optional<TimePoint> mIntervalStart;
  /// Smallest delay in the current interval.
  Duration mMinDelay{};
};

} // namespace wasabispar
