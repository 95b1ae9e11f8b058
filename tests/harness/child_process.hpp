/// @file
/// @brief A child process that a test or measurement starts, signals and always ends.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <boost/json.hpp>

namespace wasabispar::harness {

/// @brief How a process ended: its exit status, or the signal that ended it.
struct ProcessEnd
{
  std::optional<int> mExitStatus;
  std::optional<int> mSignal;
};

/// @brief One child process. The destructor kills it by its id and waits for it. The
/// kernel kills it too when the thread that started it ends.
///
/// Failures throw std::runtime_error, which fails the test that uses the harness.
class ChildProcess
{
public:
  /// @brief Starts @p aProgram, a file name in the build directory, with @p aArguments.
  /// Its standard error goes to @p aLogPath, or to this process's when empty.
  ChildProcess(const std::string& aProgram, std::vector<std::string> aArguments,
               const std::string& aLogPath = {});
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Id() const { return mId; }
  /// @brief Waits for the first line on standard output and parses it as JSON.
  boost::json::object ReadStartLine(std::chrono::milliseconds aTimeout);
  /// @brief Sends @p aSignal; does nothing when the process has ended.
  void Signal(int aSignal);
  /// @brief Waits for the end; empty when it does not end in time.
  std::optional<ProcessEnd> WaitForEnd(std::chrono::milliseconds aTimeout);
  bool IsRunning();
  /// @brief CPU time used so far, user and system, from /proc.
  std::chrono::milliseconds CpuTime() const;

private:
  std::string mProgram;
  pid_t mId = -1;
  int mOutput = -1;
  std::optional<ProcessEnd> mEnd;
};

} // namespace wasabispar::harness
