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
  }
  LogEvent(isHigh ? LogLevel::Warning : LogLevel::Info,
           isHigh ? "connection-pressure" : "connection-pressure-ended", {});
}

} // namespace wasabispar
