/// @file
/// @brief A versioned key-value entry that the VMs of a data centre gossip.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <cstdint>
#include <string>

namespace wasabispar {

/// @brief A versioned key-value pair with a time to live, for example with the key
/// `upstream-leaving/counter-app-3`.
struct GossipEntry
{
  std::string mKey;
  /// Of two entries with the same key the higher version wins; the greater origin, then
  /// the greater value breaks ties.
  std::uint64_t mVersion = 0;
  std::string mValue;
  /// The VM that published the entry.
  VmId mOrigin;
  /// Remaining time to live in milliseconds.
  std::uint32_t mTtlMs = 0;

  bool operator==(const GossipEntry&) const = default;
};

} // namespace wasabispar
