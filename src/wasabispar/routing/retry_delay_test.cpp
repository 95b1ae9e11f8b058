/// @file
/// @brief Tests of the delays after which callers of rejected requests return.
#include "wasabispar/routing/retry_delay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// Delays of @p aCount callers that are rejected at the same moment.
std::vector<Duration>
Delays(Duration aWait, std::size_t aCount)
{
  const auto random = SeededRandom(20261204);
  std::vector<Duration> delays;
  while (delays.size() < aCount) {
    delays.push_back(RetryDelay(aWait, { 50ms, 1s }, random));
  }
  std::ranges::sort(delays);
  return delays;
}

} // namespace

/// Guards against callers that return before there is capacity, and against an extension
/// that costs them their deadline.
TEST_CASE("a retry delay is never earlier than capacity and extended within bounds")
{
  const auto liesBetween = [](Duration aWait, Duration aFirst, Duration aLast) {
    const auto delays = Delays(aWait, 1000);
    return delays.front() >= aFirst && delays.back() <= aLast;
  };
  CHECK(liesBetween(0ms, 50ms, 100ms));
  CHECK(liesBetween(200ms, 200ms, 250ms));
  CHECK(liesBetween(600ms, 600ms, 750ms));
  CHECK(Delays(600ms, 1000).back() > 700ms);
  CHECK(liesBetween(950ms, 950ms, 1s));
  CHECK(liesBetween(5s, 1s, 1s));
}

/// Load pattern: 500 callers of a burst are rejected together. Uniformly spread over
/// 50 ms, a fifth of them return within 10 ms.
TEST_CASE("load pattern: the callers of a rejected burst do not return together")
{
  const auto delays = Delays(200ms, 500);
  for (std::size_t i = 0; i + 150 < delays.size(); ++i) {
    REQUIRE(delays[i + 150] >= delays[i] + 10ms);
  }
}
