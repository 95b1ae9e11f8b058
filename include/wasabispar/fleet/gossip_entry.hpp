/// @file
/// @brief A fact that VMs of a data centre tell each other.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <cstdint>
#include <string>

namespace wasabispar {

/// @brief A versioned value with a time to live, for example the key
/// `upstream-leaving/counter-app-3`.
struct GossipEntry
{
  std::string mKey;
  /// The higher version of a key wins; origin and value break ties.
  std::uint64_t mVersion = 0;
  std::string mValue;
  /// The VM that published it.
  VmId mOrigin;
  /// Remaining time to live in milliseconds.
  std::uint32_t mTtlMs = 0;

  bool operator==(const GossipEntry&) const = default;
};

} // namespace wasabispar
