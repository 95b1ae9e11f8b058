/// @file
/// @brief Implements child processes on fork, exec and poll.
#include "tests/harness/child_process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace wasabispar::harness {

namespace {

using Clock = std::chrono::steady_clock;
constexpr auto kPollInterval = std::chrono::milliseconds(5);
/// Position of utime in /proc/<pid>/stat, counted after the closing parenthesis.
constexpr std::size_t kUserTimeField = 11;

/// Runs in the child: only async-signal-safe calls.
[[noreturn]] void
RunChild(const char* aPath, char* const* aArguments, int aOutput, int aErrors)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(aOutput, STDOUT_FILENO);
  if (aErrors >= 0) {
    dup2(aErrors, STDERR_FILENO);
  }
  execv(aPath, aArguments);
  _exit(127);
}

/// The descriptor to append to @p aPath, -1 when it is empty.
int
OpenLog(const std::string& aPath)
{
  return aPath.empty()
           ? -1
           : open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

/// One line of a file in /proc; empty when it can't be read.
std::string
FirstLine(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::string line;
  std::getline(file, line);
  return line;
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           std::vector<std::string> aArguments, const ChildLogs& aLogs)
  : mProgram(aProgram)
{
  const std::string path = std::string(WASABISPAR_BINARY_DIR) + "/" + aProgram;
  if (access(path.c_str(), X_OK) != 0) {
    throw std::runtime_error(path + " is not built");
  }
  std::vector<char*> arguments{ const_cast<char*>(path.c_str()) };
  for (auto& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe failed");
  }
  const int errors = OpenLog(aLogs.mErrors);
  const int output = OpenLog(aLogs.mOutput);
  mId = fork();
  if (mId == 0) {
    RunChild(path.c_str(), arguments.data(), output >= 0 ? output : ends[1], errors);
  }
  close(ends[1]);
  for (const int file : { errors, output }) {
    if (file >= 0) {
      close(file);
    }
  }
  mOutput = ends[0];
  if (mId < 0) {
    close(mOutput);
    throw std::runtime_error("fork failed");
  }
}

ChildProcess::~ChildProcess()
{
  if (!mEnd) {
    kill(mId, SIGKILL);
    waitpid(mId, nullptr, 0);
  }
  close(mOutput);
}

boost::json::object
ChildProcess::ReadStartLine(std::chrono::milliseconds aTimeout)
{
  const auto end = Clock::now() + aTimeout;
  std::string line;
  char byte = 0;
  while (true) {
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
    pollfd waiter{ mOutput, POLLIN, 0 };
    if (left.count() <= 0 || poll(&waiter, 1, static_cast<int>(left.count())) <= 0) {
      throw std::runtime_error(mProgram + " printed no start line in time");
    }
    if (read(mOutput, &byte, 1) != 1) {
      throw std::runtime_error(mProgram + " ended before its start line");
    }
    if (byte == '\n') {
      break;
    }
    line.push_back(byte);
  }
  return boost::json::parse(line).as_object();
}

void
ChildProcess::Signal(int aSignal)
{
  if (IsRunning()) {
    kill(mId, aSignal);
  }
}

bool
ChildProcess::IsRunning()
{
  return !WaitForEnd(std::chrono::milliseconds(0));
}

std::optional<ProcessEnd>
ChildProcess::WaitForEnd(std::chrono::milliseconds aTimeout)
{
  const auto end = Clock::now() + aTimeout;
  while (!mEnd) {
    int status = 0;
    if (waitpid(mId, &status, WNOHANG) == mId) {
      mEnd.emplace();
      if (WIFEXITED(status)) {
        mEnd->mExitStatus = WEXITSTATUS(status);
      } else if (WIFSIGNALED(status)) {
        mEnd->mSignal = WTERMSIG(status);
      }
    } else if (Clock::now() >= end) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return mEnd;
}

std::string
ChildProcess::Describe()
{
  namespace fs = std::filesystem;
  std::ostringstream text;
  text << mProgram << " (" << mId << ") ";
  if (!IsRunning()) {
    text << "ended, status " << mEnd->mExitStatus.value_or(-1) << ", signal "
         << mEnd->mSignal.value_or(0);
    return text.str();
  }
  std::error_code ignored;
  const fs::path tasks = "/proc/" + std::to_string(mId) + "/task";
  for (const auto& task : fs::directory_iterator(tasks, ignored)) {
    text << "\n  " << FirstLine(task.path() / "stat") << " in "
         << FirstLine(task.path() / "wchan");
  }
  return text.str();
}

std::chrono::milliseconds
ChildProcess::CpuTime() const
{
  std::ifstream file("/proc/" + std::to_string(mId) + "/stat");
  std::string text;
  std::getline(file, text);
  const auto nameEnd = text.rfind(')');
  if (nameEnd == std::string::npos) {
    return {};
  }
  std::istringstream rest(text.substr(nameEnd + 1));
  const std::vector<std::string> fields{ std::istream_iterator<std::string>(rest), {} };
  if (fields.size() <= kUserTimeField + 1) {
    return {};
  }
  const auto ticks =
    std::stoll(fields[kUserTimeField]) + std::stoll(fields[kUserTimeField + 1]);
  return std::chrono::milliseconds(ticks * 1000 / sysconf(_SC_CLK_TCK));
}

} // namespace wasabispar::harness
