/// @file
/// @brief How the connections of a service's upstreams are shared when there may be more
/// VMs than connections.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace wasabispar {

/// @brief A VM that may hold connections.
struct ShareHolder
{
  VmId mVm;
  RegionId mRegion;
};

/// @brief An upstream of the service.
struct SharedUpstream
{
  UpstreamId mUpstream;
  RegionId mRegion;
};

/// @brief Connections that @p aSelf may hold to each of @p aUpstreams, in their order.
/// Each upstream accepts @p aUsable in all.
///
/// Each VM gets an equal share. When there are more VMs than connections, a VM gets one
/// to each upstream of its own region and one to a single upstream elsewhere, so that it
/// always has an alternative; the VMs of a region are spread evenly over the upstreams
/// elsewhere. What is left goes to the others by rank. Where that is still too many, the
/// rendezvous rank decides. The sum over all holders is at most @p aUsable if all use the
/// same lists.
std::vector<std::uint32_t>
RegionalShares(const VmId& aSelf, const std::vector<ShareHolder>& aHolders,
               const std::vector<SharedUpstream>& aUpstreams, std::uint32_t aUsable);

} // namespace wasabispar
