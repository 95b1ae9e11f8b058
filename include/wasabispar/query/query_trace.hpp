/// @file
/// @brief Trace of the sub-requests and decisions of a query, shown at
/// `GET /v1/explain/<id>`.
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
  /// The first try of a shard at the pinned version.
  First,
  /// Sent while an earlier sub-request to the same shard is still open.
  Hedge,
  /// Sent after a failure, with a token of the load budget.
  Retry,
  /// A retry without a token, because the shard would be missing otherwise.
  ForcedRetry,
};

/// @brief The text of the kind: `first`, `hedge`, `retry` or `forced-retry`.
std::string_view
ToText(SubRequestKind aKind);

/// @brief State of a sub-request and its reply.
enum class ReplyState : std::uint8_t
{
  /// No reply yet.
  Open,
  /// The reply contributes to the coverage.
  Counted,
  /// The sub-request ended with a status other than Ok.
  Failed,
  /// The reply is for another version or shard than requested.
  Mismatch,
  /// The sub-request was cancelled, because the shard had answered, the query ended or it
  /// was replanned.
  Cancelled,
  /// The reply was counted, but then the query was replanned at another version.
  Discarded,
};

/// @brief The text of the state: `open`, `counted`, `failed`, `mismatch`, `cancelled` or
/// `discarded`.
std::string_view
ToText(ReplyState aState);

/// @brief Trace of one sub-request.
struct SubRequestTrace
{
  /// Number of the sub-request in the query, from 1.
  std::uint64_t mSubRequestId = 0;
  ShardId mShard;
  SnapshotVersion mVersion;
  UpstreamId mUpstream;
  SubRequestKind mKind = SubRequestKind::First;
  /// Why the sub-request was sent, for example `shed by search-3`; empty for a first try.
  std::string mReasonText;
  TimePoint mStart;
  std::optional<TimePoint> mEnd;
  /// Empty while there is no reply.
  std::optional<ExchangeStatus> mStatus;
  ReplyState mReplyState = ReplyState::Open;
  /// Replicas that were not considered for the sub-request.
  std::vector<SkippedReplica> mSkipped;
};

/// @brief A shard that did not answer.
struct MissingShard
{
  ShardId mShard;
  /// Why the shard did not answer.
  std::string mReasonText;
};

/// @brief Trace of one query.
struct QueryTrace
{
  VmId mVm;
  RequestId mRequest;
  IndexName mIndex;
  /// Versions to which the query was pinned, in order; the answer is from the last one.
  std::vector<SnapshotVersion> mVersions;
  TimePoint mStart;
  /// Empty while the query runs.
  std::optional<TimePoint> mEnd;
  /// In the order of sending.
  std::vector<SubRequestTrace> mSubRequests;
  /// Sorted by shard; empty while the query runs.
  std::vector<MissingShard> mMissing;
  /// Number of replies that are late, duplicate or to an unknown sub-request.
  std::uint32_t mIgnoredReplies = 0;
  /// Result of the query in one line, for example `partial, coverage 750`.
  std::string mSummary;
};

/// @brief The trace as text: one line each for the query, every sub-request, every
/// missing shard and the summary. Times are in milliseconds since the start of the query.
std::string
ToText(const QueryTrace& aTrace);

} // namespace wasabispar
