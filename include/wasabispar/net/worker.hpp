/// @file
/// @brief Worker threads, each with its own event loop and timer service.
#pragma once

#include "wasabispar/base/timer_service.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace wasabispar {

/// @brief Runs posted functions, socket handlers and timers on one thread. None of them
/// may block.
///
/// None of them should throw. If one does, because of a library that throws on what a
/// peer has sent, the exception is logged and ends that handler only: ending the process
/// would lose the requests of all callers.
class Worker
{
public:
  Worker();
  /// @brief Calls Stop().
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  boost::asio::io_context& Context();
  /// @brief Timers whose callbacks run on this worker.
  TimerService& Timers();
  /// @brief Longest time that the event that is being handled may have waited for this
  /// worker; at most 100 ms of it are not counted. Must be called on this worker.
  Duration Lag() const;
  /// @brief Schedules @p aFn on this worker. May be called from any thread.
  void Post(std::function<void()> aFn);
  /// @brief Runs @p aFn at once if called on this worker; otherwise calls Post().
  void Dispatch(std::function<void()> aFn);
  /// @brief Stops the event loop and waits for the thread. Functions still queued do not
  /// run.
  void Stop();

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// @brief A fixed set of workers. Callers pin work to a worker by a key, so that the
/// state of a key is used on one thread only.
class WorkerPool
{
public:
  explicit WorkerPool(std::size_t aCount);

  std::size_t Count() const { return mWorkers.size(); }
  /// @brief The worker for @p aIndex, which may exceed the number of workers.
  Worker& At(std::size_t aIndex) { return *mWorkers[aIndex % mWorkers.size()]; }
  /// @brief The event loops of all workers.
  std::vector<boost::asio::io_context*> Contexts();
  /// @brief Stops all workers.
  void Stop();

private:
  std::vector<std::unique_ptr<Worker>> mWorkers;
};

} // namespace wasabispar
