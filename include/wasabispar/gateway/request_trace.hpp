/// @file
/// @brief Traces of the decisions on a request, written to the log when the request ends.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/routing/route.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabispar {

/// @brief A decision or event of one part of a request. Each step has a figure
/// (TraceEntry::mFigure), which is 0 unless stated otherwise.
enum class TraceStep : std::uint8_t
{
  /// First send of the part. Figure: expected response time in microseconds.
  Sent,
  /// Queued until an upstream is free. Figure: number of requests ahead in the queue.
  Queued,
  /// Sent to a second upstream because the first is overdue. Figure as for Sent.
  Hedged,
  /// Sent to another upstream because the earlier ones failed. Figure as for Sent.
  Retried,
  /// No hedge because the budget for extra sends is used up.
  HedgeDenied,
  /// No retry because the budget for extra sends is used up; the part is abandoned.
  RetryDenied,
  /// The upstream answered. Figure: time since the send in microseconds.
  Answered,
  /// The upstream did not run the request. Figure as for Answered.
  Shed,
  /// The upstream ran the request and failed. Figure as for Answered.
  Failed,
  /// The answer was lost or invalid. Figure as for Answered.
  Lost,
  /// No byte of the request was sent. Figure as for Answered.
  Unreachable,
  /// Not sent, because too many upstreams crashed while they ran the request. Figure: the
  /// fingerprint, as in the log lines on crashes.
  Blocked,
  /// Not sent before another part completes, because upstreams crashed while they ran the
  /// request. Figure as for Blocked.
  Held,
  /// The request was rejected here and returned before the time that was stated, so it
  /// waits behind the others of its priority.
  ReturnedEarly,
  /// The request is rejected because this VM's link or processor would make the answer
  /// late. Figure: expected time until they are free in microseconds.
  VmBusy,
  /// The part is abandoned because no upstream is left. Figure: number of upstreams
  /// tried, or before the first send the expected wait in the queue in microseconds.
  PartGivenUp,
};

/// @brief The name of a step in the log, for example `hedge-denied`.
std::string_view
ToText(TraceStep aStep);

/// @brief One entry of a trace.
struct TraceEntry
{
  TraceStep mStep = TraceStep::Sent;
  /// Index of the part.
  std::uint16_t mPart = 0;
  /// Age of the request at this step.
  Duration mAge{};
  /// Empty for steps without an upstream.
  UpstreamId mUpstream;
  /// A number whose meaning depends on the step; see TraceStep.
  std::uint64_t mFigure = 0;
};

/// @brief Collects the entries of one request up to a maximum; further entries are only
/// counted.
class RequestTrace
{
public:
  explicit RequestTrace(TimePoint aStart)
    : mStart(aStart)
  {
  }

  /// @brief Adds an entry.
  void Add(TraceStep aStep, std::size_t aPart, const UpstreamId& aUpstream,
           std::uint64_t aFigure, TimePoint aNow);
  const std::vector<TraceEntry>& Entries() const { return mEntries; }
  /// @brief Number of entries above the maximum, which were not kept.
  std::uint64_t Omitted() const { return mOmitted; }
  /// @brief Time at which the request arrived.
  TimePoint Start() const { return mStart; }

private:
  TimePoint mStart;
  std::vector<TraceEntry> mEntries;
  std::uint64_t mOmitted = 0;
};

/// @brief The result of a request for the log.
struct TraceEnd
{
  std::string_view mRequestId;
  std::string_view mRoute;
  /// Version of the route table by which the request was routed.
  std::uint64_t mTableVersion = 0;
  std::string_view mOutcome;
  /// HTTP status of the response; 0 when the caller disconnected.
  unsigned mStatus = 0;
  /// The service of each part of the request.
  std::span<const ServiceName> mServices;
  /// Number of parts that were answered.
  std::size_t mAnswered = 0;
  /// Latency objective of the route.
  Duration mObjective{};
};

/// @brief Writes traces to the log within a limit on lines per second: all steps of
/// requests that failed, were late or incomplete, and one line for each other request. A
/// trace above the limit is dropped as a whole. Not thread-safe.
class TraceLog
{
public:
  /// @brief Writes a trace, or counts its lines as dropped.
  void Write(const RequestTrace& aTrace, const TraceEnd& aEnd, TimePoint aNow);
  /// @brief Writes a line for a request that was refused before it was routed.
  void WriteUnrouted(std::string_view aRequestId, std::string_view aHost,
                     std::uint64_t aTableVersion, std::string_view aOutcome,
                     TimePoint aNow);
  /// @brief Number of lines dropped since the last call.
  std::uint64_t TakeDropped() { return std::exchange(mDroppedLines, 0); }

private:
  /// Takes tokens for @p aLines lines; false when there are too few.
  bool TakeLines(double aLines, TimePoint aNow);

  /// Token bucket: one token for each line.
  double mTokens = 0;
  TimePoint mRefilledAt{};
  std::uint64_t mDroppedLines = 0;
};

} // namespace wasabispar
