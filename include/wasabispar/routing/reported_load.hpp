/// @file
/// @brief The load of one upstream as it states it in its responses.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace wasabispar {

/// @brief The load that an upstream states in a response.
struct LoadReport
{
  /// Requests that run there, and requests that wait there.
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  /// Requests that the upstream runs at the same time; at least 1.
  std::uint32_t mSlots = 1;
  /// How long work takes there now, relative to usual: 2 is twice as long. Empty if it is
  /// not stated.
  std::optional<double> mSlowdown;

  bool operator==(const LoadReport&) const = default;
};

/// @brief Keeps the last load that one upstream stated, and adds what this VM has sent to
/// it since. Not thread-safe.
class ReportedLoad
{
public:
  /// @brief A response states @p aReport. Requests that were sent before, other than the
  /// answered one, are part of it.
  void OnReport(const LoadReport& aReport, TimePoint aNow);
  /// @brief This VM sent a request to the upstream.
  void OnSent();

  /// @brief The requests that run or wait at the upstream: the stated ones, fewer with
  /// the age of the report, and those that this VM has sent since. Empty when there is no
  /// report of the last second.
  std::optional<double> EstimateAt(TimePoint aNow) const;
  /// @brief How long work takes there, relative to usual; empty when there is no report
  /// of the last second, or when it does not state this.
  std::optional<double> SlowdownAt(TimePoint aNow) const;
  /// @brief Requests that the upstream runs at the same time by its last report; empty if
  /// there is none.
  std::optional<std::size_t> Slots() const;
  /// @brief Whether the upstream states its load: it did so within the last minute.
  bool IsReporting(TimePoint aNow) const;

private:
  /// Whether the last report says something about the load at @p aNow.
  bool IsFresh(TimePoint aNow) const;

  std::optional<LoadReport> mReport;
  TimePoint mReceivedAt{};
  /// Requests that this VM has sent after the last report.
  std::uint32_t mSentSince = 0;
};

} // namespace wasabispar
