/// @file
/// @brief The record of a case: one line for each message and each disruption.
#pragma once

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// @brief Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// @brief The file `record.txt`. Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }

  /// @brief Milliseconds since the start of the case.
  std::int64_t Now() const
  {
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - mStart).count();
  }

  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ", static_cast<double>(Now()) / 1000);
    mFile << time << aText << std::endl;
  }

private:
  Clock::time_point mStart = Clock::now();
  std::mutex mMutex;
  std::ofstream mFile;
};

/// @brief Whether the case runs with its disruption; false if TROUBLE is 0.
inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

inline void
Sleep(std::int64_t aMilliseconds)
{
  std::this_thread::sleep_for(Milliseconds(aMilliseconds));
}

/// @brief Waits until @p aTime of the record.
inline void
SleepUntil(const Record& aRecord, std::int64_t aTime)
{
  const auto left = aTime - aRecord.Now();
  if (left > 0) {
    Sleep(left);
  }
}

} // namespace review
