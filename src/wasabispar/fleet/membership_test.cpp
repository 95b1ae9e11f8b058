/// @file
/// @brief Tests of Membership in virtual time, with faults of the network and of VMs.
#include "wasabispar/fleet/membership.hpp"

#include "fleet_fake.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wasabispar;
using namespace wasabispar::test;
using namespace std::chrono_literals;

namespace {

std::string
Name(int aIndex)
{
  return "vm-" + std::to_string(aIndex);
}

void
Fill(FakeFleet& aFleet, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aFleet.Add(Name(i), "dc");
  }
  aFleet.GiveListToAll();
}

/// Time until all VMs take the killed one as dead.
Duration
DetectionTime(FakeFleet& aFleet, const std::string& aVm)
{
  const auto killed = aFleet.mNow;
  aFleet.Kill(aVm);
  while (!aFleet.AgreesWithTruth() && aFleet.mNow - killed < 20s) {
    aFleet.Run(25ms);
  }
  return aFleet.mNow - killed;
}

std::size_t
FalseDeaths(const FakeFleet& aFleet)
{
  std::size_t deaths = 0;
  for (const auto& [id, vm] : aFleet.mVms) {
    for (const auto& change : vm.mChanges) {
      deaths += change.mMember.mState == MemberState::Dead ? 1 : 0;
    }
  }
  return deaths;
}

} // namespace

TEST_CASE("a killed VM is detected by all within 3 s in a data centre of 3")
{
  // Guards against recovery that takes longer than the target of the design page.
  Duration worst{};
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    FakeFleet fleet(seed);
    Fill(fleet, 3);
    fleet.Run(2s + std::chrono::milliseconds(seed * 37));
    REQUIRE(fleet.AgreesWithTruth());
    worst = std::max(worst, DetectionTime(fleet, Name(seed % 3)));
  }
  MESSAGE("worst detection time of 40: " << ToMilliseconds(worst) << " ms");
  CHECK(worst <= 3s);
}

TEST_CASE("at 367 VMs, killed VMs are detected and facts reach all within 3 s")
{
  // Guards against a probe order or a dissemination that slows down with the size, and
  // against new work for a leaving upstream later than 3 s after the signal.
  FakeFleet fleet(7);
  Fill(fleet, 367);
  fleet.Run(12s);
  REQUIRE(fleet.AgreesWithTruth());
  CHECK(FalseDeaths(fleet) == 0);
  Duration worst{};
  for (const int index : { 5, 100, 366 }) {
    worst = std::max(worst, DetectionTime(fleet, Name(index)));
    fleet.Run(500ms);
  }
  MESSAGE("worst detection time of 3: " << ToMilliseconds(worst) << " ms");
  CHECK(worst <= 3s);

  fleet.mFaults.mLossPermille = 50;
  fleet.Publish(fleet.At(Name(9)), "upstream-leaving/u1", 1, 60s);
  Duration time{};
  while (fleet.Informed("upstream-leaving/u1") < 364 && time < 10s) {
    fleet.Run(10ms);
    time += 10ms;
  }
  MESSAGE("time of a fact to 364 VMs with 5% loss: "
          << ToMilliseconds(time) << " ms, pushes " << fleet.mFactPushes);
  CHECK(time <= 3s);
}

TEST_CASE("a rack of 20 VMs that fails at once is detected within 4 s")
{
  // Guards against probers that die together with the members they probe.
  FakeFleet fleet(11);
  Fill(fleet, 120);
  fleet.Run(15s);
  REQUIRE(fleet.AgreesWithTruth());
  for (int i = 41; i < 60; ++i) {
    fleet.Kill(Name(i));
  }
  const auto time = DetectionTime(fleet, Name(40));
  MESSAGE("detection time: " << ToMilliseconds(time) << " ms");
  CHECK(time <= 4s);
}

TEST_CASE("lost, late and duplicated messages kill no VM")
{
  // Guards against a suspicion that the suspect cannot refute in time.
  FakeFleet fleet(3);
  fleet.mFaults = { 50, 50, 500us, 40ms };
  Fill(fleet, 30);
  fleet.Run(120s);
  CHECK(fleet.AgreesWithTruth());
  CHECK(FalseDeaths(fleet) == 0);
}

TEST_CASE("a VM that was paused declares nobody dead and is alive again at once")
{
  // Guards against a resumed VM that takes its own pause for the silence of all others.
  for (const Duration pause : { Duration(1200ms), Duration(5s), Duration(60s) }) {
    FakeFleet fleet(5);
    Fill(fleet, 5);
    fleet.Run(3s);
    fleet.Pause(Name(2));
    fleet.Run(pause);
    auto& paused = fleet.At(Name(2));
    paused.mChanges.clear();
    fleet.Resume(Name(2));
    fleet.Run(1500ms);
    CHECK(fleet.AgreesWithTruth());
    CHECK(paused.mMembership->Counters().mPauses == 1);
    CHECK(paused.mMembership->View()->Find(VmId(Name(2)))->mStateVersion > 1);
    for (const auto& change : paused.mChanges) {
      CHECK(change.mMember.mState != MemberState::Dead);
    }
  }
}

