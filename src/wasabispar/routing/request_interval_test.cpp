/// @file
/// @brief Tests of the mean time between requests.
#include "wasabispar/routing/request_interval.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

TEST_CASE("the mean interval follows the rate of requests")
{
  RequestInterval interval;
  CHECK(interval.Mean() == 0ms);
  TimePoint now{ 100s };
  for (int i = 0; i < 40; ++i) {
    interval.OnRequest(now += 50ms);
  }
  CHECK(interval.Mean() == 50ms);
  for (int i = 0; i < 40; ++i) {
    interval.OnRequest(now += 1500ms);
  }
  CHECK(interval.Mean() > 1400ms);
}

TEST_CASE("an idle time does not count as a low rate of requests")
{
  RequestInterval interval;
  TimePoint now{ 100s };
  for (int i = 0; i < 40; ++i) {
    interval.OnRequest(now += 50ms);
  }
  interval.OnRequest(now + 1h);
  CHECK(interval.Mean() < 1s);
}
