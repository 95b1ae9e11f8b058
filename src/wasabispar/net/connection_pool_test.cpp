/// @file
/// @brief Tests of the number of connections that a pool keeps open.
#include "wasabispar/net/connection_pool.hpp"

#include "wasabispar/net/http_server.hpp"
#include "worker_calls.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <memory>
#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// A pool of connections to a server on loopback that answers after 20 ms.
class Fixture
{
public:
  Worker mWorker;
  HttpServer mServer;
  std::shared_ptr<ConnectionPool> mPool;
  std::uint32_t mReservedConnections = 0;
  int mFailedConnects = 0;
  bool mAwaitsAcceptance = false;
  std::vector<Subscription> mTimers;

  Fixture()
    : mServer({ &mWorker.Context() }, {},
              [this](const HttpRequest&, const HttpRespondFn& aRespond) {
                mTimers.push_back(
                  mWorker.Timers().After(20ms, [aRespond] { aRespond({}); }));
              })
  {
    HandleError(
      [this]() -> Result<bool> {
        BOOST_LEAF_CHECK(mServer.Start());
        return true;
      },
      [](const Error&) { return false; });
  }

  ~Fixture()
  {
    OnWorker([this] { mPool->Stop(); });
    mWorker.Stop();
  }

  void Create(Duration aIdleTimeout, std::size_t aMinConnections)
  {
    CreateFor(mServer.Port(), aIdleTimeout, aMinConnections);
  }

  void CreateFor(std::uint16_t aPort, Duration aIdleTimeout, std::size_t aMinConnections)
  {
    ConnectionPoolOptions options;
    options.mIdleTimeout = aIdleTimeout;
    ConnectionPoolHooks hooks;
    hooks.mNow = [] { return BootClock::now(); };
    hooks.mTryReserveConnection = [this] { return ++mReservedConnections > 0; };
    hooks.mOnClosed = [this] { --mReservedConnections; };
    hooks.mExcessConnections = [] { return 0U; };
    hooks.mSlotLimit = [] { return 4U; };
    hooks.mMinConnections = [aMinConnections] { return aMinConnections; };
    hooks.mAwaitsAcceptance = [this] { return mAwaitsAcceptance; };
    hooks.mOnConnected = [] {};
    hooks.mOnConnectFailed = [this] { ++mFailedConnects; };
    mPool = std::make_shared<ConnectionPool>(
      mWorker.Context(), Endpoint{ "127.0.0.1", aPort }, options, std::move(hooks));
  }

  void OnWorker(const std::function<void()>& aFn) { RunAndWait(mWorker, aFn); }

  /// Runs @p aCount exchanges concurrently and checks that each ends with a response.
  void RunExchanges(std::size_t aCount, ConnectionPool::Handle aFirst)
  {
    std::vector<std::promise<HttpExchangeEnd>> ends(aCount);
    OnWorker([&] {
      for (std::size_t i = 0; i < aCount; ++i) {
        PooledRequest request;
        request.mDeadline = BootClock::now() + 2s;
        request.mDone = [&end = ends[i]](const HttpExchangeResult& aResult, bool) {
          end.set_value(aResult.mEnd);
        };
        mPool->Submit(aFirst + i, std::move(request));
      }
    });
    for (auto& end : ends) {
      CHECK(end.get_future().get() == HttpExchangeEnd::Response);
    }
  }

  std::size_t CountOpenAfterTick()
  {
    std::size_t open = 0;
    OnWorker([&] {
      mPool->Tick();
      open = mPool->Status().mOpenConnections;
    });
    return open;
  }
};

/// Accepts connections and resets each one at once, as an upstream does that has too
/// many.
class ResettingListener
{
public:
  explicit ResettingListener(Worker& aWorker)
    : mAcceptor(aWorker.Context(), { boost::asio::ip::address_v4::loopback(), 0 })
  {
    AcceptNext();
  }
  std::uint16_t Port() const { return mAcceptor.local_endpoint().port(); }
  int Accepted() const { return mAccepted; }
  void Close() { mAcceptor.close(); }

private:
  void AcceptNext()
  {
    mAcceptor.async_accept(
      [this](boost::system::error_code aError, boost::asio::ip::tcp::socket aSocket) {
        if (aError) {
          return;
        }
        ++mAccepted;
        aSocket.set_option(boost::asio::socket_base::linger(true, 0));
        aSocket.close();
        AcceptNext();
      });
  }

