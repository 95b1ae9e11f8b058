/// @file
/// @brief Tests of ConfigSync: a single one, and those of a fleet with faults.
#include "wasabispar/catalogue/config_sync.hpp"

#include "fleet_fake.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

template<class Action>
const Action*
Find(const ConfigActions& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

/// Checks after each step that no VM's view has reverted and that each new view matches a
/// replay of the platform's history.
class FleetCheck
{
public:
  explicit FleetCheck(FleetFake& aFleet)
    : mFleet(aFleet)
    , mSeen(aFleet.mVms.size())
  {
  }

  void Step()
  {
    for (std::size_t i = 0; i < mSeen.size(); ++i) {
      const auto& vm = mFleet.mVms[i];
      auto& seen = mSeen[i];
      const auto view = vm.mCatalogue ? vm.mCatalogue->View() : nullptr;
      // A restarted VM has a new catalogue, which starts at revision 0.
      if (view && seen.mView && seen.mOwner == vm.mSync.get()) {
        RC_ASSERT(HistoryFake::FindReverted(*seen.mView, *view) == "");
      }
      if (view && view != seen.mView) {
        RC_ASSERT(mFleet.mHistory.DescribeMismatch(*view) == "");
      }
      seen = { vm.mSync.get(), view };
    }
  }

  /// Discards the last view of a VM before its restart. Step() cannot detect a restart if
  /// the new ConfigSync has the address of the old one.
  void Forget(std::size_t aVm) { mSeen[aVm] = {}; }

private:
  /// The last view of a VM and the object that had it.
  struct Seen
  {
    const ConfigSync* mOwner = nullptr;
    std::shared_ptr<const CatalogueView> mView;
  };

  FleetFake& mFleet;
  std::vector<Seen> mSeen;
};

void
InjectFault(FleetFake& aFleet, FleetCheck& aCheck, int aFault)
{
  const auto vm = *rc::gen::inRange<std::size_t>(0, aFleet.mVms.size());
  if (aFault == 0) {
    // The platform reverts to an older revision.
    const auto head = aFleet.mHistory.Head().Value();
    aFleet.mPlatformRevision = Revision(*rc::gen::inRange<std::uint64_t>(0, head + 1));
  } else if (aFault == 1) {
    aFleet.mPlatformDown = !aFleet.mPlatformDown;
  } else if (aFault == 2) {
    aCheck.Forget(vm);
    aFleet.Restart(vm);
  } else if (aFault == 3) {
    aFleet.mIsolatedDataCentre = aFleet.mVms[vm].mDataCentre;
  } else if (aFault == 4) {
    aFleet.mIsolatedDataCentre.reset();
  } else if (aFault == 5) {
    aFleet.mVmsWithoutPlatform = { vm, (vm + 3) % aFleet.mVms.size() };
  } else {
    aFleet.mHistory.Write(*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 4));
    if (aFault < 10) {
      aFleet.PublishLatest();
    }
  }
}

} // namespace

TEST_CASE("no profile reverts during faults, and all VMs converge after them")
{
  // Guards against a profile that reverts because of a stale platform, an old message or
  // a restarted peer, and against VMs whose catalogues differ permanently.
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    FleetFake fleet(3, 9, seed);
    FleetCheck check(fleet);
    fleet.mHistory.Write(0, 0);
    fleet.PublishLatest();
    fleet.Run(3s, [&] { check.Step(); });
    fleet.mMessageFaults = true;
    for (int i = 0; i < 25; ++i) {
      InjectFault(fleet, check, *rc::gen::inRange(0, 12));
      fleet.Run(2s, [&] { check.Step(); });
    }
    fleet.mMessageFaults = false;
    fleet.mPlatformDown = false;
    fleet.mIsolatedDataCentre.reset();
    fleet.mVmsWithoutPlatform.clear();
    fleet.PublishLatest();
    fleet.Run(60s, [&] { check.Step(); });
    for (const auto& vm : fleet.mVms) {
      RC_ASSERT(vm.mCatalogue->Digest().mRevision == fleet.mHistory.Head());
      RC_ASSERT(vm.mCatalogue->Digest() == fleet.mVms[0].mCatalogue->Digest());
      RC_ASSERT(vm.mSync->StartResult().has_value());
      RC_ASSERT(vm.mSync->IsFresh(fleet.mNow, 60s));
    }
  }));
}

