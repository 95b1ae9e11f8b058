/// @file
/// @brief State machine of one running search.
#include "wasabispar/query/query.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace wasabispar {

namespace {

/// Lower bound of the hedge delay, because timers cannot resolve shorter delays.
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(1);

std::string
DescribeFailure(ExchangeStatus aStatus, const UpstreamId& aUpstream)
{
  return std::string(ToText(aStatus)) + " by " + aUpstream.Text();
}

std::string
DescribeSkipped(const std::vector<SkippedReplica>& aSkipped)
{
  std::string text = "no usable replica";
  for (const auto& skipped : aSkipped) {
    text += ", " + skipped.mUpstream.Text() + " " + std::string(ToText(skipped.mReason));
  }
  return text;
}

/// Whether the same replica may be tried again in a further round. A shed reply is not
/// transient, because retries after shed replies lowered the coverage under overload; see
/// docs/decisions/retry-rounds.md.
bool
IsTransient(ExchangeStatus aStatus)
{
  return aStatus == ExchangeStatus::ConnectFailed ||
         aStatus == ExchangeStatus::ConnectionLost;
}

void
UpdateEarliest(std::optional<TimePoint>& aNext, TimePoint aAt)
{
  aNext = aNext ? std::min(*aNext, aAt) : aAt;
}

} // namespace

Query::Query(QueryPlan aPlan, QueryHooks aHooks)
  : mPlan(std::move(aPlan))
  , mHooks(std::move(aHooks))
{
  mTrace.mVm = mPlan.mVm;
  mTrace.mRequest = mPlan.mRequest;
  mTrace.mIndex = mPlan.mSnapshot.mIndex;
}

std::vector<QueryAction>
Query::Start(TimePoint aNow)
{
  Actions actions;
  if (std::exchange(mStarted, true)) {
    return actions;
  }
  mTrace.mStart = aNow;
  BeginVersion(aNow, actions);
  return actions;
}

std::vector<QueryAction>
Query::OnReply(const SubReply& aReply, TimePoint aNow)
{
  Actions actions;
  const bool isKnown =
    aReply.mSubRequestId >= 1 && aReply.mSubRequestId <= mTrace.mSubRequests.size();
  const bool isOpen =
    isKnown &&
    mTrace.mSubRequests[aReply.mSubRequestId - 1].mReplyState == ReplyState::Open;
  bool needsRetry = false;
  if (!isOpen || mFinished) {
    ++mTrace.mIgnoredReplies;
  } else {
    needsRetry =
      !RecordReply(aReply, mTrace.mSubRequests[aReply.mSubRequestId - 1], aNow, actions);
  }
  // Even an ignored reply may be the first event after the target or the deadline.
  const bool nothingDue = !needsRetry && actions.empty() && OnlyWaitsForReplies(aNow);
  if (mStarted && !mFinished && !nothingDue) {
    Advance(aNow, actions);
  }
  return actions;
}

/// Whether nothing is due and the query only waits for open sub-requests. Replans, hedges
/// and rechecks of shards without an open sub-request have a timer. The check avoids
/// Advance(), which visits all shards: its calls for each reply took 31 ms in a query
/// over 1,200 shards.
bool
Query::OnlyWaitsForReplies(TimePoint aNow) const
{
  const bool timerDue = !mArmedAt || *mArmedAt <= aNow;
  return !timerDue && mOpenCount > 0 && !IsEndConditionMet(aNow);
}

std::vector<QueryAction>
Query::OnTimer(TimePoint aNow)
{
  Actions actions;
  if (!mStarted || mFinished) {
    return actions;
  }
  if (mArmedAt && *mArmedAt <= aNow) {
    mArmedAt.reset();
  }
  Advance(aNow, actions);
  return actions;
}

std::vector<QueryAction>
Query::OnSnapshotGone(TimePoint aNow)
{
  Actions actions;
  if (!mStarted || mFinished) {
    return actions;
  }
  mSnapshotGone = true;
  mReplanAt = aNow;
  Advance(aNow, actions);
  return actions;
}

void
Query::BeginVersion(TimePoint aNow, Actions& aActions)
{
  mSnapshotGone = false;
  mRecheckAt = aNow;
  mCoverage = Coverage(mPlan.mSnapshot.mShards);
  mHits.clear();
  mShards.clear();
  for (const auto& shard : mPlan.mSnapshot.mShards) {
    mShards.try_emplace(shard);
  }
  mTrace.mVersions.push_back(mPlan.mSnapshot.mVersion);
  mHedgeDelay.reset();
  if (mPlan.mHedging && mPlan.mIdempotent && !mPlan.mIsolated) {
    mHedgeDelay = mHooks.mHedgeDelay(mPlan.mSnapshot.mIndex, aNow);
  }
  if (mHedgeDelay) {
    mHedgeDelay = std::max(*mHedgeDelay, kMinHedgeDelay);
  }
  Advance(aNow, aActions);
}