TEST_CASE("a restarted VM replaces its old incarnation at once")
{
  // Guards against tickets or shares of the old process being attributed to the new one.
  FakeFleet fleet(9);
  Fill(fleet, 4);
  fleet.Run(3s);
  fleet.Kill(Name(1));
  fleet.Run(200ms);
  const auto list = fleet.List();
  auto& restarted = fleet.Add(Name(1), "dc", 2);
  fleet.GiveList(restarted, list);
  fleet.Run(300ms);
  for (const int index : { 0, 2, 3 }) {
    const auto view = fleet.At(Name(index)).mMembership->View();
    CHECK(view->Find(VmId(Name(1)))->mIdentity.mIncarnation == Incarnation(2));
    CHECK(view->Find(VmId(Name(1)))->mState == MemberState::Alive);
    CHECK_FALSE(
      fleet.At(Name(index)).mMembership->Accepts(VmId(Name(1)), Incarnation(1)));
  }
  const auto& changes = fleet.At(Name(0)).mChanges;
  CHECK(std::count_if(changes.begin(), changes.end(),
                      [](const auto& aChange) { return aChange.mIsReplaced; }) == 1);
}

TEST_CASE("an old process learns that it was replaced")
{
  // Guards against two processes that both serve as the same VM.
  FakeFleet fleet(13);
  Fill(fleet, 3);
  fleet.Run(2s);
  const auto newer = MemberUpdate{
    { VmId(Name(1)), Incarnation(2), "tcp://other", DataCentreId("dc"), {} },
    MemberState::Alive,
    1
  };
  PingMessage ping;
  ping.mSelf = newer;
  auto& other = *fleet.At(Name(0)).mMembership;
  other.OnMessage(VmId(Name(1)), Incarnation(2), ping, fleet.mNow);
  fleet.Run(3s);
  CHECK(fleet.At(Name(1)).mIsSuperseded);
  CHECK_FALSE(fleet.At(Name(2)).mIsSuperseded);
}

TEST_CASE("the platform list is a hint only")
{
  // Guards against trusting a list that lags: neither an absent VM that answers may be
  // dropped nor a listed one that never answers be given work.
  FakeFleet fleet(17);
  Fill(fleet, 3);
  fleet.Run(2s);
  auto list = fleet.List();
  std::erase_if(list, [](const auto& aVm) { return aVm.mIdentity.mVm == VmId(Name(1)); });
  list.push_back(
    { { VmId("ghost"), Incarnation(), "tcp://ghost", DataCentreId("dc"), {} },
      ListedState::Live });
  auto& observer = fleet.At(Name(0));
  fleet.GiveList(observer, list);
  auto view = observer.mMembership->View();
  CHECK(view->mLocalLive.size() == 3);
  // The unknown VM counts for connection shares from now on.
  CHECK(view->mLocalSharers.size() == 4);
  CHECK(view->Find(VmId("ghost"))->mState == MemberState::Unconfirmed);
  fleet.Run(12s);
  view = observer.mMembership->View();
  CHECK(view->mLocalLive.size() == 3);
  CHECK(view->mLocalSharers.size() == 3);
  CHECK(view->Find(VmId("ghost"))->mState == MemberState::Dead);
}

TEST_CASE("a leaving VM is known as leaving and is not revived by a refutation")
{
  // Guards against new work for a VM that drains.
  FakeFleet fleet(19);
  Fill(fleet, 3);
  fleet.Run(2s);
  auto& leaving = fleet.At(Name(2));
  for (const auto& send : leaving.mMembership->Leave(fleet.mNow).mSends) {
    fleet.At(send.mTo.Text())
      .mMembership->OnMessage(VmId(Name(2)), Incarnation(1), send.mMessage, fleet.mNow);
  }
  CHECK(fleet.StateAt(Name(0), Name(2)) == MemberState::Leaving);
  fleet.Pause(Name(2));
  fleet.Run(1100ms);
  CHECK(fleet.At(Name(0)).mMembership->View()->mLocalLive.size() == 2);
  fleet.Resume(Name(2));
  fleet.Run(2s);
  const auto view = fleet.At(Name(0)).mMembership->View();
  CHECK(view->Find(VmId(Name(2)))->mState == MemberState::Leaving);
  CHECK(view->mLocalLive.size() == 2);
  CHECK(view->mLocalSharers.size() == 3);
}

