/// @file
/// @brief Tests of Worker: what an exception in a handler ends.
#include "wasabispar/net/worker.hpp"

#include "worker_calls.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <stdexcept>

using namespace wasabispar;
using namespace std::chrono_literals;

/// Guards against one message that ends the process and with it all requests that are
/// running: a library threw on what a peer had sent.
TEST_CASE("an exception ends only the handler that threw it")
{
  Worker worker;
  std::atomic<int> runs = 0;
  worker.Post([] { throw std::length_error("field value too large"); });
  RunAndWait(worker, [&] { ++runs; });
  const auto throwing =
    worker.Timers().After(1ms, [] { throw std::invalid_argument("invalid body"); });
  const auto periodic = worker.Timers().Every(5ms, [&] { ++runs; });
  CHECK(EventuallyOn(
    worker, [&] { return runs >= 4; }, 5s));
  worker.Stop();
}
