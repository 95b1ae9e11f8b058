/// @file
/// @brief How the connections of a service's upstreams are shared when there may be more
/// VMs than connections.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace wasabispar {

/// @brief A VM that may hold connections.
struct QuotaHolder
{
  VmId mVm;
  RegionId mRegion;
};

/// @brief An upstream of the service.
struct RegionalUpstream
{
  UpstreamId mUpstream;
  RegionId mRegion;
};

/// @brief Connections that an upstream accepts from all VMs together.
struct ConnectionLimits
{
  std::uint32_t mUpstreamLimit = 0;
  /// The part that is shared out; the rest is for closes under way.
  std::uint32_t mUsable = 0;
};

/// @brief What one VM may hold to one upstream.
struct ConnectionQuota
{
  std::uint32_t mLimit = 0;
  /// Whether a connection stays open without traffic; otherwise it is opened on demand.
  bool mIsKeptOpen = false;

  bool operator==(const ConnectionQuota&) const = default;
};

/// @brief The shares of one VM for one view of the fleet. Immutable.
///
/// Each VM gets an equal share. When there are more VMs than connections, a VM gets one
/// to each upstream of its own region and one to a single upstream elsewhere, so that it
/// always has an alternative; the VMs of a region are spread evenly over the upstreams
/// elsewhere. What is left goes to the others by rank. Where that is still too many, the
/// rank decides. The sum over all holders is at most the usable number if all use the
/// same lists.
///
/// After a loss of power an upstream still counts the connections of the VMs that are
/// gone. So where connections are scarce, only so many are kept open to an upstream that
/// all VMs of its region can connect once more.
class RegionalQuotas
{
public:
  RegionalQuotas(const VmId& aSelf, std::vector<QuotaHolder> aHolders);

  /// @brief The share in the connections of each of @p aUpstreams, which serve one
  /// service, in their order.
  std::vector<ConnectionQuota> QuotasFor(const std::vector<RegionalUpstream>& aUpstreams,
                                         ConnectionLimits aLimits) const;

private:
  /// Each update asks for all services, so holders are kept as numbers.
  struct CompactHolder
  {
    std::uint64_t mHash = 0;
    std::size_t mRegion = 0;
    bool mIsSelf = false;
  };
  class QuotaDistribution;

  /// The position of @p aRegion in mRegions, or its size.
  std::size_t RegionIndex(const RegionId& aRegion) const;
  std::vector<CompactHolder> RankHolders(
    const std::vector<RegionalUpstream>& aUpstreams) const;

  /// By the VMs' ids, so that all VMs break ties alike.
  std::vector<CompactHolder> mHolders;
  std::vector<RegionId> mRegions;
  bool mIsSelfHolder = false;
};

} // namespace wasabispar
