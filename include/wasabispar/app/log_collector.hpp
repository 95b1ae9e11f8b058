/// @file
/// @brief Collects from the lines of several logs what concerns one request.
#pragma once

#include "wasabispar/app/log_facts.hpp"
#include "wasabispar/app/log_line.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabispar {

/// @brief Reads each log once, line by line. Its memory is bounded by the upstreams of
/// one VM, whatever the length of the logs.
class LogCollector
{
public:
  /// @brief Called at the end of a request, while its VM's facts are those of that time.
  using OnRequestFn = std::function<void(const LoggedRequest&)>;

  /// @param aRequestId the id of the requests that are reported; empty: all requests.
  LogCollector(std::string aRequestId, OnRequestFn aOnRequest)
    : mRequestId(std::move(aRequestId))
    , mOnRequest(std::move(aOnRequest))
  {
  }

  /// @brief Begins the log of another VM, with its name until a line `start` names it.
  void BeginVm(const std::string& aName);
  /// @brief Takes one line of the current VM.
  /// @return whether the line has an event.
  bool OnLine(std::string_view aLine);
  /// @brief Ends the last log.
  void Finish() { FlushSteps(); }
  /// @brief Requests that each VM rejected for lack of memory, which are not logged by
  /// id.
  const std::map<std::string, std::uint64_t>& RejectedForMemory() const
  {
    return mRejectedForMemory;
  }

private:
  void OnStart(const LogLine& aLine);
  void ForgetEarlierProcess(std::optional<std::int64_t> aStartedAtMs);
  void OnStep(const LogLine& aLine);
  void OnRequestEnd(const LogLine& aLine);
  void OnUnrouted(const LogLine& aLine);
  void OnUpstream(const LogLine& aLine);
  void OnVmState(const LogLine& aLine);
  void Report(const std::string& aId, std::optional<LoggedEnd> aEnd);
  void FlushSteps();
  LogFact FactOf(const LogLine& aLine) const;

  std::string mRequestId;
  OnRequestFn mOnRequest;
  std::map<std::string, std::uint64_t> mRejectedForMemory;
  VmFacts mVm;
  std::uint64_t mLineCount = 0;
  /// The steps of the request whose lines are being read; the daemon writes the lines of
  /// a request without others in between.
  std::string mStepsOf;
  std::vector<LoggedStep> mSteps;
};

} // namespace wasabispar
