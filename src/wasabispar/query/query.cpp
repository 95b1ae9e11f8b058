/// @file
/// @brief The state machine of one running search.
#include "wasabispar/query/query.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace wasabispar {

namespace {

/// A shorter delay than this would arm timers for latencies that timers cannot resolve.
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(1);

std::string
By(ExchangeStatus aStatus, const UpstreamId& aUpstream)
{
  return std::string(ToText(aStatus)) + " by " + aUpstream.Text();
}

std::string
NoReplica(const std::vector<SkippedReplica>& aSkipped)
{
  std::string text = "no usable replica";
  for (const auto& skipped : aSkipped) {
    text += ", " + skipped.mUpstream.Text() + " " + std::string(ToText(skipped.mReason));
  }
  return text;
}

/// Whether the same replica is tried again in a further round. Not after a shed reply:
/// that lowered the coverage under overload; see docs/decisions/retry-rounds.md.
bool
IsTransient(ExchangeStatus aStatus)
{
  return aStatus == ExchangeStatus::ConnectFailed ||
         aStatus == ExchangeStatus::ConnectionLost;
}

void
Earlier(std::optional<TimePoint>& aNext, TimePoint aAt)
{
  aNext = aNext ? std::min(*aNext, aAt) : aAt;
}

} // namespace

Query::Query(QueryPlan aPlan, QueryHooks aHooks)
  : mPlan(std::move(aPlan))
  , mHooks(std::move(aHooks))
{
  mExplain.mVm = mPlan.mVm;
  mExplain.mRequest = mPlan.mRequest;
  mExplain.mIndex = mPlan.mSnapshot.mIndex;
}

std::vector<QueryAction>
Query::Start(TimePoint aNow)
{
  Actions actions;
  if (std::exchange(mStarted, true)) {
    return actions;
  }
  mExplain.mStart = aNow;
  BeginVersion(aNow, actions);
  return actions;
}

std::vector<QueryAction>
Query::OnReply(const SubReply& aReply, TimePoint aNow)
{
  Actions actions;
  const bool known = aReply.mSub >= 1 && aReply.mSub <= mExplain.mSubs.size();
  const bool waited = known && mExplain.mSubs[aReply.mSub - 1].mFate == SubFate::Open;
  bool needsRetry = false;
  if (!waited || mFinished) {
    ++mExplain.mIgnoredReplies;
  } else {
    needsRetry = !Settle(aReply, mExplain.mSubs[aReply.mSub - 1], aNow, actions);
  }
  // A reply that is ignored may still be the first event after the target or deadline.
  const bool waits = !needsRetry && actions.empty() && IsNothingDue(aNow);
  if (mStarted && !mFinished && !waits) {
    Advance(aNow, actions);
  }
  return actions;
}

/// Whether the query only waits for open sub-requests. Replans, hedges and looks at
/// shards without an open one have a timer. Advance() visits all shards, and calling it
/// for each reply took 31 ms in a query over 1,200 shards.
bool
Query::IsNothingDue(TimePoint aNow) const
{
  const bool timerDue = !mArmed || *mArmed <= aNow;
  return !timerDue && mOpenSubs > 0 && !IsSatisfied(aNow);
}

