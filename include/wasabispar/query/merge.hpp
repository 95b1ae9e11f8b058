/// @file
/// @brief Merges the hits of the shards.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <map>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief One result of a search.
struct Hit
{
  std::string mId;
  double mScore = 0;

  bool operator==(const Hit&) const = default;
};

/// @brief The @p aLimit best hits: by score, highest first, then by id, then by shard.
/// The order does not depend on the order in which the replies arrived. A score that is
/// not a number comes last. Ids that several shards return are kept.
std::vector<Hit>
MergeHits(const std::map<ShardId, std::vector<Hit>>& aHits, std::size_t aLimit);

} // namespace wasabispar
