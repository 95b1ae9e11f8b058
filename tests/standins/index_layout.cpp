/// @file
/// @brief Implements the placement of shards.
#include "tests/standins/index_layout.hpp"

namespace wasabispar::standins {

std::vector<std::string>
ShardNames(std::size_t aShards)
{
  std::vector<std::string> names;
  for (std::size_t shard = 0; shard < aShards; ++shard) {
    names.push_back("s" + std::to_string(shard));
  }
  return names;
}

std::map<std::string, std::size_t>
HeldShards(const LayoutSettings& aSettings, std::size_t aShards, std::size_t aInstance)
{
  std::map<std::string, std::size_t> held;
  for (std::size_t shard = 0; shard < aShards; ++shard) {
    for (std::size_t replica = 0; replica < aSettings.mReplicas; ++replica) {
      const std::size_t copy = shard * aSettings.mReplicas + replica;
      if (copy % aSettings.mInstances == aInstance) {
        held["s" + std::to_string(shard)] =
          copy / aSettings.mInstances % aSettings.mSearchers;
      }
    }
  }
  return held;
}

} // namespace wasabispar::standins
