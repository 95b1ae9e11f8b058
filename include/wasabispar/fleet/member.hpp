/// @file
/// @brief A VM of the fleet as this VM sees it, and the published view of all of them.
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

/// @brief What is known about a VM. For the same incarnation and state version a later
/// enumerator overrides an earlier one, so that all VMs reach the same state.
enum class MemberState
{
  /// On the platform list, but has not answered a probe yet.
  Unconfirmed,
  Alive,
  /// Finishes what it runs and takes no new work.
  Leaving,
  /// Missed a probe; becomes dead unless it refutes in time.
  Suspect,
  Dead,
};

/// @brief The state in lower case, for example `suspect`.
std::string_view
ToText(MemberState aState);

/// @brief Identity and addresses of one VM.
struct VmIdentity
{
  VmId mVm;
  /// Run of the process; 0 when it is not known yet.
  Incarnation mIncarnation;
  /// Fleet endpoint as `tcp://ip:port`.
  std::string mAddress;
  DataCentreId mDataCentre;
  RegionId mRegion;

  bool operator==(const VmIdentity&) const = default;
};

/// @brief What the platform list says about a VM. The list lags.
enum class ListedState
{
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
  /// When this VM learnt the current state.
  TimePoint mStateSince{};
  ListedState mListedState = ListedState::Absent;
  /// Arrival of the first of the latest lists in a row that do not name it; empty while
  /// a list names it or none has arrived.
  std::optional<TimePoint> mAbsentSince;
};

/// @brief What is known about the contact with another data centre.
struct DataCentreContact
{
  DataCentreId mDataCentre;
  RegionId mRegion;
  /// Whether any VM of this data centre had an answer from there recently.
  bool mIsReachable = false;
  /// Time of the last answer, own or reported by a bridge; empty if there was none.
  std::optional<TimePoint> mLastContact;
  std::size_t mAlive = 0;
  std::size_t mMembers = 0;
};

/// @brief An immutable snapshot of the fleet.
struct MemberView
{
  /// Raised with each change of a member.
  std::uint64_t mEpoch = 0;
  VmId mSelf;
  /// All data centres, this VM included.
  std::map<VmId, Member> mMembers;
  /// VMs of the own data centre that may be given work (alive or suspect), by id.
  std::vector<VmId> mLocalLive;
  /// VMs of the own data centre that may hold connections: all but dead ones, by id.
  std::vector<VmId> mLocalQuotaHolders;
  /// First answer of a peer in the own data centre, or the first platform list that
  /// names no peer. Empty until then. The settle time of ConnectionBudget starts here.
  std::optional<TimePoint> mJoinedAt;

  /// @brief The member, or null when it is unknown.
  const Member* Find(const VmId& aVm) const;
};

} // namespace wasabispar
