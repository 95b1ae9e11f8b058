/// @file
/// @brief Runs functions of a test on a worker.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/net/worker.hpp"

#include <functional>
#include <future>
#include <thread>

namespace wasabispar {

/// @brief Runs @p aFn on @p aWorker and waits until it has returned.
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

/// @brief Evaluates @p aPredicate on @p aWorker every 10 ms until it is true. Returns
/// false if it is not true within @p aTimeout.
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
