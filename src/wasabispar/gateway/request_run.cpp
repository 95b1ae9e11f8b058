/// @file
/// @brief RequestRun.
#include "wasabispar/gateway/request_run.hpp"

#include "wasabispar/routing/record_merge.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace {

/// A hedge whose candidates are all busy is tried again after this time.
constexpr Duration kHedgeRecheck = std::chrono::milliseconds(5);
/// An exchange that still runs this long after its request was answered is closed.
constexpr Duration kReapDelay = std::chrono::milliseconds(300);
/// Time for the final answer to reach the caller before it stops waiting.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(15);
/// Share of a short objective that gives its margin.
constexpr Permille kCallerMarginShare(300);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);

Duration
TimeAllowed(const CallerRequest& aRequest, const Route& aRoute)
{
  if (!aRequest.mPatience) {
    return aRoute.mTimeout;
  }
  return std::min(aRoute.mTimeout, *aRequest.mPatience - kDeadlineMargin);
}

Gather
MakeGather(const CallerRequest& aRequest, const Route& aRoute, std::size_t aParts,
           Duration aMaxCallerMargin, TimePoint aNow)
{
  const auto* fanOut = std::get_if<FanOutTarget>(&aRoute.mTarget);
  return { aParts, fanOut ? fanOut->RequiredShards() : 1,
           aNow + aRoute.mObjective -
             std::min(aMaxCallerMargin,
                      aRoute.mObjective * kCallerMarginShare.Value() / 1000),
           aNow + TimeAllowed(aRequest, aRoute) };
}

} // namespace

RequestRun::RequestRun(Gateway& aGateway, CallerRequest aRequest, RouteTablePtr aTable,
                       const Route& aRoute, std::vector<ServiceName> aServices,
                       HttpRespondFn aRespond, TimePoint aNow)
  : mGateway(aGateway)
  , mRequest(std::move(aRequest))
  , mTable(std::move(aTable))
  , mRoute(aRoute)
  , mFanOut(std::get_if<FanOutTarget>(&aRoute.mTarget))
  , mRespond(std::move(aRespond))
  , mTrace(aNow)
  , mParts(aServices.size())
  , mGather(MakeGather(mRequest, aRoute, aServices.size(),
                       aGateway.mOptions.mMaxCallerMargin, aNow))
{
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    mParts[i].mPool = &mGateway.PoolOf(aServices[i]);
  }
}

void
RequestRun::Start()
{
  const auto now = BootClock::now();
  for (auto& part : mParts) {
    part.mPool->ExtraLoad().OnRequest(now);
  }
  if (!CanBeServed(now)) {
    Refuse(RefusalReason::Unavailable);
    return;
  }
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    if (mGather.IsOpen(i)) {
      Launch(i, TraceStep::Sent);
    }
  }
  mIsStarting = false;
  Judge();
}

/// Gives up the parts that no upstream can answer in time; false when too few are left.
bool
RequestRun::CanBeServed(TimePoint aNow)
{
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    const auto& pool = *mParts[i].mPool;
    const auto expected = pool.BestExpected({}, aNow);
    const auto wait = pool.ExpectedWait(mRoute.mPriority, mGather.AnswerBy(), aNow);
    if (!expected || aNow + wait >= mGather.Deadline()) {
      mTrace.Add(TraceStep::PartGivenUp, i, {}, ToMicroseconds(wait), aNow);
      mGather.OnLost(i);
    }
  }
  return mGather.Judge(aNow) != GatherVerdict::GiveUp;
}

