/// @file
/// @brief The start of a request, the ends of its exchanges and the decisions in between.
#include "wasabispar/gateway/active_request.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace {

/// Time reserved for the final answer to reach the caller before the caller's timeout.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(15);
/// Fraction of the objective that is reserved for the transit from and to the caller, up
/// to GatewayOptions::mMaxCallerMargin.
constexpr Permille kCallerMarginRatio(300);
/// Delay of the probe after a lost exchange; longer than
/// CrashLimiterOptions::mListenerCloseTime.
constexpr Duration kProbeDelay = std::chrono::milliseconds(60);

/// Time from the arrival of a request to its deadline.
Duration
RequestTimeout(const CallerRequest& aRequest, const Route& aRoute)
{
  if (!aRequest.mCallerTimeout) {
    return aRoute.mTimeout;
  }
  return std::min(aRoute.mTimeout, *aRequest.mCallerTimeout - kDeadlineMargin);
}

/// The fingerprint of a request. Leaves out what differs between the attempts of a
/// caller: the headers, which hold the id and the time left.
RequestFingerprint
FingerprintOf(const CallerRequest& aRequest)
{
  const auto& http = aRequest.mHttpRequest;
  auto hash = HashText(http.mMethod);
  for (const std::string_view part :
       { std::string_view(aRequest.mHost), std::string_view(http.mTarget),
         std::string_view(http.mBody) }) {
    hash = HashText(part, hash);
  }
  return RequestFingerprint(hash);
}

/// Lets the parts and attempts of a request share its body.
void
ShareBody(HttpRequest& aRequest)
{
  if (!aRequest.mBody.empty()) {
    aRequest.mSharedBody = std::make_shared<const std::string>(std::move(aRequest.mBody));
    aRequest.mBody.clear();
  }
}

FanOutState
MakeFanOutState(const CallerRequest& aRequest, const Route& aRoute, std::size_t aParts,
                Duration aMaxCallerMargin, TimePoint aNow)
{
  const auto* fanOut = std::get_if<FanOutTarget>(&aRoute.mTarget);
  return { aParts, fanOut ? fanOut->RequiredShards() : 1,
           aNow + aRoute.mObjective -
             std::min(aMaxCallerMargin,
                      aRoute.mObjective * kCallerMarginRatio.Value() / 1000),
           aNow + RequestTimeout(aRequest, aRoute) };
}

} // namespace

ActiveRequest::ActiveRequest(Gateway& aGateway, CallerRequest aRequest,
                             RouteTablePtr aTable, const Route& aRoute,
                             std::vector<ServiceName> aServices, HttpRespondFn aRespond,
                             TimePoint aNow)
  : mGateway(aGateway)
  , mRequest(std::move(aRequest))
  , mRouteTable(std::move(aTable))
  , mRoute(aRoute)
  , mFanOut(std::get_if<FanOutTarget>(&aRoute.mTarget))
  , mRespond(std::move(aRespond))
  , mTrace(aNow)
  , mParts(aServices.size())
  , mFanOutState(MakeFanOutState(mRequest, aRoute, aServices.size(),
                                 aGateway.mOptions.mMaxCallerMargin, aNow))
  , mServices(std::move(aServices))
{
  const auto fingerprint = FingerprintOf(mRequest);
  ShareBody(mRequest.mHttpRequest);
  const auto bodyBytes = mRequest.mHttpRequest.Body().size();
  for (std::size_t i = 0; i < mServices.size(); ++i) {
    mParts[i].mServicePool = &mGateway.PoolOf(mServices[i]);
    mParts[i].mScope.mRegions = aRoute.mPermittedRegions;
    mParts[i].mScope.mBodyBytes = bodyBytes;
    mParts[i].mIdentity = { fingerprint,
                            ServiceFingerprint(HashText(mServices[i].Text())) };
  }
}

