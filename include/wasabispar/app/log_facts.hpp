/// @file
/// @brief What the log of a VM tells about a request and about the state of the VM.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief A line on the state of a VM or of an upstream.
struct LogFact
{
  /// The event, for example `upstream-quiet`.
  std::string mEvent;
  /// What the event is about: the change of an upstream, the version of a configuration
  /// or the source of the store's changes. Empty for other events.
  std::string mSubject;
  /// The request that the line names; empty if there is none.
  std::string mRequest;
  /// A duration in milliseconds or a count, as the event has it; else 0.
  std::uint64_t mNumber = 0;
  /// LogLine::TimeMs().
  std::optional<std::int64_t> mTimeMs;
  /// Number of the line among all lines of the VM.
  std::uint64_t mLine = 0;
};

/// @brief The last lines of each event about one subject, in the order of the log.
class FactHistory
{
public:
  /// @brief Adds a fact and drops the oldest of the same event beyond a bound.
  void Add(LogFact aFact);
  /// @brief Drops facts from before @p aTimeMs, and those without a time.
  void DropBefore(std::int64_t aTimeMs);
  bool IsEmpty() const { return mFacts.empty(); }
  /// @brief The last fact of one of @p aEvents until @p aUntilMs; without a time, or for
  /// a fact without one, the order of the log decides. Null if there is none.
  const LogFact* Last(const std::vector<std::string_view>& aEvents,
                      std::optional<std::int64_t> aUntilMs) const;

private:
  std::vector<LogFact> mFacts;
};

/// @brief What a VM's log tells about one upstream.
struct UpstreamFacts
{
  /// Empty if no line names it.
  std::string mService;
  std::string mDataCentre;
  FactHistory mHistory;
};

/// @brief What a VM's log tells about the VM since its last start.
struct VmFacts
{
  /// From the line `start`, else from the name of the file.
  std::string mName;
  /// Whether the log has the VM's start, so that it has all that the VM learnt.
  bool mHasStart = false;
  /// The log has lines of several VMs, so that its lines on states cannot be assigned.
  bool mIsMixed = false;
  /// There were more upstreams than are kept.
  bool mIsIncomplete = false;
  std::map<std::string, UpstreamFacts> mUpstreams;
  /// By data centre.
  std::map<std::string, FactHistory> mEvacuations;
  FactHistory mHistory;
};

/// @brief One line `request-step`.
struct LoggedStep
{
  std::string mStep;
  std::size_t mPart = 0;
  /// Empty in the lines of older versions.
  std::string mService;
  std::string mUpstream;
  std::uint64_t mAtUs = 0;
  std::uint64_t mFigure = 0;
};

/// @brief The line `request-end` or `request-unrouted`.
struct LoggedEnd
{
  bool mIsRouted = true;
  std::string mOutcome;
  /// The route, or the host of a request that was not routed.
  std::string mRoute;
  std::string mConfigVersion;
  std::uint64_t mStatus = 0;
  std::uint64_t mParts = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mStepsOmitted = 0;
  std::uint64_t mTookUs = 0;
  /// LogLine::TimeMs().
  std::optional<std::int64_t> mTimeMs;
};

/// @brief A request as one VM logged it.
struct LoggedRequest
{
  std::string mId;
  std::vector<LoggedStep> mSteps;
  /// Empty if the line is missing.
  std::optional<LoggedEnd> mEnd;
  /// What the VM's log tells up to the end of the request; valid until the next line is
  /// read.
  const VmFacts* mVm = nullptr;

  /// @brief The log's time at @p aAtUs after the arrival; empty if the lines have no
  /// time.
  std::optional<std::int64_t> TimeAt(std::uint64_t aAtUs) const;
};

} // namespace wasabispar
