/// @file
/// @brief Selects the VMs that hold connections to an upstream and limits how many
/// connections each of them holds.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/fleet/member.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace wasabispar {

/// @brief Selects the owners of @p aUpstream, which are the VMs that hold connections to
/// the upstream: the best @p aMaxOwners of @p aMembers by rendezvous rank.
std::vector<VmId>
SelectOwners(const UpstreamId& aUpstream, const std::vector<VmId>& aMembers,
             std::size_t aMaxOwners);

/// @brief Number of connections that each of @p aOwners VMs may hold:
/// floor((aLimit - aReserve) / aOwners); 0 if there is no owner or the limit does not
/// exceed the reserve.
std::uint32_t
ConnectionQuotaPerOwner(std::uint32_t aLimit, std::uint32_t aReserve,
                        std::size_t aOwners);

/// @brief Delays and limits of ConnectionBudget.
struct ConnectionBudgetOptions
{
  /// Most owners of one upstream.
  std::size_t mMaxOwners = 25;
  /// Connections of the limit that are not assigned to owners. They cover broken
  /// connections whose loss the upstream has not detected, and surplus connections that
  /// still complete an exchange.
  std::uint32_t mReserve = 4;
  /// A VM that has joined opens no connection for this time, so that the other VMs can
  /// close their surplus connections first.
  Duration mSettleTime = std::chrono::seconds(2);
  /// Settle time of a VM that has received no reply from a peer.
  Duration mIsolatedSettleTime = std::chrono::seconds(10);
  /// The quota of a dead VM is released to the other VMs after this time if the platform
  /// list no longer names the dead VM.
  Duration mDeadReleaseDelay = std::chrono::seconds(30);
  /// The same delay while the platform list still names the dead VM. A VM that is only
  /// paused or partitioned is also declared dead, but its connections are still open.
  Duration mListedReleaseDelay = std::chrono::minutes(5);
};

/// @brief Decides how many connections this VM may hold to each upstream, such that the
/// sum over all VMs does not exceed the upstream's limit minus the reserve.
///
/// Each VM computes its quota from its own set of quota holders. As long as the set of
/// each VM that holds connections contains all other VMs that hold connections, the sum
/// of the quotas is at most limit - reserve, even if the sets differ otherwise. The
/// reasons are that a quota only decreases when the set grows, and that an owner of a set
/// is also an owner of each subset that contains it. The condition on the sets is met if
/// two time bounds hold:
/// - Within mSettleTime after a VM that joins received its first reply from a peer, all
///   other VMs have added the new VM to their sets and have closed their surplus.
/// - Within mDeadReleaseDelay (mListedReleaseDelay while the VM is listed) after a VM was
///   declared dead, the VM has closed its connections, or the other VMs have recorded
///   that it is alive again.
/// A VM that is paused while others join keeps its old quota until it resumes. The excess
/// is then at most the difference of its old and its new quota, which the reserve covers
/// for one VM of three. If a time bound is exceeded, the excess is at most the sum of the
/// quotas of the VMs that are missing in a set: a partition within a data centre that
/// lasts longer than the release delay can double the number of connections.
///
/// Thread-safe; takes no other lock while it holds its own.
class ConnectionBudget
{
public:
  ConnectionBudget(VmId aSelf, ConnectionBudgetOptions aOptions, TimePoint aNow);
  ~ConnectionBudget();

  /// @brief Updates the quota holders from a new view. A view with a lower epoch than the
  /// last one is ignored.
  void OnView(const MemberView& aView, TimePoint aNow);
  /// @brief Handles a pause of the own process of length @p aGap. No connection may be
  /// opened until the settle time has passed again. If @p aGap is at least
  /// mDeadReleaseDelay, all connections are surplus until then, as other VMs may have
  /// used the released quota.
  void OnPause(Duration aGap, TimePoint aNow);
  /// @brief Sets the connection limit of an upstream; 0 removes the upstream.
  void SetLimit(const UpstreamId& aUpstream, std::uint32_t aLimit);

  /// @brief Number of connections that this VM may hold at @p aNow; 0 for an unknown
  /// upstream.
  std::uint32_t AllowedConnections(const UpstreamId& aUpstream, TimePoint aNow) const;
  /// @brief Counts a connection before it is opened; returns false if the quota is used
  /// up.
  bool TryOpen(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief Uncounts a connection that was closed or could not be opened.
  void OnClosed(const UpstreamId& aUpstream);
  /// @brief Number of connections to close: idle ones immediately, busy ones after their
  /// exchange.
  std::uint32_t SurplusConnections(const UpstreamId& aUpstream, TimePoint aNow) const;
  /// @brief Number of connections counted by TryOpen() and not closed.
  std::uint32_t OpenConnections(const UpstreamId& aUpstream) const;
  /// @brief The owners that are live, best rank first. A VM without a quota forwards to
  /// them.
  std::vector<VmId> LiveOwners(const UpstreamId& aUpstream, TimePoint aNow) const;
  /// @brief The VMs among which the connections are divided at @p aNow: all that are not
  /// dead, and dead ones whose release delay has not passed. Sorted by id.
  std::vector<VmId> QuotaHolders(TimePoint aNow) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace wasabispar