/// Performs everything that is due: end of the query, replan, first tries, retries,
/// hedges, and then arms the timer.
void
Query::Advance(TimePoint aNow, Actions& aActions)
{
  if (ShouldFinish(aNow)) {
    FinishNow(aNow, aActions);
    return;
  }
  if (mSnapshotGone && mReplanAt <= aNow) {
    if (TryReplan(aNow, aActions)) {
      return;
    }
    mReplanAt = aNow + kRecheckInterval;
  }
  if (mPlan.mIsolated) {
    AdvanceIsolated(aNow, aActions);
  } else {
    AdvanceShards(aNow, aActions);
  }
  if (mRecheckAt && *mRecheckAt <= aNow) {
    mRecheckAt.reset();
  }
  if (ShouldFinish(aNow)) {
    FinishNow(aNow, aActions);
    return;
  }
  ArmNextTimer(aNow, aActions);
}

/// Sends the sub-requests of a suspect query one after the other, so that it runs on one
/// upstream at a time and crashes at most one.
void
Query::AdvanceIsolated(TimePoint aNow, Actions& aActions)
{
  const bool open = std::ranges::any_of(
    mShards, [](const auto& aItem) { return !aItem.second.mOpenSubRequests.empty(); });
  for (auto& [shard, state] : mShards) {
    if (open) {
      return;
    }
    if (!state.mCovered && state.mTries == 0) {
      SendFirst(shard, state, aNow, aActions);
      if (!state.mOpenSubRequests.empty()) {
        return;
      }
    }
  }
}

void
Query::AdvanceShards(TimePoint aNow, Actions& aActions)
{
  const bool recheck = mRecheckAt && *mRecheckAt <= aNow;
  for (auto& [shard, state] : mShards) {
    if (state.mCovered) {
      continue;
    }
    if (!state.mOpenSubRequests.empty()) {
      TryHedge(shard, state, aNow, aActions);
    } else if (recheck && state.mTries == 0) {
      SendFirst(shard, state, aNow, aActions);
    } else if ((recheck || (state.mNextRoundAt && *state.mNextRoundAt <= aNow)) &&
               MayStillAnswer(state)) {
      TryRetry(shard, state, aNow, aActions);
    }
  }
}

void
Query::SendFirst(const ShardId& aShard, ShardState& aState, TimePoint aNow,
                 Actions& aActions)
{
  auto choice = Choose(aShard, aState, false, aNow);
  if (!choice.mUpstream) {
    aState.mReasonText = DescribeSkipped(choice.mSkipped);
    return;
  }
  // First tries after a replan repeat work that was already counted as needed, so they
  // count as extra load.
  (mReplans == 0 ? mHooks.mCountNeeded : mHooks.mCountForced)(1);
  Send(aShard, aState, SubRequestKind::First, {}, std::move(choice), aNow, aActions);
}

void
Query::TryRetry(const ShardId& aShard, ShardState& aState, TimePoint aNow,
                Actions& aActions)
{
  auto choice = ChooseForRetry(aShard, aState, aNow);
  if (!choice.mUpstream) {
    return;
  }
  auto kind = SubRequestKind::Retry;
  if (!mHooks.mTakeBudget(ExtraLoadKind::Retry, aNow)) {
    if (!MayForceRetry(aState) || !mHooks.mTakeForced(aNow)) {
      return;
    }
    kind = SubRequestKind::ForcedRetry;
  }
  ++aState.mRetries;
  Send(aShard, aState, kind, aState.mReasonText, std::move(choice), aNow, aActions);
}

/// Chooses a replica that was not tried in this round. If there is none, begins the next
/// round after its backoff.
ReplicaChoice
Query::ChooseForRetry(const ShardId& aShard, ShardState& aState, TimePoint aNow) const
{
  auto choice = Choose(aShard, aState, false, aNow);
  const bool canRepeat =
    mPlan.mIdempotent && aState.mTried.size() > aState.mUnusable.size();
  if (choice.mUpstream || !canRepeat) {
    // Without the reset, the end of an old backoff would remain in the past, and the
    // timer would be armed for it without end.
    aState.mNextRoundAt.reset();
    return choice;
  }
  if (!aState.mNextRoundAt) {
    aState.mNextRoundAt = aNow + RoundBackoff(aShard, aState);
  }
  if (aNow < *aState.mNextRoundAt) {
    return choice;
  }
  // If all replicas are suspect now, the next recheck tries to choose one again.
  aState.mNextRoundAt.reset();
  ++aState.mRounds;
  aState.mTried = aState.mUnusable;
  return Choose(aShard, aState, false, aNow);
}

