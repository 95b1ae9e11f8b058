/// @file
/// @brief What the gateway learns and reports of cold upstreams, and withdrawn requests.
#include "wasabispar/base/log.hpp"
#include "wasabispar/gateway/gateway.hpp"

namespace wasabispar {

namespace {

/// The name of a source in the log.
std::string_view
SourceText(ColdSource aSource)
{
  switch (aSource) {
    case ColdSource::Entry:
      return "entry";
    case ColdSource::Response:
      return "response";
    case ColdSource::Added:
      return "added";
    case ColdSource::EvacuationEnded:
      return "evacuation-ended";
    case ColdSource::Configured:
      return "configured";
    case ColdSource::Reconnected:
      break;
  }
  return "reconnected";
}

} // namespace

void
GatewayMetrics::CountCold(const ServiceName& aService)
{
  mMetrics
    .Counter("wasabispar_gateway_cold_upstreams_total",
             "Upstreams that became cold, so that few requests may be sent to them.",
             { { "service", aService.Text() } })
    .Increment();
}

void
GatewayMetrics::CountWithdrawal(const Replica& aReplica, TimePoint aNow)
{
  const auto& service = aReplica.mRecord.mService.Text();
  if (!aReplica.mRequestLimit.MayStart(aNow)) {
    mMetrics
      .Counter("wasabispar_gateway_limit_withdrawals_total",
               "Requests withdrawn before the first byte, as the upstream was at the "
               "request limit that it names.",
               { { "service", service } })
      .Increment();
    return;
  }
  mMetrics
    .Counter("wasabispar_gateway_cold_withdrawals_total",
             "Requests withdrawn before the first byte, as the upstream was cold.",
             { { "service", service } })
    .Increment();
}

void
Gateway::OnWarmupStated(ServicePool& aPool, Replica& aReplica,
                        const UpstreamReply& aReply)
{
  if (!aReply.mInvalidWarmup.empty()) {
    LogEvent(LogLevel::Warning, "upstream-warmup-ignored",
             { { "upstream", aReplica.mRecord.mId.Text() },
               { "value", aReply.mInvalidWarmup } });
  }
  if (aReply.mWarmupLeft) {
    aPool.OnWarmupStated(aReplica, *aReply.mWarmupLeft, BootClock::now());
  }
}

void
Gateway::OnCold(const Replica& aReplica, ColdSource aSource, Duration aLeft,
                const RateShare& aShare)
{
  const auto& record = aReplica.mRecord;
  mMetrics.CountCold(record.mService);
  LogEvent(LogLevel::Info, "upstream-cold",
           { { "upstream", record.mId.Text() },
             { "service", record.mService.Text() },
             { "source", SourceText(aSource) },
             { "for_ms", static_cast<std::uint64_t>(ToMilliseconds(aLeft)) },
             { "share", std::uint64_t{ aShare.mRequests } } });
}

void
Gateway::OnConnectEnd(const UpstreamIncarnation& aUpstream, bool aIsOpened)
{
  const auto now = BootClock::now();
  if (aIsOpened) {
    mCrashLimiter.OnConnected(aUpstream, now);
  } else {
    mCrashLimiter.OnConnectFailed(aUpstream, now);
  }
  const auto service = mServiceByUpstream.find(aUpstream.mId);
  if (service != mServiceByUpstream.end()) {
    PoolOf(service->second).OnConnectEnd(aUpstream.mId, aIsOpened, now);
  }
}

void
Gateway::OnEvacuationEnded(const DataCentreId& aDataCentre)
{
  const auto now = BootClock::now();
  for (const auto& [name, pool] : mPools) {
    pool->OnEvacuationEnded(aDataCentre, now);
  }
}

} // namespace wasabispar
