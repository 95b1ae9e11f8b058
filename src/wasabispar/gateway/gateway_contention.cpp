/// @file
/// @brief Reports on requests whose callers contend for insufficient capacity.
#include "wasabispar/base/log.hpp"
#include "wasabispar/gateway/gateway.hpp"

#include <utility>

namespace wasabispar {

namespace {

/// Least time between two log lines on rejections.
constexpr Duration kReportPeriod = std::chrono::seconds(1);

} // namespace

void
GatewayMetrics::CountEarlyReturn()
{
  mMetrics
    .Counter("wasabispar_gateway_early_returns_total",
             "Requests that returned before the time that their rejection stated.")
    .Increment();
}

void
GatewayMetrics::SetExpectedBytes(std::uint64_t aBytes)
{
  mMetrics
    .Gauge("wasabispar_gateway_expected_bytes",
           "Expected size of the responses to open requests.")
    .Set(static_cast<double>(aBytes));
}

void
Gateway::ReportLinkLoad(TimePoint aNow)
{
  if (!mLinkLoad) {
    return;
  }
  mMetrics.SetExpectedBytes(mLinkLoad->ExpectedBytes());
  if (mBusyRejectionCount == 0 || aNow - mBusyReportedAt < kReportPeriod) {
    return;
  }
  mBusyReportedAt = aNow;
  LogEvent(
    LogLevel::Warning, "vm-busy",
    { { "rejected", std::exchange(mBusyRejectionCount, 0) },
      { "expected_bytes", mLinkLoad->ExpectedBytes() },
      { "behind_ms", static_cast<std::uint64_t>(ToMilliseconds(mWorker.Lag())) } });
}

} // namespace wasabispar