  boost::asio::ip::tcp::acceptor mAcceptor;
  int mAccepted = 0;
};

} // namespace

// After a power loss of VMs, the upstream still counts their connections against its
// limit, so the pool must not hold connections that it does not need.
TEST_CASE_FIXTURE(Fixture, "idle connections above the minimum are closed")
{
  Create(150ms, 1);
  RunExchanges(4, 1);
  CHECK(CountOpenAfterTick() > 1);
  for (ConnectionPool::Handle handle = 100; handle < 112; ++handle) {
    RunExchanges(1, handle);
  }
  CHECK(CountOpenAfterTick() == 1);
  CHECK(mReservedConnections == 1);
}

TEST_CASE_FIXTURE(Fixture, "without an idle timeout connections stay open")
{
  Create(0ms, 1);
  RunExchanges(4, 1);
  const auto open = CountOpenAfterTick();
  std::this_thread::sleep_for(250ms);
  CHECK(CountOpenAfterTick() == open);
}

TEST_CASE_FIXTURE(Fixture, "a pool with a minimum of 0 opens connections on demand")
{
  Create(50ms, 0);
  CHECK(CountOpenAfterTick() == 0);
  RunExchanges(1, 1);
  std::this_thread::sleep_for(120ms);
  CHECK(CountOpenAfterTick() == 0);
}

/// Guards against a reconnect storm: an upstream at its limit of connections resets each
/// new one, and the handshakes of a large fleet would take its slots.
TEST_CASE_FIXTURE(Fixture, "a pool whose new connections are reset reconnects ever later")
{
  std::unique_ptr<ResettingListener> listener;
  OnWorker([&] { listener = std::make_unique<ResettingListener>(mWorker); });
  CreateFor(listener->Port(), 0ms, 1);
  const auto end = BootClock::now() + 1500ms;
  while (BootClock::now() < end) {
    OnWorker([this] { mPool->Tick(); });
    std::this_thread::sleep_for(10ms);
  }
  // 200 ms, doubled each time and halved at most by the jitter: 0, 100, 300 and 700 ms at
  // the earliest, then 1500 ms.
  OnWorker([&] {
    CHECK(listener->Accepted() >= 2);
    CHECK(listener->Accepted() <= 5);
    listener->Close();
  });
}

/// Guards against the same storm from requests: a reset connection must not be replaced
/// at once for the next request.
TEST_CASE_FIXTURE(Fixture, "requests do not reconnect to an upstream that resets")
{
  std::unique_ptr<ResettingListener> listener;
  OnWorker([&] { listener = std::make_unique<ResettingListener>(mWorker); });
  CreateFor(listener->Port(), 50ms, 0);
  std::atomic<int> ended = 0;
  for (ConnectionPool::Handle handle = 1; handle <= 50; ++handle) {
    OnWorker([&] {
      PooledRequest request;
      request.mDeadline = BootClock::now() + 2s;
      request.mDone = [&ended](const HttpExchangeResult& aResult, bool) {
        CHECK(aResult.mEnd != HttpExchangeEnd::Response);
        ++ended;
      };
      mPool->Submit(handle, std::move(request));
    });
    std::this_thread::sleep_for(10ms);
  }
  std::this_thread::sleep_for(50ms);
  // Each ends at once, so that it can be sent elsewhere, and waits for no backoff.
  CHECK(ended == 50);
  OnWorker([&] {
    CHECK(listener->Accepted() <= 4);
    listener->Close();
  });
}

/// Guards against requests that count as possibly run although the upstream has reset
/// their new connection, because it had too many.
TEST_CASE_FIXTURE(Fixture, "nothing is sent on a new connection that is reset")
{
  mAwaitsAcceptance = true;
  std::unique_ptr<ResettingListener> listener;
  OnWorker([&] { listener = std::make_unique<ResettingListener>(mWorker); });
  CreateFor(listener->Port(), 50ms, 0);
  for (ConnectionPool::Handle handle = 1; handle <= 20; ++handle) {
    std::promise<bool> mayHaveBeenSent;
    OnWorker([&] {
      PooledRequest request;
      request.mDeadline = BootClock::now() + 2s;
      request.mDone = [&mayHaveBeenSent](const HttpExchangeResult&, bool aMayHave) {
        mayHaveBeenSent.set_value(aMayHave);
      };
      mPool->Submit(handle, std::move(request));
    });
    CHECK_FALSE(mayHaveBeenSent.get_future().get());
  }
  OnWorker([&] { listener->Close(); });
}

