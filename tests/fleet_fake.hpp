/// @file
/// @brief A network of memberships in virtual time, with loss, delay, duplicates, pauses,
/// kills and partitions.
#pragma once

#include "wasabispar/fleet/fact_store.hpp"
#include "wasabispar/fleet/membership.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wasabispar::test {

/// @brief Faults of the fake network.
struct FakeFaults
{
  std::uint64_t mLossPermille = 0;
  std::uint64_t mDuplicatePermille = 0;
  Duration mMinDelay = std::chrono::microseconds(500);
  Duration mMaxDelay = std::chrono::milliseconds(2);
};

/// @brief One VM of the fake fleet.
struct FakeVm
{
  VmIdentity mIdentity;
  std::unique_ptr<Membership> mMembership;
  std::unique_ptr<FactStore> mFacts;
  bool mIsRunning = false;
  bool mIsPaused = false;
  bool mIsSuperseded = false;
  Duration mTickOffset{};
  std::uint64_t mTicks = 0;
  std::uint64_t mMessagesOut = 0;
  std::uint64_t mBytesOut = 0;
  std::vector<MemberChange> mChanges;
};

/// @brief Runs the VMs and carries their messages.
class FakeFleet
{
public:
  using MeasureFn = std::function<std::size_t(const VmIdentity&, const SwimMessage&)>;
  using PartitionFn = std::function<bool(const VmIdentity&, const VmIdentity&)>;

  explicit FakeFleet(std::uint64_t aSeed)
    : mRandom(SeededRandom(aSeed))
  {
  }

  FakeVm& Add(const std::string& aVm, const std::string& aDataCentre,
              std::uint64_t aIncarnation = 1)
  {
    auto& vm = mVms[VmId(aVm)];
    vm = FakeVm{};
    vm.mIdentity = { VmId(aVm), Incarnation(aIncarnation), "tcp://" + aVm,
                     DataCentreId(aDataCentre), RegionId("region") };
    vm.mMembership = std::make_unique<Membership>(vm.mIdentity, mOptions,
                                                  SeededRandom(mRandom(1U << 30U)), mNow);
    vm.mFacts = std::make_unique<FactStore>(vm.mIdentity.mVm, FactStoreOptions{},
                                            SeededRandom(mRandom(1U << 30U)));
    vm.mIsRunning = true;
    vm.mTickOffset = std::chrono::milliseconds(mRandom(50));
    return vm;
  }

  std::vector<ListedVm> List() const
  {
    std::vector<ListedVm> list;
    for (const auto& [id, vm] : mVms) {
      list.push_back({ vm.mIdentity, ListedState::Live });
    }
    return list;
  }

  void GiveList(FakeVm& aVm, const std::vector<ListedVm>& aList)
  {
    Perform(aVm, aVm.mMembership->OnPlatformList(aList, mNow), nullptr);
  }

  void GiveListToAll()
  {
    const auto list = List();
    for (auto& [id, vm] : mVms) {
      if (vm.mIsRunning) {
        GiveList(vm, list);
      }
    }
  }

  void Kill(const std::string& aVm) { At(aVm).mIsRunning = false; }
  void Pause(const std::string& aVm) { At(aVm).mIsPaused = true; }
  void Resume(const std::string& aVm)
  {
    auto& vm = At(aVm);
    vm.mIsPaused = false;
    // The worst order: time-outs are checked before the answers that wait.
    Perform(vm, vm.mMembership->Tick(mNow), nullptr);
    auto waiting = std::move(mWaiting[vm.mIdentity.mVm]);
    mWaiting.erase(vm.mIdentity.mVm);
    for (const auto& delivery : waiting) {
      Deliver(delivery);
    }
  }

  void Run(Duration aTime)
  {
    const auto end = mNow + aTime;
    constexpr Duration kStep = std::chrono::milliseconds(5);
    while (mNow < end) {
      const auto next = mNow + kStep;
      while (!mQueue.empty() && mQueue.begin()->first <= next) {
        const auto delivery = std::move(mQueue.begin()->second);
        mNow = std::max(mNow, mQueue.begin()->first);
        mQueue.erase(mQueue.begin());
        Deliver(delivery);
      }
      mNow = next;
      for (auto& [id, vm] : mVms) {
        const auto phase =
          (mNow.time_since_epoch() + vm.mTickOffset) % std::chrono::milliseconds(50);
        if (vm.mIsRunning && !vm.mIsPaused && phase < kStep) {
          Perform(vm, vm.mMembership->Tick(mNow), nullptr);
          if (++vm.mTicks % 5 == 1) {
            UpdateFactPeers(vm);
          }
        }
      }
    }
  }

  void Publish(FakeVm& aVm, const std::string& aKey, std::uint64_t aVersion,
               Duration aTtl)
  {
    UpdateFactPeers(aVm);
    SendFacts(aVm, aVm.mFacts->Publish(aKey, aVersion, "value", aTtl, mNow));
  }

  /// @brief Number of running VMs that hold the fact.
  std::size_t Informed(const std::string& aKey) const
  {
    std::size_t count = 0;
    for (const auto& [id, vm] : mVms) {
      count += vm.mIsRunning && vm.mFacts->Find(aKey, mNow) ? 1 : 0;
    }
    return count;
  }