TEST_CASE("a change reaches all VMs within 19 s if one data centre has no platform")
{
  // Guards against a data centre that gets changes only through its own contact with the
  // platform.
  FleetFake fleet(3, 30, 1);
  fleet.Run(15s);
  for (std::size_t vm = 0; vm < 30; vm += 3) {
    fleet.mVmsWithoutPlatform.push_back(vm);
  }
  for (int change = 0; change < 10; ++change) {
    fleet.mHistory.Write(0, 0);
    fleet.PublishLatest();
    fleet.Run(1s);
    // Most VMs receive the change by push, also from other data centres; the others pull
    // it after a digest.
    CHECK(std::count_if(fleet.mVms.begin(), fleet.mVms.end(), [&](const VmFake& aVm) {
            return aVm.mCatalogue->Digest().mRevision == fleet.mHistory.Head();
          }) >= 25);
    fleet.Run(18s);
    for (const auto& vm : fleet.mVms) {
      CHECK(vm.mCatalogue->Digest().mRevision == fleet.mHistory.Head());
    }
  }
}

TEST_CASE("platform calls stay far below the limit when 3,300 VMs restart at once")
{
  // Guards against a fleet that overloads the configuration service when it starts.
  // Covers a platform that replies and one that is down, VMs with peers and VMs without.
  constexpr std::uint64_t kFarBelowLimit = 500;
  for (const bool alone : { false, true }) {
    for (const bool down : { false, true }) {
      FleetFake fleet(9, 3300, 1, alone);
      fleet.mPlatformDown = down;
      std::uint64_t busiest = 0;
      // Calls made during the construction of the fleet count in the first second.
      std::uint64_t before = 0;
      // Longer than the start wait of 10 s.
      for (int second = 0; second < 12; ++second) {
        fleet.Run(1s);
        const auto pending = std::count_if(fleet.mVms.begin(), fleet.mVms.end(),
                                           [](const VmFake& aVm) { return !!aVm.mCall; });
        busiest = std::max(busiest, fleet.mCalls - before + pending);
        before = fleet.mCalls;
      }
      MESSAGE("alone ", alone, ", platform down ", down, ": at most ", busiest,
              " calls a second and pending watches");
      CHECK(busiest < kFarBelowLimit);
      for (const auto& vm : fleet.mVms) {
        REQUIRE(vm.mSync->StartResult());
        const bool expired = vm.mSync->StartResult()->mSource == StartSource::WaitExpired;
        // The first call of a VM without peers may be delayed by more than the start
        // wait.
        CHECK((alone || expired == down));
      }
    }
  }
}

TEST_CASE("control traffic of a VM stays below 1 KB/s at the planned rate of change")
{
  // Guards against exceeding the limit of 4 KB/s for all control traffic of a VM.
  FleetFake fleet(3, 60, 1);
  fleet.mHistory.Write(0, 0);
  fleet.PublishLatest();
  fleet.Run(30s);
  for (auto& vm : fleet.mVms) {
    vm.mBytes = 0;
  }
  // The planned rate of 5,200 changes per day is one change in 16.6 s.
  for (int change = 0; change < 20; ++change) {
    fleet.mHistory.Write(change % 5, 0);
    fleet.PublishLatest();
    fleet.Run(16600ms);
  }
  std::uint64_t most = 0;
  for (const auto& vm : fleet.mVms) {
    most = std::max(most, vm.mBytes * 1000 / (20 * 16600));
  }
  MESSAGE("the busiest VM sends and receives ", most, " B/s");
  CHECK(most < 1000);
}

