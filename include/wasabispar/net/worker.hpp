/// @file
/// @brief A worker: one thread with one event loop and one timer service.
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

/// @brief Runs posted functions, sockets and timers on one thread. No call on it may
/// block.
class Worker
{
public:
  Worker();
  /// Stops the thread; what is still queued does not run.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  boost::asio::io_context& Context();
  TimerService& Timers();
  /// @brief Runs @p aFn later on this worker. Callable from any thread.
  void Post(std::function<void()> aFn);
  /// @brief Runs @p aFn now when called on this worker, otherwise like Post().
  void Dispatch(std::function<void()> aFn);
  /// @brief Stops the event loop and waits for the thread.
  void Stop();

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// @brief A fixed set of workers. Work is pinned to one of them by a key, so that state
/// of one key is used on one thread.
class WorkerPool
{
public:
  explicit WorkerPool(std::size_t aCount);

  std::size_t Count() const { return mWorkers.size(); }
  Worker& At(std::size_t aIndex) { return *mWorkers[aIndex % mWorkers.size()]; }
  std::vector<boost::asio::io_context*> Contexts();
  /// @brief Stops all workers.
  void Stop();

private:
  std::vector<std::unique_ptr<Worker>> mWorkers;
};

} // namespace wasabispar
