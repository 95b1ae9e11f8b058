/// @file
/// @brief Chooses the replica to which a sub-request is sent.
#pragma once

#include "wasabispar/base/random.hpp"
#include "wasabispar/upstream/snapshot_directory.hpp"
#include "wasabispar/upstream/upstream_table.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief Why a replica was not considered.
enum class SkipReason : std::uint8_t
{
  Leaving,
  /// The query has already tried the replica for this shard.
  AlreadyTried,
  Suspect,
  /// The upstream does not hold the shard at the requested version.
  NotHeld,
  /// The upstream is reserved for a suspect request.
  Isolated,
  /// A suspect request needs an idle upstream.
  NotIdle,
  AtSlotLimit,
};

/// @brief The reason in lower case with dashes, for example `already-tried`.
std::string_view
ToText(SkipReason aReason);

/// @brief A replica that was not considered.
struct SkippedReplica
{
  UpstreamId mUpstream;
  SkipReason mReason = SkipReason::Leaving;

  bool operator==(const SkippedReplica&) const = default;
};

/// @brief The sub-request for which a replica is chosen.
struct ReplicaRequest
{
  IndexName mIndex;
  SnapshotVersion mVersion;
  ShardId mShard;
  /// Replicas that this query has already tried for this shard.
  std::vector<UpstreamId> mTried;
  /// A hedge is never sent to a replica at its slot limit. A first try or a retry may be
  /// sent to such a replica and waits there for a connection, because otherwise the shard
  /// would be missing from the answer.
  bool mHedge = false;
  /// The request is suspected of crashing upstreams and needs an idle replica; see
  /// UpstreamTable::TryIsolate().
  bool mIsolated = false;
};

/// @brief The chosen replica, if any, and why the others were not considered.
struct ReplicaChoice
{
  std::optional<UpstreamId> mUpstream;
  std::vector<SkippedReplica> mSkipped;
};

/// @brief Chooses with the power of two choices: of two random candidates, the one with
/// the lower product of load and latency. Load and health that the upstream itself
/// reports count only without own observations. A leaving or suspect upstream is never
/// chosen, even if no other upstream holds the shard.
ReplicaChoice
ChooseReplica(const std::vector<UpstreamView>& aReplicas, const ReplicaRequest& aRequest,
              RandomFn& aRandom);

/// @brief Chooses among the replicas that @p aDirectory lists for the shard, with their
/// current state in @p aTable.
ReplicaChoice
ChooseReplica(const SnapshotDirectory& aDirectory, const UpstreamTable& aTable,
              const ReplicaRequest& aRequest, RandomFn& aRandom, TimePoint aNow);

} // namespace wasabispar
