/// @file
/// @brief Tests of TimerService in virtual time.
#include "wasabispar/base/timer_service.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

TEST_CASE("after a pause, the pause is reported first and a periodic timer runs once")
{
  // Guards against a burst of missed runs after SIGSTOP and SIGCONT.
  TimePoint now{};
  TimerService timers([&] { return now; });
  std::vector<std::string> events;
  const auto tick = timers.Every(10ms, [&] { events.push_back("tick"); });
  const auto pause = timers.OnPause(100ms, [&](Duration aGap) {
    events.push_back("pause " + std::to_string(ToMilliseconds(aGap)));
  });
  timers.RunDue();
  now += 10ms;
  timers.RunDue();
  now += 5s;
  timers.RunDue();
  CHECK(events == std::vector<std::string>{ "tick", "pause 5000", "tick" });
}

TEST_CASE("a cancelled timer never runs")
{
  TimePoint now{};
  TimerService timers([&] { return now; });
  int ran = 0;
  auto once = timers.After(10ms, [&] { ++ran; });
  CHECK(timers.NextDue() == TimePoint{} + 10ms);
  once.Cancel();
  now += 20ms;
  CHECK(timers.RunDue() == 0);
  CHECK(ran == 0);
  CHECK_FALSE(timers.NextDue());
}

TEST_CASE("a callback may cancel its own timer and start another one")
{
  TimePoint now{};
  TimerService timers([&] { return now; });
  int ran = 0;
  Subscription later;
  Subscription tick;
  tick = timers.Every(10ms, [&] {
    later = timers.After(5ms, [&] { ++ran; });
    tick.Cancel();
  });
  now += 10ms;
  timers.RunDue();
  now += 100ms;
  timers.RunDue();
  CHECK(ran == 1);
}
