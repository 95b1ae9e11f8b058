/// @file
/// @brief Calls from a test's thread to a worker.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/net/worker.hpp"

#include <functional>
#include <future>
#include <thread>

namespace wasabispar {

/// @brief Runs @p aFn on @p aWorker and waits for it.
inline void
RunAndWait(Worker& aWorker, const std::function<void()>& aFn)
{
  std::promise<void> done;
  aWorker.Post([&] {
    aFn();
    done.set_value();
  });
  done.get_future().wait();
}

/// @brief Checks @p aPredicate on @p aWorker each 10 ms until it holds. False when it
/// does not in time.
inline bool
EventuallyOn(Worker& aWorker, const std::function<bool()>& aPredicate, Duration aTimeout)
{
  const auto end = BootClock::now() + aTimeout;
  while (BootClock::now() < end) {
    bool holds = false;
    RunAndWait(aWorker, [&] { holds = aPredicate(); });
    if (holds) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

} // namespace wasabispar
