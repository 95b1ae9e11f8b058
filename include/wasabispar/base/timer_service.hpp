/// @file
/// @brief Timers on an injected clock, so that tests run in virtual time. Pauses of the
/// process are detected and reported.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace wasabispar {

/// @brief Owns a registered callback and cancels it on destruction. Empty after a move.
class Subscription
{
public:
  Subscription() = default;
  explicit Subscription(std::function<void()> aCancel)
    : mCancel(std::move(aCancel))
  {
  }
  Subscription(Subscription&& aOther) noexcept;
  Subscription& operator=(Subscription&& aOther) noexcept;
  Subscription(const Subscription&) = delete;
  Subscription& operator=(const Subscription&) = delete;
  ~Subscription() { Cancel(); }

  /// @brief Cancels the callback; it does not start afterwards. No effect if empty.
  void Cancel();

private:
  std::function<void()> mCancel;
};

/// @brief Runs callbacks periodically, after a delay or after a pause of the process.
/// Thread-safe; callbacks run on the thread that calls RunDue(), without a lock held.
class TimerService
{
public:
  using TimerFn = std::function<void()>;
  /// @brief Receives the time between two calls of RunDue().
  using PauseFn = std::function<void(Duration aGap)>;

  explicit TimerService(NowFn aNow);
  ~TimerService();

  /// @brief Runs @p aFn every @p aPeriod. Missed periods are not made up for: after a
  /// pause, @p aFn runs once.
  Subscription Every(Duration aPeriod, TimerFn aFn);
  /// @brief Runs @p aFn once after @p aDelay.
  Subscription After(Duration aDelay, TimerFn aFn);
  /// @brief Runs @p aFn, before any due timer, when more than @p aThreshold has passed
  /// between two calls of RunDue().
  Subscription OnPause(Duration aThreshold, PauseFn aFn);

  /// @brief Sets the function to call when a new timer becomes the next one due. It runs
  /// without a lock held, on the thread that adds the timer.
  void OnEarlierTimer(TimerFn aFn);

  /// @brief Runs all due callbacks and returns their number.
  std::size_t RunDue();
  /// @brief The due time of the next timer; empty if there is none.
  std::optional<TimePoint> NextDue() const;
  /// @brief The current time of the injected clock.
  TimePoint Now() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace wasabispar
