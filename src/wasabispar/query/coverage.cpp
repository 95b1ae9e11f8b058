/// @file
/// @brief Coverage of a pinned snapshot.
#include "wasabispar/query/coverage.hpp"

namespace wasabispar {

Coverage::Coverage(const std::vector<ShardId>& aShards)
  : mMissing(aShards.begin(), aShards.end())
{
  mTotal = mMissing.size();
}

bool
Coverage::Add(const ShardId& aShard)
{
  return mMissing.erase(aShard) > 0;
}

} // namespace wasabispar
