/// @file
/// @brief The state of each VM of the fleet as recorded by this VM, and an immutable view
/// of all VMs.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief State of a VM. For the same incarnation and state version a later enumerator
/// overrides an earlier one, so that all VMs converge on the same state.
enum class MemberState
{
  /// On the platform list, but has not replied to a probe yet.
  Unconfirmed,
  /// Replies to probes, or was reported as alive by another VM.
  Alive,
  /// Completes its running requests and takes no new ones.
  Leaving,
  /// Did not reply to a probe; becomes dead unless it refutes the suspicion in time.
  Suspect,
  /// Did not refute a suspicion in time, or was listed and never replied to a probe.
  Dead,
};

/// @brief The state in lower case, for example `suspect`.
std::string_view
ToText(MemberState aState);

/// @brief Identity and addresses of one VM.
struct VmIdentity
{
  VmId mVm;
  /// Incarnation of the process; 0 when it is not known yet.
  Incarnation mIncarnation;
  /// Fleet endpoint as `tcp://ip:port`.
  std::string mAddress;
  DataCentreId mDataCentre;
  RegionId mRegion;

  bool operator==(const VmIdentity&) const = default;
};

/// @brief Whether and how the platform's list of VMs names a VM. The list lags behind
/// the VMs that run.
enum class ListedState
{
  /// Not on the list.
  Absent,
  Live,
  Leaving,
};

/// @brief One VM in a MemberView.
struct Member
{
  VmIdentity mIdentity;
  MemberState mState = MemberState::Unconfirmed;
  /// Raised only by the VM itself, to refute a suspicion or to announce a change.
  std::uint64_t mStateVersion = 0;
  /// When this VM recorded the current state.
  TimePoint mStateSince{};
  ListedState mListedState = ListedState::Absent;
  /// Arrival of the first of the latest consecutive platform lists that do not name the
  /// VM; empty if the latest list names the VM or no list has arrived.
  std::optional<TimePoint> mAbsentSince;
};

/// @brief Members of another data centre and the last contact with it.
struct DataCentreContact
{
  DataCentreId mDataCentre;
  RegionId mRegion;
  /// Whether any VM of the own data centre received a reply from mDataCentre recently;
  /// see MembershipOptions::mContactTimeout.
  bool mIsReachable = false;
  /// Time of the last reply received by this VM, or by another VM of the own data centre
  /// that reported it; empty if there was none.
  std::optional<TimePoint> mLastContact;
  /// Number of members in the state Alive.
  std::size_t mAlive = 0;
  /// Number of members that are not dead.
  std::size_t mMembers = 0;
};

/// @brief An immutable snapshot of the fleet.
struct MemberView
{
  /// Incremented with each new view.
  std::uint64_t mEpoch = 0;
  /// The VM that made the view.
  VmId mSelf;
  /// Members of all data centres, this VM included.
  std::map<VmId, Member> mMembers;
  /// VMs of the own data centre to which requests may be sent (alive, or suspect and not
  /// leaving), sorted by id.
  std::vector<VmId> mLocalLive;
  /// VMs of the own data centre that may hold connections and therefore get a connection
  /// quota: all that are not dead, sorted by id.
  std::vector<VmId> mLocalQuotaHolders;
  /// Time of the first ack from a peer in the own data centre or of the first platform
  /// list that names no such peer, whichever is earlier; empty before. The settle time of
  /// ConnectionBudget starts at this time.
  std::optional<TimePoint> mJoinedAt;

  /// @brief The member with this id; null if there is none.
  const Member* Find(const VmId& aVm) const;
  /// @brief The dead members of the own data centre, sorted by id.
  std::vector<VmId> LocalDead() const;
};

} // namespace wasabispar
