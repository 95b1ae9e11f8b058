/// @file
/// @brief Places, queues, holds, sends and hedges the parts of a request.
#include "wasabispar/gateway/active_request.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace {

/// Delay before a hedge is tried again when all upstreams are busy.
constexpr Duration kHedgeRecheckDelay = std::chrono::milliseconds(5);

} // namespace

void
ActiveRequest::Launch(std::size_t aPart, TraceStep aStep)
{
  const auto now = BootClock::now();
  auto& part = mParts[aPart];
  if (!IsCrashLimitKept(aPart, now)) {
    HoldOrAbandon(aPart, aStep, now);
    return;
  }
  const auto placement = part.mServicePool->Choose(part.mScope, now);
  switch (placement.mKind) {
    case PlacementResult::Kind::Found:
      // Requests that are ahead in the queue are sent first.
      if (part.mServicePool->Queue().CountAhead(mRoute.mPriority, mFanOutState.AnswerBy(),
                                                now, mRank) == 0) {
        Send(aPart, placement.mReplica, aStep);
        return;
      }
      [[fallthrough]];
    case PlacementResult::Kind::Busy:
      Enqueue(aPart, aStep);
      return;
    case PlacementResult::Kind::None:
      break;
  }
  if (part.mOpenExchanges.empty()) {
    AbandonPart(aPart, now);
  }
}

void
ActiveRequest::HoldOrAbandon(std::size_t aPart, TraceStep aStep, TimePoint aNow)
{
  auto& part = mParts[aPart];
  if (!HasOpenExchanges() || mGateway.mCrashLimiter.BlockedUntil(part.mIdentity, aNow)) {
    AbandonPart(aPart, aNow);
    return;
  }
  part.mHeldStep = aStep;
}

void
ActiveRequest::LaunchHeldParts()
{
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    const auto step = std::exchange(mParts[i].mHeldStep, std::nullopt);
    if (step && !mIsFinished && mFanOutState.IsOpen(i)) {
      Launch(i, *step);
    }
  }
}

void
ActiveRequest::AbandonPart(std::size_t aPart, TimePoint aNow)
{
  mTrace.Add(TraceStep::PartGivenUp, aPart, {}, mParts[aPart].mScope.mTried.size(), aNow);
  mFanOutState.OnLost(aPart);
}

void
ActiveRequest::Enqueue(std::size_t aPart, TraceStep aStep)
{
  auto& part = mParts[aPart];
  auto& queue = part.mServicePool->Queue();
  const auto now = BootClock::now();
  const auto ahead =
    queue.CountAhead(mRoute.mPriority, mFanOutState.AnswerBy(), now, mRank);
  mTrace.Add(TraceStep::Queued, aPart, {}, ahead, now);
  // A large request may wait for bytes in flight while others can start.
  const bool fitsAll =
    part.mScope.mRegions.AreAll() && part.mScope.mBodyBytes <= kLargeRequestBytes;
  const auto reach =
    fitsAll ? WaitQueue::Reach::AllUpstreams : WaitQueue::Reach::SomeUpstreams;
  part.mQueueEntry = queue.Push(
    mRoute.mPriority, mFanOutState.AnswerBy(), reach,
    [weak = weak_from_this(), aPart, aStep] {
      const auto self = weak.lock();
      return !self || self->TryLaunch(aPart, aStep);
    },
    mRank);
  part.mServicePool->DispatchQueue();
}

bool
ActiveRequest::TryLaunch(std::size_t aPart, TraceStep aStep)
{
  auto& part = mParts[aPart];
  if (mIsFinished || !mFanOutState.IsOpen(aPart)) {
    part.mQueueEntry.reset();
    return true;
  }
  const auto now = BootClock::now();
  if (!IsCrashLimitKept(aPart, now)) {
    part.mQueueEntry.reset();
    HoldOrAbandon(aPart, aStep, now);
    ApplyDecision();
    return true;
  }
  const auto placement = part.mServicePool->Choose(part.mScope, now);
  if (placement.mKind == PlacementResult::Kind::Busy) {
    return AbandonIfCold(aPart, now);
  }
  part.mQueueEntry.reset();
  if (placement.mKind == PlacementResult::Kind::Found) {
    Send(aPart, placement.mReplica, aStep);
    return true;
  }
  if (part.mOpenExchanges.empty()) {
    AbandonPart(aPart, now);
    ApplyDecision();
  }
  return true;
}

bool
ActiveRequest::AbandonIfCold(std::size_t aPart, TimePoint aNow)
{
  auto& part = mParts[aPart];
  const auto wait = part.mServicePool->ColdWait(part.mScope, aNow);
  if (!wait || !part.mOpenExchanges.empty()) {
    return false;
  }
  const auto expected = part.mServicePool->BestExpectedLatency(part.mScope, aNow);
  if (!expected || aNow + *wait < LatestSend(part, *expected)) {
    return false;
  }
  part.mQueueEntry.reset();
  AbandonPart(aPart, aNow);
  ApplyDecision();
  return true;
}

void
ActiveRequest::LeaveQueue(Part& aPart)
{
  if (const auto entry = std::exchange(aPart.mQueueEntry, std::nullopt)) {
    aPart.mServicePool->Queue().Cancel(*entry);
  }
}

