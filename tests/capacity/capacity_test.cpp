/// @file
/// @brief Claims of docs/CAPACITY.md that are cheap to check at full size. The bounds
/// come from the requirements and not from measured figures.
#include "membership_driver.hpp"
#include "wasabispar/base/hash.hpp"
#include "wasabispar/catalogue/catalogue.hpp"
#include "wasabispar/catalogue/profile_codec.hpp"
#include "wasabispar/fleet/ownership.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace wasabispar;
using namespace wasabispar::capacity;

namespace {

/// Control traffic that a node may send or receive each second.
constexpr std::uint64_t kControlBytes = 4096;
/// A change passes at most 12 VMs in 19 s: the watcher, 5 hops of push by 4 in its data
/// centre, a bridge, and the same 5 hops in another one.
constexpr Duration kApplyTime = std::chrono::seconds(19) / 12;

std::uint64_t
BytesPerSecond(std::size_t aSelf)
{
  constexpr Duration kTime = std::chrono::minutes(5);
  MembershipDriver driver(kLocalVms, kLocalVms * kDataCentres, aSelf);
  driver.Run(kTime, true);
  const auto seconds = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::seconds>(kTime).count());
  REQUIRE(driver.mSent.mMessages > seconds);
  return std::max(driver.mSent.mBytes, driver.mReceived.mBytes) / seconds;
}

std::size_t
BridgeIndex()
{
  const auto vms = LocalVms(kLocalVms);
  const auto bridge =
    RendezvousTop("bridge/" + MakeVm(0, 0).mDataCentre.Text(), vms, 1).front();
  return static_cast<std::size_t>(std::find(vms.begin(), vms.end(), bridge) -
                                  vms.begin());
}

CatalogueDelta
NearlyOneMegabyte()
{
  std::vector<CatalogueItem> items;
  for (std::size_t i = 0; i < 1000; ++i) {
    Profile profile;
    profile.mIndex = IndexName("counter-app");
    for (std::size_t caller = 0; caller < 40; ++caller) {
      profile.mAllowedCallers.emplace_back(Numbered("caller", caller));
    }
    items.push_back({ ProfileName(Numbered("fitting", i)), Revision(i + 1), false,
                      SerializeProfile(profile) });
  }
  const Revision newest(items.size());
  return PlatformList(newest, std::move(items));
}

} // namespace

TEST_CASE("membership of 3,300 VMs stays within the control traffic of a node")
{
  // Guards against periods, fan-outs or update sizes that grow with the fleet. Half of
  // the budget is for the catalogue and for facts.
  CHECK(BytesPerSecond(0) <= kControlBytes / 2);
  CHECK(BytesPerSecond(BridgeIndex()) <= kControlBytes);
}

TEST_CASE("a catalogue near 1 MB is applied within the share of one hop")
{
  // Guards against an apply whose time grows with the square of the profiles.
  const auto list = NearlyOneMegabyte();
  REQUIRE(EncodedSize(list) > 900U * 1024U);
  Catalogue catalogue;
  const auto start = BootClock::now();
  const auto result = catalogue.ApplyDelta(list, start);
  CHECK(BootClock::now() - start < kApplyTime);
  CHECK(result.mChanged.size() == 1000);
}

TEST_CASE("367 VMs share the connections of 963 instances within the limit")
{
  // Guards against a distribution that leaves instances without an owner, exceeds the
  // connections of an instance, or puts several times the mean on one VM.
  constexpr std::uint32_t kLimit = 25;
  constexpr std::uint32_t kReserve = 4;
  const auto vms = LocalVms(kLocalVms);
  std::map<VmId, std::size_t> held;
  for (std::size_t i = 0; i < kLocalInstances; ++i) {
    const auto owners =
      SelectOwners(UpstreamId(Numbered("counter-app", i)), vms, kLimit - kReserve);
    REQUIRE(owners.size() == kLimit - kReserve);
    CHECK(ConnectionQuotaPerOwner(kLimit, kReserve, owners.size()) == 1);
    for (const auto& owner : owners) {
      ++held[owner];
    }
  }
  constexpr std::size_t kMean = kLocalInstances * (kLimit - kReserve) / kLocalVms;
  for (const auto& [vm, connections] : held) {
    CHECK(connections <= 2 * kMean);
  }
  CHECK(held.size() == kLocalVms);
}
