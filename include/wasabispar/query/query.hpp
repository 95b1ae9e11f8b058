/// @file
/// @brief The state machine of one running search.
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

/// @brief What to search and the promises to keep.
struct QueryPlan
{
  VmId mVm;
  RequestId mRequest;
  /// The version that the query is pinned to.
  Snapshot mSnapshot;
  PartialPolicy mPolicy = PartialPolicy::AnswerAtTarget;
  TimePoint mTarget;
  TimePoint mDeadline;
  Permille mCoverageWanted{ 1000 };
  /// Below it the query ends with a refusal.
  Permille mCoverageMinimum{ 0 };
  bool mHedging = true;
  /// False: no hedge, and no retry after a byte may have left.
  bool mIdempotent = true;
  /// Suspected of crashing upstreams: one sub-request at a time, no hedge, no retry.
  bool mIsolated = false;
  /// Hits to return.
  std::size_t mLimit = 10;
};

/// @brief The decisions that depend on more than one query. Called on the strand of the
/// query, without a lock held.
struct QueryHooks
{
  std::function<ReplicaChoice(const ReplicaRequest&, TimePoint aNow)> mChooseReplica;
  /// Delay after which a sub-request is hedged; empty: no hedge.
  std::function<std::optional<Duration>(const IndexName&, TimePoint aNow)> mHedgeDelay;
  /// Takes a token for an extra sub-request; see LoadBudget::TryTake().
  std::function<bool(ExtraLoadKind, TimePoint aNow)> mTakeBudget;
  /// Counts first tries; see LoadBudget::OnNeeded().
  std::function<void(std::uint64_t)> mCountNeeded;
  /// Takes a retry without budget; see LoadBudget::TryTakeForced().
  std::function<bool(TimePoint aNow)> mTakeForced;
  /// Counts the sub-requests of a replan; see LoadBudget::TakeForced().
  std::function<void(std::uint64_t)> mCountForced;
  /// The snapshot for a replan; see SnapshotDirectory::Choose().
  std::function<std::optional<Snapshot>(const IndexName&, Permille aWantedCoverage,
                                        TimePoint aNow)>
    mChooseSnapshot;
};

/// @brief Hooks that refuse all extra load and find no replica; a base to set from.
QueryHooks
DefaultQueryHooks();

/// @brief Hooks on the parts of this process, all of which outlive the query. Copies
/// share the random generator and the latency estimates, so that queries make independent
/// choices; they are not thread-safe: make one set for each worker and copy it into each
/// query.
/// @p aQuantile is the latency quantile after which a sub-request is hedged; for the
/// default see docs/decisions/hedge-delay-and-budget.md.
QueryHooks
MakeQueryHooks(const UpstreamTable& aTable, const SnapshotDirectory& aDirectory,
               LoadBudget& aBudget, RandomFn aRandom, Permille aQuantile = Permille(970));

/// @brief Send a sub-request.
struct SendSubRequest
{
  /// Unique in the query, also across replans.
  std::uint64_t mSubRequestId = 0;
  SnapshotVersion mVersion;
  ShardId mShard;
  UpstreamId mUpstream;
  SubRequestKind mKind = SubRequestKind::First;
  TimePoint mDeadline;
};

/// @brief The reply is not needed; cancel it at the upstream.
struct CancelSubRequest
{
  std::uint64_t mSubRequestId = 0;
  UpstreamId mUpstream;
};

/// @brief Call OnTimer() at that time; replaces the timer armed before.
struct ArmTimer
{
  TimePoint mAt;
};

/// @brief The end of a query.
struct Answer
{
  RequestId mRequest;
  SnapshotVersion mVersion;
  Coverage mCoverage;
  /// Not all shards answered.
  bool mPartial = false;
  /// Empty for a refusal.
  std::vector<Hit> mHits;
  /// Set for a refusal; the coverage is then what was reached.
  std::optional<Error> mRefusal;
  QueryTrace mTrace;
};

/// @brief The query is over. The last action that it returns.
struct Finish
{
  Answer mAnswer;
};

using QueryAction = std::variant<SendSubRequest, CancelSubRequest, ArmTimer, Finish>;

