/// @file
/// @brief SWIM membership of one data centre, with digests of the other ones. A state
/// machine: it opens no socket and reads no clock.
#pragma once

#include "wasabispar/base/random.hpp"
#include "wasabispar/fleet/swim_messages.hpp"

#include <memory>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief Periods and bounds of Membership.
struct MembershipOptions
{
  /// Each period probes the ring successor and one further member.
  Duration mProbePeriod = std::chrono::milliseconds(500);
  /// Time for the direct answer; after it, indirect probes start.
  Duration mDirectTimeout = std::chrono::milliseconds(300);
  /// Time for the answer to an indirect probe; after it, the member is suspect.
  Duration mIndirectTimeout = std::chrono::milliseconds(300);
  /// Time in which a suspect may refute. Detection takes at most one probe period and
  /// the three times together: 2.1 s with the defaults.
  Duration mSuspicionTime = std::chrono::seconds(1);
  std::size_t mIndirectProbes = 3;
  /// A new state of a local member is pushed at once to this many members.
  std::size_t mPushFanOut = 4;
  /// Bounds the pushes when many members change together; the rest is piggybacked.
  std::size_t mMaxPushesPerSecond = 40;
  /// Updates piggybacked on one message.
  std::size_t mMaxPiggybackedUpdates = 6;
  /// Ticks further apart than this are taken as a pause of the own process.
  Duration mPauseThreshold = std::chrono::milliseconds(1000);
  /// One dead member is probed in this period, so that a healed partition is noticed.
  Duration mDeadProbePeriod = std::chrono::seconds(2);
  /// A listed VM that never answered counts as dead after this time.
  Duration mUnconfirmedTimeout = std::chrono::seconds(10);
  /// Views are compared with a random member in this period.
  Duration mComparePeriod = std::chrono::seconds(30);
  /// A bridge probes one bridge of each other data centre in this period.
  Duration mBridgePeriod = std::chrono::seconds(1);
  /// A bridge compares views with the other data centres in this period.
  Duration mBridgeComparePeriod = std::chrono::seconds(10);
  /// A data centre without an answer for this time counts as unreachable. Reports of
  /// bridges take about 6 s to reach all of 367 VMs.
  Duration mContactTimeout = std::chrono::seconds(12);
  std::size_t mBridges = 2;
  /// Dead members are remembered longer than regions lose contact, so that a view that
  /// is out of date cannot revive them.
  Duration mMemberRetention = std::chrono::hours(4);
  /// Bound on known VMs; further ones are ignored and counted.
  std::size_t mMaxMembers = 10000;
};

/// @brief One VM on the platform list.
struct ListedVm
{
  /// The incarnation is 0 when the list does not state it.
  VmIdentity mIdentity;
  ListedState mState = ListedState::Live;
};

/// @brief A message to send.
struct OutgoingSwimMessage
{
  VmId mTo;
  std::string mAddress;
  SwimMessage mMessage;
};

/// @brief A member whose state or incarnation changed.
struct MemberChange
{
  /// Empty when the member was unknown.
  std::optional<MemberState> mPreviousState;
  Member mMember;
  /// A new incarnation replaced an old one: whatever the old process held is gone.
  bool mIsReplaced = false;
};

/// @brief What the owner of a Membership has to do after an event.
struct MembershipActions
{
  std::vector<OutgoingSwimMessage> mOutgoing;
  std::vector<MemberChange> mChanges;
  /// A newer incarnation of this VM runs elsewhere; this process has to stop.
  bool mIsSuperseded = false;
};

/// @brief Counters since the start.
struct MembershipCounters
{
  std::uint64_t mProbes = 0;
  std::uint64_t mIndirectProbes = 0;
  std::uint64_t mSuspicions = 0;
  std::uint64_t mDeaths = 0;
  std::uint64_t mRefutations = 0;
  std::uint64_t mPauses = 0;
  std::uint64_t mStaleSenders = 0;
  std::uint64_t mIgnoredMembers = 0;
};

/// @brief The membership state machine. Thread-safe. Times must not decrease.
class Membership
{
public:
  Membership(VmIdentity aSelf, MembershipOptions aOptions, RandomFn aRandom,
             TimePoint aNow);
  ~Membership();

  /// @brief Drives probes and time-outs. Call it at least every 100 ms.
  MembershipActions Tick(TimePoint aNow);
  /// @brief Handles a message of @p aSender at its run @p aIncarnation. Facts in the
  /// message are left to FactStore.
  MembershipActions OnMessage(const VmId& aSender, Incarnation aIncarnation,
                              const SwimMessage& aMessage, TimePoint aNow);
  /// @brief Takes the platform list as a hint about which VMs exist.
  MembershipActions OnPlatformList(const std::vector<ListedVm>& aList, TimePoint aNow);
  /// @brief The own process stood still for @p aGap. Discards running probes, restarts
  /// suspicions, raises the own state version and asks peers for their view.
  MembershipActions OnPause(Duration aGap, TimePoint aNow);
  /// @brief Announces that this VM takes no new work.
  MembershipActions Leave(TimePoint aNow);

  /// @brief The current snapshot. The pointer is replaced, never the content.
  std::shared_ptr<const MemberView> View() const;
  /// @brief The other data centres and whether they can be reached at @p aNow.
  std::vector<DataCentreContact> Contacts(TimePoint aNow) const;
  /// @brief Whether this VM is one of the bridges of its data centre.
  bool IsBridge() const;
  /// @brief The bridge VMs of the other data centres, by this VM's view.
  std::vector<VmId> RemoteBridges() const;
  /// @brief Whether a message of this sender may be delivered: its incarnation is not
  /// older than the known one. An unknown sender is accepted, as it may have just
  /// started.
  bool Accepts(const VmId& aSender, Incarnation aIncarnation) const;
  MembershipCounters Counters() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace wasabispar
