/// @file
/// @brief Tests of the rejection of requests that this VM's link would make late.
#include "wasabispar/routing/link_load.hpp"

#include "wasabispar/base/random.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };
constexpr ServiceFingerprint kShard{ 1 };
/// 14 Mbit/s, on which kFanOut takes 31 ms and kLookup 3 ms.
constexpr std::uint64_t kBytesPerSecond = 1'750'000;
constexpr LinkDemand kFanOut{ kShard, 1, 54'000, 15ms, 170ms };
constexpr LinkDemand kLookup{ kShard, 0, 5'400, 15ms, 70ms };

} // namespace

/// Guards against a fan-out that a busy link or processor makes late, and against
/// rejections of what is late anyway or can be carried.
TEST_CASE("only a request that the link or the processor makes late is rejected")
{
  LinkLoad load(kBytesPerSecond);
  auto slow = kFanOut;
  slow.mUpstreamTime = 150ms;
  load.OnExpected(3 * kFanOut.mBytes);
  CHECK_FALSE(load.RejectionWait(kFanOut, 0ms, kNow));
  CHECK_FALSE(load.RejectionWait(slow, 0ms, kNow));
  load.OnExpected(2 * kFanOut.mBytes);
  CHECK(load.RejectionWait(kFanOut, 0ms, kNow) == load.TimeUntilFree(0ms));
  CHECK_FALSE(load.RejectionWait(slow, 0ms, kNow));
  load.OnEnded(5 * kFanOut.mBytes);
  CHECK_FALSE(load.RejectionWait(kFanOut, 130ms, kNow));
  CHECK(load.RejectionWait(kFanOut, 145ms, kNow) == 145ms);
}

/// Guards against urgent requests that are rejected while less urgent ones, whose
/// objective is longer, are accepted and occupy the link.
TEST_CASE("a less urgent request is accepted only when an urgent one would be")
{
  LinkLoad load(kBytesPerSecond);
  load.OnExpected(3 * kFanOut.mBytes);
  CHECK_FALSE(load.RejectionWait(kFanOut, 0ms, kNow));
  CHECK(load.RejectionWait(kLookup, 0ms, kNow));
  CHECK(load.RejectionWait(kFanOut, 0ms, kNow + 1s));
  const LinkDemand other{ ServiceFingerprint(2), 1, 54'000, 15ms, 170ms };
  CHECK_FALSE(load.RejectionWait(other, 0ms, kNow + 1s));
  CHECK_FALSE(load.RejectionWait(kFanOut, 0ms, kNow + 3s));
}

/// Load pattern: for 10 s, 2.5 times the fan-outs that a link of 14 Mbit/s carries arrive
/// at random. Those that are accepted must be on time; without rejections hardly any is.
TEST_CASE("load pattern: on an overloaded link, accepted fan-outs are on time")
{
  const auto onTimeShare = [random = SeededRandom(20261204)](bool aRejects) {
    LinkLoad load(kBytesPerSecond);
    std::deque<TimePoint> ends;
    TimePoint freeAt;
    std::size_t accepted = 0;
    double onTime = 0;
    for (auto now = kNow; now < kNow + 10s; now += 1ms) {
      for (; !ends.empty() && ends.front() <= now; ends.pop_front()) {
        load.OnEnded(kFanOut.mBytes);
      }
      if (random(1000) < 81 && !(aRejects && load.RejectionWait(kFanOut, 0ms, now))) {
        freeAt = std::max(freeAt, now + kFanOut.mUpstreamTime) + 31ms;
        ends.push_back(freeAt);
        load.OnExpected(kFanOut.mBytes);
        ++accepted;
        onTime += freeAt <= now + kFanOut.mTimeLeft ? 1 : 0;
      }
    }
    CHECK(accepted >= 250);
    return onTime / static_cast<double>(accepted);
  };
  CHECK(onTimeShare(false) < 0.1);
  CHECK(onTimeShare(true) >= 0.95);
}
