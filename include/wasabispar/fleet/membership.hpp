/// @file
/// @brief SWIM membership of one data centre; bridge VMs exchange digests with the other
/// data centres. A state machine: it opens no socket and reads no clock.
#pragma once

#include "wasabispar/base/random.hpp"
#include "wasabispar/fleet/swim_messages.hpp"

#include <memory>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief Periods, timeouts and limits of Membership.
struct MembershipOptions
{
  /// In each period the successor in the probe ring and one further member are probed.
  Duration mProbePeriod = std::chrono::milliseconds(500);
  /// Timeout of a direct probe; indirect probes follow.
  Duration mDirectTimeout = std::chrono::milliseconds(300);
  /// Timeout of indirect probes; the member then becomes suspect.
  Duration mIndirectTimeout = std::chrono::milliseconds(300);
  /// Time in which a suspect member can refute the suspicion. Detection of a dead member
  /// takes at most the sum of mProbePeriod, mDirectTimeout, mIndirectTimeout and
  /// mSuspicionTime: 2.1 s with the defaults.
  Duration mSuspicionTime = std::chrono::seconds(1);
  /// Number of members that probe a member indirectly.
  std::size_t mIndirectProbes = 3;
  /// A changed state of a local member is pushed immediately to this many random members.
  std::size_t mPushFanOut = 4;
  /// Limits the pushes when many members change at the same time; further changes are
  /// piggybacked.
  std::size_t mMaxPushesPerSecond = 40;
  /// Member updates piggybacked on one message.
  std::size_t mMaxPiggybackedUpdates = 6;
  /// A longer interval between two ticks is handled as a pause of the own process.
  Duration mPauseThreshold = std::chrono::milliseconds(1000);
  /// In each period one dead local member is probed, to detect that a partition has
  /// healed.
  Duration mDeadProbePeriod = std::chrono::seconds(2);
  /// A listed VM that has never replied is declared dead after this time.
  Duration mUnconfirmedTimeout = std::chrono::seconds(10);
  /// In each period the view is compared with that of a probed member.
  Duration mComparePeriod = std::chrono::seconds(30);
  /// In each period a bridge probes one bridge of each other data centre.
  Duration mBridgePeriod = std::chrono::seconds(1);
  /// In each period a bridge compares its view with those of the other data centres.
  Duration mBridgeComparePeriod = std::chrono::seconds(10);
  /// A data centre is unreachable if it has not replied for this time. Must exceed the
  /// time in which a contact of a bridge reaches all VMs of the data centre, about 6 s
  /// with 367 VMs.
  Duration mContactTimeout = std::chrono::seconds(12);
  /// Number of bridge VMs of each data centre.
  std::size_t mBridgeCount = 2;
  /// Dead members are kept for this time. Must exceed the longest loss of contact between
  /// regions, so that an outdated view cannot restore a dead member.
  Duration mMemberRetention = std::chrono::hours(4);
  /// Limit on the member table; further VMs are ignored and counted.
  std::size_t mMaxMembers = 10000;
};

/// @brief One VM on the platform list.
struct ListedVm
{
  /// The incarnation is 0 when the list does not state it.
  VmIdentity mIdentity;
  ListedState mState = ListedState::Live;
};

/// @brief A message and its receiver.
struct OutgoingSwimMessage
{
  VmId mTo;
  /// Fleet endpoint of mTo as `tcp://ip:port`.
  std::string mAddress;
  SwimMessage mMessage;
};

/// @brief A change of a member's state or incarnation.
struct MemberChange
{
  /// Empty if the member is new.
  std::optional<MemberState> mPreviousState;
  /// The member after the change.
  Member mMember;
  /// A new incarnation replaced an old one. The state of the old process, such as its
  /// tickets, is lost.
  bool mIsReplaced = false;
};

/// @brief Messages to send and changes to process after a call of Membership.
struct MembershipActions
{
  std::vector<OutgoingSwimMessage> mOutgoing;
  std::vector<MemberChange> mChanges;
  /// Another process runs a newer incarnation of this VM; this process must stop.
  bool mIsSuperseded = false;
};

/// @brief Numbers of events since the start.
struct MembershipCounters
{
  /// Pings sent, without those for another VM.
  std::uint64_t mProbes = 0;
  /// Ping requests sent.
  std::uint64_t mIndirectProbes = 0;
  /// Members that became suspect by a missed probe of this VM.
  std::uint64_t mSuspicions = 0;
  /// Members that this VM declared dead.
  std::uint64_t mDeaths = 0;
  /// Times that this VM refuted a wrong state of itself.
  std::uint64_t mRefutations = 0;
  /// Pauses of the own process.
  std::uint64_t mPauses = 0;
  /// Messages from an incarnation older than the recorded one.
  std::uint64_t mStaleSenders = 0;
  /// VMs ignored because of mMaxMembers.
  std::uint64_t mIgnoredMembers = 0;
};

/// @brief The membership state machine of one VM. Thread-safe. The times passed to its
/// functions must not decrease.
class Membership
{
public:
  /// @brief Starts with @p aSelf as the only member, in the state Alive.
  Membership(VmIdentity aSelf, MembershipOptions aOptions, RandomFn aRandom,
             TimePoint aNow);
  ~Membership();

  /// @brief Sends due probes and handles expired timeouts. Call it at least every 100 ms.
  MembershipActions Tick(TimePoint aNow);
  /// @brief Handles a message from the incarnation @p aIncarnation of @p aSender. Ignores
  /// gossip entries in the message; pass them to GossipStore::OnGossip().
  MembershipActions OnMessage(const VmId& aSender, Incarnation aIncarnation,
                              const SwimMessage& aMessage, TimePoint aNow);
  /// @brief Handles the platform's list of VMs. The list is only a hint, as it lags: a
  /// new VM is probed before requests are sent to it, and an absent VM that replies is
  /// kept.
  MembershipActions OnPlatformList(const std::vector<ListedVm>& aList, TimePoint aNow);
  /// @brief Handles a pause of the own process of length @p aGap. Discards pending
  /// probes, restarts the timeouts of suspicions, raises the own state version and
  /// compares views with peers. Does nothing for a gap of at most 200 ms.
  MembershipActions OnPause(Duration aGap, TimePoint aNow);
  /// @brief Announces that this VM accepts no new requests.
  MembershipActions Leave(TimePoint aNow);

  /// @brief The current view; never null. A view is immutable; a change makes a new one.
  std::shared_ptr<const MemberView> View() const;
  /// @brief The other data centres and whether they are reachable at @p aNow.
  std::vector<DataCentreContact> Contacts(TimePoint aNow) const;
  /// @brief Whether this VM is one of the bridges of its data centre.
  bool IsBridge() const;
  /// @brief The bridge VMs of the other data centres according to this VM's view.
  std::vector<VmId> RemoteBridges() const;
  /// @brief Whether a message of this sender may be delivered: @p aIncarnation is not
  /// older than the recorded one. An unknown sender is accepted, as it may have just
  /// started. For the id of this VM, only a newer incarnation is accepted.
  bool Accepts(const VmId& aSender, Incarnation aIncarnation) const;
  /// @brief Numbers of events since the start.
  MembershipCounters Counters() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace wasabispar
