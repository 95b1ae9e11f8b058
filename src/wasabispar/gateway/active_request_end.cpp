/// @file
/// @brief The end of a request: the answer or refusal, and the exchanges that still run.
#include "wasabispar/gateway/active_request.hpp"

#include "wasabispar/routing/record_merge.hpp"
#include "wasabispar/routing/retry_delay.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace {

/// Time after the final answer at which the exchanges that still run are closed.
constexpr Duration kOpenExchangeCloseDelay = std::chrono::milliseconds(300);
/// Bounds of the retry delay that a refusal states. Those of quarantines and quiet
/// periods may be longer.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);

} // namespace

void
ActiveRequest::Answer()
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
  answer.mMissingCount = mParts.size() - answer.mParts.size();
  answer.mRecords = MergeGreatestRecords(bodies, mFanOut->mTopRecords);
  mGateway.mMetrics.mMissingParts.Increment(static_cast<double>(answer.mMissingCount));
  Finish(mGateway.mCallerProtocol.mEncodeMerged(answer),
         answer.mMissingCount == 0 ? "answered" : "partial");
}

RefusalReason
ActiveRequest::FailureReason() const
{
  if (MayHaveRun()) {
    return RefusalReason::Lost;
  }
  if (BlockedUntil(BootClock::now())) {
    return RefusalReason::Quarantined;
  }
  return IsOutsideRegions() ? RefusalReason::NoPermittedUpstream
                            : RefusalReason::Unavailable;
}

bool
ActiveRequest::IsOutsideRegions() const
{
  return std::ranges::any_of(mParts, [](const Part& aPart) {
    const auto& pool = *aPart.mServicePool;
    return pool.UsableCount(aPart.mScope.mRegions) == 0 && pool.UsableCount({}) > 0;
  });
}

std::optional<TimePoint>
ActiveRequest::BlockedUntil(TimePoint aNow) const
{
  std::optional<TimePoint> until;
  for (const auto& part : mParts) {
    until = std::max(until, mGateway.mCrashLimiter.BlockedUntil(part.mIdentity, aNow));
  }
  return until;
}

bool
ActiveRequest::MayHaveRun() const
{
  return std::ranges::any_of(mParts, [](const Part& aPart) {
    const auto unstarted =
      std::ranges::count(aPart.mOpenExchanges, false, &Exchange::mHasStarted);
    return aPart.mPossibleRunCount > static_cast<std::uint32_t>(unstarted);
  });
}

void
ActiveRequest::Refuse(RefusalReason aReason)
{
  auto& failure = mParts.front().mFailure;
  if (!mFanOut && failure) {
    Finish(std::move(failure->mResponse), "upstream-failed");
    return;
  }
  Refusal refusal{ aReason, {} };
  const auto now = BootClock::now();
  if (aReason == RefusalReason::Unavailable ||
      aReason == RefusalReason::NoPermittedUpstream) {
    const auto retryAfter = RetryAfter(now);
    refusal.mRetryAfter = retryAfter;
    RecordRejection(retryAfter, now);
  } else if (aReason == RefusalReason::Quarantined) {
    refusal.mRetryAfter = BlockedUntil(now).value_or(now) - now;
  }
  Finish(mGateway.mCallerProtocol.mEncodeRefusal(refusal), ToText(aReason));
}

Duration
ActiveRequest::RetryAfter(TimePoint aNow) const
{
  std::optional<Duration> quiet;
  for (const auto& part : mParts) {
    quiet = std::max(quiet, part.mServicePool->ReturnDelay(part.mScope.mRegions, aNow));
  }
  return std::max(quiet.value_or(Duration::zero()), CapacityDelay(aNow));
}

Duration
ActiveRequest::CapacityDelay(TimePoint aNow) const
{
  std::vector<Duration> waits;
  for (const auto& part : mParts) {
    const auto& pool = *part.mServicePool;
    const auto& regions = part.mScope.mRegions;
    const bool isDown = pool.UsableCount(regions) == 0;
    waits.push_back(isDown ? kMaxRetryAfter / 2
                           : pool.ExpectedWait(regions, mRoute.mPriority,
                                               mFanOutState.AnswerBy(), aNow));
  }
  std::ranges::sort(waits);
  if (!mGateway.mOptions.mVmCapacity.IsStated()) {
    return std::clamp(waits.back(), kMinRetryAfter, kMaxRetryAfter);
  }
  // An answer needs only the required number of parts.
  return StatedDelay(waits[mFanOutState.Required() - 1]);
}

Duration
ActiveRequest::StatedDelay(Duration aWait) const
{
  return RetryDelay(aWait, { kMinRetryAfter, kMaxRetryAfter }, mGateway.mRandom);
}

void
ActiveRequest::Finish(HttpResponse aResponse, std::string_view aOutcome)
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
    EndExpectation(part);
    // The response is complete; slower exchanges of the request may run on for a while.
    part.mReply.reset();
    part.mFailure.reset();
  }
  AbortUnstartedExchanges();
  if (mRequest.mHttpRequest.mDisconnectNotifier) {
    mRequest.mHttpRequest.mDisconnectNotifier->Subscribe({});
  }
  auto& metrics = mGateway.mMetrics;
  metrics.CountRequest(aOutcome);
  (mFanOut ? metrics.mFanOutLatency : metrics.mSingleLatency)
    .Observe(std::chrono::duration<double>(now - mTrace.Start()).count());
  mGateway.mTraceLog.Write(mTrace,
                           { mRequest.mId.Text(), mRoute.mName.Text(),
                             mRouteTable->Version().Value(), aOutcome, aResponse.mStatus,
                             mServices, mFanOutState.Answered(), mRoute.mObjective },
                           now);
  if (mRespond) {
    std::exchange(mRespond, nullptr)(std::move(aResponse));
  }
  ScheduleClose();
  mGateway.mActiveRequests.erase(self);
}

/// An exchange that waits for a connection must not be sent after the final answer,
/// because that answer may state that the request did not run.
void
ActiveRequest::AbortUnstartedExchanges()
{
  for (auto& part : mParts) {
    const auto open = part.mOpenExchanges;
    for (const auto& exchange : open) {
      if (!exchange.mHasStarted) {
        exchange.mReplica->mConnectionPool->Abort(exchange.mId);
      }
    }
  }
}

/// The slower exchanges of hedged parts get time to finish, so that their connections can
/// be used again; exchanges that hang are closed.
void
ActiveRequest::ScheduleClose()
{
  if (!HasOpenExchanges()) {
    return;
  }
  mTimer =
    mGateway.mWorker.Timers().After(kOpenExchangeCloseDelay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->CloseOpenExchanges();
      }
    });
}

void
ActiveRequest::CloseOpenExchanges()
{
  mAreExchangesClosed = true;
  for (auto& part : mParts) {
    const auto open = part.mOpenExchanges;
    for (const auto& exchange : open) {
      exchange.mReplica->mConnectionPool->Abort(exchange.mId);
    }
  }
}

void
ActiveRequest::OnCallerDisconnected()
{
  mIsCallerDisconnected = true;
  mRespond = nullptr;
  const auto self = shared_from_this();
  HttpResponse noResponse;
  noResponse.mStatus = 0;
  Finish(std::move(noResponse), "caller-left");
  mTimer.Cancel();
  CloseOpenExchanges();
}

void
ActiveRequest::Abort()
{
  Refuse(FailureReason());
}

} // namespace wasabispar