void
ActiveRequest::Start()
{
  const auto now = BootClock::now();
  for (auto& part : mParts) {
    part.mServicePool->OnRequest(now);
  }
  RankCaller(now);
  if (!AbandonUnservableParts(now)) {
    Refuse(FailureReason());
    return;
  }
  if (const auto wait = VmBusyTime(now)) {
    RefuseAsBusy(*wait, now);
    return;
  }
  ExpectResponses();
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    if (mFanOutState.IsOpen(i)) {
      Launch(i, TraceStep::Sent);
    }
  }
  mIsStarting = false;
  ApplyDecision();
}

bool
ActiveRequest::AbandonUnservableParts(TimePoint aNow)
{
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    if (!IsCrashLimitKept(i, aNow)) {
      mFanOutState.OnLost(i);
      continue;
    }
    const auto& pool = *mParts[i].mServicePool;
    const auto& scope = mParts[i].mScope;
    const auto expected = pool.BestExpectedLatency(scope, aNow);
    const auto wait = pool.ExpectedWait(scope.mRegions, mRoute.mPriority,
                                        mFanOutState.AnswerBy(), aNow, mRank);
    if (!expected || aNow + wait >= LatestSend(mParts[i], *expected)) {
      mTrace.Add(TraceStep::PartGivenUp, i, {}, ToMicroseconds(wait), aNow);
      mFanOutState.OnLost(i);
      continue;
    }
    mParts[i].mUpstreamTime = wait + *expected;
  }
  return mFanOutState.Decide(aNow) != FanOutDecision::Fail;
}

/// When all upstreams of a service limit their requests, those that would be late must
/// not use up what others can be answered with in time.
TimePoint
ActiveRequest::LatestSend(const Part& aPart, Duration aExpectedLatency) const
{
  return aPart.mServicePool->IsLimited(aPart.mScope.mRegions)
           ? mFanOutState.AnswerBy() - aExpectedLatency
           : mFanOutState.Deadline();
}

void
ActiveRequest::OnRoutesChanged(const RouteTable& aTable)
{
  const auto* route = aTable.Find(mRequest.mHost, mRequest.mHttpRequest.Path());
  if (!route) {
    return;
  }
  for (auto& part : mParts) {
    part.mScope.mRegions = part.mScope.mRegions.Intersect(route->mPermittedRegions);
  }
}

bool
ActiveRequest::HasOpenExchanges() const
{
  return std::ranges::any_of(
    mParts, [](const Part& aPart) { return !aPart.mOpenExchanges.empty(); });
}

void
ActiveRequest::RecordEnd(const Exchange& aExchange, HttpExchangeEnd aEnd,
                         std::optional<TraceStep> aStep)
{
  auto& limiter = mGateway.mCrashLimiter;
  if (aStep == TraceStep::Answered || aStep == TraceStep::Failed) {
    limiter.OnCompleted(aExchange.mId, BootClock::now());
  } else if (aEnd == HttpExchangeEnd::ConnectionLost && !mAreExchangesClosed) {
    limiter.OnLost(aExchange.mId, BootClock::now());
    ProbeLater(*aExchange.mReplica);
  } else {
    limiter.OnEnded(aExchange.mId);
  }
}

void
ActiveRequest::ProbeLater(Replica& aReplica)
{
  aReplica.mProbeTimer = mGateway.mWorker.Timers().After(
    kProbeDelay, [weak = std::weak_ptr<ConnectionPool>(aReplica.mConnectionPool)] {
      if (const auto pool = weak.lock()) {
        pool->Probe();
      }
    });
}

void
ActiveRequest::OnStarted(std::size_t aPart, ExchangeId aExchange)
{
  auto& open = mParts[aPart].mOpenExchanges;
  const auto found = std::ranges::find(open, aExchange, &Exchange::mId);
  if (found != open.end()) {
    found->mHasStarted = true;
  }
}

