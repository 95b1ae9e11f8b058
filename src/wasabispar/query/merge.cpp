/// @file
/// @brief Merge of hits by score.
#include "wasabispar/query/merge.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wasabispar {

namespace {

double
SortKey(const Hit& aHit)
{
  return std::isnan(aHit.mScore) ? -std::numeric_limits<double>::infinity() : aHit.mScore;
}

bool
IsBefore(const Hit* aLeft, const Hit* aRight)
{
  const double left = SortKey(*aLeft);
  const double right = SortKey(*aRight);
  return left != right ? left > right : aLeft->mId < aRight->mId;
}

} // namespace

std::vector<Hit>
MergeHits(const std::map<ShardId, std::vector<Hit>>& aHits, std::size_t aLimit)
{
  std::vector<const Hit*> all;
  for (const auto& [shard, hits] : aHits) {
    for (const auto& hit : hits) {
      all.push_back(&hit);
    }
  }
  // The sort must be stable to keep equal hits in the order of their shards.
  std::ranges::stable_sort(all, IsBefore);
  all.resize(std::min(all.size(), aLimit));
  std::vector<Hit> merged;
  merged.reserve(all.size());
  for (const auto* hit : all) {
    merged.push_back(*hit);
  }
  return merged;
}

} // namespace wasabispar
