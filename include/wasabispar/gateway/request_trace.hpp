/// @file
/// @brief The decisions on one request, written to the log when the request ends.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabispar {

/// @brief A decision on a request or one of its parts.
enum class TraceStep : std::uint8_t
{
  /// Sent to an upstream as the first one. Figure: its expected response time in us.
  Sent,
  /// Waits for a free upstream. Figure: requests ahead.
  Queued,
  /// A second upstream is asked, since the first is overdue. Figure as Sent.
  Hedged,
  /// Another upstream is asked, since the first failed. Figure as Sent.
  Retried,
  /// No hedge: the budget for extra load is used up.
  HedgeDenied,
  RetryDenied,
  /// The upstream answered. Figure: response time in us.
  Answered,
  /// The upstream did not run it. Figure as Answered.
  Shed,
  /// The upstream ran it and failed. Figure as Answered.
  Failed,
  /// The answer was lost or invalid. Figure as Answered.
  Lost,
  /// No byte could be sent. Figure as Answered.
  Unreachable,
  /// No upstream is left for the part.
  PartGivenUp,
};

std::string_view
ToText(TraceStep aStep);

/// @brief One entry of a trace.
struct TraceEntry
{
  TraceStep mStep = TraceStep::Sent;
  std::uint16_t mPart = 0;
  /// Age of the request.
  Duration mAge{};
  UpstreamId mUpstream;
  std::uint64_t mFigure = 0;
};

/// @brief Collects the entries of one request. Bounded; further ones are counted.
class RequestTrace
{
public:
  explicit RequestTrace(TimePoint aStart)
    : mStart(aStart)
  {
  }

  void Add(TraceStep aStep, std::size_t aPart, const UpstreamId& aUpstream,
           std::uint64_t aFigure, TimePoint aNow);
  const std::vector<TraceEntry>& Entries() const { return mEntries; }
  std::uint64_t Omitted() const { return mOmitted; }
  TimePoint Start() const { return mStart; }

private:
  TimePoint mStart;
  std::vector<TraceEntry> mEntries;
  std::uint64_t mOmitted = 0;
};

/// @brief The end of a request for the log.
struct TraceEnd
{
  std::string_view mRequestId;
  std::string_view mRoute;
  std::uint64_t mTableVersion = 0;
  std::string_view mOutcome;
  unsigned mStatus = 0;
  std::size_t mParts = 0;
  std::size_t mAnswered = 0;
  Duration mObjective{};
};

/// @brief Writes traces within a bound on lines for each second: all decisions of
/// requests that failed, were late or incomplete, one line for a sample of the others.
/// Not thread-safe.
class TraceLog
{
public:
  /// @brief Writes the trace, or counts its lines as dropped.
  void Write(const RequestTrace& aTrace, const TraceEnd& aEnd, TimePoint aNow);
  /// @brief Writes a line for a request that was refused before it was routed.
  void WriteUnrouted(std::string_view aRequestId, std::string_view aHost,
                     std::uint64_t aTableVersion, std::string_view aOutcome,
                     TimePoint aNow);
  /// @brief Lines dropped since the last call.
  std::uint64_t TakeDropped() { return std::exchange(mDropped, 0); }

private:
  bool TakeLines(double aLines, TimePoint aNow);

  double mTokens = 0;
  TimePoint mRefilledAt{};
  std::uint64_t mDropped = 0;
};

} // namespace wasabispar