TEST_CASE("a reserve watcher takes over the watch and releases it later")
{
  // Guards against a data centre without contact while its watchers run but cannot reach
  // the platform, and against reserve watchers that never stop watching.
  FleetFake fleet(1, 8, 1);
  fleet.Run(15s);
  const auto watchers = [&] {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < fleet.mVms.size(); ++i) {
      if (fleet.mVms[i].mSync->IsWatcher()) {
        found.push_back(i);
      }
    }
    return found;
  };
  REQUIRE(watchers().size() == 2);
  fleet.mVmsWithoutPlatform = watchers();
  fleet.Run(130s);
  CHECK(watchers().size() == 3);
  fleet.mHistory.Write(0, 0);
  fleet.PublishLatest();
  fleet.Run(10min);
  CHECK(watchers().size() == 3);
  CHECK(fleet.mVms[0].mCatalogue->Digest().mRevision == Revision(1));
  CHECK(fleet.mVms[0].mSync->IsFresh(fleet.mNow, 60s));
  fleet.mVmsWithoutPlatform.clear();
  fleet.Run(60s);
  CHECK(watchers().size() == 2);
  const auto first = watchers()[0];
  fleet.Stop(first);
  fleet.mVms[first].mSync = nullptr;
  fleet.mHistory.Write(0, 0);
  fleet.PublishLatest();
  fleet.Run(5s);
  CHECK(fleet.mVms[(first + 1) % 8].mCatalogue->Digest().mRevision == Revision(2));
}

TEST_CASE("a VM reaches the highest revision of its peers before its start completes")
{
  // Guards against a restarted VM that serves with an old list of a stale platform.
  FleetFake fleet(2, 6, 1);
  for (int i = 0; i < 5; ++i) {
    fleet.mHistory.Write(i % 2, 0);
  }
  fleet.PublishLatest();
  fleet.Run(15s);
  fleet.mPlatformRevision = Revision(2);
  for (std::size_t vm = 0; vm < 6; ++vm) {
    fleet.Restart(vm);
    const auto& sync = *fleet.mVms[vm].mSync;
    while (!sync.StartResult()) {
      fleet.Run(50ms);
    }
    CHECK(sync.StartResult()->mSource == StartSource::Peers);
    CHECK(sync.StartResult()->mRevision == Revision(5));
  }
}

TEST_CASE("a VM without peers starts with the platform's list, or after the start wait")
{
  FleetFake fleet(1, 1, 1);
  fleet.mHistory.Write(0, 0);
  fleet.PublishLatest();
  fleet.Run(1s);
  REQUIRE(fleet.mVms[0].mSync->StartResult());
  CHECK(fleet.mVms[0].mSync->StartResult()->mSource == StartSource::Platform);
  CHECK(fleet.mVms[0].mSync->StartResult()->mRevision == Revision(1));
  fleet.mPlatformDown = true;
  fleet.Restart(0);
  fleet.Run(9900ms);
  CHECK_FALSE(fleet.mVms[0].mSync->StartResult());
  fleet.Run(200ms);
  REQUIRE(fleet.mVms[0].mSync->StartResult());
  CHECK(fleet.mVms[0].mSync->StartResult()->mSource == StartSource::WaitExpired);
}