  FakeVm& At(const std::string& aVm) { return mVms.at(VmId(aVm)); }
  MemberState StateAt(const std::string& aObserver, const std::string& aVm)
  {
    return At(aObserver).mMembership->View()->Find(VmId(aVm))->mState;
  }
  /// @brief Whether each running VM sees exactly the running VMs of its own data centre.
  bool AgreesWithTruth()
  {
    for (const auto& [observerId, observer] : mVms) {
      if (!observer.mIsRunning || observer.mIsPaused) {
        continue;
      }
      const auto view = observer.mMembership->View();
      std::vector<VmId> truth;
      for (const auto& [id, vm] : mVms) {
        if (vm.mIsRunning && !vm.mIsPaused &&
            vm.mIdentity.mDataCentre == observer.mIdentity.mDataCentre) {
          truth.push_back(id);
        }
      }
      if (view->mLocalLive != truth) {
        return false;
      }
    }
    return true;
  }

  TimePoint mNow{ std::chrono::hours(1) };
  MembershipOptions mOptions;
  FakeFaults mFaults;
  /// @brief Whether the network separates two VMs.
  PartitionFn mIsCut;
  MeasureFn mMeasure;
  std::map<VmId, FakeVm> mVms;
  std::uint64_t mFactPushes = 0;

private:
  struct Delivery
  {
    VmId mFrom;
    Incarnation mIncarnation;
    VmId mTo;
    SwimMessage mMessage;
    std::vector<Fact> mFacts;
    bool mIsFacts = false;
  };

  void Send(FakeVm& aFrom, Delivery aDelivery)
  {
    const auto target = mVms.find(aDelivery.mTo);
    if (target == mVms.end() ||
        (mIsCut && mIsCut(aFrom.mIdentity, target->second.mIdentity))) {
      return;
    }
    const int copies = mRandom(1000) < mFaults.mDuplicatePermille ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (mRandom(1000) < mFaults.mLossPermille) {
        continue;
      }
      const auto spread =
        static_cast<std::uint64_t>((mFaults.mMaxDelay - mFaults.mMinDelay).count()) + 1;
      mQueue.emplace(mNow + mFaults.mMinDelay + Duration(mRandom(spread)), aDelivery);
    }
  }

  void Perform(FakeVm& aVm, MembershipActions aActions, const SwimMessage* aRequest)
  {
    aVm.mIsSuperseded = aVm.mIsSuperseded || aActions.mIsSuperseded;
    aVm.mChanges.insert(aVm.mChanges.end(), aActions.mChanges.begin(),
                        aActions.mChanges.end());
    for (auto& send : aActions.mSends) {
      if (aRequest) {
        AttachFactsToAnswer(send.mMessage, *aRequest, *aVm.mFacts, mNow);
      } else {
        AttachFacts(send.mMessage, *aVm.mFacts, mNow);
      }
      ++aVm.mMessagesOut;
      aVm.mBytesOut += mMeasure ? mMeasure(aVm.mIdentity, send.mMessage) : 0;
      Send(aVm, { aVm.mIdentity.mVm,
                  aVm.mIdentity.mIncarnation,
                  send.mTo,
                  std::move(send.mMessage),
                  {},
                  false });
    }
  }

  void SendFacts(FakeVm& aVm, FactActions aActions)
  {
    for (auto& send : aActions.mSends) {
      ++mFactPushes;
      Send(aVm, { aVm.mIdentity.mVm,
                  aVm.mIdentity.mIncarnation,
                  send.mTo,
                  {},
                  std::move(send.mMessage.mFacts),
                  true });
    }
  }

  void UpdateFactPeers(FakeVm& aVm)
  {
    const auto view = aVm.mMembership->View();
    auto& epoch = mPeerEpochs[aVm.mIdentity.mVm];
    if (epoch == view.get()) {
      return;
    }
    epoch = view.get();
    std::vector<FactPeer> peers;
    for (const auto& vm : view->mLocalLive) {
      peers.push_back({ vm, view->Find(vm)->mIdentity.mAddress });
    }
    aVm.mFacts->SetPeers(std::move(peers));
  }

  void Deliver(const Delivery& aDelivery)
  {
    auto& vm = mVms.at(aDelivery.mTo);
    if (!vm.mIsRunning) {
      return;
    }
    if (vm.mIsPaused) {
      mWaiting[aDelivery.mTo].push_back(aDelivery);
      return;
    }
    if (aDelivery.mIsFacts) {
      SendFacts(vm, vm.mFacts->OnFacts(aDelivery.mFrom, aDelivery.mFacts, mNow));
      return;
    }
    const auto& message = aDelivery.mMessage;
    auto actions =
      vm.mMembership->OnMessage(aDelivery.mFrom, aDelivery.mIncarnation, message, mNow);
    if (const auto* ping = std::get_if<PingMessage>(&message)) {
      SendFacts(vm, vm.mFacts->OnFacts(aDelivery.mFrom, ping->mFacts, mNow));
    } else if (const auto* ack = std::get_if<AckMessage>(&message)) {
      SendFacts(vm, vm.mFacts->OnFacts(aDelivery.mFrom, ack->mFacts, mNow));
    }
    Perform(vm, std::move(actions), &message);
  }

  RandomFn mRandom;
  std::multimap<TimePoint, Delivery> mQueue;
  std::map<VmId, std::vector<Delivery>> mWaiting;
  std::map<VmId, const MemberView*> mPeerEpochs;
};

} // namespace wasabispar::test
