/// @file
/// @brief What happened to a query, for `GET /v1/explain/<id>`.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"
#include "wasabispar/upstream/exchange_status.hpp"
#include "wasabispar/upstream/replica_choice.hpp"

#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief Why a sub-request was sent.
enum class SubRequestKind : std::uint8_t
{
  First,
  Hedge,
  Retry,
  /// A retry without budget, because the shard would be missing otherwise.
  ForcedRetry,
};

/// @brief `first`, `hedge`, `retry` or `forced-retry`.
std::string_view
ToText(SubRequestKind aKind);

/// @brief What became of the reply of a sub-request.
enum class ReplyState : std::uint8_t
{
  /// No reply yet, or none that the query waited for.
  Open,
  Counted,
  Failed,
  /// Answered at another version or for another shard than asked for.
  Mismatch,
  /// Given up: the shard was covered, the query ended or was replanned.
  Cancelled,
  /// Counted once, but the query was replanned at another version.
  Discarded,
};

/// @brief `open`, `counted`, `failed`, `mismatch`, `cancelled` or `discarded`.
std::string_view
ToText(ReplyState aState);

/// @brief One sub-request.
struct SubRequestTrace
{
  std::uint64_t mSubRequestId = 0;
  ShardId mShard;
  SnapshotVersion mVersion;
  UpstreamId mUpstream;
  SubRequestKind mKind = SubRequestKind::First;
  /// Why it was sent, for example `shed by search-3`.
  std::string mReasonText;
  TimePoint mStart;
  std::optional<TimePoint> mEnd;
  /// Empty while there is no reply.
  std::optional<ExchangeStatus> mStatus;
  ReplyState mReplyState = ReplyState::Open;
  /// Replicas that were not considered for it.
  std::vector<SkippedReplica> mSkipped;
};

/// @brief A shard that did not answer, and why.
struct MissingShard
{
  ShardId mShard;
  std::string mReasonText;
};

/// @brief The record of one query.
struct QueryTrace
{
  VmId mVm;
  RequestId mRequest;
  IndexName mIndex;
  /// Versions that the query was pinned to, in order; the last one answers.
  std::vector<SnapshotVersion> mVersions;
  TimePoint mStart;
  std::optional<TimePoint> mEnd;
  std::vector<SubRequestTrace> mSubRequests;
  /// Sorted by shard.
  std::vector<MissingShard> mMissing;
  /// Replies that never counted: unknown sub-requests, duplicates, late ones.
  std::uint32_t mIgnoredReplies = 0;
  std::string mSummary;
};

/// @brief One line for each item; times in milliseconds since the start of the query.
std::string
ToText(const QueryTrace& aRecord);

} // namespace wasabispar