/// Whether the query may send a retry of the shard without a token.
bool
Query::MayForceRetry(const ShardState& aState) const
{
  const bool waitsForCoverage =
    mPlan.mPolicy == PartialPolicy::WaitForCoverage && mPlan.mIdempotent;
  return aState.mMayForceRetry && (waitsForCoverage || aState.mTries == 1);
}

/// Backoff before the next round. The jitter is derived from the request, the shard and
/// the round. Shards and queries that failed together are thus not retried together, and
/// a replayed trace has the same backoffs.
Duration
Query::RoundBackoff(const ShardId& aShard, const ShardState& aState) const
{
  const auto seed = mPlan.mRequest.mIncarnation.Value() * 31 + mPlan.mRequest.mCounter;
  const auto jitterPermille = HashText(aShard.Text(), seed * 31 + aState.mRounds) % 1000;
  const auto base = kInitialRoundBackoff * (1U << std::min(aState.mRounds, 5U));
  return base / 2 + base * static_cast<Duration::rep>(jitterPermille) / 1000;
}

void
Query::TryHedge(const ShardId& aShard, ShardState& aState, TimePoint aNow,
                Actions& aActions)
{
  if (!MayHedge(aState) || *aState.mHedgeAt > aNow) {
    return;
  }
  auto choice = Choose(aShard, aState, true, aNow);
  if (!choice.mUpstream || !mHooks.mTakeBudget(ExtraLoadKind::Hedge, aNow)) {
    aState.mHedgeAt = aNow + std::max(*mHedgeDelay, kRecheckInterval);
    return;
  }
  aState.mHedged = true;
  const auto& open = mTrace.mSubRequests[aState.mOpenSubRequests.front()];
  Send(aShard, aState, SubRequestKind::Hedge, "no reply from " + open.mUpstream.Text(),
       std::move(choice), aNow, aActions);
}

bool
Query::TryReplan(TimePoint aNow, Actions& aActions)
{
  if (mReplans >= kMaxReplans) {
    return false;
  }
  auto snapshot =
    mHooks.mChooseSnapshot(mPlan.mSnapshot.mIndex, mPlan.mCoverageWanted, aNow);
  if (!snapshot || snapshot->mVersion <= mPlan.mSnapshot.mVersion ||
      snapshot->mShards.empty()) {
    return false;
  }
  if (mReplans > 0 && !mHooks.mTakeBudget(ExtraLoadKind::Retry, aNow)) {
    return false;
  }
  for (auto& [shard, state] : mShards) {
    CancelOpen(state, aNow, aActions);
  }
  for (auto& sub : mTrace.mSubRequests) {
    sub.mReplyState =
      sub.mReplyState == ReplyState::Counted ? ReplyState::Discarded : sub.mReplyState;
  }
  ++mReplans;
  mPlan.mSnapshot = std::move(*snapshot);
  BeginVersion(aNow, aActions);
  return true;
}

void
Query::Send(const ShardId& aShard, ShardState& aState, SubRequestKind aKind,
            std::string aReasonText, ReplicaChoice aChoice, TimePoint aNow,
            Actions& aActions)
{
  SubRequestTrace sub;
  sub.mSubRequestId = mTrace.mSubRequests.size() + 1;
  sub.mShard = aShard;
  sub.mVersion = mPlan.mSnapshot.mVersion;
  sub.mUpstream = *aChoice.mUpstream;
  sub.mKind = aKind;
  sub.mReasonText = std::move(aReasonText);
  sub.mStart = aNow;
  sub.mSkipped = std::move(aChoice.mSkipped);
  aActions.emplace_back(SendSubRequest{ sub.mSubRequestId, sub.mVersion, aShard,
                                        sub.mUpstream, aKind, mPlan.mDeadline });
  aState.mTried.push_back(sub.mUpstream);
  aState.mNextRoundAt.reset();
  ++aState.mTries;
  aState.mOpenSubRequests.push_back(mTrace.mSubRequests.size());
  ++mOpenCount;
  if (mHedgeDelay) {
    aState.mHedgeAt = aNow + *mHedgeDelay;
  }
  mTrace.mSubRequests.push_back(std::move(sub));
}

