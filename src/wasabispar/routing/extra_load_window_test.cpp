/// @file
/// @brief Tests of the budget for extra sends.
#include "wasabispar/routing/extra_load_window.hpp"

#include "wasabispar/base/random.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

TEST_CASE("hedges may use the whole budget while there are no retries")
{
  ExtraLoadWindow window({ 0.2, 0, 10s });
  const TimePoint now{ 100s };
  for (int i = 0; i < 100; ++i) {
    window.OnRequest(now);
  }
  int hedges = 0;
  while (window.TryTake(ExtraSend::Hedge, now)) {
    ++hedges;
  }
  CHECK(hedges == 20);
}

TEST_CASE("retries may use the part of the budget that hedges leave free")
{
  ExtraLoadWindow window({ 0.2, 0, 10s });
  const TimePoint now{ 100s };
  for (int i = 0; i < 150; ++i) {
    window.OnRequest(now);
  }
  for (int i = 0; i < 10; ++i) {
    window.TryTake(ExtraSend::Retry, now);
  }
  int hedges = 0;
  while (window.TryTake(ExtraSend::Hedge, now)) {
    ++hedges;
  }
  int retries = 0;
  while (window.TryTake(ExtraSend::Retry, now)) {
    ++retries;
  }
  CHECK(hedges == 10);
  CHECK(hedges + retries == 20);
}

TEST_CASE("a VM that has just restarted may send its reserve only")
{
  ExtraLoadWindow window({ 0.2, 3.9, 10s });
  const TimePoint now{ 100s };
  CHECK(window.TryTake(ExtraSend::Retry, now));
  CHECK(window.TryTake(ExtraSend::Retry, now));
  CHECK(window.TryTake(ExtraSend::Retry, now));
  CHECK_FALSE(window.TryTake(ExtraSend::Retry, now));
}

/// All VMs of a fleet have just restarted, and each has sent the service a few requests.
/// Guards against budgets that are all rounded down, which leave a request of a VM
/// without a hedge for seconds, and against budgets that are all rounded up.
TEST_CASE("load pattern: the budgets of many VMs with few requests add up to the whole")
{
  const auto random = SeededRandom(20261206);
  const TimePoint now{ 100s };
  for (const int vms : { 89, 134, 195 }) {
    for (const int requests : { 1, 2, 3, 4, 7 }) {
      CAPTURE(vms);
      CAPTURE(requests);
      int extras = 0;
      for (int vm = 0; vm < vms; ++vm) {
        ExtraLoadWindow window({ 0.2, 0, 10s }, static_cast<double>(random(1000)) / 1000);
        for (int i = 0; i < requests; ++i) {
          window.OnRequest(now);
        }
        while (window.TryTake(ExtraSend::Retry, now)) {
          ++extras;
        }
      }
      // Each VM's rounding deviates by up to one send; four standard deviations of the
      // sum.
      const auto whole = 0.2 * requests * vms;
      const auto deviation = 4 * std::sqrt(vms / 4.0);
      CHECK(extras >= whole - deviation);
      CHECK(extras <= whole + deviation);
      CHECK(extras > 0);
    }
  }
}

/// The extra sends of each window of 10 s are at most the reserve plus 0.2 per request of
/// that window.
TEST_CASE("no window holds more extra sends than the budget")
{
  CHECK(rc::check([](const std::vector<std::uint16_t>& aGaps) {
    ExtraLoadWindow window({ 0.2, 4, 10s });
    std::vector<TimePoint> requests;
    std::vector<TimePoint> extras;
    TimePoint now{ 1000s };
    for (const auto gap : aGaps) {
      now += std::chrono::milliseconds(gap % 700);
      window.OnRequest(now);
      requests.push_back(now);
      while (window.TryTake(ExtraSend::Retry, now)) {
        extras.push_back(now);
      }
    }
    for (const auto end : extras) {
      const auto isWithin = [end](TimePoint aTime, Duration aLength) {
        return aTime <= end && aTime > end - aLength;
      };
      std::size_t extra = 0;
      std::size_t requestCount = 0;
      for (const auto time : extras) {
        extra += isWithin(time, 10s) ? 1 : 0;
      }
      for (const auto time : requests) {
        requestCount += isWithin(time, 10s) ? 1 : 0;
      }
      RC_ASSERT(static_cast<double>(extra) <=
                0.2 * static_cast<double>(requestCount) + 4);
    }
  }));
}

/// A third of the searchers shed from one moment on: the extra sends of a window all fall
/// into its end, while its requests arrive all the time.
TEST_CASE(
  "load pattern: a burst of extra sends counts the requests of its own window only")
{
  ExtraLoadWindow window({ 0.2, 5, 10s });
  std::size_t requests = 0;
  std::size_t extras = 0;
  const TimePoint start{ 1000s };
  for (auto now = start; now < start + 20s; now += 5ms) {
    window.OnRequest(now);
    requests += now > start + 20s - 10s - 5ms ? 1 : 0;
    while (now > start + 13s && window.TryTake(ExtraSend::Hedge, now)) {
      ++extras;
    }
  }
  CHECK(static_cast<double>(extras) <= 0.2 * static_cast<double>(requests) + 5);
}
