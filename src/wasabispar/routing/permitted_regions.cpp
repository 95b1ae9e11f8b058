/// @file
/// @brief Sets of permitted regions and their intersection.
#include "wasabispar/routing/permitted_regions.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wasabispar {

PermittedRegions
PermittedRegions::Only(std::set<RegionId> aRegions)
{
  PermittedRegions permitted;
  permitted.mRegions = std::make_shared<const std::set<RegionId>>(std::move(aRegions));
  return permitted;
}

bool
PermittedRegions::Permits(const RegionId& aRegion) const
{
  return AreAll() || (!aRegion.IsEmpty() && mRegions->contains(aRegion));
}

std::set<RegionId>
PermittedRegions::Named() const
{
  return AreAll() ? std::set<RegionId>() : *mRegions;
}

PermittedRegions
PermittedRegions::Intersect(const PermittedRegions& aOther) const
{
  if (AreAll()) {
    return aOther;
  }
  if (aOther.AreAll()) {
    return *this;
  }
  std::set<RegionId> both;
  std::ranges::set_intersection(*mRegions, *aOther.mRegions,
                                std::inserter(both, both.end()));
  return Only(std::move(both));
}

bool
PermittedRegions::operator==(const PermittedRegions& aOther) const
{
  return AreAll() || aOther.AreAll() ? AreAll() == aOther.AreAll()
                                     : *mRegions == *aOther.mRegions;
}

} // namespace wasabispar