void
ActiveRequest::OnExchangeEnd(std::size_t aPart, ExchangeId aExchange,
                             HttpExchangeResult aResult, bool aMayHaveBeenSent)
{
  const auto self = shared_from_this();
  auto& part = mParts[aPart];
  const auto found = std::ranges::find(part.mOpenExchanges, aExchange, &Exchange::mId);
  if (found == part.mOpenExchanges.end()) {
    return;
  }
  const auto now = BootClock::now();
  const auto exchange = *found;
  part.mOpenExchanges.erase(found);
  ServicePool::OnExchangeEnd(*exchange.mReplica, aExchange);
  exchange.mReplica->mLargeRequests.OnEnded(aExchange);
  const auto httpEnd = aResult.mEnd;
  RecordResponseSize(part, aResult);
  if (mIsCallerDisconnected) {
    RecordEnd(exchange, httpEnd, {});
    exchange.mReplica->mLoad.OnAbandoned(aExchange);
    part.mServicePool->DispatchQueue();
    return;
  }
  const auto end = Classify(part, exchange, std::move(aResult), aMayHaveBeenSent, now);
  RecordEnd(exchange, httpEnd, end);
  mGateway.mMetrics.CountExchange(end);
  mTrace.Add(end, aPart, exchange.mReplica->mRecord.mId,
             ToMicroseconds(now - exchange.mSentAt), now);
  if (!mIsFinished && mFanOutState.IsOpen(aPart)) {
    if (end == TraceStep::Answered) {
      LeaveQueue(part);
      mFanOutState.OnAnswered(aPart);
    } else {
      ReplaceWithdrawn(part, end, *exchange.mReplica, now);
      RetryOrAbandon(aPart, end, now);
    }
  }
  if (!mFanOutState.IsOpen(aPart)) {
    EndExpectation(part);
  }
  if (!mIsFinished) {
    LaunchHeldParts();
    ApplyDecision();
  }
  part.mServicePool->DispatchQueue();
}

TraceStep
ActiveRequest::Classify(Part& aPart, const Exchange& aExchange,
                        HttpExchangeResult aResult, bool aMayHaveBeenSent, TimePoint aNow)
{
  auto& load = aExchange.mReplica->mLoad;
  if (aResult.mEnd == HttpExchangeEnd::Response) {
    mGateway.mMetrics.mUpstreamLatency.Observe(
      std::chrono::duration<double>(aNow - aExchange.mSentAt).count());
    return ClassifyReply(
      aPart, aExchange,
      mGateway.mUpstreamProtocol.mDecode(mRequest, std::move(aResult.mResponse)), aNow);
  }
  if (!aMayHaveBeenSent) {
    load.OnAbandoned(aExchange.mId);
    --aPart.mPossibleRunCount;
    return TraceStep::Unreachable;
  }
  load.OnLost(aExchange.mId, aNow);
  return TraceStep::Lost;
}