void
RequestRun::Launch(std::size_t aPart, TraceStep aStep)
{
  const auto now = BootClock::now();
  auto& part = mParts[aPart];
  const auto placement = part.mPool->Choose(part.mTried, now);
  switch (placement.mKind) {
    case PlacementResult::Kind::Found:
      // What waits already goes first.
      if (part.mPool->Queue().Ahead(mRoute.mPriority, mGather.AnswerBy()) == 0) {
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
  if (part.mOpen.empty()) {
    GiveUpPart(aPart, now);
  }
}

void
RequestRun::GiveUpPart(std::size_t aPart, TimePoint aNow)
{
  mTrace.Add(TraceStep::PartGivenUp, aPart, {}, mParts[aPart].mTried.size(), aNow);
  mGather.OnLost(aPart);
}

void
RequestRun::Enqueue(std::size_t aPart, TraceStep aStep)
{
  auto& part = mParts[aPart];
  auto& queue = part.mPool->Queue();
  const auto ahead = queue.Ahead(mRoute.mPriority, mGather.AnswerBy());
  mTrace.Add(TraceStep::Queued, aPart, {}, ahead, BootClock::now());
  part.mTicket = queue.Push(mRoute.mPriority, mGather.AnswerBy(),
                            [weak = weak_from_this(), aPart, aStep] {
                              const auto self = weak.lock();
                              return !self || self->TryLaunch(aPart, aStep);
                            });
  queue.Pump();
}

/// Starts a waiting part; false when it has to wait on.
bool
RequestRun::TryLaunch(std::size_t aPart, TraceStep aStep)
{
  auto& part = mParts[aPart];
  if (mIsFinished || !mGather.IsOpen(aPart)) {
    part.mTicket.reset();
    return true;
  }
  const auto now = BootClock::now();
  const auto placement = part.mPool->Choose(part.mTried, now);
  if (placement.mKind == PlacementResult::Kind::Busy) {
    return false;
  }
  part.mTicket.reset();
  if (placement.mKind == PlacementResult::Kind::Found) {
    Send(aPart, placement.mReplica, aStep);
    return true;
  }
  if (part.mOpen.empty()) {
    GiveUpPart(aPart, now);
    Judge();
  }
  return true;
}

void
RequestRun::LeaveQueue(Part& aPart)
{
  if (const auto ticket = std::exchange(aPart.mTicket, std::nullopt)) {
    aPart.mPool->Queue().Cancel(*ticket);
  }
}

void
RequestRun::Send(std::size_t aPart, const ReplicaPtr& aReplica, TraceStep aStep)
{
  const auto now = BootClock::now();
  auto& part = mParts[aPart];
  auto& metrics = mGateway.mMetrics;
  const auto exchange = mGateway.mNextExchange++;
  const auto expected = aReplica->mLoad.Expected(now);
  mTrace.Add(aStep, aPart, aReplica->mRecord.mId, ToMicroseconds(expected), now);
  (aStep == TraceStep::Sent     ? metrics.mSentFirst
   : aStep == TraceStep::Hedged ? metrics.mSentHedge
                                : metrics.mSentRetry)
    .Increment();
  part.mTried.push_back(aReplica->mRecord.mId);
  part.mOpen.push_back({ exchange, aReplica, now, false });
  ++part.mMayRun;
  PlanHedge(part, expected, now);
  aReplica->mLoad.OnSent(exchange, now);

  PooledRequest pooled;
  pooled.mRequest = mGateway.mUpstreams.mEncode(mRequest, aReplica->mRecord.mId,
                                                mGather.Deadline() - now);
  pooled.mDeadline = mGather.Deadline();
  pooled.mMayReuse = [self = shared_from_this()](const HttpResponse& aResponse) {
    return self->mGateway.mUpstreams.mMayReuse(self->mRequest, aResponse);
  };
  pooled.mOnStarted = [self = shared_from_this(), aPart, exchange](std::uint64_t) {
    self->OnStarted(aPart, exchange);
  };
  pooled.mDone = [self = shared_from_this(), aPart, exchange](HttpExchangeResult aResult,
                                                              bool aMayHaveLeft) {
    self->OnExchangeEnd(aPart, exchange, std::move(aResult), aMayHaveLeft);
  };
  aReplica->mPool->Submit(exchange, std::move(pooled));
}

void
RequestRun::PlanHedge(Part& aPart, Duration aExpected, TimePoint aNow)
{
  aPart.mHedgeAt.reset();
  if (!mRoute.mIsIdempotent || aPart.mMayRun >= mRoute.mMaxAttempts) {
    return;
  }
  if (const auto alternative = aPart.mPool->BestExpected(aPart.mTried, aNow)) {
    aPart.mHedgeAt =
      aNow + HedgeDelay(aExpected, *alternative, mGather.AnswerBy() - aNow);
  }
}

void
RequestRun::Hedge(std::size_t aPart, TimePoint aNow)
{
  auto& part = mParts[aPart];
  part.mHedgeAt.reset();
  const auto placement = part.mPool->Choose(part.mTried, aNow);
  if (placement.mKind == PlacementResult::Kind::Busy) {
    part.mHedgeAt = aNow + kHedgeRecheck;
    return;
  }
  if (placement.mKind == PlacementResult::Kind::None) {
    return;
  }
  if (!part.mPool->ExtraLoad().TryTake(ExtraSend::Hedge, aNow)) {
    mTrace.Add(TraceStep::HedgeDenied, aPart, {}, 0, aNow);
    mGateway.mMetrics.mHedgesDenied.Increment();
    return;
  }
  Send(aPart, placement.mReplica, TraceStep::Hedged);
}

void
RequestRun::OnStarted(std::size_t aPart, ExchangeId aExchange)
{
  auto& open = mParts[aPart].mOpen;
  const auto found = std::ranges::find(open, aExchange, &Exchange::mId);
  if (found != open.end()) {
    found->mHasStarted = true;
  }
}

void
RequestRun::OnExchangeEnd(std::size_t aPart, ExchangeId aExchange,
                          HttpExchangeResult aResult, bool aMayHaveLeft)
{
  const auto self = shared_from_this();
  auto& part = mParts[aPart];
  const auto found = std::ranges::find(part.mOpen, aExchange, &Exchange::mId);
  if (found == part.mOpen.end()) {
    return;
  }
  const auto now = BootClock::now();
  const auto exchange = *found;
  part.mOpen.erase(found);
  if (mIsAborted) {
    exchange.mReplica->mLoad.OnAbandoned(aExchange);
    part.mPool->Queue().Pump();
    return;
  }
  const auto end = Classify(part, exchange, std::move(aResult), aMayHaveLeft, now);
  mGateway.mMetrics.CountReply(end);
  mTrace.Add(end, aPart, exchange.mReplica->mRecord.mId,
             ToMicroseconds(now - exchange.mSent), now);
  if (!mIsFinished && mGather.IsOpen(aPart)) {
    if (end == TraceStep::Answered) {
      LeaveQueue(part);
      mGather.OnAnswered(aPart);
    } else {
      AfterFailure(aPart, end, now);
    }
    Judge();
  }
  part.mPool->Queue().Pump();
}

TraceStep
RequestRun::Classify(Part& aPart, const Exchange& aExchange, HttpExchangeResult aResult,
                     bool aMayHaveLeft, TimePoint aNow)
{
  auto& load = aExchange.mReplica->mLoad;
  if (aResult.mEnd == HttpExchangeEnd::Response) {
    mGateway.mMetrics.mUpstreamLatency.Observe(
      std::chrono::duration<double>(aNow - aExchange.mSent).count());
    return ClassifyReply(
      aPart, aExchange,
      mGateway.mUpstreams.mDecode(mRequest, std::move(aResult.mResponse)), aNow);
  }
  if (!aMayHaveLeft) {
    load.OnAbandoned(aExchange.mId);
    --aPart.mMayRun;
    return TraceStep::Unreachable;
  }
  load.OnLost(aExchange.mId, aNow);
  return TraceStep::Lost;
}

TraceStep
RequestRun::ClassifyReply(Part& aPart, const Exchange& aExchange, UpstreamReply aReply,
                          TimePoint aNow)
{
  auto& load = aExchange.mReplica->mLoad;
  switch (aReply.mKind) {
    case UpstreamReply::Kind::Answer:
      load.OnAnswered(aExchange.mId, aNow);
      if (!aPart.mReply) {
        aPart.mReply = std::move(aReply);
      }
      return TraceStep::Answered;
    case UpstreamReply::Kind::NotRun:
      load.OnShed(aExchange.mId, aNow);
      --aPart.mMayRun;
      return TraceStep::Shed;
    case UpstreamReply::Kind::WrongUpstream:
      load.OnAbandoned(aExchange.mId);
      aExchange.mReplica->mIsMisaddressed = true;
      --aPart.mMayRun;
      return TraceStep::Shed;
    case UpstreamReply::Kind::Failure:
      load.OnLost(aExchange.mId, aNow);
      aPart.mFailure = std::move(aReply);
      return TraceStep::Failed;
    case UpstreamReply::Kind::Invalid:
      break;
  }
  load.OnLost(aExchange.mId, aNow);
  return TraceStep::Lost;
}

/// Asks another upstream for a part whose exchange ended without an answer, or gives the
/// part up.
void
RequestRun::AfterFailure(std::size_t aPart, TraceStep aEnd, TimePoint aNow)
{
  auto& part = mParts[aPart];
  if (!part.mOpen.empty() || part.mTicket) {
    return;
  }
  part.mHedgeAt.reset();
  if (!MayRetry(part, aNow)) {
    GiveUpPart(aPart, aNow);
    return;
  }
  // Only what reached an upstream counts as extra load.
  if (aEnd != TraceStep::Unreachable &&
      !part.mPool->ExtraLoad().TryTake(ExtraSend::Retry, aNow)) {
    mTrace.Add(TraceStep::RetryDenied, aPart, {}, 0, aNow);
    mGateway.mMetrics.mRetriesDenied.Increment();
    mGather.OnLost(aPart);
    return;
  }
  Launch(aPart, TraceStep::Retried);
}

bool
RequestRun::MayRetry(const Part& aPart, TimePoint aNow) const
{
  if (aPart.mMayRun > 0 && !mRoute.mIsIdempotent) {
    return false;
  }
  return aPart.mMayRun < mRoute.mMaxAttempts && aNow < mGather.Deadline();
}

void
RequestRun::Judge()
{
  if (mIsStarting || mIsFinished) {
    return;
  }
  const auto now = BootClock::now();
  switch (mGather.Judge(now)) {
    case GatherVerdict::Wait:
      ArmTimer(now);
      return;
    case GatherVerdict::Answer:
      Answer();
      return;
    case GatherVerdict::GiveUp:
      Refuse(GiveUpReason());
      return;
    case GatherVerdict::Timeout:
      Refuse(MayHaveRun() ? RefusalReason::Timeout : RefusalReason::Unavailable);
      return;
  }
}

void
RequestRun::ArmTimer(TimePoint aNow)
{
  auto next = mGather.NextCheck(aNow);
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    if (mParts[i].mHedgeAt && mGather.IsOpen(i)) {
      next = std::min(next, *mParts[i].mHedgeAt);
    }
  }
  if (mTimerAt && *mTimerAt <= next) {
    return;
  }
  mTimerAt = next;
  mTimer = mGateway.mWorker.Timers().After(next - aNow, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnTimer();
    }
  });
}

