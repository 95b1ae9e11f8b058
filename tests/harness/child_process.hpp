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

/// @brief Files that take a child's output, each opened to append.
struct ChildLogs
{
  /// Standard error; empty: this process's.
  std::string mErrors;
  /// Standard output; empty: ReadStartLine() reads it.
  std::string mOutput;
};

/// @brief One child process. The destructor kills it by its id and waits for it. The
/// kernel kills it too when the thread that started it ends.
///
/// Failures throw std::runtime_error, which fails the test that uses the harness.
class ChildProcess
{
public:
  /// @brief Starts @p aProgram, a file name in the build directory, with @p aArguments.
  ChildProcess(const std::string& aProgram, std::vector<std::string> aArguments,
               const ChildLogs& aLogs = {});
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
  /// @brief What the kernel says of the process and each of its threads, for the message
  /// of a failed test: how it ended, or what each thread does.
  std::string Describe();
  /// @brief CPU time used so far, user and system, from /proc.
  std::chrono::milliseconds CpuTime() const;

private:
  std::string mProgram;
  pid_t mId = -1;
  int mOutput = -1;
  std::optional<ProcessEnd> mEnd;
};

} // namespace wasabispar::harness
