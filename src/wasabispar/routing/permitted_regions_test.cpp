/// @file
/// @brief Tests of sets of permitted regions.
#include "wasabispar/routing/permitted_regions.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;

namespace {

const RegionId kNorth("north");
const RegionId kSouth("south");

} // namespace

/// Guards against an upstream of an unknown region that serves a request which is bound
/// to some regions.
TEST_CASE("an unknown region is permitted only where all are")
{
  CHECK(PermittedRegions().Permits(RegionId()));
  CHECK(PermittedRegions().Permits(kNorth));
  CHECK_FALSE(PermittedRegions::Only({ kNorth, RegionId() }).Permits(RegionId()));
  CHECK(PermittedRegions::Only({ kNorth }).Permits(kNorth));
  CHECK_FALSE(PermittedRegions::Only({ kNorth }).Permits(kSouth));
}

/// Guards against two disjoint lists that together permit all regions.
TEST_CASE("an intersection permits what both permit, possibly nothing")
{
  const auto north = PermittedRegions::Only({ kNorth });
  const auto both = PermittedRegions::Only({ kNorth, kSouth });
  CHECK(PermittedRegions().Intersect(north) == north);
  CHECK(north.Intersect(PermittedRegions()) == north);
  CHECK(both.Intersect(north) == north);
  const auto none = north.Intersect(PermittedRegions::Only({ kSouth }));
  CHECK_FALSE(none.AreAll());
  CHECK_FALSE(none.Permits(kNorth));
  CHECK_FALSE(none.Permits(kSouth));
}