/// @brief The end of a sub-request, direct or forwarded through another VM.
struct SubReply
{
  std::uint64_t mSubRequestId = 0;
  ExchangeStatus mStatus = ExchangeStatus::Ok;
  /// What the reply itself says; counts only for Ok.
  SnapshotVersion mVersion;
  ShardId mShard;
  std::vector<Hit> mHits;
};

/// @brief One running search. Events in, actions out; belongs to one strand.
///
/// Invariants: exactly one Finish; one version in an answer; each shard counts at most
/// once; no SendSubRequest after the deadline or after Finish. An event at or after the
/// deadline ends the query; a reply that arrives with it still counts. The query ends
/// early when nothing is open and no shard can still answer. An answer has at least one
/// shard, also when the minimum coverage is 0.
///
/// Retries take a token of the budget. Without one, a shard whose only try failed is
/// retried once all the same (`forced-retry`) and counted, because the coverage promise
/// goes before the extra-load target; but not after a shed reply. The first replan needs
/// no token either; a second one does. See docs/decisions/forced-retries.md.
///
/// A shard of an idempotent plan whose usable replicas have all failed by a transient
/// failure (shed, connection failed or lost) is tried on them again after a growing
/// pause. Under `wait_for_coverage` these retries need no token unless the last reply was
/// shed. See docs/decisions/retry-rounds.md.
class Query
{
public:
  /// A query is replanned at a newer version at most this often.
  static constexpr std::uint32_t kMaxReplans = 2;
  /// Retries of one shard at one version.
  static constexpr std::uint32_t kMaxRetries = 6;
  /// The same for a plan that is not idempotent, which tries no replica twice.
  static constexpr std::uint32_t kMaxRetriesNonIdempotent = 2;
  /// Pause before the second round over the replicas of a shard; doubles with each round.
  /// The jitter makes it 50% to 150% of that.
  static constexpr Duration kInitialRoundBackoff = std::chrono::milliseconds(5);
  /// Pause before a shard without a usable replica is looked at again.
  static constexpr Duration kRecheckInterval = std::chrono::milliseconds(20);

  Query(QueryPlan aPlan, QueryHooks aHooks);

  std::vector<QueryAction> Start(TimePoint aNow);
  std::vector<QueryAction> OnReply(const SubReply& aReply, TimePoint aNow);
  std::vector<QueryAction> OnTimer(TimePoint aNow);
  /// @brief No upstream holds the pinned version any more.
  std::vector<QueryAction> OnSnapshotGone(TimePoint aNow);

  bool IsFinished() const { return mFinished; }
  /// @brief The record so far; complete after Finish.
  const QueryTrace& Trace() const { return mTrace; }

private:
  struct ShardState
  {
    /// Replicas that are not chosen: tried in this round, or in mUnusable.
    std::vector<UpstreamId> mTried;
    /// Replicas whose failure was not transient; not tried again at this version.
    std::vector<UpstreamId> mUnusable;
    /// Sub-requests sent at this version.
    std::uint32_t mTries = 0;
    std::uint32_t mRounds = 0;
    /// When the next round may begin; empty: the replicas of this round are not used up.
    std::optional<TimePoint> mNextRoundAt;
    /// Sub-requests without a reply; indices of mTrace.mSubs.
    std::vector<std::size_t> mOpenSubRequests;
    std::uint32_t mRetries = 0;
    bool mHedged = false;
    bool mCovered = false;
    /// False after an end that makes no sense to retry.
    bool mMayRetry = true;
    /// The last failure had a reason other than load.
    bool mMayForceRetry = true;
    /// When a hedge is due; empty: none.
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
  /// Returns whether the reply counted.
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
  /// Delay of hedges at the pinned version; empty: no hedges.
  std::optional<Duration> mHedgeDelay;
  /// Sub-requests without a reply: the sum of ShardState::mOpenSubRequests over all
  /// shards.
  std::size_t mOpenCount = 0;
  std::uint32_t mReplans = 0;
  bool mStarted = false;
  bool mFinished = false;
  /// The pinned version is gone; replan as soon as there is a newer one.
  bool mSnapshotGone = false;
  /// When a replan is tried again while mSnapshotGone is set.
  TimePoint mReplanAt{};
  /// When shards that nothing is open for are looked at again.
  std::optional<TimePoint> mRecheckAt;
  std::optional<TimePoint> mArmedAt;
};

} // namespace wasabispar
