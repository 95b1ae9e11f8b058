/// @file
/// @brief Divides the connections of a service's upstreams among the VMs of several
/// regions, also if there are more VMs than connections.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace wasabispar {

/// @brief A VM that may hold connections and gets a quota of them.
struct QuotaHolder
{
  VmId mVm;
  RegionId mRegion;

  bool operator==(const QuotaHolder&) const = default;
};

/// @brief An upstream of a service and its region.
struct RegionalUpstream
{
  UpstreamId mUpstream;
  RegionId mRegion;
};

/// @brief Limits on the connections of all VMs together to one upstream.
struct ConnectionLimits
{
  /// Connections that the upstream accepts.
  std::uint32_t mUpstreamLimit = 0;
  /// The part of mUpstreamLimit that is assigned to VMs; the remainder covers connections
  /// that are being closed.
  std::uint32_t mUsable = 0;
};

/// @brief Connections that one VM may hold to one upstream.
struct ConnectionQuota
{
  /// Most connections; 0 if the VM may hold none.
  std::uint32_t mLimit = 0;
  /// Whether one connection stays open without traffic; all others are opened on demand.
  bool mIsKeptOpen = false;
  /// Whether a VM whose mLimit is 0 may open one connection for a single exchange.
  bool mMayOverflow = false;

  bool operator==(const ConnectionQuota&) const = default;
};

/// @brief The connection quotas of one VM for one view of the fleet. Immutable.
///
/// If an upstream has at least two usable connections for each VM, all VMs get the same
/// quota. Otherwise a VM gets one connection to each upstream of its own region and one
/// to a single upstream of another region, which serves as its alternative. The VMs of a
/// region are distributed evenly over the upstreams of the other regions. The remaining
/// connections go to VMs that have none to the upstream, in the order of their rank. If
/// an upstream has too few connections for all VMs that should get one, the VMs of best
/// rank get them. The sum over all quota holders is at most ConnectionLimits::mUsable if
/// all VMs use the same lists of holders and upstreams.
///
/// Load pattern: while many upstreams of a service fail or slow down, a VM without a
/// connection to the remaining ones could not serve its requests, although the upstreams
/// accept more connections: most of the assigned ones are closed at any moment. Therefore
/// a VM without a quota may overflow it for single exchanges, unless the connections that
/// are kept open leave too little room.
///
/// After a power loss an upstream still counts the connections of the VMs that failed.
/// Therefore, if there are fewer than two connections for each VM, only so many
/// connections to an upstream are kept open that all VMs of its region can connect once
/// more.
class RegionalQuotas
{
public:
  /// @brief The quotas of @p aSelf if the connections are divided among @p aHolders. A VM
  /// that is not among them gets none.
  RegionalQuotas(const VmId& aSelf, std::vector<QuotaHolder> aHolders);

  /// @brief The quota of this VM for each of @p aUpstreams, in the same order.
  /// @p aUpstreams are the upstreams of one service and have the same @p aLimits.
  std::vector<ConnectionQuota> QuotasFor(const std::vector<RegionalUpstream>& aUpstreams,
                                         ConnectionLimits aLimits) const;

private:
  /// A quota holder with its id and region replaced by numbers, as each update of the
  /// view computes the quotas for all services.
  struct HolderKey
  {
    /// Hash of the VM's id.
    std::uint64_t mHash = 0;
    /// Position in mRegions.
    std::size_t mRegion = 0;
    bool mIsSelf = false;
  };
  class QuotaDistribution;

  /// The position of @p aRegion in mRegions; the size of mRegions if it is absent.
  std::size_t RegionIndex(const RegionId& aRegion) const;
  /// The holders by rendezvous rank for the service of @p aUpstreams, best first.
  std::vector<HolderKey> RankHolders(
    const std::vector<RegionalUpstream>& aUpstreams) const;

  /// Sorted by the ids of the VMs, so that all VMs break ties in the same way.
  std::vector<HolderKey> mHolders;
  /// The regions of the holders.
  std::vector<RegionId> mRegions;
  /// This VM is among the holders.
  bool mIsSelfHolder = false;
};

} // namespace wasabispar
