/// @file
/// @brief Positions in the history of the registry.
#pragma once

#include "wasabispar/base/ids.hpp"

namespace wasabispar {

/// @brief Counts how often the registry was restored from an older copy. 0 for a registry
/// that states no era.
using RegistryEra = StrongNumber<struct RegistryEraTag>;

/// @brief Orders what is known of the registry.
///
/// A registry that is restored from an older copy gives the revisions since the copy out
/// again, for other changes. So revisions are comparable only within an era, and all of a
/// newer era come after all of an older one.
struct RegistryPosition
{
  RegistryEra mEra;
  Revision mRevision;

  auto operator<=>(const RegistryPosition&) const = default;
};

} // namespace wasabispar
