/// @file
/// @brief Tests of the division of a limit among VMs whose views differ.
#include "wasabispar/routing/upstream_rate_share.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <ctime>
#include <string>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const UpstreamId kUpstream("u1");

std::vector<VmId>
Vms(std::size_t aCount, const std::string& aPrefix = "10.0.0.")
{
  std::vector<VmId> vms;
  for (std::size_t i = 0; i < aCount; ++i) {
    vms.emplace_back(aPrefix + std::to_string(i));
  }
  return vms;
}

std::uint32_t
ShareOf(const VmId& aVm, const std::vector<VmId>& aView, double aPerSecond)
{
  return FleetRateShare(aVm, aView).ShareOf(kUpstream, aPerSecond).mRequests;
}

} // namespace

/// Guards against saved requests (one for each VM) that exceed a low limit.
TEST_CASE("the shares of VMs with one view make up the limit, in whole requests")
{
  for (const std::size_t count : { 1, 7, 17, 89, 200 }) {
    for (const double limit : { 1.0, 5.0, 17.5, 120.0 }) {
      CAPTURE(count);
      CAPTURE(limit);
      const auto vms = Vms(count);
      std::uint32_t sum = 0;
      std::uint32_t least = 1000;
      std::uint32_t most = 0;
      for (const auto& vm : vms) {
        const auto share = ShareOf(vm, vms, limit);
        sum += share;
        least = std::min(least, share);
        most = std::max(most, share);
      }
      CHECK(sum == WholeRequests(limit));
      CHECK(most - least <= 1);
    }
  }
}

/// Guards against VMs that together send more than the limit while they know different
/// members, which a division by the number of members allows.
TEST_CASE("views that differ never give out more than the limit")
{
  const bool isKept = rc::check([] {
    const auto sending = Vms(*rc::gen::inRange<std::size_t>(1, 60));
    const auto limit = *rc::gen::inRange(1, 90);
    const auto others = Vms(30, "gone-");
    std::uint32_t sum = 0;
    for (const auto& vm : sending) {
      auto view = sending;
      for (const auto& other : others) {
        if (*rc::gen::arbitrary<bool>()) {
          view.push_back(other);
        }
      }
      sum += ShareOf(vm, view, limit);
    }
    RC_ASSERT(sum <= static_cast<std::uint32_t>(limit));
  });
  CHECK(isKept);
}

/// Guards against a VM whose share grows because another one joins.
TEST_CASE("a VM that joins never raises the share of another one")
{
  auto view = Vms(40);
  const auto joining = VmId("10.0.1.1");
  for (int limit = 1; limit < 150; ++limit) {
    for (const auto& vm : Vms(40)) {
      const auto before = ShareOf(vm, view, limit);
      auto larger = view;
      larger.push_back(joining);
      CHECK(ShareOf(vm, larger, limit) <= before);
    }
  }
}

TEST_CASE("a limit below one request a second is one request in a longer time")
{
  const auto vms = Vms(1);
  const auto share = FleetRateShare(vms[0], vms).ShareOf(kUpstream, 0.25);
  CHECK(share == RateShare{ 1, 4s });
  CHECK(share.PerSecond() == 0.25);
}

TEST_CASE("without a limit above 0 or a place among the VMs there is no share")
{
  const auto vms = Vms(3);
  CHECK(ShareOf(vms[0], vms, 0) == 0);
  CHECK(ShareOf(vms[0], vms, -1) == 0);
  CHECK(ShareOf(VmId("x"), vms, 100) == 0);
}

/// Guards against a share that stays when the VMs or the rate change.
TEST_CASE("the kept share follows the VMs and the rate")
{
  UpstreamRateShare kept;
  for (const std::size_t count : { 1, 200, 7, 89, 2 }) {
    const auto vms = Vms(count);
    const auto fleet = std::make_shared<const FleetRateShare>(vms[0], vms);
    for (const double rate : { 60.0, 3.0, 0.5, 17.5 }) {
      CHECK(kept.ShareOf(fleet, kUpstream, rate) == fleet->ShareOf(kUpstream, rate));
      CHECK(kept.ShareOf(nullptr, kUpstream, rate) == RateShare{});
    }
  }
}

/// Guards against a hash of all VMs for each response that names another limit.
TEST_CASE("responses do not cost more in a fleet of 3,300 VMs")
{
  const auto vms = Vms(3300);
  const auto fleet = std::make_shared<const FleetRateShare>(vms[0], vms);
  UpstreamRateShare kept;
  const auto start = std::clock();
  for (int i = 0; i < 300; ++i) {
    fleet->ShareOf(kUpstream, 20 + i % 3);
  }
  const auto hashed = std::clock();
  for (int i = 0; i < 300; ++i) {
    kept.ShareOf(fleet, kUpstream, 20 + i % 3);
  }
  CHECK(10 * (std::clock() - hashed) < hashed - start);
}
