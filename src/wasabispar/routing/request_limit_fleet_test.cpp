/// @file
/// @brief Tests of a limit that an upstream names to more VMs than it takes requests from
/// in a second.
#include "wasabispar/routing/request_limit.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 1000s };
constexpr std::uint64_t kSeed = 20261205;
const UpstreamId kUpstream("u1");

std::vector<VmId>
Vms(std::size_t aCount)
{
  std::vector<VmId> vms;
  for (std::size_t i = 0; i < aCount; ++i) {
    vms.emplace_back("vm-" + std::to_string(i));
  }
  return vms;
}

LimitDivision
Divide(const FleetRateSharePtr& aFleet, std::size_t aVms, const UpstreamId& aUpstream,
       double aPerSecond)
{
  UpstreamRateShare shares;
  return DivideLimit(shares, aFleet, aVms, aUpstream, aPerSecond);
}

struct LimitFleet
{
  std::vector<RequestLimit> mVms;
  RandomFn mRandom = SeededRandom(kSeed);

  /// @param aIsWhole whether the VMs divide the limit in whole requests.
  LimitFleet(std::size_t aVms, double aLimit, bool aIsWhole)
    : mVms(aVms)
  {
    const auto ids = Vms(aVms);
    for (std::size_t i = 0; i < aVms; ++i) {
      const auto shares = std::make_shared<const FleetRateShare>(ids[i], ids);
      const auto division = aIsWhole ? Divide(shares, aVms, kUpstream, aLimit)
                                     : LimitDivision{ aVms, {}, {} };
      mVms[i].OnAnswer(aLimit, division, kNow, kNow, mRandom);
    }
  }

  /// The most requests in a second from @p aFrom to @p aTo if there is always one to
  /// send.
  std::size_t MostInASecond(TimePoint aFrom, TimePoint aTo, std::size_t& aSent)
  {
    std::vector<TimePoint> sent;
    for (auto now = aFrom; now < aTo; now += 10ms) {
      for (auto& vm : mVms) {
        while (vm.MaySend(now)) {
          vm.OnStarted(1, now);
          sent.push_back(now);
        }
      }
    }
    aSent = sent.size();
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sent.size(); ++last) {
      while (sent[last] - sent[first] >= 1s) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }
};

} // namespace

/// Guards against requests that each of many VMs saved up, sent together when the load
/// rises.
TEST_CASE("many VMs do not send together what each has saved up")
{
  for (const double limit : { 5.0, 10.0, 28.0, 60.0 }) {
    CAPTURE(limit);
    std::size_t sent = 0;
    LimitFleet fleet(89, limit, true);
    CHECK(fleet.MostInASecond(kNow + 60s, kNow + 120s, sent) <= 1.5 * limit + 5);
    CHECK(sent <= limit * 60);
    CHECK(sent >= 0.5 * limit * 60);

    LimitFleet equal(89, limit, false);
    CHECK(equal.MostInASecond(kNow + 60s, kNow + 120s, sent) >= 89);
  }
}

/// Guards against a change for fleets that a limit has a request for each VM of.
TEST_CASE("with no more VMs than requests the shares are equal")
{
  const auto ids = Vms(20);
  const auto shares = std::make_shared<const FleetRateShare>(ids[0], ids);
  CHECK(Divide(shares, 20, kUpstream, 20) == LimitDivision{ 20, {}, {} });
  CHECK(Divide(nullptr, 20, kUpstream, 120) == LimitDivision{ 20, {}, {} });
  CHECK(Divide(shares, 20, kUpstream, 19).mShare.has_value());
}

/// Guards against a VM without a request that never learns that the limit has ended.
TEST_CASE("a VM without a share probes now and then")
{
  RequestLimit limit;
  const auto division = Divide(nullptr, 89, kUpstream, 28);
  limit.OnAnswer(28.0, division, kNow, kNow, SeededRandom(kSeed));
  int sent = 0;
  for (auto now = kNow; now < kNow + 10 * division.mProbePeriod; now += 100ms) {
    if (limit.MaySend(now)) {
      limit.OnStarted(1, now);
      ++sent;
    }
  }
  CHECK(sent >= 9);
  CHECK(sent <= 11);
  CHECK(division.mProbePeriod <= 30s);
  CHECK(limit.OnAnswer({}, division, kNow + 1s, kNow + 1s, SeededRandom(kSeed)));
  CHECK(limit.MaySend(kNow + 1s));
}

TEST_CASE("a whole request that was withdrawn does not count")
{
  RequestLimit limit;
  limit.OnAnswer(10.0, LimitDivision{ 20, RateShare{ 1, 1s }, 10s }, kNow, kNow,
                 SeededRandom(kSeed));
  limit.Reserve(1);
  CHECK_FALSE(limit.MaySend(kNow));
  CHECK(limit.NextSendAt(kNow) == kNow + 1s);
  limit.Release(1);
  CHECK(limit.MaySend(kNow));
}

/// Guards against a VM that keeps a share which another one has got.
TEST_CASE("a change of the fleet changes the share without an answer")
{
  RequestLimit limit;
  const auto random = SeededRandom(kSeed);
  limit.OnAnswer(10.0, LimitDivision{ 20, RateShare{ 2, 1s }, 10s }, kNow, kNow, random);
  limit.SetDivision({ 21, RateShare{ 1, 1s }, 10s }, kNow, random);
  limit.OnStarted(1, kNow);
  CHECK_FALSE(limit.MaySend(kNow));
  CHECK(limit.Share() == 1.0);
}
