/// @file
/// @brief Chooses the index version that a query is pinned to.
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

/// @brief One version of an index with its shard map.
struct Snapshot
{
  IndexName mIndex;
  SnapshotVersion mVersion;
  /// All shards of the version: the union of what the upstreams declare for it. Sorted,
  /// without duplicates.
  std::vector<ShardId> mShards;
  /// Share of the shards that a usable upstream holds.
  Permille mReachableCoverage;
};

/// @brief Settings of SnapshotDirectory.
struct SnapshotDirectoryOptions
{
  /// An upstream without a reply for longer than this does not count as reachable.
  Duration mMaxReplyAge = std::chrono::seconds(5);
  /// A cached view older than this is rebuilt even without a change, because upstreams
  /// stop being recent as time passes.
  Duration mMaxViewAge = std::chrono::milliseconds(100);
};

/// @brief The versions of each index and who holds their shards, from UpstreamTable.
/// Thread-safe.
class SnapshotDirectory
{
public:
  /// @brief @p aTable outlives the directory.
  explicit SnapshotDirectory(const UpstreamTable& aTable,
                             SnapshotDirectoryOptions aOptions = {});

  /// @brief The newest version whose reachable coverage is at least @p aWantedCoverage,
  /// else the version with the highest reachable coverage (the newest of equals); empty
  /// when no upstream declares a version. An upstream is usable when it is not leaving,
  /// not suspect, and answered recently.
  std::optional<Snapshot> Choose(const IndexName& aIndex, Permille aWantedCoverage,
                                 TimePoint aNow) const;
  /// @brief All versions of the index, newest first.
  std::vector<Snapshot> Versions(const IndexName& aIndex, TimePoint aNow) const;
  /// @brief All upstreams that declare the shard at that version, usable or not.
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
