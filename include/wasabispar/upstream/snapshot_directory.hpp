/// @file
/// @brief Chooses the index version to which a query is pinned.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"
#include "wasabispar/upstream/upstream_table.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace wasabispar {

/// @brief One version of an index with its shards.
struct Snapshot
{
  IndexName mIndex;
  SnapshotVersion mVersion;
  /// All shards of the version: the union of the shards that the upstreams declare for
  /// the version. Sorted, without duplicates.
  std::vector<ShardId> mShards;
  /// Fraction of the shards that at least one usable upstream holds.
  Permille mReachableCoverage;
};

/// @brief Settings of SnapshotDirectory.
struct SnapshotDirectoryOptions
{
  /// An upstream whose last reply is older than this is not usable.
  Duration mMaxReplyAge = std::chrono::seconds(5);
  /// A cached view older than this is rebuilt even if UpstreamTable has not changed,
  /// because the age of the last replies grows without a change of the table.
  Duration mMaxViewAge = std::chrono::milliseconds(100);
};

/// @brief The versions of each index and the replicas of their shards, derived from
/// UpstreamTable. Thread-safe.
class SnapshotDirectory
{
public:
  /// @brief @p aTable must outlive the directory.
  explicit SnapshotDirectory(const UpstreamTable& aTable,
                             SnapshotDirectoryOptions aOptions = {});

  /// @brief The newest version whose reachable coverage is at least @p aWantedCoverage,
  /// else the version with the highest reachable coverage (the newest of equals); empty
  /// when no upstream declares a version. An upstream is usable when it is neither
  /// leaving nor suspect and its last reply is not older than
  /// SnapshotDirectoryOptions::mMaxReplyAge.
  std::optional<Snapshot> Choose(const IndexName& aIndex, Permille aWantedCoverage,
                                 TimePoint aNow) const;
  /// @brief All versions of the index, newest first.
  std::vector<Snapshot> Versions(const IndexName& aIndex, TimePoint aNow) const;
  /// @brief All upstreams that declare the shard at the version, usable or not.
  std::vector<UpstreamId> Replicas(const IndexName& aIndex, SnapshotVersion aVersion,
                                   const ShardId& aShard, TimePoint aNow) const;

private:
  struct VersionEntry
  {
    Snapshot mSnapshot;
    std::map<ShardId, std::vector<UpstreamId>> mReplicas;
  };
  struct IndexView
  {
    std::uint64_t mGeneration = 0;
    TimePoint mBuiltAt;
    /// Newest first.
    std::vector<VersionEntry> mVersions;
  };

  std::shared_ptr<const IndexView> View(const IndexName& aIndex, TimePoint aNow) const;
  std::shared_ptr<const IndexView> BuildView(const IndexName& aIndex,
                                             TimePoint aNow) const;

  const UpstreamTable& mTable;
  SnapshotDirectoryOptions mOptions;
  /// Guards mViews.
  mutable std::mutex mMutex;
  mutable std::map<IndexName, std::shared_ptr<const IndexView>> mViews;
};

} // namespace wasabispar
