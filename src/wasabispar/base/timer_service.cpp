/// @file
/// @brief TimerService on an ordered map of due times, guarded by one lock.
#include "wasabispar/base/timer_service.hpp"

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace wasabispar {

Subscription::Subscription(Subscription&& aOther) noexcept
  : mCancel(std::exchange(aOther.mCancel, nullptr))
{
}

Subscription&
Subscription::operator=(Subscription&& aOther) noexcept
{
  if (this != &aOther) {
    Cancel();
    mCancel = std::exchange(aOther.mCancel, nullptr);
  }
  return *this;
}

void
Subscription::Cancel()
{
  if (auto cancel = std::exchange(mCancel, nullptr)) {
    cancel();
  }
}

struct TimerService::State
{
  struct Timer
  {
    TimePoint mDue;
    /// Zero for a one-shot timer.
    Duration mPeriod{};
    std::shared_ptr<TimerFn> mFn;
  };
  struct PauseObserver
  {
    Duration mThreshold{};
    std::shared_ptr<PauseFn> mFn;
  };
  using TimerId = std::uint64_t;

  NowFn mNow;
  /// Guards the members below.
  mutable std::mutex mMutex;
  TimerId mNextId = 1;
  std::map<TimerId, Timer> mTimers;
  /// Ordered by due time. Invariant: holds exactly one entry, with the key (mDue, id),
  /// for each element of mTimers.
  std::map<std::pair<TimePoint, TimerId>, TimerId> mQueue;
  std::map<TimerId, PauseObserver> mPauseObservers;
  std::optional<TimePoint> mLastRun;
  std::shared_ptr<TimerFn> mOnEarlierTimer;

  TimerId Add(Duration aDelay, Duration aPeriod, TimerFn aFn)
  {
    const auto due = mNow() + aDelay;
    std::unique_lock lock(mMutex);
    const auto id = mNextId++;
    mTimers[id] = { due, aPeriod, std::make_shared<TimerFn>(std::move(aFn)) };
    mQueue[{ due, id }] = id;
    const auto onEarlier = mQueue.begin()->second == id ? mOnEarlierTimer : nullptr;
    lock.unlock();
    if (onEarlier) {
      (*onEarlier)();
    }
    return id;
  }

  void Remove(TimerId aId)
  {
    std::lock_guard lock(mMutex);
    mPauseObservers.erase(aId);
    const auto timer = mTimers.find(aId);
    if (timer == mTimers.end()) {
      return;
    }
    mQueue.erase({ timer->second.mDue, aId });
    mTimers.erase(timer);
  }

  /// Starts a run at @p aNow, stores the time since the previous one in @p aGap and
  /// returns the callbacks whose threshold it exceeds.
  std::vector<std::shared_ptr<PauseFn>> TakePauseCallbacks(TimePoint aNow, Duration& aGap)
  {
    std::lock_guard lock(mMutex);
    std::vector<std::shared_ptr<PauseFn>> due;
    aGap = mLastRun ? aNow - *mLastRun : Duration{};
    mLastRun = aNow;
    for (const auto& [id, observer] : mPauseObservers) {
      if (aGap > observer.mThreshold) {
        due.push_back(observer.mFn);
      }
    }
    return due;
  }

  /// Returns the function of the next timer due at @p aNow, and reschedules the timer if
  /// it is periodic or removes it otherwise. Null if none is due.
  std::shared_ptr<TimerFn> TakeNextDue(TimePoint aNow)
  {
    std::lock_guard lock(mMutex);
    if (mQueue.empty() || mQueue.begin()->first.first > aNow) {
      return nullptr;
    }
    const auto id = mQueue.begin()->second;
    mQueue.erase(mQueue.begin());
    auto& timer = mTimers.at(id);
    auto fn = timer.mFn;
    if (timer.mPeriod > Duration{}) {
      timer.mDue = aNow + timer.mPeriod;
      mQueue[{ timer.mDue, id }] = id;
    } else {
      mTimers.erase(id);
    }
    return fn;
  }
};

TimerService::TimerService(NowFn aNow)
  : mState(std::make_shared<State>())
{
  mState->mNow = std::move(aNow);
}

TimerService::~TimerService() = default;

namespace {

/// Returns a subscription that removes the timer or pause observer @p aId.
template<class State>
Subscription
MakeSubscription(const std::shared_ptr<State>& aState, std::uint64_t aId)
{
  return Subscription([weak = std::weak_ptr<State>(aState), aId] {
    if (const auto state = weak.lock()) {
      state->Remove(aId);
    }
  });
}

} // namespace

Subscription
TimerService::Every(Duration aPeriod, TimerFn aFn)
{
  return MakeSubscription(mState, mState->Add(aPeriod, aPeriod, std::move(aFn)));
}

Subscription
TimerService::After(Duration aDelay, TimerFn aFn)
{
  return MakeSubscription(mState, mState->Add(aDelay, Duration{}, std::move(aFn)));
}

Subscription
TimerService::OnPause(Duration aThreshold, PauseFn aFn)
{
  std::lock_guard lock(mState->mMutex);
  const auto id = mState->mNextId++;
  mState->mPauseObservers[id] = { aThreshold, std::make_shared<PauseFn>(std::move(aFn)) };
  return MakeSubscription(mState, id);
}

void
TimerService::OnEarlierTimer(TimerFn aFn)
{
  std::lock_guard lock(mState->mMutex);
  mState->mOnEarlierTimer = std::make_shared<TimerFn>(std::move(aFn));
}

std::size_t
TimerService::RunDue()
{
  const auto now = mState->mNow();
  std::size_t ran = 0;
  Duration gap{};
  for (const auto& fn : mState->TakePauseCallbacks(now, gap)) {
    (*fn)(gap);
    ++ran;
  }
  while (const auto fn = mState->TakeNextDue(now)) {
    (*fn)();
    ++ran;
  }
  return ran;
}

std::optional<TimePoint>
TimerService::NextDue() const
{
  std::lock_guard lock(mState->mMutex);
  if (mState->mQueue.empty()) {
    return std::nullopt;
  }
  return mState->mQueue.begin()->first.first;
}

TimePoint
TimerService::Now() const
{
  return mState->mNow();
}

} // namespace wasabispar
