/// @file
/// @brief The monotonic clock of the system. It counts time during which the machine
/// was suspended, so that a deadline passes during a suspension.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace wasabispar {

using Duration = std::chrono::nanoseconds;

/// @brief Clock on CLOCK_BOOTTIME. Satisfies the standard's TrivialClock.
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

  // The name that std::chrono prescribes.
  static time_point now() noexcept; // NOLINT(readability-identifier-naming)
};

using TimePoint = BootClock::time_point;

/// @brief Supplies the current time; a test supplies virtual time. Called from any
/// thread.
using NowFn = std::function<TimePoint()>;

/// @brief Milliseconds since the Unix epoch on the wall clock.
std::uint64_t
UnixMilliseconds();

/// @brief @p aDuration in whole milliseconds, rounded down.
constexpr std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

/// @brief @p aDuration in whole microseconds, rounded down.
constexpr std::uint64_t
ToMicroseconds(Duration aDuration)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

/// @brief @p aDuration in milliseconds with fraction.
constexpr double
ToDoubleMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace wasabispar
