/// @file
/// @brief Test fake: VMs with Membership and GossipStore on a network in virtual time,
/// with message loss, delay, duplicates and partitions, and with pauses and crashes of
/// VMs.
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

/// @brief Message faults of the fake network. The defaults are those of a healthy
/// network.
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
  std::unique_ptr<GossipStore> mGossipStore;
  bool mIsRunning = false;
  bool mIsPaused = false;
  bool mIsSuperseded = false;
  Duration mTickOffset{};
  std::uint64_t mTicks = 0;
  /// Membership messages sent, without gossip pushes.
  std::uint64_t mMessagesOut = 0;
  /// Size of these messages by FakeFleet::mMessageSize.
  std::uint64_t mBytesOut = 0;
  /// All changes that the VM reported.
  std::vector<MemberChange> mChanges;
};

/// @brief Runs the VMs in virtual time and delivers their messages.
class FakeFleet
{
public:
  using MessageSizeFn = std::function<std::size_t(const VmIdentity&, const SwimMessage&)>;
  using PartitionFn = std::function<bool(const VmIdentity&, const VmIdentity&)>;

  explicit FakeFleet(std::uint64_t aSeed)
    : mRandom(SeededRandom(aSeed))
  {
  }

  /// @brief Starts a VM, or a new incarnation of a VM that was stopped.
  FakeVm& Add(const std::string& aVm, const std::string& aDataCentre,
              std::uint64_t aIncarnation = 1)
  {
    auto& vm = mVms[VmId(aVm)];
    vm = FakeVm{};
    vm.mIdentity = { VmId(aVm), Incarnation(aIncarnation), "tcp://" + aVm,
                     DataCentreId(aDataCentre), RegionId("region") };
    vm.mMembership = std::make_unique<Membership>(vm.mIdentity, mOptions,
                                                  SeededRandom(mRandom(1U << 30U)), mNow);
    vm.mGossipStore = std::make_unique<GossipStore>(
      vm.mIdentity.mVm, GossipStoreOptions{}, SeededRandom(mRandom(1U << 30U)));
    vm.mIsRunning = true;
    mPeerViews.erase(vm.mIdentity.mVm);
    vm.mTickOffset = std::chrono::milliseconds(mRandom(50));
    return vm;
  }

  /// @brief Platform list of all VMs, stopped ones included.
  std::vector<ListedVm> List() const
  {
    std::vector<ListedVm> list;
    for (const auto& [id, vm] : mVms) {
      list.push_back({ vm.mIdentity, ListedState::Live });
    }
    return list;
  }

  /// @brief Passes a platform list to one VM.
  void DeliverList(FakeVm& aVm, const std::vector<ListedVm>& aList)
  {
    ExecuteActions(aVm, aVm.mMembership->OnPlatformList(aList, mNow), nullptr);
  }

  /// @brief Passes the list of all VMs to each running VM.
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
    // Timeouts are checked before the undelivered replies, which is the worst order for
    // the VM.
    ExecuteActions(vm, vm.mMembership->Tick(mNow), nullptr);
    auto undelivered = std::move(mUndelivered[vm.mIdentity.mVm]);
    mUndelivered.erase(vm.mIdentity.mVm);
    for (const auto& delivery : undelivered) {
      Deliver(delivery);
    }
  }

  /// @brief Advances the virtual time by @p aTime.
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

  /// @brief Publishes a gossip entry at @p aVm.
  void Publish(FakeVm& aVm, const std::string& aKey, std::uint64_t aVersion,
               Duration aTtl)
  {
    UpdateGossipPeers(aVm);
    SendGossip(aVm, aVm.mGossipStore->Publish(aKey, aVersion, "value", aTtl, mNow));
  }

  /// @brief Number of running VMs that hold an entry with this key.
  std::size_t CountVmsWithEntry(const std::string& aKey) const
  {
    std::size_t count = 0;
    for (const auto& [id, vm] : mVms) {
      count += vm.mIsRunning && vm.mGossipStore->Find(aKey, mNow) ? 1 : 0;
    }
    return count;
  }

  /// @brief The VM with this id, which must exist.
  FakeVm& At(const std::string& aVm) { return mVms.at(VmId(aVm)); }
  /// @brief State of @p aVm in the view of @p aObserver.
  MemberState StateAt(const std::string& aObserver, const std::string& aVm)
  {
    return At(aObserver).mMembership->View()->Find(VmId(aVm))->mState;
  }
  /// @brief Whether the live VMs in the view of each running VM are exactly the running
  /// VMs of its data centre. Paused VMs do not count as running.
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
  /// @brief Whether the network drops messages between two VMs; empty if it drops none.
  PartitionFn mIsPartitioned;
  /// @brief Size in bytes of a message; may be empty.
  MessageSizeFn mMessageSize;
  std::map<VmId, FakeVm> mVms;
  /// @brief Gossip pushes sent by all VMs.
  std::uint64_t mGossipPushes = 0;

private:
  /// A message on its way; mGossip is used if mIsGossip is set, else mMessage.
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
        AttachGossipToReply(send.mMessage, *aRequest, *aVm.mGossipStore, mNow);
      } else {
        AttachGossip(send.mMessage, *aVm.mGossipStore, mNow);
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
    auto& peerView = mPeerViews[aVm.mIdentity.mVm];
    if (peerView == view.get()) {
      return;
    }
    peerView = view.get();
    std::vector<GossipPeer> peers;
    for (const auto& vm : view->mLocalLive) {
      peers.push_back({ vm, view->Find(vm)->mIdentity.mAddress });
    }
    aVm.mGossipStore->SetPeers(std::move(peers), view->LocalDead());
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
      SendGossip(vm, vm.mGossipStore->OnGossip(aDelivery.mFrom, aDelivery.mGossip, mNow));
      return;
    }
    const auto& message = aDelivery.mMessage;
    auto actions =
      vm.mMembership->OnMessage(aDelivery.mFrom, aDelivery.mIncarnation, message, mNow);
    // As FleetService does: a new sender must be a peer before its entries are taken.
    UpdateGossipPeers(vm);
    if (const auto* ping = std::get_if<PingMessage>(&message)) {
      SendGossip(vm, vm.mGossipStore->OnGossip(aDelivery.mFrom, ping->mGossip, mNow));
    } else if (const auto* ack = std::get_if<AckMessage>(&message)) {
      SendGossip(vm, vm.mGossipStore->OnGossip(aDelivery.mFrom, ack->mGossip, mNow));
    }
    ExecuteActions(vm, std::move(actions), &message);
  }

  RandomFn mRandom;
  /// Messages by their time of delivery.
  std::multimap<TimePoint, Delivery> mQueue;
  /// Messages that arrived at paused VMs.
  std::map<VmId, std::vector<Delivery>> mUndelivered;
  /// The view from which the gossip peers of each VM were set.
  std::map<VmId, const MemberView*> mPeerViews;
};

} // namespace wasabispar::test
