/// @file
/// @brief Coverage of a pinned shard map.
#include "wasabispar/query/coverage.hpp"

namespace wasabispar {

Coverage::Coverage(const std::vector<ShardId>& aMap)
  : mMissing(aMap.begin(), aMap.end())
{
  mTotal = mMissing.size();
}

bool
Coverage::Add(const ShardId& aShard)
{
  return mMissing.erase(aShard) > 0;
}

} // namespace wasabispar
