/// @file
/// @brief The regions in which a request may be served.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <memory>
#include <set>

namespace wasabispar {

/// @brief A set of regions, or all of them. Copies are cheap.
class PermittedRegions
{
public:
  /// @brief Permits all regions.
  PermittedRegions() = default;
  /// @brief Permits the regions in @p aRegions, and none if it is empty.
  static PermittedRegions Only(std::set<RegionId> aRegions);

  /// @brief Whether an upstream in @p aRegion may be used. An upstream whose region is
  /// unknown (empty) may be used only if all regions are permitted.
  bool Permits(const RegionId& aRegion) const;
  /// @brief Whether all regions are permitted.
  bool AreAll() const { return mRegions == nullptr; }
  /// @brief The permitted regions; empty also if all regions are permitted.
  std::set<RegionId> Named() const;
  /// @brief The regions that both permit; possibly none.
  PermittedRegions Intersect(const PermittedRegions& aOther) const;

  bool operator==(const PermittedRegions& aOther) const;

private:
  /// Null if all regions are permitted.
  std::shared_ptr<const std::set<RegionId>> mRegions;
};

} // namespace wasabispar
