/// @file
/// @brief Which upstreams of a service may be chosen for one part of a request.
#pragma once

#include "wasabispar/base/ids.hpp"
#include "wasabispar/routing/permitted_regions.hpp"

#include <cstdint>
#include <vector>

namespace wasabispar {

/// @brief The upstreams that are open to one part of a request.
struct PlacementScope
{
  /// The regions in which the request may be served.
  PermittedRegions mRegions;
  /// Upstreams to which the part was sent before; they are not chosen again.
  std::vector<UpstreamId> mTried;
  /// Size of the request's body.
  std::uint64_t mBodyBytes = 0;

  /// @brief Whether the upstream @p aId in @p aRegion may be chosen.
  bool Includes(const UpstreamId& aId, const RegionId& aRegion) const;
};

} // namespace wasabispar
