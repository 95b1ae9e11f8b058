/// @file
/// @brief The check of one upstream against a scope.
#include "wasabispar/routing/placement_scope.hpp"

#include <algorithm>

namespace wasabispar {

bool
PlacementScope::Includes(const UpstreamId& aId, const RegionId& aRegion) const
{
  return mRegions.Permits(aRegion) && std::ranges::find(mTried, aId) == mTried.end();
}

} // namespace wasabispar
