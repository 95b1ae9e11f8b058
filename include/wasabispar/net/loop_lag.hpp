/// @file
/// @brief How long an event may have waited for its worker before it is handled.
///
/// Load pattern: a VM with a small part of a core reads requests hundreds of milliseconds
/// after they arrived, while it processes a burst of other events. It must count that
/// time as part of what the caller waits.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <algorithm>

namespace wasabispar {

/// @brief Estimates the lag of an event loop from the delay of its wake-up timer, which
/// is due at least every 100 ms. Not thread-safe.
class LoopLag
{
public:
  /// @brief The wake-up timer was set to @p aDue.
  void OnScheduled(TimePoint aDue) { mDue = aDue; }
  /// @brief The handler of the wake-up timer runs. Events that were ready before it may
  /// have waited as long as the timer.
  void OnWake(TimePoint aNow)
  {
    mLastLag = std::max(Duration{}, aNow - mDue);
    mDue = TimePoint::max();
  }
  /// @brief The events that were ready at the last wake-up have been handled.
  void OnCaughtUp() { mLastLag = {}; }
  /// @brief Longest time that an event handled at @p aNow may have waited.
  Duration At(TimePoint aNow) const { return std::max(mLastLag, aNow - mDue); }

private:
  /// When the wake-up timer is due; far ahead before it was set.
  TimePoint mDue = TimePoint::max();
  /// Lag of the last wake-up while the loop catches up; otherwise zero.
  Duration mLastLag{};
};

} // namespace wasabispar
