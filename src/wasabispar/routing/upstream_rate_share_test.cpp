/// @file
/// @brief Tests of the share of one upstream's limits that is kept between responses.
#include "wasabispar/routing/upstream_rate_share.hpp"

#include <doctest/doctest.h>

#include <ctime>
#include <string>

using namespace wasabispar;

namespace {

const UpstreamId kUpstream("u1");

FleetRateSharePtr
FleetOf(std::size_t aVms)
{
  std::vector<VmId> vms;
  for (std::size_t i = 0; i < aVms; ++i) {
    vms.emplace_back("vm-" + std::to_string(i));
  }
  return std::make_shared<const FleetRateShare>(vms[0], vms);
}

} // namespace

/// Guards against a share that stays when the VMs or the rate change.
TEST_CASE("the kept share follows the VMs and the rate")
{
  UpstreamRateShare kept;
  for (const std::size_t vms : { 1, 200, 7, 89, 2 }) {
    const auto fleet = FleetOf(vms);
    for (const double rate : { 60.0, 3.0, 0.5, 17.5 }) {
      CHECK(kept.ShareOf(fleet, kUpstream, rate) == fleet->ShareOf(kUpstream, rate));
      CHECK(kept.ShareOf(nullptr, kUpstream, rate) == RateShare{});
    }
  }
}

/// Guards against a hash of all VMs for each response that names another limit.
TEST_CASE("responses do not cost more in a fleet of 3,300 VMs")
{
  const auto fleet = FleetOf(3300);
  UpstreamRateShare kept;
  constexpr int kResponses = 300;
  const auto start = std::clock();
  for (int i = 0; i < kResponses; ++i) {
    fleet->ShareOf(kUpstream, 20 + i % 3);
  }
  const auto hashed = std::clock();
  for (int i = 0; i < kResponses; ++i) {
    kept.ShareOf(fleet, kUpstream, 20 + i % 3);
  }
  CHECK(10 * (std::clock() - hashed) < hashed - start);
}
