/// @file
/// @brief A timer service that parts subscribe to. It runs on an injected clock, so
/// tests run in virtual time, and it reports a pause of the process as an event.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace wasabispar {

/// @brief Cancels its timer on destruction. Empty after a move.
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

  /// @brief Cancels now; no callback starts afterwards. Does nothing when empty.
  void Cancel();

private:
  std::function<void()> mCancel;
};

/// @brief Timers on an injected clock. Thread-safe; callbacks run on the thread that
/// calls RunDue(), without a lock held.
class TimerService
{
public:
  using TimerFn = std::function<void()>;
  using PauseFn = std::function<void(Duration aGap)>;

  explicit TimerService(NowFn aNow);
  ~TimerService();

  /// @brief Runs @p aFn each @p aPeriod; after a pause it runs once, not once for each
  /// period missed.
  Subscription Every(Duration aPeriod, TimerFn aFn);
  /// @brief Runs @p aFn once after @p aDelay.
  Subscription After(Duration aDelay, TimerFn aFn);
  /// @brief Runs @p aFn before any due timer when two calls of RunDue() are further
  /// apart than @p aThreshold.
  Subscription OnPause(Duration aThreshold, PauseFn aFn);

  /// @brief Sets a function that is called, without a lock held and on the thread that
  /// adds the timer, when a new timer becomes the next one due.
  void OnEarlierTimer(TimerFn aFn);

  /// @brief Runs what is due; returns the number of callbacks that ran.
  std::size_t RunDue();
  /// @brief When the next timer is due; empty when there is none.
  std::optional<TimePoint> NextDue() const;
  /// @brief The time of the injected clock.
  TimePoint Now() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace wasabispar
