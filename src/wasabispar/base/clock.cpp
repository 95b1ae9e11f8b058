/// @file
/// @brief BootClock on clock_gettime(), and the wall clock.
#include "wasabispar/base/clock.hpp"

#include <ctime>

namespace wasabispar {

BootClock::time_point
BootClock::now() noexcept
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

std::uint64_t
UnixMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace wasabispar
