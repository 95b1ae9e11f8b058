/// @file
/// @brief The monotonic clock and conversions of durations. The clock also counts the
/// time in which the machine is suspended, so that deadlines expire meanwhile.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace wasabispar {

using Duration = std::chrono::nanoseconds;

/// @brief Clock on CLOCK_BOOTTIME. Satisfies the TrivialClock requirements of the
/// standard library.
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

  // Named as std::chrono requires.
  static time_point now() noexcept; // NOLINT(readability-identifier-naming)
};

using TimePoint = BootClock::time_point;

/// @brief Returns the current time; tests pass a virtual clock. May be called from any
/// thread.
using NowFn = std::function<TimePoint()>;

/// @brief Milliseconds since the Unix epoch on the wall clock.
std::uint64_t
UnixMilliseconds();

/// @brief Converts @p aDuration to whole milliseconds, rounded towards zero.
constexpr std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

/// @brief Converts @p aDuration, which must not be negative, to whole microseconds,
/// rounded down.
constexpr std::uint64_t
ToMicroseconds(Duration aDuration)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

/// @brief Converts @p aDuration to milliseconds with a fractional part.
constexpr double
ToDoubleMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace wasabispar
