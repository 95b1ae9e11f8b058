/// @file
/// @brief Merge of the hits of all shards into one ranking.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <map>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief One result of a search.
struct Hit
{
  /// Id of the found document.
  std::string mId;
  double mScore = 0;

  bool operator==(const Hit&) const = default;
};

/// @brief The @p aLimit best hits, ordered by score, highest first, then by id, then by
/// shard. The order does not depend on the order of the replies. A score that is not a
/// number comes last. An id that several shards return is kept several times.
std::vector<Hit>
MergeHits(const std::map<ShardId, std::vector<Hit>>& aHits, std::size_t aLimit);

} // namespace wasabispar