/// Guards against connections that are awaited for nothing: an accepted one is used.
TEST_CASE_FIXTURE(Fixture, "a new connection that is not reset is used after a moment")
{
  mAwaitsAcceptance = true;
  Create(150ms, 1);
  RunExchanges(4, 1);
}

/// Guards against an upstream that is lost for good: nothing else opens a connection to
/// it when the pool keeps none open and requests are sent elsewhere.
TEST_CASE_FIXTURE(Fixture, "a pool without a minimum reopens after a refused connection")
{
  std::uint16_t port = 0;
  OnWorker([&] { port = ResettingListener(mWorker).Port(); });
  CreateFor(port, 2s, 0);
  OnWorker([this] {
    PooledRequest request;
    request.mDeadline = BootClock::now() + 1s;
    request.mDone = [](const HttpExchangeResult&, bool) {};
    mPool->Submit(1, std::move(request));
  });
  std::this_thread::sleep_for(50ms);
  HttpServerOptions options;
  options.mPort = port;
  HttpServer server(
    { &mWorker.Context() }, options,
    [](const HttpRequest&, const HttpRespondFn& aRespond) { aRespond({}); });
  HandleError(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(server.Start());
      return true;
    },
    [](const Error&) { return false; });
  const auto end = BootClock::now() + 1s;
  std::size_t open = 0;
  while (open == 0 && BootClock::now() < end) {
    open = CountOpenAfterTick();
    std::this_thread::sleep_for(10ms);
  }
  CHECK(open == 1);
}

/// Guards against an upstream that works for a caller that has left: a request states the
/// time left, and may wait for a connection before it is sent.
TEST_CASE_FIXTURE(Fixture, "a request is made when it is sent, not when it is submitted")
{
  Create(0ms, 1);
  constexpr int kRequests = 12;
  std::vector<std::promise<Duration>> waits(kRequests);
  std::vector<std::promise<HttpExchangeEnd>> ends(kRequests);
  OnWorker([&] {
    const auto submittedAt = BootClock::now();
    for (int i = 0; i < kRequests; ++i) {
      PooledRequest request;
      request.mDeadline = submittedAt + 2s;
      auto& wait = waits[static_cast<std::size_t>(i)];
      request.mMakeRequest = [&wait, submittedAt](TimePoint aSentAt) {
        wait.set_value(aSentAt - submittedAt);
        return HttpRequest{};
      };
      auto& end = ends[static_cast<std::size_t>(i)];
      request.mDone = [&end](const HttpExchangeResult& aResult, bool) {
        end.set_value(aResult.mEnd);
      };
      mPool->Submit(static_cast<ConnectionPool::Handle>(i + 1), std::move(request));
    }
  });
  for (auto& end : ends) {
    CHECK(end.get_future().get() == HttpExchangeEnd::Response);
  }
  // Four at a time, 20 ms each.
  CHECK(waits.back().get_future().get() >= 40ms);
}

/// Guards against a crash that is found out late, and against a probe for each lost
/// exchange of an upstream that refuses connections.
TEST_CASE_FIXTURE(Fixture, "a probe ignores the reconnect delay once a second")
{
  ResettingListener listener(mWorker);
  CreateFor(listener.Port(), 1s, 0);
  OnWorker([&] {
    listener.Close();
    mPool->Probe();
  });
  REQUIRE(EventuallyOn(
    mWorker, [this] { return mFailedConnects == 1; }, 2s));
  OnWorker([this] { mPool->Probe(); });
  std::this_thread::sleep_for(50ms);
  OnWorker([this] { CHECK(mFailedConnects == 1); });
  std::this_thread::sleep_for(1s);
  OnWorker([this] { mPool->Probe(); });
  CHECK(EventuallyOn(
    mWorker, [this] { return mFailedConnects == 2; }, 1s));
  OnWorker([this] { CHECK(mReservedConnections == 0); });
}