TEST_CASE("both sides of a partition within a data centre find each other again")
{
  // Guards against dead members that nobody probes any more.
  FakeFleet fleet(23);
  Fill(fleet, 8);
  fleet.Run(3s);
  const auto side = [](const VmIdentity& aVm) { return aVm.mVm < VmId(Name(4)); };
  fleet.mIsCut = [&](const auto& aLeft, const auto& aRight) {
    return side(aLeft) != side(aRight);
  };
  fleet.Run(10s);
  CHECK(fleet.At(Name(0)).mMembership->View()->mLocalLive.size() == 4);
  fleet.mIsCut = {};
  fleet.Run(10s);
  CHECK(fleet.AgreesWithTruth());
}

TEST_CASE("each VM sees the other data centres and whether they can be reached")
{
  // Guards against a status that shows only the own data centre, and against taking the
  // VMs behind a cut link for dead.
  FakeFleet fleet(29);
  for (const auto* dataCentre : { "a", "b", "c" }) {
    for (int i = 0; i < 6; ++i) {
      fleet.Add(std::string(dataCentre) + std::to_string(i), dataCentre);
    }
  }
  fleet.GiveListToAll();
  fleet.Run(60s);
  const auto cutOff = DataCentreId("c");
  for (const auto& [id, vm] : fleet.mVms) {
    CHECK(vm.mMembership->Contacts(fleet.mNow).size() == 2);
    for (const auto& contact : vm.mMembership->Contacts(fleet.mNow)) {
      CHECK(contact.mIsReachable);
      CHECK(contact.mAlive == 6);
    }
  }
  fleet.Kill("b0");
  fleet.mIsCut = [&](const auto& aLeft, const auto& aRight) {
    return (aLeft.mDataCentre == cutOff) != (aRight.mDataCentre == cutOff);
  };
  fleet.Run(60s);
  for (const auto& [id, vm] : fleet.mVms) {
    if (!vm.mIsRunning || vm.mIdentity.mDataCentre == cutOff) {
      continue;
    }
    const auto view = vm.mMembership->View();
    CHECK(view->Find(VmId("b0"))->mState == MemberState::Dead);
    CHECK(view->Find(VmId("c0"))->mState == MemberState::Alive);
    for (const auto& contact : vm.mMembership->Contacts(fleet.mNow)) {
      CHECK(contact.mIsReachable == (contact.mDataCentre != cutOff));
    }
  }
  fleet.mIsCut = {};
  fleet.Run(40s);
  for (const auto& [id, vm] : fleet.mVms) {
    if (vm.mIsRunning) {
      CHECK(vm.mMembership->View()->Find(VmId("b0"))->mState == MemberState::Dead);
    }
  }
}

TEST_CASE("after any faults the views agree with the running VMs")
{
  // Differential test against the naive membership, which reads the set of running VMs.
  // Guards against states that never heal: lost refutations, stale suspicions,
  // tombstones that win over running VMs.
  const bool isOk = rc::check([] {
    const int count = *rc::gen::inRange(2, 9);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 100)));
    FakeFleet fleet(*rc::gen::inRange<std::uint64_t>(0, 1000000));
    fleet.mFaults = { 30, 30, 500us, 20ms };
    Fill(fleet, count);
    std::map<int, std::uint64_t> incarnations;
    for (const auto& [kind, value] : steps) {
      const int index = value % count;
      auto& vm = fleet.At(Name(index));
      if (kind == 0 && vm.mIsRunning) {
        fleet.Kill(Name(index));
        vm.mIsPaused = false;
      } else if (kind == 1 && vm.mIsRunning && !vm.mIsPaused) {
        fleet.Pause(Name(index));
      } else if (kind == 2 && vm.mIsRunning && vm.mIsPaused) {
        fleet.Resume(Name(index));
      } else if (kind == 3 && !vm.mIsRunning) {
        const auto list = fleet.List();
        auto& fresh = fleet.Add(Name(index), "dc", 2 + incarnations[index]++);
        fleet.GiveList(fresh, list);
      } else if (kind == 4) {
        fleet.mIsCut = [value](const auto& aLeft, const auto& aRight) {
          const auto hash = [&](const VmIdentity& aVm) {
            return std::hash<std::string>{}(aVm.mVm.Text() + std::to_string(value)) % 2;
          };
          return value % 2 == 1 && hash(aLeft) != hash(aRight);
        };
      }
      fleet.Run(std::chrono::milliseconds(value * 30));
    }
    fleet.mIsCut = {};
    fleet.mFaults = {};
    for (int i = 0; i < count; ++i) {
      if (fleet.At(Name(i)).mIsPaused) {
        fleet.Resume(Name(i));
      }
    }
    fleet.Run(25s);
    RC_ASSERT(fleet.AgreesWithTruth());
  });
  CHECK(isOk);
}
