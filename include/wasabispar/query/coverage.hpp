/// @file
/// @brief Counts which shards of a pinned snapshot have answered.
#pragma once

#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"

#include <cstdint>
#include <set>
#include <vector>

namespace wasabispar {

/// @brief The fraction of the shards of the pinned snapshot that answered at its version.
/// Each shard counts once.
class Coverage
{
public:
  Coverage() = default;
  /// @brief @p aShards are all shards of the snapshot; duplicates count once.
  explicit Coverage(const std::vector<ShardId>& aShards);

  /// @brief Counts the shard as answered; false when the snapshot does not contain the
  /// shard or the shard is already counted.
  bool Add(const ShardId& aShard);
  /// @brief Number of shards that answered.
  std::uint64_t Answered() const { return mTotal - mMissing.size(); }
  /// @brief Number of shards of the snapshot.
  std::uint64_t Total() const { return mTotal; }
  /// @brief Answered shards over all shards, rounded down, so that 1000 means that no
  /// shard is missing.
  Permille Ratio() const { return Permille::Of(Answered(), mTotal); }
  /// @brief The shards that have not answered, sorted.
  const std::set<ShardId>& Missing() const { return mMissing; }
  /// @brief Whether all shards answered.
  bool IsComplete() const { return mMissing.empty(); }

private:
  std::uint64_t mTotal = 0;
  std::set<ShardId> mMissing;
};

} // namespace wasabispar