bool
ActiveRequest::IsCrashLimitKept(std::size_t aPart, TimePoint aNow)
{
  const auto& identity = mParts[aPart].mIdentity;
  auto& limiter = mGateway.mCrashLimiter;
  if (limiter.MaySend(identity, aNow)) {
    return true;
  }
  mTrace.Add(limiter.BlockedUntil(identity, aNow) ? TraceStep::Blocked : TraceStep::Held,
             aPart, {}, identity.mRequest.Value(), aNow);
  return false;
}

void
ActiveRequest::Send(std::size_t aPart, const ReplicaPtr& aReplica, TraceStep aStep)
{
  const auto now = BootClock::now();
  auto& part = mParts[aPart];
  auto& metrics = mGateway.mMetrics;
  const auto exchange = mGateway.mNextExchange++;
  const auto expected = aReplica->mLoad.ExpectedLatency(now);
  mTrace.Add(aStep, aPart, aReplica->mRecord.mId, ToMicroseconds(expected), now);
  (aStep == TraceStep::Sent     ? metrics.mSentFirst
   : aStep == TraceStep::Hedged ? metrics.mSentHedge
                                : metrics.mSentRetry)
    .Increment();
  part.mScope.mTried.push_back(aReplica->mRecord.mId);
  part.mOpenExchanges.push_back({ exchange, aReplica, now, false });
  ++part.mPossibleRunCount;
  PlanHedge(part, expected, now);
  aReplica->mLoad.OnSent(exchange, now);
  part.mServicePool->OnChosen(*aReplica, exchange, now);
  aReplica->mReportedLoad.OnSent();
  aReplica->mLargeRequests.OnSent(exchange, part.mScope.mBodyBytes);

  PooledRequest pooled;
  pooled.mMakeRequest = [self = shared_from_this(),
                         id = aReplica->mRecord.mId](TimePoint aSentAt) {
    return self->mGateway.mUpstreamProtocol.mEncode(
      self->mRequest, id, self->mFanOutState.Deadline() - aSentAt);
  };
  pooled.mDeadline = mFanOutState.Deadline();
  pooled.mMayReuse = [self = shared_from_this()](const HttpResponse& aResponse) {
    return self->mGateway.mUpstreamProtocol.mMayReuse(self->mRequest, aResponse);
  };
  pooled.mMayStillSend = [self = shared_from_this(), aPart, exchange,
                          aReplica](TimePoint aSendAt) {
    return self->MayStillSend(aPart, exchange, *aReplica, aSendAt);
  };
  pooled.mOnStarted = [self = shared_from_this(), aPart, exchange](std::uint64_t) {
    self->OnStarted(aPart, exchange);
  };
  pooled.mDone = [self = shared_from_this(), aPart, exchange](HttpExchangeResult aResult,
                                                              bool aMayHaveBeenSent) {
    self->OnExchangeEnd(aPart, exchange, std::move(aResult), aMayHaveBeenSent);
  };
  aReplica->mConnectionPool->Submit(exchange, std::move(pooled));
}

bool
ActiveRequest::MayStillSend(std::size_t aPart, ExchangeId aExchange, Replica& aReplica,
                            TimePoint aNow)
{
  auto& part = mParts[aPart];
  const bool takesRequests = aReplica.IsUsable() &&
                             !aReplica.mQuietPeriod.IsQuiet(aNow) &&
                             part.mScope.mRegions.Permits(aReplica.mRegion);
  if (!takesRequests || !IsCrashLimitKept(aPart, aNow)) {
    return false;
  }
  if (!part.mServicePool->MayStart(aReplica, aExchange, aNow)) {
    mGateway.mMetrics.CountWithdrawal(aReplica, aNow);
    // Nothing was sent, and the upstream is busy rather than gone.
    std::erase(part.mScope.mTried, aReplica.mRecord.mId);
    return false;
  }
  mGateway.mCrashLimiter.OnSent(aExchange, part.mIdentity, aReplica.Incarnation(), aNow);
  return true;
}

void
ActiveRequest::PlanHedge(Part& aPart, Duration aExpected, TimePoint aNow)
{
  aPart.mHedgeAt.reset();
  if (!mRoute.mIsIdempotent || aPart.mPossibleRunCount >= mRoute.mMaxAttempts) {
    return;
  }
  if (const auto alternative =
        aPart.mServicePool->BestExpectedLatency(aPart.mScope, aNow)) {
    aPart.mHedgeAt =
      aNow + HedgeDelay(aExpected, *alternative, mFanOutState.AnswerBy() - aNow);
  }
}

void
ActiveRequest::Hedge(std::size_t aPart, TimePoint aNow)
{
  auto& part = mParts[aPart];
  part.mHedgeAt.reset();
  if (!IsCrashLimitKept(aPart, aNow)) {
    return;
  }
  const auto placement = part.mServicePool->Choose(part.mScope, aNow);
  if (placement.mKind == PlacementResult::Kind::Busy) {
    // All upstreams may be cold and at their limit for seconds.
    const auto coldWait = part.mServicePool->ColdWait(part.mScope, aNow);
    part.mHedgeAt = aNow + std::max(kHedgeRecheckDelay, coldWait.value_or(Duration{}));
    return;
  }
  if (placement.mKind == PlacementResult::Kind::None) {
    return;
  }
  if (!part.mServicePool->ExtraLoad().TryTake(ExtraSend::Hedge, aNow)) {
    mTrace.Add(TraceStep::HedgeDenied, aPart, {}, 0, aNow);
    mGateway.mMetrics.mHedgesDenied.Increment();
    return;
  }
  Send(aPart, placement.mReplica, TraceStep::Hedged);
}

} // namespace wasabispar
