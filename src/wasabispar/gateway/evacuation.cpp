/// @file
/// @brief Evacuated data centres: the marks of the upstreams, the requests that waited
/// for them, and the reports to operators.
#include "active_request.hpp"
#include "wasabispar/base/log.hpp"
#include "wasabispar/gateway/gateway.hpp"

#include <algorithm>

namespace wasabispar {

void
ServicePool::SetEvacuated(const std::set<DataCentreId>& aDataCentres)
{
  mEvacuated = aDataCentres;
  for (const auto& replica : mReplicas) {
    MarkEvacuated(*replica);
  }
}

void
ServicePool::MarkEvacuated(Replica& aReplica)
{
  const bool isEvacuated = mEvacuated.contains(aReplica.mRecord.mDataCentre);
  if (std::exchange(aReplica.mIsEvacuated, isEvacuated) == isEvacuated) {
    return;
  }
  if (isEvacuated) {
    WithdrawQueued(aReplica);
  }
}

std::size_t
ServicePool::CountIn(const DataCentreId& aDataCentre) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mReplicas, [&aDataCentre](const ReplicaPtr& aReplica) {
      return aReplica->mRecord.mDataCentre == aDataCentre;
    }));
}

void
ActiveRequest::OnEvacuation()
{
  const auto self = shared_from_this();
  const auto now = BootClock::now();
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    auto& part = mParts[i];
    if (!part.mQueueEntry || !mFanOutState.IsOpen(i) ||
        part.mServicePool->Choose(part.mScope, now).mKind !=
          PlacementResult::Kind::None) {
      continue;
    }
    LeaveQueue(part);
    if (part.mOpenExchanges.empty()) {
      AbandonPart(i, now);
    }
  }
  ApplyDecision();
}

void
ActiveRequest::ReplaceWithdrawn(Part& aPart, TraceStep aEnd, const Replica& aReplica,
                                TimePoint aNow)
{
  const bool isWithdrawn = aEnd == TraceStep::Unreachable && aReplica.mIsEvacuated;
  if (isWithdrawn && !aPart.mOpenExchanges.empty() && !aPart.mQueueEntry &&
      !aPart.mHeldStep && MayRetry(aPart, aNow)) {
    aPart.mHedgeAt = aNow;
  }
}

void
GatewayMetrics::SetEvacuated(const DataCentreId& aDataCentre, bool aIsEvacuated)
{
  mMetrics
    .Gauge("wasabispar_gateway_evacuated", "1 while the data centre is evacuated.",
           { { "data_centre", aDataCentre.Text() } })
    .Set(aIsEvacuated ? 1 : 0);
}

void
Gateway::SetEvacuated(const std::set<DataCentreId>& aDataCentres)
{
  const auto before = std::exchange(mEvacuated, aDataCentres);
  for (const auto& [name, pool] : mPools) {
    pool->SetEvacuated(mEvacuated);
  }
  // Before a request is placed there again.
  for (const auto& dataCentre : before) {
    if (!mEvacuated.contains(dataCentre)) {
      OnEvacuationEnded(dataCentre);
    }
  }
  // Requests that end here remove themselves.
  const auto activeRequests = mActiveRequests;
  for (const auto& request : activeRequests) {
    request->OnEvacuation();
  }
  // Upstreams that are no longer evacuated take the requests that wait.
  for (const auto& [name, pool] : mPools) {
    pool->DispatchQueue();
  }
  for (const auto& dataCentre : before) {
    if (!mEvacuated.contains(dataCentre)) {
      ReportEvacuation(dataCentre, false);
    }
  }
  for (const auto& dataCentre : mEvacuated) {
    if (!before.contains(dataCentre)) {
      ReportEvacuation(dataCentre, true);
    }
  }
}

void
Gateway::ReportEvacuation(const DataCentreId& aDataCentre, bool aIsEvacuated)
{
  std::size_t upstreams = 0;
  for (const auto& [name, pool] : mPools) {
    upstreams += pool->CountIn(aDataCentre);
  }
  mMetrics.SetEvacuated(aDataCentre, aIsEvacuated);
  LogEvent(LogLevel::Info, aIsEvacuated ? "evacuation-started" : "evacuation-ended",
           { { "data_centre", aDataCentre.Text() }, { "upstreams", upstreams } });
}

} // namespace wasabispar
