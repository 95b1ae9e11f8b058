/// @file
/// @brief Reports when many upstreams begin, and cease, to refuse connections.
#include "wasabispar/gateway/gateway.hpp"

#include "wasabispar/base/log.hpp"

namespace wasabispar {

void
GatewayMetrics::CountConnectionPressure()
{
  mMetrics
    .Counter("wasabispar_gateway_connection_pressure_total",
             "Times at which many upstreams began to refuse connections.")
    .Increment();
}

void
Gateway::ReportConnectionPressure(TimePoint aNow)
{
  const bool isHigh = mOptions.mPools.mConnectionPressure->IsHigh(aNow);
  if (isHigh == mIsUnderConnectionPressure) {
    return;
  }
  mIsUnderConnectionPressure = isHigh;
  if (isHigh) {
    mMetrics.CountConnectionPressure();
    LogEvent(LogLevel::Warning, "connection-pressure", {});
  } else {
    LogEvent(LogLevel::Info, "connection-pressure-ended", {});
  }
}

} // namespace wasabispar
