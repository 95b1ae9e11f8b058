/// @file
/// @brief Tests of how many crashes followed each other.
#include "wasabispar/routing/crash_series.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

RequestCrash
Crash(Duration aSentAt, Duration aLostAt, std::uint64_t aService = 1)
{
  constexpr TimePoint kStart{ 1000s };
  return { ServiceFingerprint(aService), kStart + aSentAt, kStart + aLostAt };
}

} // namespace

TEST_CASE("crashes that do not overlap follow each other")
{
  CHECK(CountSuccessiveCrashes({}) == 0);
  CHECK(CountSuccessiveCrashes({ Crash(0ms, 40ms) }) == 1);
  CHECK(CountSuccessiveCrashes({ Crash(100ms, 140ms), Crash(0ms, 40ms) }) == 2);
  CHECK(CountSuccessiveCrashes({ Crash(0ms, 40ms), Crash(40ms, 80ms) }) == 2);
}

/// Guards against a harmless request that counts as three crashes, because upstreams
/// failed together while copies of it ran on them.
TEST_CASE("crashes that overlap count once")
{
  CHECK(CountSuccessiveCrashes(
          { Crash(0ms, 50ms), Crash(10ms, 51ms), Crash(49ms, 52ms) }) == 1);
  // The longest one overlaps two that follow each other.
  CHECK(CountSuccessiveCrashes(
          { Crash(0ms, 100ms), Crash(0ms, 40ms), Crash(50ms, 90ms) }) == 2);
}

TEST_CASE("compaction keeps the successions of all crashes and of each service")
{
  RequestCrashes crashes;
  for (int round = 0; round < 3; ++round) {
    for (std::uint64_t service = 1; service <= 10; ++service) {
      const auto sentAt = round * 100ms;
      crashes.push_back(Crash(sentAt, sentAt + 40ms + service * 1ms, service));
      crashes.push_back(Crash(sentAt + 1ms, sentAt + 60ms, service));
    }
  }
  const auto all = CompactCrashes(crashes, 10);
  CHECK(all.size() == 30);
  CHECK(CountSuccessiveCrashes(all) == 3);
  CHECK(CountSuccessiveCrashes(CrashesOfService(all, ServiceFingerprint(7))) == 3);
  const auto few = CompactCrashes(crashes, 2);
  CHECK(few.size() == 6);
  CHECK(CountSuccessiveCrashes(few) == 3);
}