TraceStep
ActiveRequest::ClassifyReply(Part& aPart, const Exchange& aExchange, UpstreamReply aReply,
                             TimePoint aNow)
{
  auto& load = aExchange.mReplica->mLoad;
  if (aReply.mIsLeaving) {
    mGateway.OnLeavingAnnounced(*aExchange.mReplica, mRequest.mId);
  }
  mGateway.OnQuietRequested(*aPart.mServicePool, *aExchange.mReplica, aReply,
                            mRequest.mId);
  mGateway.OnRequestLimit(*aPart.mServicePool, *aExchange.mReplica, aReply,
                          aExchange.mSentAt);
  mGateway.OnWarmupStated(*aPart.mServicePool, *aExchange.mReplica, aReply);
  mGateway.OnLoadReport(*aExchange.mReplica, aReply, aNow);
  switch (aReply.mKind) {
    case UpstreamReply::Kind::Answer:
      load.OnAnswered(aExchange.mId, aNow);
      if (!aPart.mReply) {
        aPart.mReply = std::move(aReply);
      }
      return TraceStep::Answered;
    case UpstreamReply::Kind::NotRun:
      // An upstream that asks for quiet is not a failing one.
      if (aReply.mQuietTime) {
        load.OnAbandoned(aExchange.mId);
      } else {
        load.OnShed(aExchange.mId, aNow);
      }
      --aPart.mPossibleRunCount;
      return TraceStep::Shed;
    case UpstreamReply::Kind::WrongUpstream:
      load.OnAbandoned(aExchange.mId);
      aExchange.mReplica->mIsMisaddressed = true;
      --aPart.mPossibleRunCount;
      return TraceStep::Shed;
    case UpstreamReply::Kind::Failure:
      if (aReply.mQuietTime) {
        load.OnAbandoned(aExchange.mId);
      } else {
        load.OnLost(aExchange.mId, aNow);
      }
      aPart.mFailure = std::move(aReply);
      return TraceStep::Failed;
    case UpstreamReply::Kind::Invalid:
      break;
  }
  load.OnLost(aExchange.mId, aNow);
  return TraceStep::Lost;
}

void
ActiveRequest::RetryOrAbandon(std::size_t aPart, TraceStep aEnd, TimePoint aNow)
{
  auto& part = mParts[aPart];
  if (!part.mOpenExchanges.empty() || part.mQueueEntry || part.mHeldStep) {
    return;
  }
  part.mHedgeAt.reset();
  if (!MayRetry(part, aNow)) {
    AbandonPart(aPart, aNow);
    return;
  }
  // A send that did not reach an upstream caused no load, so its retry is not extra load.
  if (aEnd != TraceStep::Unreachable &&
      !part.mServicePool->ExtraLoad().TryTake(ExtraSend::Retry, aNow)) {
    mTrace.Add(TraceStep::RetryDenied, aPart, {}, 0, aNow);
    mGateway.mMetrics.mRetriesDenied.Increment();
    mFanOutState.OnLost(aPart);
    return;
  }
  // Nothing was sent yet if the only upstream asked started to drain while the request
  // waited for a connection.
  const bool isFirst = aEnd == TraceStep::Unreachable && part.mPossibleRunCount == 0;
  Launch(aPart, isFirst ? TraceStep::Sent : TraceStep::Retried);
}

bool
ActiveRequest::MayRetry(const Part& aPart, TimePoint aNow) const
{
  if (aPart.mPossibleRunCount > 0 && !mRoute.mIsIdempotent) {
    return false;
  }
  return aPart.mPossibleRunCount < mRoute.mMaxAttempts && aNow < mFanOutState.Deadline();
}

void
ActiveRequest::ApplyDecision()
{
  if (mIsStarting || mIsFinished) {
    return;
  }
  const auto now = BootClock::now();
  switch (mFanOutState.Decide(now)) {
    case FanOutDecision::Wait:
      ArmTimer(now);
      return;
    case FanOutDecision::Answer:
      Answer();
      return;
    case FanOutDecision::Fail:
      Refuse(FailureReason());
      return;
    case FanOutDecision::Timeout:
      Refuse(MayHaveRun() ? RefusalReason::Timeout : RefusalReason::Unavailable);
      return;
  }
}

void
ActiveRequest::ArmTimer(TimePoint aNow)
{
  auto next = mFanOutState.NextDecisionTime(aNow);
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    if (mParts[i].mHedgeAt && mFanOutState.IsOpen(i)) {
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
ActiveRequest::OnTimer()
{
  mTimerAt.reset();
  if (mIsFinished) {
    return;
  }
  const auto now = BootClock::now();
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    const auto& hedgeAt = mParts[i].mHedgeAt;
    if (hedgeAt && *hedgeAt <= now && mFanOutState.IsOpen(i)) {
      Hedge(i, now);
    }
  }
  ApplyDecision();
}

} // namespace wasabispar
