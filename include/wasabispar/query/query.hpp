/// @file
/// @brief State machine of one running search over the shards of an index.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"
#include "wasabispar/catalogue/profile.hpp"
#include "wasabispar/query/coverage.hpp"
#include "wasabispar/query/load_budget.hpp"
#include "wasabispar/query/merge.hpp"
#include "wasabispar/query/query_trace.hpp"
#include "wasabispar/upstream/exchange_status.hpp"
#include "wasabispar/upstream/replica_choice.hpp"
#include "wasabispar/upstream/snapshot_directory.hpp"

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace wasabispar {

/// @brief What to search, and the deadlines and coverage that the answer must meet.
struct QueryPlan
{
  VmId mVm;
  RequestId mRequest;
  /// The version to which the query is pinned.
  Snapshot mSnapshot;
  PartialPolicy mPolicy = PartialPolicy::AnswerAtTarget;
  /// When a query with PartialPolicy::AnswerAtTarget ends, if it has the minimum
  /// coverage.
  TimePoint mTarget;
  /// When the query ends in any case.
  TimePoint mDeadline;
  /// Coverage at which a query with PartialPolicy::WaitForCoverage ends. Also the
  /// coverage that a snapshot for a replan should reach.
  Permille mCoverageWanted{ 1000 };
  /// If the coverage at the end is lower, the query is refused.
  Permille mCoverageMinimum{ 0 };
  /// Whether hedges are allowed.
  bool mHedging = true;
  /// If false, there is no hedge, and no retry after a byte may have been sent.
  bool mIdempotent = true;
  /// The query is suspected of crashing upstreams: one sub-request at a time, no hedge,
  /// no retry.
  bool mIsolated = false;
  /// Maximum number of hits to return.
  std::size_t mLimit = 10;
};

/// @brief Functions for the decisions that depend on more than one query. Called on the
/// strand of the query, without a lock held.
struct QueryHooks
{
  /// Chooses the replica for a sub-request; see ChooseReplica().
  std::function<ReplicaChoice(const ReplicaRequest&, TimePoint aNow)> mChooseReplica;
  /// Delay after which a sub-request is hedged; empty disables hedging.
  std::function<std::optional<Duration>(const IndexName&, TimePoint aNow)> mHedgeDelay;
  /// Takes a token for an extra sub-request; see LoadBudget::TryTake().
  std::function<bool(ExtraLoadKind, TimePoint aNow)> mTakeBudget;
  /// Counts first tries; see LoadBudget::OnNeeded().
  std::function<void(std::uint64_t)> mCountNeeded;
  /// Takes a retry without budget; see LoadBudget::TryTakeForced().
  std::function<bool(TimePoint aNow)> mTakeForced;
  /// Counts the first tries after a replan; see LoadBudget::TakeForced().
  std::function<void(std::uint64_t)> mCountForced;
  /// Chooses the snapshot for a replan; see SnapshotDirectory::Choose().
  std::function<std::optional<Snapshot>(const IndexName&, Permille aWantedCoverage,
                                        TimePoint aNow)>
    mChooseSnapshot;
};

/// @brief Hooks that refuse all extra load and find no replica. Callers replace the hooks
/// that they need.
QueryHooks
DefaultQueryHooks();

/// @brief Hooks that use the given table, directory and budget, all of which must outlive
/// the query. Copies of one set of hooks share the random generator and the cached
/// latency estimates. The shared generator makes the choices of different queries
/// independent. The copies are not thread-safe: make one set for each worker and copy it
/// into each query.
/// @p aQuantile is the latency quantile after which a sub-request is hedged; for the
/// default see docs/decisions/hedge-delay-and-budget.md.
QueryHooks
MakeQueryHooks(const UpstreamTable& aTable, const SnapshotDirectory& aDirectory,
               LoadBudget& aBudget, RandomFn aRandom, Permille aQuantile = Permille(970));

/// @brief Action: send a sub-request.
struct SendSubRequest
{
  /// Number of the sub-request, unique in the query, also across replans.
  std::uint64_t mSubRequestId = 0;
  SnapshotVersion mVersion;
  ShardId mShard;
  UpstreamId mUpstream;
  SubRequestKind mKind = SubRequestKind::First;
  TimePoint mDeadline;
};

/// @brief Action: cancel a sub-request at the upstream, because its reply is not needed.
struct CancelSubRequest
{
  std::uint64_t mSubRequestId = 0;
  UpstreamId mUpstream;
};

/// @brief Action: call OnTimer() at the given time. Replaces an earlier timer.
struct ArmTimer
{
  TimePoint mAt;
};

/// @brief The result of a query.
struct Answer
{
  RequestId mRequest;
  SnapshotVersion mVersion;
  Coverage mCoverage;
  /// Whether shards are missing.
  bool mPartial = false;
  /// Empty for a refusal.
  std::vector<Hit> mHits;
  /// Set if the query is refused; mCoverage is then the coverage at the end of the query.
  std::optional<Error> mRefusal;
  QueryTrace mTrace;
};

/// @brief Action: the query has ended with this answer. Always the last action.
struct Finish
{
  Answer mAnswer;
};

/// @brief What the owner of a query must do after an event.
using QueryAction = std::variant<SendSubRequest, CancelSubRequest, ArmTimer, Finish>;

/// @brief The end of a sub-request that was sent directly or forwarded through another
/// VM.
struct SubReply
{
  std::uint64_t mSubRequestId = 0;
  ExchangeStatus mStatus = ExchangeStatus::Ok;
  /// Version and shard that the reply itself states; used only with status Ok.
  SnapshotVersion mVersion;
  ShardId mShard;
  std::vector<Hit> mHits;
};

/// @brief State machine of one running search. Each event function returns the actions
/// that the owner must execute. All calls must be made on one strand.
///
/// Invariants: Finish is returned exactly once. An answer contains hits of one version
/// only, and each shard counts at most once. No SendSubRequest is returned after the
/// deadline or after Finish. An event at or after the deadline ends the query; if the
/// event is a reply, the reply still counts. The query ends early when no sub-request is
/// open and no shard can still answer. An answer covers at least one shard, even with a
/// minimum coverage of 0.
///
/// A retry takes a token of the load budget. A shard whose only try failed is retried
/// once even without a token (`forced-retry`), because the coverage guarantee takes
/// precedence over the extra-load target. A forced retry counts as extra load, and none
/// is sent after a shed reply. The first replan needs no token; a second one does. See
/// docs/decisions/forced-retries.md.
///
/// If all usable replicas of a shard of an idempotent plan have failed, those with a
/// transient failure (connection failed or lost) are tried again in further rounds with
/// growing backoff. A replica that shed the sub-request is not, because such retries
/// lowered the coverage under overload. Under `wait_for_coverage` these retries need no
/// token, unless the last reply was shed. See docs/decisions/retry-rounds.md.
class Query
{
public:
  /// Maximum number of replans at a newer version.
  static constexpr std::uint32_t kMaxReplans = 2;
  /// Maximum number of retries of one shard at one version.
  static constexpr std::uint32_t kMaxRetries = 6;
  /// Like kMaxRetries, for a plan that is not idempotent and tries no replica twice.
  static constexpr std::uint32_t kMaxRetriesNonIdempotent = 2;
  /// Backoff before the second round over the replicas of a shard. It doubles with each
  /// round; jitter changes it to between 50% and 150%.
  static constexpr Duration kInitialRoundBackoff = std::chrono::milliseconds(5);
  /// Delay after which a replica is chosen again for a shard without a usable one.
  static constexpr Duration kRecheckInterval = std::chrono::milliseconds(20);

  Query(QueryPlan aPlan, QueryHooks aHooks);

  /// @brief Sends the first sub-requests. A second call has no effect.
  std::vector<QueryAction> Start(TimePoint aNow);
  /// @brief Handles the end of a sub-request. A reply to a sub-request that is not open
  /// is counted in the trace and otherwise ignored.
  std::vector<QueryAction> OnReply(const SubReply& aReply, TimePoint aNow);
  /// @brief Handles the time requested by the last ArmTimer action.
  std::vector<QueryAction> OnTimer(TimePoint aNow);
  /// @brief Replans the query when possible, because no upstream holds the pinned version
  /// any more.
  std::vector<QueryAction> OnSnapshotGone(TimePoint aNow);

  /// @brief Whether Finish was returned.
  bool IsFinished() const { return mFinished; }
  /// @brief The trace of the query so far; complete after Finish.
  const QueryTrace& Trace() const { return mTrace; }

private:
  struct ShardState
  {
    /// Replicas that must not be chosen: those tried in this round and those in
    /// mUnusable.
    std::vector<UpstreamId> mTried;
    /// Replicas whose failure was not transient; not tried again at this version.
    std::vector<UpstreamId> mUnusable;
    /// Number of sub-requests sent at this version.
    std::uint32_t mTries = 0;
    /// Number of completed rounds over the replicas.
    std::uint32_t mRounds = 0;
    /// When the next round may begin; empty while replicas remain in this round.
    std::optional<TimePoint> mNextRoundAt;
    /// Sub-requests without a reply, as indices of QueryTrace::mSubRequests.
    std::vector<std::size_t> mOpenSubRequests;
    std::uint32_t mRetries = 0;
    bool mHedged = false;
    /// The shard has answered.
    bool mCovered = false;
    /// False after a failure for which no replica may be tried again.
    bool mMayRetry = true;
    /// False if the last failure was a shed reply.
    bool mMayForceRetry = true;
    /// When a hedge is due; empty if none is planned.
    std::optional<TimePoint> mHedgeAt;
    /// Why the shard has not answered.
    std::string mReasonText;
  };
  using Actions = std::vector<QueryAction>;

  void BeginVersion(TimePoint aNow, Actions& aActions);
  void Advance(TimePoint aNow, Actions& aActions);
  void AdvanceIsolated(TimePoint aNow, Actions& aActions);
  void AdvanceShards(TimePoint aNow, Actions& aActions);
  void SendFirst(const ShardId& aShard, ShardState& aState, TimePoint aNow,
                 Actions& aActions);
  void TryRetry(const ShardId& aShard, ShardState& aState, TimePoint aNow,
                Actions& aActions);
  void TryHedge(const ShardId& aShard, ShardState& aState, TimePoint aNow,
                Actions& aActions);
  ReplicaChoice ChooseForRetry(const ShardId& aShard, ShardState& aState,
                               TimePoint aNow) const;
  bool MayForceRetry(const ShardState& aState) const;
  Duration RoundBackoff(const ShardId& aShard, const ShardState& aState) const;
  bool TryReplan(TimePoint aNow, Actions& aActions);
  void Send(const ShardId& aShard, ShardState& aState, SubRequestKind aKind,
            std::string aReasonText, ReplicaChoice aChoice, TimePoint aNow,
            Actions& aActions);
  ReplicaChoice Choose(const ShardId& aShard, const ShardState& aState, bool aHedge,
                       TimePoint aNow) const;
  /// Updates the shard and the trace after a reply. Returns whether the shard is now
  /// covered.
  bool RecordReply(const SubReply& aReply, SubRequestTrace& aSub, TimePoint aNow,
                   Actions& aActions);
  void CancelOpen(ShardState& aState, TimePoint aNow, Actions& aActions);
  bool MayStillAnswer(const ShardState& aState) const;
  bool MayHedge(const ShardState& aState) const;
  bool ShouldFinish(TimePoint aNow) const;
  bool IsEndConditionMet(TimePoint aNow) const;
  bool OnlyWaitsForReplies(TimePoint aNow) const;
  bool IsBelowMinimum() const;
  bool AnyMayHaveRun() const;
  void FinishNow(TimePoint aNow, Actions& aActions);
  void ArmNextTimer(TimePoint aNow, Actions& aActions);

  QueryPlan mPlan;
  QueryHooks mHooks;
  QueryTrace mTrace;
  Coverage mCoverage;
  std::map<ShardId, ShardState> mShards;
  std::map<ShardId, std::vector<Hit>> mHits;
  /// Delay of hedges at the pinned version; empty if hedging is disabled.
  std::optional<Duration> mHedgeDelay;
  /// Sub-requests without a reply: the sum of ShardState::mOpenSubRequests over all
  /// shards.
  std::size_t mOpenCount = 0;
  std::uint32_t mReplans = 0;
  bool mStarted = false;
  bool mFinished = false;
  /// The pinned version is gone. The query is replanned as soon as there is a newer one.
  bool mSnapshotGone = false;
  /// When the next replan is attempted while mSnapshotGone is set.
  TimePoint mReplanAt{};
  /// When replicas are chosen again for shards without an open sub-request.
  std::optional<TimePoint> mRecheckAt;
  /// Time of the last ArmTimer action; empty after this time.
  std::optional<TimePoint> mArmedAt;
};

} // namespace wasabispar
