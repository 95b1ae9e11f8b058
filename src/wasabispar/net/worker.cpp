/// @file
/// @brief Worker and WorkerPool on Boost.Asio.
#include "wasabispar/net/worker.hpp"

#include "wasabispar/base/log.hpp"
#include "wasabispar/net/loop_lag.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <exception>
#include <thread>

namespace wasabispar {

namespace asio = boost::asio;

namespace {

/// Maximum interval between two runs of the timer service. A much longer interval means
/// that the process was paused.
constexpr Duration kMaxTimerInterval = std::chrono::milliseconds(100);
/// A wake-up that is at most this late shows no waiting events.
constexpr Duration kNegligibleLag = std::chrono::milliseconds(50);
/// Passes of the event loop until the events that were ready at a late wake-up have been
/// handled: to accept a connection, to read a request from it and to handle that request
/// takes a pass each.
constexpr int kCatchUpPasses = 8;

} // namespace

struct Worker::State
{
  asio::io_context mContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mWork{
    mContext.get_executor()
  };
  TimerService mTimers{ [] { return BootClock::now(); } };
  asio::steady_timer mWakeTimer{ mContext };
  LoopLag mLag;
  std::thread mThread;

  /// Sets mWakeTimer to the due time of the next timer, at most kMaxTimerInterval ahead.
  /// Runs on the worker.
  void ArmTimer()
  {
    NoteWake();
    auto delay = kMaxTimerInterval;
    if (const auto due = mTimers.NextDue()) {
      delay =
        std::clamp<Duration>(*due - BootClock::now(), Duration{}, kMaxTimerInterval);
    }
    mLag.OnScheduled(BootClock::now() + delay);
    mWakeTimer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(delay));
    mWakeTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        NoteWake();
        RunTimers();
        ArmTimer();
      }
    });
  }

  /// Runs the due timers. One that throws does not keep the others from being run.
  void RunTimers()
  {
    try {
      mTimers.RunDue();
    } catch (const std::exception& error) {
      ReportException(error);
    }
  }

  /// Runs the event loop until it is stopped. An exception ends the handler that threw
  /// it, and what only that handler refers to, such as its connection.
  void Run()
  {
    while (!mContext.stopped()) {
      try {
        mContext.run();
      } catch (const std::exception& error) {
        ReportException(error);
      }
    }
  }

  static void ReportException(const std::exception& aError)
  {
    LogEvent(LogLevel::Error, "handler-failed", { { "cause", aError.what() } });
  }

  /// Records how late the worker wakes up.
  void NoteWake()
  {
    const auto now = BootClock::now();
    // Not Worker::Lag(), which includes the wake-ups that were noted before.
    if (mLag.TimerDelay(now) > kNegligibleLag) {
      mLag.OnWake(now);
      CatchUp(kCatchUpPasses);
    }
  }

  /// Ends the lag of a wake-up after @p aPasses passes of the event loop.
  void CatchUp(int aPasses)
  {
    if (aPasses == 0) {
      mLag.OnCaughtUp();
      return;
    }
    asio::post(mContext, [this, aPasses] { CatchUp(aPasses - 1); });
  }
};

Worker::Worker()
  : mState(std::make_unique<State>())
{
  auto& state = *mState;
  state.mTimers.OnEarlierTimer(
    [&state] { asio::post(state.mContext, [&state] { state.ArmTimer(); }); });
  asio::post(state.mContext, [&state] { state.ArmTimer(); });
  state.mThread = std::thread([&state] { state.Run(); });
}

Worker::~Worker()
{
  Stop();
}

asio::io_context&
Worker::Context()
{
  return mState->mContext;
}

TimerService&
Worker::Timers()
{
  return mState->mTimers;
}

Duration
Worker::Lag() const
{
  return mState->mLag.At(BootClock::now());
}

void
Worker::Post(std::function<void()> aFn)
{
  asio::post(mState->mContext, std::move(aFn));
}

void
Worker::Dispatch(std::function<void()> aFn)
{
  asio::dispatch(mState->mContext, std::move(aFn));
}

void
Worker::Stop()
{
  mState->mWork.reset();
  mState->mContext.stop();
  if (mState->mThread.joinable()) {
    mState->mThread.join();
  }
}

WorkerPool::WorkerPool(std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    mWorkers.push_back(std::make_unique<Worker>());
  }
}

std::vector<asio::io_context*>
WorkerPool::Contexts()
{
  std::vector<asio::io_context*> contexts;
  for (const auto& worker : mWorkers) {
    contexts.push_back(&worker->Context());
  }
  return contexts;
}

void
WorkerPool::Stop()
{
  for (const auto& worker : mWorkers) {
    worker->Stop();
  }
}

} // namespace wasabispar
