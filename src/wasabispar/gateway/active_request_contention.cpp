/// @file
/// @brief How requests are treated whose callers contend for insufficient capacity.
#include "wasabispar/gateway/active_request.hpp"

namespace wasabispar {

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

RequestFingerprint
ActiveRequest::Fingerprint() const
{
  return mParts.front().mIdentity.mRequest;
}

void
GatewayMetrics::CountEarlyReturn()
{
  mMetrics
    .Counter("wasabispar_gateway_early_returns_total",
             "Requests that returned before the time that their rejection stated.")
    .Increment();
}

} // namespace wasabispar