void
RequestRun::OnTimer()
{
  mTimerAt.reset();
  if (mIsFinished) {
    return;
  }
  const auto now = BootClock::now();
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    const auto& hedgeAt = mParts[i].mHedgeAt;
    if (hedgeAt && *hedgeAt <= now && mGather.IsOpen(i)) {
      Hedge(i, now);
    }
  }
  Judge();
}

void
RequestRun::Answer()
{
  if (!mFanOut) {
    Finish(std::move(mParts.front().mReply->mResponse), "answered");
    return;
  }
  MergedAnswer answer;
  std::vector<std::string_view> bodies;
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    const auto& reply = mParts[i].mReply;
    if (reply) {
      answer.mParts.push_back(reply->mSignature);
      bodies.push_back(reply->mResponse.mBody);
    }
  }
  answer.mMissing = mParts.size() - answer.mParts.size();
  answer.mRecords = MergeGreatestRecords(bodies, mFanOut->mTopRecords);
  mGateway.mMetrics.mMissingParts.Increment(static_cast<double>(answer.mMissing));
  Finish(mGateway.mCallers.mEncodeMerged(answer),
         answer.mMissing == 0 ? "answered" : "partial");
}

RefusalReason
RequestRun::GiveUpReason() const
{
  return MayHaveRun() ? RefusalReason::Lost : RefusalReason::Unavailable;
}

