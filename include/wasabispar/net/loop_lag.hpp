/// @file
/// @brief How long an event may have waited for its worker before it is handled.
///
/// Load pattern: a VM with a small part of a core reads requests hundreds of milliseconds
/// after they arrived, while it processes a burst of other events. It must count that
/// time as part of what the caller waits.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <algorithm>
#include <deque>

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
    mLags.push_back(std::max(Duration{}, aNow - mDue));
    mDue = TimePoint::max();
  }
  /// @brief The events that were ready at the first wake-up that was not followed by this
  /// call have been handled.
  void OnCaughtUp()
  {
    if (!mLags.empty()) {
      mLags.pop_front();
    }
  }
  /// @brief Delay of the wake-up timer; negative before it is due or set.
  Duration TimerDelay(TimePoint aNow) const { return aNow - mDue; }
  /// @brief Longest time that an event handled at @p aNow may have waited.
  Duration At(TimePoint aNow) const
  {
    auto longest = std::max(Duration{}, TimerDelay(aNow));
    for (const auto lag : mLags) {
      longest = std::max(longest, lag);
    }
    return longest;
  }

private:
  /// When the wake-up timer is due; far ahead before it was set.
  TimePoint mDue = TimePoint::max();
  /// Lags of the wake-ups after which the loop still catches up, the first of them first.
  std::deque<Duration> mLags;
};

} // namespace wasabispar
