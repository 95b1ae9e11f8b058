/// @file
/// @brief Which searcher of a group holds which shard of an index version.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wasabispar::standins {

struct LayoutSettings
{
  std::size_t mInstances = 1;
  std::size_t mSearchers = 1;
  std::size_t mReplicas = 1;
};

/// @brief The shards of one version: `s0` to `s<n-1>`.
std::vector<std::string>
ShardNames(std::size_t aShards);

/// @brief The shards that instance @p aInstance holds, each with its searcher. The
/// replicas of a shard are on different instances as long as there are enough.
std::map<std::string, std::size_t>
HeldShards(const LayoutSettings& aSettings, std::size_t aShards, std::size_t aInstance);

} // namespace wasabispar::standins