bool
RequestRun::MayHaveRun() const
{
  return std::ranges::any_of(mParts, [](const Part& aPart) {
    const auto unstarted = std::ranges::count(aPart.mOpen, false, &Exchange::mHasStarted);
    return aPart.mMayRun > static_cast<std::uint32_t>(unstarted);
  });
}

void
RequestRun::Refuse(RefusalReason aReason)
{
  auto& failure = mParts.front().mFailure;
  if (!mFanOut && failure) {
    Finish(std::move(failure->mResponse), "upstream-failed");
    return;
  }
  Refusal refusal{ aReason, {} };
  if (aReason == RefusalReason::Unavailable) {
    refusal.mRetryAfter = RetryAfter(BootClock::now());
  }
  Finish(mGateway.mCallers.mEncodeRefusal(refusal), ToText(aReason));
}

/// When the slowest of the parts could be sent again.
Duration
RequestRun::RetryAfter(TimePoint aNow) const
{
  auto after = kMinRetryAfter;
  for (const auto& part : mParts) {
    const bool isDown = part.mPool->UsableCount() == 0;
    const auto wait =
      part.mPool->ExpectedWait(mRoute.mPriority, mGather.AnswerBy(), aNow);
    after = std::max(after, isDown ? kMaxRetryAfter / 2 : wait);
  }
  return std::min(after, kMaxRetryAfter);
}

