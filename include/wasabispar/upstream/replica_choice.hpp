/// @file
/// @brief Chooses the replica that a sub-request is sent to.
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
  AlreadyTried,
  Suspect,
  NotHeld,
  Isolated,
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

/// @brief What the replica is wanted for.
struct ReplicaRequest
{
  IndexName mIndex;
  SnapshotVersion mVersion;
  ShardId mShard;
  /// Replicas that this query has tried for this shard.
  std::vector<UpstreamId> mTried;
  /// A hedge never goes to a replica at its slot limit. A first try or a retry may: it
  /// waits there for a connection, because the shard would be missing otherwise.
  bool mHedge = false;
  /// The request is suspected of crashing upstreams and needs an idle replica; see
  /// UpstreamTable::TryIsolate().
  bool mIsolated = false;
};

/// @brief The replica chosen, if any, and why the others were not considered.
struct ReplicaChoice
{
  std::optional<UpstreamId> mUpstream;
  std::vector<SkippedReplica> mSkipped;
};

/// @brief Power of two choices: of two random candidates that pass, the one with the
/// lower product of load and latency, own observations first. A leaving or suspect
/// upstream is never chosen, even if nothing else holds the shard.
ReplicaChoice
ChooseReplica(const std::vector<UpstreamView>& aReplicas, const ReplicaRequest& aRequest,
              RandomFn& aRandom);

/// @brief The same with the holders that @p aDirectory knows and their current state in
/// @p aTable.
ReplicaChoice
ChooseReplica(const SnapshotDirectory& aDirectory, const UpstreamTable& aTable,
              const ReplicaRequest& aRequest, RandomFn& aRandom, TimePoint aNow);

} // namespace wasabispar
