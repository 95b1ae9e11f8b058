/// @file
/// @brief A concurrency limit that follows the queueing delay of the process.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstddef>
#include <optional>

namespace wasabispar {

struct CodelLimitOptions
{
  std::size_t mMin = 8;
  std::size_t mInitial = 256;
  std::size_t mMax = 4096;
  /// A standing delay above this means that the workers are overloaded.
  Duration mTarget = std::chrono::milliseconds(5);
  /// The delay is standing when its minimum over this time exceeds the target.
  Duration mInterval = std::chrono::milliseconds(100);
  /// Factor of the limit after an interval with a standing delay.
  double mDecreaseFactor = 0.8;
  /// Fraction of the limit that is added after an interval without one, if the limit was
  /// reached.
  double mIncreaseFraction = 0.05;
};

/// @brief Lowers the limit when even the smallest queueing delay of an interval is above
/// the target, as CoDel does, and raises it otherwise. Not thread-safe.
///
/// Bursts do not lower the limit: their smallest delay is short. The time that upstreams
/// take is no input, so slow upstreams do not lower it either.
class CodelLimit
{
public:
  explicit CodelLimit(CodelLimitOptions aOptions = {});

  /// @brief One observed delay between ready and run.
  void OnDelay(Duration aDelay, TimePoint aNow);
  /// @brief The limit kept a request waiting in this interval.
  void OnLimitReached() { mLimitReached = true; }
  std::size_t Value() const { return static_cast<std::size_t>(mLimit); }

private:
  CodelLimitOptions mOptions;
  double mLimit;
  bool mLimitReached = false;
  std::optional<TimePoint> mIntervalStart;
  /// Smallest delay of the running interval.
  Duration mMinDelay{};
};

} // namespace wasabispar
