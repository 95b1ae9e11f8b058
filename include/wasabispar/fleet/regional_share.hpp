/// @file
/// @brief How the connections of an upstream are shared when there may be more VMs than
/// connections.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace wasabispar {

/// @brief A VM that may hold connections.
struct ShareHolder
{
  VmId mVm;
  /// Whether it lies in the region of the upstream.
  bool mIsNear = false;
};

/// @brief Connections that @p aSelf may hold to @p aUpstream, which accepts @p aUsable in
/// all.
///
/// Each VM gets an equal share. When there are more VMs than connections, the near VMs
/// come first and get one each, then the far ones as long as there are any left; the
/// rendezvous rank for the upstream decides who. The sum over all holders is at most
/// @p aUsable if all use the same list.
std::uint32_t
RegionalShare(const UpstreamId& aUpstream, const VmId& aSelf,
              const std::vector<ShareHolder>& aHolders, std::uint32_t aUsable);

} // namespace wasabispar