std::vector<QueryAction>
Query::OnTimer(TimePoint aNow)
{
  Actions actions;
  if (!mStarted || mFinished) {
    return actions;
  }
  if (mArmed && *mArmed <= aNow) {
    mArmed.reset();
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
  mExplain.mVersions.push_back(mPlan.mSnapshot.mVersion);
  mHedgeDelay.reset();
  if (mPlan.mHedging && mPlan.mIdempotent && !mPlan.mIsolated) {
    mHedgeDelay = mHooks.mHedgeDelay(mPlan.mSnapshot.mIndex, aNow);
  }
  if (mHedgeDelay) {
    mHedgeDelay = std::max(*mHedgeDelay, kMinHedgeDelay);
  }
  Advance(aNow, aActions);
}

/// Does all that is due: finish, replan, first tries, retries, hedges, timer.
void
Query::Advance(TimePoint aNow, Actions& aActions)
{
  if (MayFinish(aNow)) {
    FinishNow(aNow, aActions);
    return;
  }
  if (mSnapshotGone && mReplanAt <= aNow) {
    if (TryReplan(aNow, aActions)) {
      return;
    }
    mReplanAt = aNow + kRecheck;
  }
  if (mPlan.mIsolated) {
    AdvanceIsolated(aNow, aActions);
  } else {
    AdvanceShards(aNow, aActions);
  }
  if (mRecheckAt && *mRecheckAt <= aNow) {
    mRecheckAt.reset();
  }
  if (MayFinish(aNow)) {
    FinishNow(aNow, aActions);
    return;
  }
  Arm(aNow, aActions);
}

/// A suspect request runs on one upstream at a time, so that it takes down at most one.
void
Query::AdvanceIsolated(TimePoint aNow, Actions& aActions)
{
  const bool open = std::ranges::any_of(
    mShards, [](const auto& aItem) { return !aItem.second.mOpen.empty(); });
  for (auto& [shard, state] : mShards) {
    if (open) {
      return;
    }
    if (!state.mCovered && state.mTries == 0) {
      SendFirst(shard, state, aNow, aActions);
      if (!state.mOpen.empty()) {
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
    if (!state.mOpen.empty()) {
      TryHedge(shard, state, aNow, aActions);
    } else if (recheck && state.mTries == 0) {
      SendFirst(shard, state, aNow, aActions);
    } else if ((recheck || (state.mRoundAt && *state.mRoundAt <= aNow)) &&
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
    aState.mWhy = NoReplica(choice.mSkipped);
    return;
  }
  // Sub-requests of a replan repeat work that the query already paid for.
  (mReplans == 0 ? mHooks.mCountNeeded : mHooks.mCountForced)(1);
  Send(aShard, aState, SubKind::First, {}, std::move(choice), aNow, aActions);
}

void
Query::TryRetry(const ShardId& aShard, ShardState& aState, TimePoint aNow,
                Actions& aActions)
{
  auto choice = ChooseForRetry(aShard, aState, aNow);
  if (!choice.mUpstream) {
    return;
  }
  auto kind = SubKind::Retry;
  if (!mHooks.mTakeBudget(ExtraLoad::Retry, aNow)) {
    if (!MayForce(aState) || !mHooks.mTakeForced(aNow)) {
      return;
    }
    kind = SubKind::ForcedRetry;
  }
  ++aState.mRetries;
  Send(aShard, aState, kind, aState.mWhy, std::move(choice), aNow, aActions);
}

/// A replica that was not tried in this round. Without one the next round begins after
/// its pause.
ReplicaChoice
Query::ChooseForRetry(const ShardId& aShard, ShardState& aState, TimePoint aNow) const
{
  auto choice = Choose(aShard, aState, false, aNow);
  const bool again = mPlan.mIdempotent && aState.mTried.size() > aState.mUnusable.size();
  if (choice.mUpstream || !again) {
    // A pause that is kept here would end in the past and arm the timer without end.
    aState.mRoundAt.reset();
    return choice;
  }
  if (!aState.mRoundAt) {
    aState.mRoundAt = aNow + RoundPause(aShard, aState);
  }
  if (aNow < *aState.mRoundAt) {
    return choice;
  }
  // Replicas that are suspect now are looked at again at the next recheck.
  aState.mRoundAt.reset();
  ++aState.mRounds;
  aState.mTried = aState.mUnusable;
  return Choose(aShard, aState, false, aNow);
}

/// Whether a retry may be sent without a token.
bool
Query::MayForce(const ShardState& aState) const
{
  const bool wait = mPlan.mPolicy == PartialPolicy::WaitForCoverage && mPlan.mIdempotent;
  return aState.mMayForce && (wait || aState.mTries == 1);
}

/// The jitter depends on request, shard and round, so that the shards and queries that
/// failed together are not retried together, and a trace gives the same pauses each time.
Duration
Query::RoundPause(const ShardId& aShard, const ShardState& aState) const
{
  const auto seed = mPlan.mRequest.mIncarnation.Value() * 31 + mPlan.mRequest.mCounter;
  const auto draw = HashText(aShard.Text(), seed * 31 + aState.mRounds) % 1000;
  const auto base = kRoundPause * (1U << std::min(aState.mRounds, 5U));
  return base / 2 + base * static_cast<Duration::rep>(draw) / 1000;
}

void
Query::TryHedge(const ShardId& aShard, ShardState& aState, TimePoint aNow,
                Actions& aActions)
{
  if (!MayHedge(aState) || *aState.mHedgeAt > aNow) {
    return;
  }
  auto choice = Choose(aShard, aState, true, aNow);
  if (!choice.mUpstream || !mHooks.mTakeBudget(ExtraLoad::Hedge, aNow)) {
    aState.mHedgeAt = aNow + std::max(*mHedgeDelay, kRecheck);
    return;
  }
  aState.mHedged = true;
  const auto& open = mExplain.mSubs[aState.mOpen.front()];
  Send(aShard, aState, SubKind::Hedge, "no reply from " + open.mUpstream.Text(),
       std::move(choice), aNow, aActions);
}

bool
Query::TryReplan(TimePoint aNow, Actions& aActions)
{
  if (mReplans >= kMaxReplans) {
    return false;
  }
  auto snapshot = mHooks.mChooseSnapshot(mPlan.mSnapshot.mIndex, mPlan.mWanted, aNow);
  if (!snapshot || snapshot->mVersion <= mPlan.mSnapshot.mVersion ||
      snapshot->mShards.empty()) {
    return false;
  }
  if (mReplans > 0 && !mHooks.mTakeBudget(ExtraLoad::Retry, aNow)) {
    return false;
  }
  for (auto& [shard, state] : mShards) {
    CancelOpen(state, aNow, aActions);
  }
  for (auto& sub : mExplain.mSubs) {
    sub.mFate = sub.mFate == SubFate::Counted ? SubFate::Discarded : sub.mFate;
  }
  ++mReplans;
  mPlan.mSnapshot = std::move(*snapshot);
  BeginVersion(aNow, aActions);
  return true;
}

void
Query::Send(const ShardId& aShard, ShardState& aState, SubKind aKind, std::string aWhy,
            ReplicaChoice aChoice, TimePoint aNow, Actions& aActions)
{
  ExplainSub sub;
  sub.mSub = mExplain.mSubs.size() + 1;
  sub.mShard = aShard;
  sub.mVersion = mPlan.mSnapshot.mVersion;
  sub.mUpstream = *aChoice.mUpstream;
  sub.mKind = aKind;
  sub.mWhy = std::move(aWhy);
  sub.mStart = aNow;
  sub.mSkipped = std::move(aChoice.mSkipped);
  aActions.emplace_back(
    SendSub{ sub.mSub, sub.mVersion, aShard, sub.mUpstream, aKind, mPlan.mDeadline });
  aState.mTried.push_back(sub.mUpstream);
  aState.mRoundAt.reset();
  ++aState.mTries;
  aState.mOpen.push_back(mExplain.mSubs.size());
  ++mOpenSubs;
  if (mHedgeDelay) {
    aState.mHedgeAt = aNow + *mHedgeDelay;
  }
  mExplain.mSubs.push_back(std::move(sub));
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
Query::Settle(const SubReply& aReply, ExplainSub& aSub, TimePoint aNow, Actions& aActions)
{
  auto& state = mShards.at(aSub.mShard);
  mOpenSubs -= std::erase(state.mOpen, aSub.mSub - 1);
  aSub.mEnd = aNow;
  aSub.mStatus = aReply.mStatus;
  const bool matches = aReply.mVersion == aSub.mVersion && aReply.mShard == aSub.mShard;
  if (aReply.mStatus == ExchangeStatus::Ok && matches) {
    aSub.mFate = SubFate::Counted;
    state.mCovered = mCoverage.Add(aSub.mShard);
    mHits.emplace(aSub.mShard, aReply.mHits);
    CancelOpen(state, aNow, aActions);
    return true;
  }
  const bool mismatch = aReply.mStatus == ExchangeStatus::Ok;
  aSub.mFate = mismatch ? SubFate::Mismatch : SubFate::Failed;
  state.mWhy = mismatch
                 ? "answered version " + std::to_string(aReply.mVersion.Value()) +
                     " shard " + aReply.mShard.Text() + " by " + aSub.mUpstream.Text()
                 : By(aReply.mStatus, aSub.mUpstream);
  if (mismatch || !IsTransient(aReply.mStatus)) {
    state.mUnusable.push_back(aSub.mUpstream);
  }
  state.mMayForce = aReply.mStatus != ExchangeStatus::Shed;
  if (!mismatch && !IsRetryable(aReply.mStatus, mPlan.mIdempotent)) {
    state.mMayRetry = false;
  }
  if (!state.mOpen.empty() || mPlan.mIsolated || aNow >= mPlan.mDeadline) {
    return false;
  }
  if (MayStillAnswer(state)) {
    TryRetry(aSub.mShard, state, aNow, aActions);
  }
  if (state.mOpen.empty() && aReply.mStatus == ExchangeStatus::VersionGone) {
    mSnapshotGone = true;
    mReplanAt = aNow;
  }
  return false;
}

void
Query::CancelOpen(ShardState& aState, TimePoint aNow, Actions& aActions)
{
  for (const auto index : aState.mOpen) {
    auto& sub = mExplain.mSubs[index];
    sub.mEnd = aNow;
    sub.mFate = SubFate::Cancelled;
    aActions.emplace_back(CancelSub{ sub.mSub, sub.mUpstream });
  }
  mOpenSubs -= aState.mOpen.size();
  aState.mOpen.clear();
}

/// Whether the shard can still answer without a replan.
bool
Query::MayStillAnswer(const ShardState& aState) const
{
  if (!aState.mOpen.empty() || aState.mTries == 0) {
    return true;
  }
  const auto limit = mPlan.mIdempotent ? kMaxRetries : kMaxRetriesOnce;
  return aState.mMayRetry && aState.mRetries < limit && !mPlan.mIsolated;
}

bool
Query::MayHedge(const ShardState& aState) const
{
  return !aState.mCovered && !aState.mHedged && aState.mOpen.size() == 1 &&
         aState.mHedgeAt.has_value();
}

bool
Query::MayFinish(TimePoint aNow) const
{
  if (IsSatisfied(aNow)) {
    return true;
  }
  const bool hopeless = (!mSnapshotGone || mReplans >= kMaxReplans) &&
                        std::ranges::none_of(mShards, [&](const auto& aItem) {
                          return !aItem.second.mCovered && MayStillAnswer(aItem.second);
                        });
  return hopeless;
}

/// Whether the query ends by time or coverage, whatever the open sub-requests bring.
bool
Query::IsSatisfied(TimePoint aNow) const
{
  if (aNow >= mPlan.mDeadline || mCoverage.IsComplete()) {
    return true;
  }
  if (mPlan.mPolicy == PartialPolicy::WaitForCoverage) {
    return !IsRefusal() && mCoverage.Share() >= mPlan.mWanted;
  }
  return !IsRefusal() && aNow >= mPlan.mTarget;
}

bool
Query::IsRefusal() const
{
  return mCoverage.Answered() == 0 || mCoverage.Share() < mPlan.mMinimum;
}

bool
Query::AnyMayHaveRun() const
{
  return std::ranges::any_of(mExplain.mSubs, [](const ExplainSub& aSub) {
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
    std::string why = state.mWhy.empty() ? "not sent" : state.mWhy;
    if (!state.mOpen.empty()) {
      why = "no reply from " + mExplain.mSubs[state.mOpen.back()].mUpstream.Text();
    }
    mExplain.mMissing.push_back({ shard, std::move(why) });
  }
  const auto outcome = AnyMayHaveRun() ? Outcome::OutcomeUnknown : Outcome::NotRun;
  for (auto& [shard, state] : mShards) {
    CancelOpen(state, aNow, aActions);
  }
  const auto share = std::to_string(mCoverage.Share().Value());
  if (IsRefusal()) {
    const bool empty = mPlan.mSnapshot.mShards.empty();
    const auto step = empty                     ? Step::ChooseSnapshot
                      : aNow >= mPlan.mDeadline ? Step::Deadline
                                                : Step::UpstreamReply;
    auto cause = empty ? std::string("the snapshot has no shards")
                       : "coverage " + (mCoverage.Answered() == 0 ? "0" : share) +
                           " permille, minimum " + std::to_string(mPlan.mMinimum.Value());
    mExplain.mVerdict =
      std::string("refused ") + std::string(ToText(outcome)) + ": " + cause;
    answer.mRefusal = Error{ step, {}, outcome, std::move(cause) };
  } else {
    answer.mHits = MergeHits(mHits, mPlan.mLimit);
    answer.mPartial = !mCoverage.IsComplete();
    mExplain.mVerdict =
      std::string(answer.mPartial ? "partial" : "complete") + ", coverage " + share;
  }
  mExplain.mEnd = aNow;
  answer.mRequest = mPlan.mRequest;
  answer.mVersion = mPlan.mSnapshot.mVersion;
  answer.mCoverage = mCoverage;
  answer.mExplain = mExplain;
  aActions.emplace_back(Finish{ std::move(answer) });
}

void
Query::Arm(TimePoint aNow, Actions& aActions)
{
  std::optional<TimePoint> next = mPlan.mDeadline;
  if (mPlan.mPolicy == PartialPolicy::AnswerAtTarget && aNow < mPlan.mTarget) {
    Earlier(next, mPlan.mTarget);
  }
  if (mSnapshotGone && mReplans < kMaxReplans) {
    Earlier(next, mReplanAt);
  }
  bool idle = false;
  bool open = false;
  for (const auto& [shard, state] : mShards) {
    idle = idle || (!state.mCovered && state.mOpen.empty() && MayStillAnswer(state));
    open = open || !state.mOpen.empty();
    if (MayHedge(state)) {
      Earlier(next, *state.mHedgeAt);
    }
    const bool waits = !state.mCovered && state.mOpen.empty() && state.mRoundAt;
    if (waits && MayStillAnswer(state)) {
      Earlier(next, *state.mRoundAt);
    }
  }
  if (idle && !mRecheckAt && !(open && mPlan.mIsolated)) {
    mRecheckAt = aNow + kRecheck;
  }
  if (mRecheckAt) {
    Earlier(next, *mRecheckAt);
  }
  if (next != mArmed) {
    mArmed = next;
    aActions.emplace_back(ArmTimer{ *next });
  }
}

} // namespace wasabispar
