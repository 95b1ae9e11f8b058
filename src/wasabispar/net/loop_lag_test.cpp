/// @file
/// @brief Tests of the lag of an event loop.
#include "wasabispar/net/loop_lag.hpp"

#include "wasabispar/net/http_server.hpp"
#include "wasabispar/net/worker.hpp"
#include "worker_calls.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <thread>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

TEST_CASE("the lag is the delay of the wake-up timer until the loop has caught up")
{
  LoopLag lag;
  const TimePoint due{ 100s };
  CHECK(lag.At(due) == 0ms);
  lag.OnScheduled(due);
  CHECK(lag.At(due + 40ms) == 40ms);
  lag.OnWake(due + 300ms);
  lag.OnScheduled(due + 400ms);
  CHECK(lag.At(due + 310ms) == 300ms);
  lag.OnCaughtUp();
  CHECK(lag.At(due + 310ms) == 0ms);
}

/// Guards against a wake-up that ends the lag of the one before it.
TEST_CASE("each late wake-up counts until the loop has caught up with it")
{
  LoopLag lag;
  const TimePoint due{ 100s };
  lag.OnScheduled(due);
  lag.OnWake(due + 300ms);
  lag.OnScheduled(due + 300ms);
  lag.OnWake(due + 400ms);
  CHECK(lag.At(due + 400ms) == 300ms);
  lag.OnCaughtUp();
  CHECK(lag.At(due + 400ms) == 100ms);
  lag.OnCaughtUp();
  CHECK(lag.At(due + 400ms) == 0ms);
}

/// Guards against events that a busy worker handles late as if they were new, and against
/// new events that are taken for late ones.
TEST_CASE("a worker knows the lag of events that waited, and forgets it afterwards")
{
  Worker worker;
  std::this_thread::sleep_for(50ms);
  worker.Post([] { std::this_thread::sleep_for(400ms); });
  Duration waited{};
  RunAndWait(worker, [&] { waited = worker.Lag(); });
  // The timer is set at most 100 ms ahead.
  CHECK(waited >= 300ms);
  std::this_thread::sleep_for(150ms);
  Duration later{};
  RunAndWait(worker, [&] { later = worker.Lag(); });
  CHECK(later < 100ms);
}

/// Guards against requests that are forwarded with the time in which their connections
/// waited to be accepted: with one connection accepted in each pass of the event loop,
/// the lag ended before the later ones were read.
TEST_CASE("the lag counts for all connections that waited to be accepted")
{
  constexpr std::size_t kConnections = 40;
  Worker worker;
  std::vector<Duration> lags;
  HttpServer server({ &worker.Context() }, {}, [&](HttpRequest, HttpRespondFn aRespond) {
    lags.push_back(worker.Lag());
    aRespond({});
  });
  REQUIRE(server.Start());
  std::this_thread::sleep_for(50ms);
  worker.Post([] { std::this_thread::sleep_for(600ms); });
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::socket> callers;
  for (std::size_t i = 0; i < kConnections; ++i) {
    callers.emplace_back(context).connect(
      { boost::asio::ip::address_v4::loopback(), server.Port() });
    boost::asio::write(callers.back(),
                       boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  }
  CHECK(EventuallyOn(
    worker, [&] { return lags.size() == kConnections; }, 5s));
  RunAndWait(worker, [&] { CHECK(*std::ranges::min_element(lags) >= 300ms); });
}
