/// @file
/// @brief A network of memberships in virtual time, with loss, delay, duplicates, pauses,
/// kills and partitions.
#pragma once

#include "wasabispar/fleet/gossip_store.hpp"
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
  std::unique_ptr<GossipStore> mGossip;
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
  using MessageSizeFn = std::function<std::size_t(const VmIdentity&, const SwimMessage&)>;
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
    vm.mGossip = std::make_unique<GossipStore>(vm.mIdentity.mVm, GossipStoreOptions{},
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

  void DeliverList(FakeVm& aVm, const std::vector<ListedVm>& aList)
  {
    ExecuteActions(aVm, aVm.mMembership->OnPlatformList(aList, mNow), nullptr);
  }

  void DeliverListToAll()
  {
    const auto list = List();
    for (auto& [id, vm] : mVms) {
      if (vm.mIsRunning) {
        DeliverList(vm, list);
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
    ExecuteActions(vm, vm.mMembership->Tick(mNow), nullptr);
    auto undelivered = std::move(mUndelivered[vm.mIdentity.mVm]);
    mUndelivered.erase(vm.mIdentity.mVm);
    for (const auto& delivery : undelivered) {
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
          ExecuteActions(vm, vm.mMembership->Tick(mNow), nullptr);
          if (++vm.mTicks % 5 == 1) {
            UpdateGossipPeers(vm);
          }
        }
      }
    }
  }

  void Publish(FakeVm& aVm, const std::string& aKey, std::uint64_t aVersion,
               Duration aTtl)
  {
    UpdateGossipPeers(aVm);
    SendGossip(aVm, aVm.mGossip->Publish(aKey, aVersion, "value", aTtl, mNow));
  }

  /// @brief Number of running VMs that hold the fact.
  std::size_t CountHolding(const std::string& aKey) const
  {
    std::size_t count = 0;
    for (const auto& [id, vm] : mVms) {
      count += vm.mIsRunning && vm.mGossip->Find(aKey, mNow) ? 1 : 0;
    }
    return count;
  }

  FakeVm& At(const std::string& aVm) { return mVms.at(VmId(aVm)); }
  MemberState StateAt(const std::string& aObserver, const std::string& aVm)
  {
    return At(aObserver).mMembership->View()->Find(VmId(aVm))->mState;
  }
  /// @brief Whether each running VM sees exactly the running VMs of its own data centre.
  bool ViewsMatchRunningVms()
  {
    for (const auto& [observerId, observer] : mVms) {
      if (!observer.mIsRunning || observer.mIsPaused) {
        continue;
      }
      const auto view = observer.mMembership->View();
      std::vector<VmId> expected;
      for (const auto& [id, vm] : mVms) {
        if (vm.mIsRunning && !vm.mIsPaused &&
            vm.mIdentity.mDataCentre == observer.mIdentity.mDataCentre) {
          expected.push_back(id);
        }
      }
      if (view->mLocalLive != expected) {
        return false;
      }
    }
    return true;
  }

  TimePoint mNow{ std::chrono::hours(1) };
  MembershipOptions mOptions;
  FakeFaults mFaults;
  /// @brief Whether the network separates two VMs.
  PartitionFn mIsPartitioned;
  MessageSizeFn mMessageSize;
  std::map<VmId, FakeVm> mVms;
  std::uint64_t mGossipPushes = 0;

private:
  struct Delivery
  {
    VmId mFrom;
    Incarnation mIncarnation;
    VmId mTo;
    SwimMessage mMessage;
    std::vector<GossipEntry> mGossip;
    bool mIsGossip = false;
  };

  void Send(FakeVm& aFrom, Delivery aDelivery)
  {
    const auto target = mVms.find(aDelivery.mTo);
    if (target == mVms.end() ||
        (mIsPartitioned && mIsPartitioned(aFrom.mIdentity, target->second.mIdentity))) {
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

  void ExecuteActions(FakeVm& aVm, MembershipActions aActions,
                      const SwimMessage* aRequest)
  {
    aVm.mIsSuperseded = aVm.mIsSuperseded || aActions.mIsSuperseded;
    aVm.mChanges.insert(aVm.mChanges.end(), aActions.mChanges.begin(),
                        aActions.mChanges.end());
    for (auto& send : aActions.mOutgoing) {
      if (aRequest) {
        AttachGossipToReply(send.mMessage, *aRequest, *aVm.mGossip, mNow);
      } else {
        AttachGossip(send.mMessage, *aVm.mGossip, mNow);
      }
      ++aVm.mMessagesOut;
      aVm.mBytesOut += mMessageSize ? mMessageSize(aVm.mIdentity, send.mMessage) : 0;
      Send(aVm, { aVm.mIdentity.mVm,
                  aVm.mIdentity.mIncarnation,
                  send.mTo,
                  std::move(send.mMessage),
                  {},
                  false });
    }
  }

  void SendGossip(FakeVm& aVm, GossipActions aActions)
  {
    for (auto& send : aActions.mOutgoing) {
      ++mGossipPushes;
      Send(aVm, { aVm.mIdentity.mVm,
                  aVm.mIdentity.mIncarnation,
                  send.mTo,
                  {},
                  std::move(send.mMessage.mGossip),
                  true });
    }
  }

  void UpdateGossipPeers(FakeVm& aVm)
  {
    const auto view = aVm.mMembership->View();
    auto& epoch = mPeerViews[aVm.mIdentity.mVm];
    if (epoch == view.get()) {
      return;
    }
    epoch = view.get();
    std::vector<GossipPeer> peers;
    for (const auto& vm : view->mLocalLive) {
      peers.push_back({ vm, view->Find(vm)->mIdentity.mAddress });
    }
    aVm.mGossip->SetPeers(std::move(peers));
  }

  void Deliver(const Delivery& aDelivery)
  {
    auto& vm = mVms.at(aDelivery.mTo);
    if (!vm.mIsRunning) {
      return;
    }
    if (vm.mIsPaused) {
      mUndelivered[aDelivery.mTo].push_back(aDelivery);
      return;
    }
    if (aDelivery.mIsGossip) {
      SendGossip(vm, vm.mGossip->OnGossip(aDelivery.mFrom, aDelivery.mGossip, mNow));
      return;
    }
    const auto& message = aDelivery.mMessage;
    auto actions =
      vm.mMembership->OnMessage(aDelivery.mFrom, aDelivery.mIncarnation, message, mNow);
    if (const auto* ping = std::get_if<PingMessage>(&message)) {
      SendGossip(vm, vm.mGossip->OnGossip(aDelivery.mFrom, ping->mGossip, mNow));
    } else if (const auto* ack = std::get_if<AckMessage>(&message)) {
      SendGossip(vm, vm.mGossip->OnGossip(aDelivery.mFrom, ack->mGossip, mNow));
    }
    ExecuteActions(vm, std::move(actions), &message);
  }

  RandomFn mRandom;
  std::multimap<TimePoint, Delivery> mQueue;
  std::map<VmId, std::vector<Delivery>> mUndelivered;
  std::map<VmId, const MemberView*> mPeerViews;
};

} // namespace wasabispar::test