ReplicaChoice
Query::Choose(const ShardId& aShard, const ShardState& aState, bool aHedge,
              TimePoint aNow) const
{
  ReplicaRequest request;
  request.mIndex = mPlan.mSnapshot.mIndex;
  request.mVersion = mPlan.mSnapshot.mVersion;
  request.mShard = aShard;
  request.mTried = aState.mTried;
  request.mHedge = aHedge;
  request.mIsolated = mPlan.mIsolated;
  return mHooks.mChooseReplica(request, aNow);
}

bool
Query::RecordReply(const SubReply& aReply, SubRequestTrace& aSub, TimePoint aNow,
                   Actions& aActions)
{
  auto& state = mShards.at(aSub.mShard);
  mOpenCount -= std::erase(state.mOpenSubRequests, aSub.mSubRequestId - 1);
  aSub.mEnd = aNow;
  aSub.mStatus = aReply.mStatus;
  const bool matches = aReply.mVersion == aSub.mVersion && aReply.mShard == aSub.mShard;
  if (aReply.mStatus == ExchangeStatus::Ok && matches) {
    aSub.mReplyState = ReplyState::Counted;
    state.mCovered = mCoverage.Add(aSub.mShard);
    mHits.emplace(aSub.mShard, aReply.mHits);
    CancelOpen(state, aNow, aActions);
    return true;
  }
  const bool mismatch = aReply.mStatus == ExchangeStatus::Ok;
  aSub.mReplyState = mismatch ? ReplyState::Mismatch : ReplyState::Failed;
  state.mReasonText = mismatch ? "answered version " +
                                   std::to_string(aReply.mVersion.Value()) + " shard " +
                                   aReply.mShard.Text() + " by " + aSub.mUpstream.Text()
                               : DescribeFailure(aReply.mStatus, aSub.mUpstream);
  if (mismatch || !IsTransient(aReply.mStatus)) {
    state.mUnusable.push_back(aSub.mUpstream);
  }
  state.mMayForceRetry = aReply.mStatus != ExchangeStatus::Shed;
  if (!mismatch && !IsRetryable(aReply.mStatus, mPlan.mIdempotent)) {
    state.mMayRetry = false;
  }
  if (!state.mOpenSubRequests.empty() || mPlan.mIsolated || aNow >= mPlan.mDeadline) {
    return false;
  }
  if (MayStillAnswer(state)) {
    TryRetry(aSub.mShard, state, aNow, aActions);
  }
  if (state.mOpenSubRequests.empty() && aReply.mStatus == ExchangeStatus::VersionGone) {
    mSnapshotGone = true;
    mReplanAt = aNow;
  }
  return false;
}

void
Query::CancelOpen(ShardState& aState, TimePoint aNow, Actions& aActions)
{
  for (const auto index : aState.mOpenSubRequests) {
    auto& sub = mTrace.mSubRequests[index];
    sub.mEnd = aNow;
    sub.mReplyState = ReplyState::Cancelled;
    aActions.emplace_back(CancelSubRequest{ sub.mSubRequestId, sub.mUpstream });
  }
  mOpenCount -= aState.mOpenSubRequests.size();
  aState.mOpenSubRequests.clear();
}

/// Whether the shard can still answer without a replan.
bool
Query::MayStillAnswer(const ShardState& aState) const
{
  if (!aState.mOpenSubRequests.empty() || aState.mTries == 0) {
    return true;
  }
  const auto limit = mPlan.mIdempotent ? kMaxRetries : kMaxRetriesNonIdempotent;
  return aState.mMayRetry && aState.mRetries < limit && !mPlan.mIsolated;
}

bool
Query::MayHedge(const ShardState& aState) const
{
  return !aState.mCovered && !aState.mHedged && aState.mOpenSubRequests.size() == 1 &&
         aState.mHedgeAt.has_value();
}

bool
Query::ShouldFinish(TimePoint aNow) const
{
  if (IsEndConditionMet(aNow)) {
    return true;
  }
  const bool noShardCanAnswer =
    (!mSnapshotGone || mReplans >= kMaxReplans) &&
    std::ranges::none_of(mShards, [&](const auto& aItem) {
      return !aItem.second.mCovered && MayStillAnswer(aItem.second);
    });
  return noShardCanAnswer;
}

