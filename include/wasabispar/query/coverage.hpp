/// @file
/// @brief The share of the shards of a pinned snapshot that answered.
#pragma once

#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"

#include <cstdint>
#include <set>
#include <vector>

namespace wasabispar {

/// @brief Denominator: the shards of the pinned map. Numerator: the distinct shards of
/// that map that answered at that version.
class Coverage
{
public:
  Coverage() = default;
  explicit Coverage(const std::vector<ShardId>& aMap);

  /// @brief Counts the shard; false when it is not in the map or already counted.
  bool Add(const ShardId& aShard);
  std::uint64_t Answered() const { return mTotal - mMissing.size(); }
  std::uint64_t Total() const { return mTotal; }
  /// @brief Rounded down, so that 1000 means that nothing is missing.
  Permille Ratio() const { return Permille::Of(Answered(), mTotal); }
  /// @brief Sorted.
  const std::set<ShardId>& Missing() const { return mMissing; }
  bool IsComplete() const { return mMissing.empty(); }

private:
  std::uint64_t mTotal = 0;
  std::set<ShardId> mMissing;
};

} // namespace wasabispar
