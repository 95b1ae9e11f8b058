/// @file
/// @brief Which VMs hold connections to an upstream, and how many.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/fleet/member.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace wasabispar {

/// @brief The VMs that hold connections to @p aUpstream: the best @p aMaxOwners of
/// @p aMembers by rendezvous rank.
std::vector<VmId>
SelectOwners(const UpstreamId& aUpstream, const std::vector<VmId>& aMembers,
             std::size_t aMaxOwners);

/// @brief Connections that each of @p aOwners VMs may hold:
/// floor((limit - reserve) / owners); 0 without owners or when the reserve takes all.
std::uint32_t
ConnectionQuotaPerOwner(std::uint32_t aLimit, std::uint32_t aReserve,
                        std::size_t aOwners);

/// @brief Times and bounds of ConnectionBudget.
struct ConnectionBudgetOptions
{
  std::size_t mMaxOwners = 25;
  /// Connections kept free for dead ones that the upstream has not detected, and for
  /// surplus connections that still finish an exchange.
  std::uint32_t mReserve = 4;
  /// A VM that joined opens nothing for this time, so that the others close first.
  Duration mSettleTime = std::chrono::seconds(2);
  /// The settle time of a VM that no peer has answered.
  Duration mIsolatedSettleTime = std::chrono::seconds(10);
  /// The share of a dead VM is given out after this time, if the platform list no longer
  /// names the VM.
  Duration mDeadReleaseDelay = std::chrono::seconds(30);
  /// The same while the list still names it: it may be paused or cut off, and then its
  /// connections are still open.
  Duration mListedReleaseDelay = std::chrono::minutes(5);
};

/// @brief Decides how many connections this VM may hold to each upstream, such that the
/// sum over all VMs stays within the limit less the reserve.
///
/// The guarantee: at each instant at which every VM that holds connections is in the
/// sharer set of every other VM that holds connections, the sum of the shares is at
/// most limit - reserve, however else the sets differ. This follows because a share
/// only shrinks when a set grows, and an owner of a set is an owner of each subset that
/// contains it. Two bounds make the condition true:
/// - a VM that joins is known to all others, and they have closed their surplus, within
///   mSettleTime of its first answer from a peer;
/// - a VM that others take as dead has closed its connections, or is running again and
///   seen by them, within mDeadReleaseDelay (mListedReleaseDelay while it is listed).
/// A VM that stands still while others join keeps its old share until it runs again;
/// the excess is then at most its old less its new share, which the reserve covers for
/// one VM of three. Outside the bounds, the excess is at most the share of each VM that
/// is missing in a set: a partition within a data centre that lasts longer than the hold
/// time can double the sum.
///
/// Thread-safe; takes no other lock while it holds its own.
class ConnectionBudget
{
public:
  ConnectionBudget(VmId aSelf, ConnectionBudgetOptions aOptions, TimePoint aNow);
  ~ConnectionBudget();

  /// @brief Takes a new view. Views of an older epoch are ignored.
  void OnView(const MemberView& aView, TimePoint aNow);
  /// @brief The own process stood still: opens nothing until the settle time is over
  /// again; after a gap as long as the hold time it may keep no connection either.
  void OnPause(Duration aGap, TimePoint aNow);
  /// @brief Sets the connection limit of an upstream; 0 removes it.
  void SetLimit(const UpstreamId& aUpstream, std::uint32_t aLimit);

  /// @brief How many connections this VM may hold now; 0 for an unknown upstream.
  std::uint32_t AllowedConnections(const UpstreamId& aUpstream, TimePoint aNow) const;
  /// @brief Counts a connection before it is opened; false when the share is used up.
  bool TryOpen(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief A counted connection is closed or could not be opened.
  void OnClosed(const UpstreamId& aUpstream);
  /// @brief Connections to close: idle ones at once, busy ones after their exchange.
  std::uint32_t SurplusConnections(const UpstreamId& aUpstream, TimePoint aNow) const;
  std::uint32_t OpenConnections(const UpstreamId& aUpstream) const;
  /// @brief The live VMs with a share, to which a VM without one forwards, best first.
  std::vector<VmId> LiveOwners(const UpstreamId& aUpstream, TimePoint aNow) const;
  /// @brief The VMs that count for shares now: all that are not dead, and those whose
  /// hold time is not over.
  std::vector<VmId> QuotaHolders(TimePoint aNow) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace wasabispar
