/// @file
/// @brief Tests of a VM's share of the limit that an upstream names.
#include "wasabispar/routing/request_limit.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 1000s };
constexpr std::uint64_t kSeed = 20261205;

/// A fleet whose VMs send to one upstream as often as they may.
struct LimitFleet
{
  std::vector<RequestLimit> mVms;
  RandomFn mRandom = SeededRandom(kSeed);

  LimitFleet(std::size_t aVms, double aLimit)
    : mVms(aVms)
  {
    for (auto& vm : mVms) {
      vm.OnAnswer(aLimit, aVms, kNow, kNow, mRandom);
    }
  }

  /// Requests of all VMs from @p aFrom to @p aTo, if there is always one to send.
  int SendAll(TimePoint aFrom, TimePoint aTo)
  {
    int sent = 0;
    for (auto now = aFrom; now < aTo; now += 10ms) {
      for (auto& vm : mVms) {
        while (vm.MaySend(now)) {
          vm.OnStarted(1, now);
          ++sent;
        }
      }
    }
    return sent;
  }
};

} // namespace

TEST_CASE("without a limit any number of requests may be sent")
{
  RequestLimit limit;
  for (int i = 0; i < 100; ++i) {
    CHECK(limit.MaySend(kNow));
    limit.OnStarted(1, kNow);
  }
  CHECK_FALSE(limit.Share());
}

/// Guards against VMs that each send as much as the upstream takes from all.
TEST_CASE("the VMs together send what the upstream takes")
{
  for (const std::size_t vms : { 1, 7, 9, 84, 195 }) {
    for (const double limit : { 3.0, 28.0, 120.0 }) {
      CAPTURE(vms);
      CAPTURE(limit);
      LimitFleet fleet(vms, limit);
      fleet.SendAll(kNow, kNow + 5s);
      for (auto from = kNow + 5s; from < kNow + 45s; from += 4s) {
        CHECK(fleet.SendAll(from, from + 4s) <= 1.5 * limit * 4 + 5);
      }
      const auto sent = fleet.SendAll(kNow + 45s, kNow + 145s);
      CHECK(sent >= 0.9 * limit * 100);
      CHECK(sent <= 1.1 * limit * 100);
    }
  }
}

/// Guards against a surge after a quiet time, in which the VMs saved up requests.
TEST_CASE("a VM saves up few requests")
{
  LimitFleet fleet(9, 28);
  fleet.SendAll(kNow, kNow + 5s);
  CHECK(fleet.SendAll(kNow + 60s, kNow + 64s) <= 1.5 * 28 * 4 + 5);
}

TEST_CASE("a limit ends with an answer to a later request that names none")
{
  RequestLimit limit;
  const auto random = SeededRandom(kSeed);
  CHECK(limit.OnAnswer(20.0, 2, kNow, kNow + 10ms, random));
  CHECK_FALSE(limit.OnAnswer(20.0, 2, kNow, kNow + 11ms, random));
  CHECK(limit.Share() == 10.0);
  // Sent before the limit was named.
  CHECK_FALSE(limit.OnAnswer({}, 2, kNow, kNow + 20ms, random));
  CHECK(limit.IsLimited());
  CHECK(limit.OnAnswer(30.0, 2, kNow + 20ms, kNow + 30ms, random));
  CHECK(limit.OnAnswer({}, 2, kNow + 30ms, kNow + 40ms, random));
  CHECK_FALSE(limit.IsLimited());
  CHECK(limit.MaySend(kNow + 40ms));
}

TEST_CASE("a limit of 0 leaves a request now and then")
{
  RequestLimit limit;
  limit.OnAnswer(0.0, 1, kNow, kNow, SeededRandom(kSeed));
  CHECK_FALSE(limit.MaySend(kNow));
  CHECK(limit.MaySend(kNow + 4s));
}

TEST_CASE("a request that was withdrawn does not count")
{
  RequestLimit limit;
  limit.OnAnswer(10.0, 10, kNow, kNow, SeededRandom(kSeed));
  const auto now = kNow + 1s;
  CHECK(limit.MaySend(now));
  limit.Reserve(1);
  CHECK_FALSE(limit.MaySend(now));
  CHECK(limit.NextSendAt(now) == now + 1s);
  limit.Release(1);
  CHECK(limit.MaySend(now));
}

/// Guards against a withdrawn request, chosen before the limit was named, that undoes the
/// count of one that was sent.
TEST_CASE("the end of an exchange does not undo the count of a sent request")
{
  for (const bool isWhole : { false, true }) {
    RequestLimit limit;
    limit.Reserve(1);
    limit.Reserve(2);
    const auto division = isWhole ? LimitDivision{ 20, RateShare{ 1, 1s }, 10s }
                                  : LimitDivision{ 10, {}, {} };
    limit.OnAnswer(10.0, division, kNow, kNow, SeededRandom(kSeed));
    const auto now = kNow + 1s;
    CHECK(limit.MayStart(now));
    limit.OnStarted(2, now);
    limit.Release(1);
    limit.Release(2);
    CHECK_FALSE(limit.MayStart(now));
    CHECK(limit.NextSendAt(now) == now + 1s);
  }
}
