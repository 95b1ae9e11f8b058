/// @file
/// @brief Tests of GossipStore: dissemination, order, expiry and bounds.
#include "wasabispar/fleet/gossip_store.hpp"

#include "fleet_fake.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wasabispar;
using namespace wasabispar::test;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

std::unique_ptr<GossipStore>
MakeStore(GossipStoreOptions aOptions = {})
{
  auto store = std::make_unique<GossipStore>(VmId("self"), aOptions, SeededRandom(1));
  store->SetPeers({ { VmId("good"), "tcp://good" }, { VmId("bad"), "tcp://bad" } });
  return store;
}

} // namespace

TEST_CASE("an entry reaches all VMs of a small data centre with one push each")
{
  // Guards against redundant pushes: the receivers must not forward an entry that its
  // origin has pushed to all peers.
  FakeFleet fleet(1);
  for (int i = 0; i < 8; ++i) {
    fleet.Add("vm-" + std::to_string(i), "dc");
  }
  fleet.DeliverListToAll();
  fleet.Run(3s);
  fleet.Publish(fleet.At("vm-0"), "upstream-leaving/u1", 1, 60s);
  fleet.Run(10ms);
  CHECK(fleet.CountVmsWithEntry("upstream-leaving/u1") == 8);
  CHECK(fleet.mGossipPushes == 7);
}

TEST_CASE("a VM that joins gets all entries that have not expired")
{
  // Guards against a new VM that sends requests to upstreams that are leaving, because
  // it has not received the entries published before it joined.
  FakeFleet fleet(3);
  fleet.Add("vm-0", "dc");
  fleet.Add("vm-1", "dc");
  fleet.DeliverListToAll();
  fleet.Run(2s);
  for (int i = 0; i < 40; ++i) {
    fleet.Publish(fleet.At("vm-0"), "quarantine/" + std::to_string(i), 1, 600s);
  }
  fleet.Run(60s);
  auto& joined = fleet.Add("vm-2", "dc");
  fleet.DeliverList(joined, fleet.List());
  fleet.Run(500ms);
  CHECK(joined.mGossipStore->FindByPrefix("quarantine/", fleet.mNow).size() == 40);
}

TEST_CASE("a delayed copy does not restore an expired entry")
{
  // Guards against entries that never expire, because VMs keep sending each other copies
  // with a remaining time to live.
  auto store = MakeStore();
  const GossipEntry entry{ "key", 1, "value", VmId("good"), 1000 };
  CHECK(store->OnGossip(VmId("good"), { entry }, kStart).mChanged.size() == 1);
  CHECK(store->Find("key", kStart + 999ms));
  CHECK_FALSE(store->Find("key", kStart + 1000ms));
  CHECK(store->Tick(kStart + 1001ms).mExpired.size() == 1);
  CHECK(store->OnGossip(VmId("bad"), { entry }, kStart + 1002ms).mChanged.empty());
  CHECK_FALSE(store->Find("key", kStart + 1002ms));
  CHECK(store->Tick(kStart + 62s).mExpired.empty());
  CHECK(store->Size() == 0);
}

TEST_CASE("a faulty sender can neither fill the store nor evict entries of others")
{
  // Guards against unbounded memory and against the loss of entries of other VMs when
  // one VM sends more entries than the limits allow.
  GossipStoreOptions options;
  options.mMaxEntries = 300;
  auto store = MakeStore(options);
  for (int i = 0; i < 100; ++i) {
    store->Publish("own/" + std::to_string(i), 1, "v", 60s, kStart);
  }
  std::vector<GossipEntry> flood;
  for (int i = 0; i < 5000; ++i) {
    flood.push_back({ "flood/" + std::to_string(i), 1, "v", VmId("bad"), 900000 });
  }
  flood.push_back({ std::string(1000, 'k'), 1, "v", VmId("bad"), 1000 });
  flood.push_back({ "large", 1, std::string(100000, 'v'), VmId("bad"), 1000 });
  flood.push_back({ "forged", 1, "v", VmId("stranger"), 1000 });
  store->OnGossip(VmId("bad"), flood, kStart);
  CHECK(store->Size() <= 300);
  for (int i = 0; i < 20; ++i) {
    const GossipEntry entry{ "good/" + std::to_string(i), 1, "v", VmId("good"), 60000 };
    CHECK(store->OnGossip(VmId("good"), { entry }, kStart + 1s).mChanged.size() == 1);
  }
  CHECK(store->Size() <= 300);
  CHECK(store->FindByPrefix("own/", kStart + 1s).size() == 100);
  CHECK(store->FindByPrefix("good/", kStart + 1s).size() == 20);
  CHECK_FALSE(store->Find("forged", kStart));
  CHECK(store->OnGossip(VmId("stranger"), flood, kStart).mChanged.empty());
  const auto counters = store->Counters();
  CHECK(counters.mSenderLimited > 0);
  CHECK(counters.mOriginLimited > 0);
  CHECK(counters.mUnknownOrigin > 0);
}

TEST_CASE("the store keeps the newest version of each key in any order of arrival")
{
  // Differential test against a map that keeps the highest version of each key. Guards
  // against stores that differ after they received the same entries in different orders.
  const bool isOk = rc::check([] {
    const auto items = *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
      rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(1, 5),
                     rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()));
    auto store = MakeStore();
    std::map<std::string, std::tuple<std::uint64_t, std::string, std::string>> naive;
    for (const auto& [key, version, value, isFromGood] : items) {
      const GossipEntry entry{ "key" + std::to_string(key),
                               static_cast<std::uint64_t>(version), std::to_string(value),
                               VmId(isFromGood ? "good" : "bad"), 60000 };
      store->OnGossip(VmId("good"), { entry }, kStart);
      auto& best = naive[entry.mKey];
      best = std::max(best, { entry.mVersion, entry.mOrigin.Text(), entry.mValue });
    }
    for (const auto& [key, best] : naive) {
      const auto entry = store->Find(key, kStart + 1s);
      RC_ASSERT(entry.has_value());
      RC_ASSERT(std::make_tuple(entry->mVersion, entry->mOrigin.Text(), entry->mValue) ==
                best);
    }
  });
  CHECK(isOk);
}

/// Guards against a VM that restarts and does not learn what a VM reported that is down
/// by now: a request that the others block would crash upstreams again.
TEST_CASE("a VM that starts learns the entries of a member that is dead")
{
  FakeFleet fleet(4);
  for (const auto* vm : { "vm-0", "vm-1", "vm-2", "vm-3" }) {
    fleet.Add(vm, "dc");
  }
  fleet.DeliverListToAll();
  fleet.Run(5s);
  fleet.Publish(fleet.At("vm-0"), "request-crashes/7", 1, 600s);
  fleet.Run(2s);
  REQUIRE(fleet.CountVmsWithEntry("request-crashes/7") == 4);
  fleet.Kill("vm-0");
  fleet.Run(30s);
  REQUIRE(fleet.StateAt("vm-1", "vm-0") == MemberState::Dead);
  fleet.Kill("vm-3");
  fleet.Run(1s);
  auto& restarted = fleet.Add("vm-3", "dc", 2);
  // The seeds name a VM that is up.
  fleet.DeliverList(restarted, { { fleet.At("vm-1").mIdentity, ListedState::Live } });
  fleet.Run(15s);
  CHECK(fleet.CountVmsWithEntry("request-crashes/7") == 3);
}
