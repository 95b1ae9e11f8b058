/// @file
/// @brief Tests of the number of connections that a pool keeps open.
#include "wasabispar/net/connection_pool.hpp"

#include "wasabispar/net/http_server.hpp"
#include "worker_calls.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <future>
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
    ConnectionPoolOptions options;
    options.mIdleTimeout = aIdleTimeout;
    ConnectionPoolHooks hooks;
    hooks.mNow = [] { return BootClock::now(); };
    hooks.mTryReserveConnection = [this] { return ++mReservedConnections > 0; };
    hooks.mOnClosed = [this] { --mReservedConnections; };
    hooks.mExcessConnections = [] { return 0U; };
    hooks.mSlotLimit = [] { return 4U; };
    hooks.mMinConnections = [aMinConnections] { return aMinConnections; };
    hooks.mOnConnected = [] {};
    hooks.mOnConnectFailed = [] {};
    mPool = std::make_shared<ConnectionPool>(mWorker.Context(),
                                             Endpoint{ "127.0.0.1", mServer.Port() },
                                             options, std::move(hooks));
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
