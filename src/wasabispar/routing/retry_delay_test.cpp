/// @file
/// @brief Tests of the delays after which callers of rejected requests return.
#include "wasabispar/routing/retry_delay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr RetryDelayBounds kBounds{ 50ms, 1s };

/// Delays of @p aCount callers that are rejected at the same moment.
std::vector<Duration>
Delays(Duration aWait, std::size_t aCount)
{
  const auto random = SeededRandom(20261204);
  std::vector<Duration> delays;
  while (delays.size() < aCount) {
    delays.push_back(RetryDelay(aWait, kBounds, random));
  }
  std::ranges::sort(delays);
  return delays;
}

} // namespace

/// Guards against callers that return before there is capacity, and against an extension
/// that costs them their deadline.
TEST_CASE("a retry delay is never earlier than capacity and extended within bounds")
{
  CHECK(Delays(200ms, 1000).front() >= 200ms);
  CHECK(Delays(200ms, 1000).back() <= 250ms);
  CHECK(Delays(600ms, 1000).back() <= 750ms);
  CHECK(Delays(600ms, 1000).back() > 700ms);
  CHECK(Delays(0ms, 1000).front() >= 50ms);
  CHECK(Delays(0ms, 1000).back() <= 100ms);
  CHECK(Delays(950ms, 1000).front() >= 950ms);
  CHECK(Delays(950ms, 1000).back() == 1s);
  CHECK(Delays(5s, 10).front() == 1s);
}

/// Load pattern: 500 callers of a burst are rejected together. Uniformly spread over
/// 50 ms, a fifth of them return within 10 ms.
TEST_CASE("load pattern: the callers of a rejected burst do not return together")
{
  const auto delays = Delays(200ms, 500);
  std::size_t most = 0;
  for (auto first = delays.begin(); first != delays.end(); ++first) {
    const auto end = std::ranges::lower_bound(delays, *first + 10ms);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  CHECK(most <= 150);
}
