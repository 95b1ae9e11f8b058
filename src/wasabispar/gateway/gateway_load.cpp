/// @file
/// @brief The load that upstreams state, and which services are balanced.
#include "wasabispar/base/log.hpp"
#include "wasabispar/gateway/gateway.hpp"

namespace wasabispar {

void
GatewayMetrics::CountInvalidLoad(const ServiceName& aService)
{
  mMetrics
    .Counter("wasabispar_gateway_load_reports_ignored_total",
             "Answers in which an upstream stated a malformed load.",
             { { "service", aService.Text() } })
    .Increment();
}

void
Gateway::OnLoadReport(Replica& aReplica, const UpstreamReply& aReply, TimePoint aNow)
{
  const auto& record = aReplica.mRecord;
  if (!aReply.mInvalidLoad.empty()) {
    mMetrics.CountInvalidLoad(record.mService);
    // The load is part of each answer, so only the first malformed one is logged.
    if (!aReplica.mHasInvalidLoad) {
      LogEvent(LogLevel::Warning, "upstream-load-ignored",
               { { "upstream", record.mId.Text() }, { "value", aReply.mInvalidLoad } });
    }
    aReplica.mHasInvalidLoad = true;
  }
  if (!aReply.mLoad) {
    return;
  }
  aReplica.mHasInvalidLoad = false;
  if (!aReplica.mReportedLoad.IsReporting(aNow)) {
    LogEvent(LogLevel::Info, "upstream-load",
             { { "upstream", record.mId.Text() },
               { "service", record.mService.Text() },
               { "running", std::uint64_t{ aReply.mLoad->mRunning } },
               { "waiting", std::uint64_t{ aReply.mLoad->mWaiting } },
               { "slots", std::uint64_t{ aReply.mLoad->mSlots } } });
  }
  aReplica.mReportedLoad.OnReport(*aReply.mLoad, aNow);
}

void
Gateway::UpdateBalancing(TimePoint aNow)
{
  const bool isLargeFleet = mOptions.mIsLargeFleet && mOptions.mIsLargeFleet();
  std::size_t balanced = 0;
  for (const auto& [name, pool] : mPools) {
    pool->SetBalanced(isLargeFleet && mRoutes && !mRoutes->IsShard(name));
    balanced += pool->IsBalanced(aNow) ? 1 : 0;
  }
  mMetrics.mBalancedServices.Set(static_cast<double>(balanced));
}

} // namespace wasabispar