TEST_CASE("a delayed message never reduces the age of the configuration")
{
  // Guards against scheduled jobs that run with an outdated configuration after a
  // partition or a pause, because an old message with a low age arrives late.
  Catalogue catalogue;
  ConfigSync sync(VmId("a"), catalogue, SeededRandom(1));
  TimePoint now = TimePoint{} + 1h;
  const VmId peer("b");
  const ConfigPeers peers{ { peer }, {}, false, 1, 2 };
  // A message before Start() must not complete the start.
  sync.OnMessage(peer, CatalogueDigestMessage{}, now);
  CHECK_FALSE(sync.StartResult());
  const auto actions = sync.Start(peers, now);
  const auto* request = Find<SendConfigMessage>(actions);
  REQUIRE(request);
  CatalogueDigestMessage message = std::get<CatalogueDigestMessage>(request->mMessage);
  message.mPlatformAge = 1s;
  sync.OnMessage(peer, message, now);
  CHECK_FALSE(sync.PlatformAge(now));
  sync.OnMessage(peer, CatalogueDeltaMessage{ 0, {}, Duration(1s) }, now);
  CHECK_FALSE(sync.PlatformAge(now));
  now += 10min;
  message.mReply = true;
  sync.OnMessage(peer, message, now);
  CHECK(sync.PlatformAge(now) == Duration(10min + 1s));
  CHECK_FALSE(sync.IsFresh(now, 300s));
  // A reply to a request of an earlier incarnation is ignored.
  Catalogue empty;
  ConfigSync restarted(VmId("a"), empty, SeededRandom(2));
  restarted.Start(peers, now);
  restarted.OnMessage(peer, message, now);
  CHECK_FALSE(restarted.PlatformAge(now));
  // A second reply to the same request is ignored.
  message.mPlatformAge = 0s;
  sync.OnMessage(peer, message, now);
  CHECK(sync.PlatformAge(now) == Duration(10min + 1s));
}

TEST_CASE("a reply of a stale platform does not count as contact")
{
  Catalogue catalogue;
  ConfigSync sync(VmId("a"), catalogue, SeededRandom(1));
  TimePoint now = TimePoint{} + 1h;
  sync.Start({}, now);
  const auto call = [&] {
    for (;; now += 100ms) {
      const auto actions = sync.Tick(now);
      if (const auto* read = Find<PlatformRead>(actions)) {
        return read->mCall;
      }
    }
  };
  sync.OnPlatformReply(call(), PlatformList(Revision(9), {}), now);
  const auto confirmed = now;
  sync.OnPlatformReply(call(), PlatformList(Revision(8), {}), now);
  CHECK(sync.PlatformAge(now) >= now - confirmed);
  CHECK(sync.Counters().mStaleReplies == 1);
  CHECK(catalogue.Digest().mRevision == Revision(9));
  // A reply is not stale if a push raised the own revision after the call was sent.
  const auto next = call();
  catalogue.ApplyDelta(PlatformChanges(Revision(9), Revision(10), {}), now);
  sync.OnPlatformReply(next, PlatformList(Revision(9), {}), now);
  CHECK(sync.PlatformAge(now) == Duration(0));
  CHECK(sync.Counters().mStaleReplies == 1);
}

TEST_CASE("full pulls that change nothing are repeated with a growing backoff")
{
  // Guards against frequent full transfers between VMs of two software versions that
  // validate a document differently, so that their digests always differ.
  Catalogue catalogue;
  ConfigSync sync(VmId("a"), catalogue, SeededRandom(1));
  const VmId peer("b");
  TimePoint now = TimePoint{} + 1h;
  sync.Start({ { peer }, {}, false, 1, 2 }, now);
  CatalogueDigestMessage digest;
  digest.mDigest.mHash = 1;
  for (const auto end = now + 2h; now < end; now += 4s) {
    const auto actions = sync.OnMessage(peer, digest, now);
    for (const auto& action : actions) {
      const auto* send = std::get_if<SendConfigMessage>(&action);
      const auto* pull =
        send != nullptr ? std::get_if<CataloguePullMessage>(&send->mMessage) : nullptr;
      if (pull != nullptr) {
        sync.OnMessage(peer, CatalogueDeltaMessage{ pull->mNonce, {}, {} }, now);
      }
    }
  }
  CHECK(sync.Counters().mIneffectiveFullPulls == sync.Counters().mPulls);
  CHECK(sync.Counters().mPulls >= 5);
  CHECK(sync.Counters().mPulls <= 20);
}
