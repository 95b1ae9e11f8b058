/// @file
/// @brief Membership, facts, ownership and the platform's list at full size.
#include "fixture.hpp"
#include "membership_driver.hpp"
#include "wasabispar/base/hash.hpp"
#include "wasabispar/base/random.hpp"
#include "wasabispar/fleet/gossip_store.hpp"
#include "wasabispar/fleet/ownership.hpp"
#include "wasabispar/net/platform_client.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <memory>

namespace wasabispar::capacity {

namespace {

/// Sets a counter to a rate per virtual second.
void
Report(benchmark::State& aState, const char* aName, double aAmount, Duration aTime)
{
  aState.counters[aName] = aAmount / std::chrono::duration<double>(aTime).count();
}

void
RunSeconds(benchmark::State& aState, std::size_t aSelf)
{
  const auto before = HeapBytes();
  auto driver =
    std::make_unique<MembershipDriver>(static_cast<std::size_t>(aState.range(0)),
                                       static_cast<std::size_t>(aState.range(1)), aSelf);
  aState.counters["heap_B"] = static_cast<double>(HeapBytes() - before);
  const auto start = driver->mNow;
  for (auto _ : aState) {
    driver->Run(std::chrono::seconds(60), true);
  }
  const auto time = driver->mNow - start;
  Report(aState, "sent_msg_s", static_cast<double>(driver->mSent.mMessages), time);
  Report(aState, "sent_B_s", static_cast<double>(driver->mSent.mBytes), time);
  Report(aState, "recv_B_s", static_cast<double>(driver->mReceived.mBytes), time);
  aState.counters["bridge"] = driver->mMembership.IsBridge() ? 1 : 0;
}

/// The protocol with its encoding; one iteration is 60 s of virtual time. Arguments:
/// local VMs, VMs of the fleet.
void
MembershipMinute(benchmark::State& aState)
{
  RunSeconds(aState, 0);
}
BENCHMARK(MembershipMinute)
  ->Args({ 3, 27 })
  ->Args({ 37, 333 })
  ->Args({ 367, 3300 })
  ->Unit(benchmark::kMillisecond);

/// The same for a bridge to the other 8 data centres.
void
MembershipBridgeMinute(benchmark::State& aState)
{
  const auto vms = LocalVms(static_cast<std::size_t>(aState.range(0)));
  const auto bridge =
    RendezvousTop("bridge/" + MakeVm(0, 0).mDataCentre.Text(), vms, 1).front();
  const auto self = std::find(vms.begin(), vms.end(), bridge) - vms.begin();
  RunSeconds(aState, static_cast<std::size_t>(self));
}
BENCHMARK(MembershipBridgeMinute)
  ->Args({ 37, 333 })
  ->Args({ 367, 3300 })
  ->Unit(benchmark::kMillisecond);

void
MembershipTick(benchmark::State& aState)
{
  MembershipDriver driver(static_cast<std::size_t>(aState.range(0)),
                          static_cast<std::size_t>(aState.range(1)));
  // Time does not advance, so no probe is due: the cost of an idle tick.
  for (auto _ : aState) {
    benchmark::DoNotOptimize(driver.mMembership.Tick(driver.mNow));
  }
}
BENCHMARK(MembershipTick)->Args({ 3, 27 })->Args({ 37, 333 })->Args({ 367, 3300 });

/// One changed member and the view after it.
void
MembershipViewAfterChange(benchmark::State& aState)
{
  MembershipDriver driver(static_cast<std::size_t>(aState.range(0)),
                          static_cast<std::size_t>(aState.range(1)));
  for (auto _ : aState) {
    driver.ChangeMember();
    benchmark::DoNotOptimize(driver.mMembership.View());
  }
}
BENCHMARK(MembershipViewAfterChange)
  ->Args({ 3, 27 })
  ->Args({ 37, 333 })
  ->Args({ 367, 3300 })
  ->Unit(benchmark::kMicrosecond);

/// The platform's list into a Membership that knows all VMs.
void
MembershipList(benchmark::State& aState)
{
  MembershipDriver driver(static_cast<std::size_t>(aState.range(0)),
                          static_cast<std::size_t>(aState.range(1)));
  std::vector<ListedVm> list;
  for (const auto& vm : driver.mVms) {
    list.push_back({ vm.mIdentity, ListedState::Live });
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(driver.mMembership.OnPlatformList(list, driver.mNow));
  }
}
BENCHMARK(MembershipList)
  ->Args({ 3, 27 })
  ->Args({ 37, 333 })
  ->Args({ 367, 3300 })
  ->Unit(benchmark::kMicrosecond);

/// Bytes of single messages; the time is that of encoding.
void
PingEncoding(benchmark::State& aState)
{
  PingMessage ping;
  ping.mSequence = 100'000;
  ping.mSelf = { MakeVm(0, 0), MemberState::Alive, 3 };
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    ping.mUpdates.push_back(
      { MakeVm(0, static_cast<std::size_t>(i)), MemberState::Alive, 3 });
  }
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = WireBytes(ping);
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(PingEncoding)->Arg(0)->Arg(1)->Arg(6)->Arg(367);

GossipEntry
MakeFact(std::size_t aNumber)
{
  return { Numbered("upstream-leaving/counter-app", aNumber), 1'700'000'000'000 + aNumber,
           "1", MakeVm(0, aNumber % kLocalVms).mVm, 600'000 };
}

std::vector<GossipPeer>
Peers(std::size_t aLocal)
{
  std::vector<GossipPeer> peers;
  for (const auto& vm : LocalVms(aLocal)) {
    peers.push_back({ vm, "tcp://10.0.0.1:7400" });
  }
  return peers;
}

void
FactPushEncoding(benchmark::State& aState)
{
  GossipPushMessage push;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    push.mGossip.push_back(MakeFact(static_cast<std::size_t>(i)));
  }
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = WireBytes(push);
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(FactPushEncoding)->Arg(1)->Arg(4)->Arg(256);

/// A new fact into a store with the given number of facts.
void
FactStoreAccept(benchmark::State& aState)
{
  const auto before = HeapBytes();
  GossipStore store(MakeVm(0, 0).mVm, {}, SeededRandom(kSeed));
  store.SetPeers(Peers(kLocalVms));
  TimePoint now{ std::chrono::seconds(1) };
  const auto count = static_cast<std::size_t>(aState.range(0));
  for (std::size_t i = 0; i < count; ++i) {
    now += std::chrono::milliseconds(1);
    store.OnGossip(MakeVm(0, 1 + i % (kLocalVms - 1)).mVm, { MakeFact(i) }, now);
  }
  aState.counters["heap_B"] = static_cast<double>(HeapBytes() - before);
  auto fact = MakeFact(1);
  for (auto _ : aState) {
    ++fact.mVersion;
    now += std::chrono::milliseconds(10);
    benchmark::DoNotOptimize(store.OnGossip(MakeVm(0, 1).mVm, { fact }, now));
  }
  aState.counters["facts"] = static_cast<double>(store.Size());
}
BENCHMARK(FactStoreAccept)->Arg(30)->Arg(300)->Arg(4096);

void
FactStoreTick(benchmark::State& aState)
{
  GossipStore store(MakeVm(0, 0).mVm, {}, SeededRandom(kSeed));
  store.SetPeers(Peers(kLocalVms));
  TimePoint now{ std::chrono::seconds(1) };
  for (std::size_t i = 0; i < static_cast<std::size_t>(aState.range(0)); ++i) {
    now += std::chrono::milliseconds(1);
    store.OnGossip(MakeVm(0, 1 + i % (kLocalVms - 1)).mVm, { MakeFact(i) }, now);
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(store.Tick(now));
  }
}
BENCHMARK(FactStoreTick)->Arg(30)->Arg(300)->Arg(4096);

void
OwnersOfOne(benchmark::State& aState)
{
  const auto vms = LocalVms(static_cast<std::size_t>(aState.range(0)));
  const UpstreamId upstream(Numbered("counter-app", 7));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(SelectOwners(upstream, vms, 25));
  }
}
BENCHMARK(OwnersOfOne)->Arg(3)->Arg(37)->Arg(367);

MemberView
ViewOf(std::size_t aLocal, std::uint64_t aEpoch)
{
  MemberView view;
  view.mEpoch = aEpoch;
  view.mSelf = MakeVm(0, 0).mVm;
  view.mJoinedAt = TimePoint{};
  for (std::size_t i = 0; i < aLocal; ++i) {
    const auto identity = MakeVm(0, i);
    view.mLocalLive.push_back(identity.mVm);
    view.mLocalQuotaHolders.push_back(identity.mVm);
    Member member;
    member.mIdentity = identity;
    member.mState = MemberState::Alive;
    view.mMembers.emplace(identity.mVm, member);
  }
  return view;
}

/// A change of the sharers and then the share of each instance. Arguments: local VMs,
/// instances.
void
ConnectionBudgetChange(benchmark::State& aState)
{
  const auto local = static_cast<std::size_t>(aState.range(0));
  const auto instances = static_cast<std::size_t>(aState.range(1));
  const auto before = HeapBytes();
  ConnectionBudget budget(MakeVm(0, 0).mVm, {}, TimePoint{});
  std::vector<UpstreamId> upstreams;
  for (std::size_t i = 0; i < instances; ++i) {
    upstreams.emplace_back(Numbered("counter-app", i));
    budget.SetLimit(upstreams.back(), 25);
  }
  const TimePoint now{ std::chrono::hours(1) };
  std::uint64_t epoch = 1;
  std::uint64_t owned = 0;
  for (auto _ : aState) {
    budget.OnView(ViewOf(local - epoch % 2, epoch), now);
    ++epoch;
    owned = 0;
    for (const auto& upstream : upstreams) {
      owned += budget.AllowedConnections(upstream, now);
    }
  }
  aState.counters["connections"] = static_cast<double>(owned);
  aState.counters["heap_B"] = static_cast<double>(HeapBytes() - before);
}
BENCHMARK(ConnectionBudgetChange)
  ->Args({ 3, 963 })
  ->Args({ 37, 963 })
  ->Args({ 367, 30 })
  ->Args({ 367, 300 })
  ->Args({ 367, 963 })
  ->Unit(benchmark::kMicrosecond);

std::string
InventoryBody(std::size_t aVms, std::size_t aUpstreams)
{
  std::string body = R"({"vms":[)";
  for (std::size_t i = 0; i < aVms; ++i) {
    const auto vm = MakeVm(i % kDataCentres, i / kDataCentres);
    body += (i == 0 ? "" : ",") + std::string(R"({"vm":")") + vm.mVm.Text() +
            R"(","data_centre":")" + vm.mDataCentre.Text() + R"(","region":")" +
            vm.mRegion.Text() + R"(","fleet":")" + vm.mAddress.substr(6) +
            R"(","state":"live"})";
  }
  body += R"(],"upstreams":[)";
  for (std::size_t i = 0; i < aUpstreams; ++i) {
    body += (i == 0 ? "" : ",") + std::string(R"({"upstream":")") +
            Numbered("counter-app", i) + R"(","index":"counter-app","data_centre":")" +
            MakeVm(i % kDataCentres, 0).mDataCentre.Text() +
            R"(","address":"10.128.100.200:9000","state":"live","connection_limit":25})";
  }
  return body + "]}";
}

/// The platform's list. Arguments: VMs, upstreams.
void
InventoryParse(benchmark::State& aState)
{
  const auto body = InventoryBody(static_cast<std::size_t>(aState.range(0)),
                                  static_cast<std::size_t>(aState.range(1)));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      Require([&] { return ParsePlatformInventory(body, "platform"); }));
  }
  aState.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(InventoryParse)
  ->Args({ 27, 60 })
  ->Args({ 333, 867 })
  ->Args({ 3300, 8667 })
  ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace wasabispar::capacity