/// Whether the query must end because of the time or the coverage, whatever the open
/// sub-requests will return.
bool
Query::IsEndConditionMet(TimePoint aNow) const
{
  if (aNow >= mPlan.mDeadline || mCoverage.IsComplete()) {
    return true;
  }
  if (mPlan.mPolicy == PartialPolicy::WaitForCoverage) {
    return !IsBelowMinimum() && mCoverage.Ratio() >= mPlan.mCoverageWanted;
  }
  return !IsBelowMinimum() && aNow >= mPlan.mTarget;
}

bool
Query::IsBelowMinimum() const
{
  return mCoverage.Answered() == 0 || mCoverage.Ratio() < mPlan.mCoverageMinimum;
}

bool
Query::AnyMayHaveRun() const
{
  return std::ranges::any_of(mTrace.mSubRequests, [](const SubRequestTrace& aSub) {
    return !aSub.mStatus || MayHaveRun(*aSub.mStatus);
  });
}

void
Query::FinishNow(TimePoint aNow, Actions& aActions)
{
  mFinished = true;
  Answer answer;
  for (const auto& shard : mCoverage.Missing()) {
    const auto& state = mShards.at(shard);
    std::string reasonText = state.mReasonText.empty() ? "not sent" : state.mReasonText;
    if (!state.mOpenSubRequests.empty()) {
      reasonText = "no reply from " +
                   mTrace.mSubRequests[state.mOpenSubRequests.back()].mUpstream.Text();
    }
    mTrace.mMissing.push_back({ shard, std::move(reasonText) });
  }
  const auto outcome = AnyMayHaveRun() ? Outcome::OutcomeUnknown : Outcome::NotRun;
  for (auto& [shard, state] : mShards) {
    CancelOpen(state, aNow, aActions);
  }
  const auto ratio = std::to_string(mCoverage.Ratio().Value());
  if (IsBelowMinimum()) {
    const bool empty = mPlan.mSnapshot.mShards.empty();
    const auto step = empty                     ? Step::ChooseSnapshot
                      : aNow >= mPlan.mDeadline ? Step::Deadline
                                                : Step::UpstreamReply;
    auto cause = empty ? std::string("the snapshot has no shards")
                       : "coverage " + (mCoverage.Answered() == 0 ? "0" : ratio) +
                           " permille, minimum " +
                           std::to_string(mPlan.mCoverageMinimum.Value());
    mTrace.mSummary =
      std::string("refused ") + std::string(ToText(outcome)) + ": " + cause;
    answer.mRefusal = Error{ step, {}, outcome, std::move(cause) };
  } else {
    answer.mHits = MergeHits(mHits, mPlan.mLimit);
    answer.mPartial = !mCoverage.IsComplete();
    mTrace.mSummary =
      std::string(answer.mPartial ? "partial" : "complete") + ", coverage " + ratio;
  }
  mTrace.mEnd = aNow;
  answer.mRequest = mPlan.mRequest;
  answer.mVersion = mPlan.mSnapshot.mVersion;
  answer.mCoverage = mCoverage;
  answer.mTrace = mTrace;
  aActions.emplace_back(Finish{ std::move(answer) });
}

void
Query::ArmNextTimer(TimePoint aNow, Actions& aActions)
{
  std::optional<TimePoint> next = mPlan.mDeadline;
  if (mPlan.mPolicy == PartialPolicy::AnswerAtTarget && aNow < mPlan.mTarget) {
    UpdateEarliest(next, mPlan.mTarget);
  }
  if (mSnapshotGone && mReplans < kMaxReplans) {
    UpdateEarliest(next, mReplanAt);
  }
  bool anyIdle = false;
  bool anyOpen = false;
  for (const auto& [shard, state] : mShards) {
    anyIdle = anyIdle || (!state.mCovered && state.mOpenSubRequests.empty() &&
                          MayStillAnswer(state));
    anyOpen = anyOpen || !state.mOpenSubRequests.empty();
    if (MayHedge(state)) {
      UpdateEarliest(next, *state.mHedgeAt);
    }
    const bool awaitsNextRound =
      !state.mCovered && state.mOpenSubRequests.empty() && state.mNextRoundAt;
    if (awaitsNextRound && MayStillAnswer(state)) {
      UpdateEarliest(next, *state.mNextRoundAt);
    }
  }
  if (anyIdle && !mRecheckAt && !(anyOpen && mPlan.mIsolated)) {
    mRecheckAt = aNow + kRecheckInterval;
  }
  if (mRecheckAt) {
    UpdateEarliest(next, *mRecheckAt);
  }
  if (next != mArmedAt) {
    mArmedAt = next;
    aActions.emplace_back(ArmTimer{ *next });
  }
}

} // namespace wasabispar
