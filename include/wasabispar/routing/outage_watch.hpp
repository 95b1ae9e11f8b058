/// @file
/// @brief Outages of one upstream as observed by this VM's connections.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <optional>

namespace wasabispar {

/// @brief When an upstream could not be reached. Not thread-safe.
class OutageWatch
{
public:
  /// @brief No connection is open, and the last attempt to open one failed.
  void OnUnreachable(TimePoint aNow);
  /// @brief A connection was opened. Returns the begin of the outage that this ended if
  /// it lasted long enough for the upstream to have restarted; empty otherwise.
  std::optional<TimePoint> OnConnected(TimePoint aNow);
  /// @brief Whether no outage was observed from @p aSince until now.
  bool WasReachableSince(TimePoint aSince) const;

private:
  std::optional<TimePoint> mUnreachableSince;
  /// The end of the last outage.
  std::optional<TimePoint> mReturnedAt;
};

} // namespace wasabispar