void
RequestRun::Finish(HttpResponse aResponse, std::string_view aOutcome)
{
  if (mIsFinished) {
    return;
  }
  mIsFinished = true;
  mTimer.Cancel();
  const auto self = shared_from_this();
  const auto now = BootClock::now();
  for (auto& part : mParts) {
    LeaveQueue(part);
  }
  DropUnstarted();
  if (mRequest.mMessage.mAbandon) {
    mRequest.mMessage.mAbandon->Subscribe({});
  }
  auto& metrics = mGateway.mMetrics;
  metrics.CountRequest(aOutcome);
  (mFanOut ? metrics.mFanOutLatency : metrics.mSingleLatency)
    .Observe(std::chrono::duration<double>(now - mTrace.Start()).count());
  mGateway.mTraceLog.Write(mTrace,
                           { mRequest.mId.Text(), mRoute.mName.Text(),
                             mTable->Version().Value(), aOutcome, aResponse.mStatus,
                             mParts.size(), mGather.Answered(), mRoute.mObjective },
                           now);
  if (mRespond) {
    std::exchange(mRespond, nullptr)(std::move(aResponse));
  }
  ScheduleReap();
  mGateway.mRuns.erase(self);
}

/// What still waits for a connection must not be sent after the final answer, which may
/// say that the request did not run.
void
RequestRun::DropUnstarted()
{
  for (auto& part : mParts) {
    const auto open = part.mOpen;
    for (const auto& exchange : open) {
      if (!exchange.mHasStarted) {
        exchange.mReplica->mPool->Abort(exchange.mId);
      }
    }
  }
}

/// The slower exchanges of hedged parts may finish, so that their connections can be
/// used again; those that hang are closed.
void
RequestRun::ScheduleReap()
{
  const bool hasOpen =
    std::ranges::any_of(mParts, [](const Part& aPart) { return !aPart.mOpen.empty(); });
  if (!hasOpen) {
    return;
  }
  mTimer = mGateway.mWorker.Timers().After(kReapDelay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->CloseOpenExchanges();
    }
  });
}

void
RequestRun::CloseOpenExchanges()
{
  for (auto& part : mParts) {
    const auto open = part.mOpen;
    for (const auto& exchange : open) {
      exchange.mReplica->mPool->Abort(exchange.mId);
    }
  }
}

void
RequestRun::OnCallerGone()
{
  mIsAborted = true;
  mRespond = nullptr;
  const auto self = shared_from_this();
  HttpResponse none;
  none.mStatus = 0;
  Finish(std::move(none), "caller-left");
  mTimer.Cancel();
  CloseOpenExchanges();
}

void
RequestRun::Abort()
{
  Refuse(GiveUpReason());
}

} // namespace wasabispar
