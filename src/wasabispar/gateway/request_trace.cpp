/// @file
/// @brief Collection of trace entries and their rate-limited log.
#include "wasabispar/gateway/request_trace.hpp"

#include "wasabispar/base/log.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// Maximum entries of one request. A fan-out to 54 shards with a hedge each needs about
/// 200.
constexpr std::size_t kMaxEntries = 256;
/// Rate and burst of log lines, limited to bound the processor time.
constexpr double kLinesPerSecond = 80;
constexpr double kMaxLineBurst = 400;

} // namespace

std::string_view
ToText(TraceStep aStep)
{
  switch (aStep) {
    case TraceStep::Sent:
      return "sent";
    case TraceStep::Queued:
      return "queued";
    case TraceStep::Hedged:
      return "hedged";
    case TraceStep::Retried:
      return "retried";
    case TraceStep::HedgeDenied:
      return "hedge-denied";
    case TraceStep::RetryDenied:
      return "retry-denied";
    case TraceStep::Answered:
      return "answered";
    case TraceStep::Shed:
      return "shed";
    case TraceStep::Failed:
      return "failed";
    case TraceStep::Lost:
      return "lost";
    case TraceStep::Unreachable:
      return "unreachable";
    case TraceStep::Held:
      return "held";
    case TraceStep::Blocked:
      return "blocked";
    case TraceStep::ReturnedEarly:
      return "returned-early";
    case TraceStep::VmBusy:
      return "vm-busy";
    case TraceStep::PartGivenUp:
      break;
  }
  return "part-given-up";
}

void
RequestTrace::Add(TraceStep aStep, std::size_t aPart, const UpstreamId& aUpstream,
                  std::uint64_t aFigure, TimePoint aNow)
{
  if (mEntries.size() >= kMaxEntries) {
    ++mOmitted;
    return;
  }
  mEntries.push_back(
    { aStep, static_cast<std::uint16_t>(aPart), aNow - mStart, aUpstream, aFigure });
}

void
TraceLog::Write(const RequestTrace& aTrace, const TraceEnd& aEnd, TimePoint aNow)
{
  const auto age = aNow - aTrace.Start();
  const bool isOnTimeAndComplete = aEnd.mStatus < 300 &&
                                   aEnd.mAnswered == aEnd.mServices.size() &&
                                   age <= aEnd.mObjective;
  const auto lines =
    isOnTimeAndComplete ? 1.0 : 1.0 + static_cast<double>(aTrace.Entries().size());
  if (!TakeLines(lines, aNow)) {
    mDroppedLines += static_cast<std::uint64_t>(lines);
    return;
  }
  if (!isOnTimeAndComplete) {
    for (const auto& entry : aTrace.Entries()) {
      LogEvent(LogLevel::Info, "request-step",
               { { "request", aEnd.mRequestId },
                 { "step", ToText(entry.mStep) },
                 { "part", std::uint64_t{ entry.mPart } },
                 { "service", aEnd.mServices[entry.mPart].Text() },
                 { "upstream", entry.mUpstream.Text() },
                 { "at_us", ToMicroseconds(entry.mAge) },
                 { "figure", entry.mFigure } });
    }
  }
  LogEvent(LogLevel::Info, "request-end",
           { { "request", aEnd.mRequestId },
             { "route", aEnd.mRoute },
             { "config_version", aEnd.mTableVersion },
             { "outcome", aEnd.mOutcome },
             { "status", std::uint64_t{ aEnd.mStatus } },
             { "parts", aEnd.mServices.size() },
             { "answered", aEnd.mAnswered },
             { "steps_omitted", aTrace.Omitted() },
             { "took_us", ToMicroseconds(age) } });
}

void
TraceLog::WriteUnrouted(std::string_view aRequestId, std::string_view aHost,
                        std::uint64_t aTableVersion, std::string_view aOutcome,
                        TimePoint aNow)
{
  if (!TakeLines(1, aNow)) {
    ++mDroppedLines;
    return;
  }
  LogEvent(LogLevel::Info, "request-unrouted",
           { { "request", aRequestId },
             { "host", aHost },
             { "config_version", aTableVersion },
             { "outcome", aOutcome } });
}

bool
TraceLog::TakeLines(double aLines, TimePoint aNow)
{
  const auto elapsed = std::chrono::duration<double>(aNow - mRefilledAt).count();
  mTokens = std::min(kMaxLineBurst, mTokens + elapsed * kLinesPerSecond);
  mRefilledAt = aNow;
  if (mTokens < aLines) {
    return false;
  }
  mTokens -= aLines;
  return true;
}

} // namespace wasabispar
