/// @file
/// @brief How requests are treated whose callers contend for insufficient capacity.
#include "wasabispar/gateway/active_request.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace wasabispar {

namespace {

/// Size of the status line of a response and of the line breaks after its headers.
constexpr std::uint64_t kStatusLineBytes = 20;
/// Size of the separators of a header.
constexpr std::uint64_t kHeaderSeparatorBytes = 4;

std::uint64_t
SizeOf(const HttpResponse& aResponse)
{
  auto size = kStatusLineBytes + aResponse.mBody.size();
  for (const auto& header : aResponse.mHeaders) {
    size += header.mName.size() + header.mValue.size() + kHeaderSeparatorBytes;
  }
  return size;
}

} // namespace

/// Only rejections are recorded that state a time, which they do only where the capacity
/// of the VM is stated.
void
ActiveRequest::RankCaller(TimePoint aNow)
{
  if (mGateway.mRejections.IsRecorded(Fingerprint(), aNow)) {
    mRank = WaitRank::Last;
    mGateway.mMetrics.CountEarlyReturn();
    mTrace.Add(TraceStep::ReturnedEarly, 0, {}, 0, aNow);
  }
}

void
ActiveRequest::RecordRejection(Duration aRetryAfter, TimePoint aNow)
{
  if (mGateway.mOptions.mVmCapacity.IsStated()) {
    mGateway.mRejections.OnRejected(Fingerprint(), aNow + aRetryAfter, aNow);
  }
}

std::optional<Duration>
ActiveRequest::VmBusyTime(TimePoint aNow)
{
  if (!mGateway.mLinkLoad) {
    return std::nullopt;
  }
  const auto wait =
    mGateway.mLinkLoad->RejectionWait(DemandOnLink(aNow), mGateway.mWorker.Lag(), aNow);
  if (mGateway.mBusyRejections.IsRecorded(Fingerprint(), aNow)) {
    return std::nullopt;
  }
  return wait;
}

LinkDemand
ActiveRequest::DemandOnLink(TimePoint aNow) const
{
  LinkDemand demand;
  demand.mFirstService = mParts.front().mIdentity.mService;
  demand.mPriority = mRoute.mPriority;
  demand.mTimeLeft = mFanOutState.AnswerBy() - aNow;
  std::vector<Duration> times;
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    if (mFanOutState.IsOpen(i)) {
      demand.mBytes += mGateway.mLinkLoad->ExpectedBytes(mParts[i].mIdentity.mService);
      times.push_back(mParts[i].mUpstreamTime);
    }
  }
  // The parts that are left suffice for an answer, or the request was refused before.
  std::ranges::sort(times);
  demand.mUpstreamTime = times[mFanOutState.Required() - 1];
  return demand;
}

void
ActiveRequest::RefuseAsBusy(Duration aWait, TimePoint aNow)
{
  const auto retryAfter = StatedDelay(aWait);
  ++mGateway.mBusyRejectionCount;
  mTrace.Add(TraceStep::VmBusy, 0, {}, ToMicroseconds(aWait), aNow);
  RecordRejection(retryAfter, aNow);
  mGateway.mBusyRejections.OnRejected(Fingerprint(), TimePoint::max(), aNow);
  Finish(mGateway.mCallerProtocol.mEncodeRefusal({ RefusalReason::Busy, retryAfter }),
         ToText(RefusalReason::Busy));
}

void
ActiveRequest::ExpectResponses()
{
  if (!mGateway.mLinkLoad) {
    return;
  }
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    if (mFanOutState.IsOpen(i)) {
      auto& part = mParts[i];
      part.mExpectedBytes = mGateway.mLinkLoad->ExpectedBytes(part.mIdentity.mService);
      mGateway.mLinkLoad->OnExpected(part.mExpectedBytes);
    }
  }
}

void
ActiveRequest::EndExpectation(Part& aPart)
{
  if (mGateway.mLinkLoad) {
    mGateway.mLinkLoad->OnEnded(std::exchange(aPart.mExpectedBytes, 0));
  }
}

void
ActiveRequest::RecordResponseSize(const Part& aPart, const HttpExchangeResult& aResult)
{
  if (mGateway.mLinkLoad && aResult.mEnd == HttpExchangeEnd::Response) {
    mGateway.mLinkLoad->OnResponse(aPart.mIdentity.mService, SizeOf(aResult.mResponse));
  }
}

RequestFingerprint
ActiveRequest::Fingerprint() const
{
  return mParts.front().mIdentity.mRequest;
}

} // namespace wasabispar
