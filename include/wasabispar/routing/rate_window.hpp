/// @file
/// @brief Counts the requests to one upstream in a sliding window.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/routing/fleet_rate_share.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace wasabispar {

/// @brief The times of the last requests to one upstream. Not thread-safe.
class RateWindow
{
public:
  /// @brief A request is sent. Requests older than @p aKept are discarded.
  void OnSent(TimePoint aNow, Duration aKept);
  /// @brief When the next request may be sent: @p aNow if one may be sent now; empty if
  /// the share allows none.
  /// @param aReserved requests that are promised but not sent yet.
  std::optional<TimePoint> NextSendAt(const RateShare& aShare, std::size_t aReserved,
                                      TimePoint aNow) const;
  /// @brief The last counted request; empty if there is none.
  std::optional<TimePoint> LastSentAt() const;

private:
  /// Oldest first.
  std::deque<TimePoint> mSentAt;
};

} // namespace wasabispar
