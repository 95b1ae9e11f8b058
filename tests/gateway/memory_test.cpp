/// @file
/// @brief Tests of the gateway with a memory budget, behind an HTTP server.
#include "gateway_fixture.hpp"

#include "tests/worker_calls.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t kShareBytes = 8'000'000;
constexpr std::uint64_t kLargeRequestShare = 200'000;

struct LimitedGateway : GatewayFixture
{
  std::shared_ptr<MemoryBudget> mMemory;
  std::unique_ptr<HttpServer> mServer;

  explicit LimitedGateway(
    std::shared_ptr<MemoryBudget> aMemory = std::make_shared<MemoryBudget>(MemoryShares{
      kShareBytes, kShareBytes, kShareBytes }))
    : GatewayFixture({}, aMemory, kLargeRequestShare)
    , mMemory(std::move(aMemory))
  {
    HttpServerOptions options;
    options.mMemory = mMemory;
    mServer = std::make_unique<HttpServer>(
      std::vector{ &GatewayWorker().Context() }, options,
      [this](HttpRequest aRequest, HttpRespondFn aRespond) {
        GatewayUnderTest().Handle(std::move(aRequest), std::move(aRespond));
      });
    REQUIRE(mServer->Start());
  }
  ~LimitedGateway()
  {
    mServer.reset();
    // Lets the connections close.
    OnWorker([] {});
    GatewayWorker().Stop();
  }

  bool Eventually(const std::function<bool()>& aPredicate)
  {
    return EventuallyOn(GatewayWorker(), aPredicate, 3s);
  }
};

/// A caller with a small receive buffer.
class Caller
{
public:
  explicit Caller(std::uint16_t aPort)
    : mSocket(mContext, tcp::v4())
  {
    mSocket.set_option(asio::socket_base::receive_buffer_size(4096));
    mSocket.connect({ asio::ip::address_v4::loopback(), aPort });
  }
  void Send(const std::string& aPath, const std::string& aBody = "")
  {
    asio::write(mSocket, asio::buffer("POST " + aPath +
                                      " HTTP/1.1\r\nTest-Id: a\r\nTest-Left-Ms: 3000\r\n"
                                      "Content-Length: " +
                                      std::to_string(aBody.size()) + "\r\n\r\n" + aBody));
  }
  std::string ReadHeader()
  {
    std::string bytes;
    boost::system::error_code error;
    asio::read_until(mSocket, asio::dynamic_buffer(bytes), "\r\n\r\n", error);
    return bytes;
  }
  void Close() { mSocket.close(); }

private:
  asio::io_context mContext;
  tcp::socket mSocket;
};

} // namespace

/// Guards against callers that read slowly and hold the few connections to an upstream.
TEST_CASE_FIXTURE(LimitedGateway, "a connection is free as soon as its answer is in")
{
  auto& upstream = Add("s", "a");
  OnWorker([&] { upstream.mBody = std::string(2'000'000, 'a'); });
  SetRoutes({ MakeRoute("read", ServiceName("s")) });
  std::vector<std::unique_ptr<Caller>> callers;
  for (std::size_t i = 1; i <= 3; ++i) {
    callers.push_back(std::make_unique<Caller>(mServer->Port()));
    callers.back()->Send("/read/x");
    CHECK(Eventually([&] { return mServer->WaitingResponses() == i; }));
  }
  CHECK(upstream.Requests() == 3);
  CHECK(upstream.Connections() == 1);
  // The answers moved from one share to the other.
  OnWorker([this] {
    CHECK(mMemory->Answers()->Reserved() == 0);
    CHECK(mMemory->Waiting()->Reserved() >= 6'000'000);
  });
  callers.clear();
  CHECK(Eventually([this] { return mMemory->Waiting()->Reserved() == 0; }));
}

/// Guards against a request to many upstreams that holds its body once for each of them,
/// and against a body that stays counted after its request.
TEST_CASE_FIXTURE(LimitedGateway, "the body of a fan-out counts once, until it has ended")
{
  std::vector<ServiceName> shards;
  std::vector<FakeUpstream*> upstreams;
  for (int i = 0; i < 4; ++i) {
    shards.emplace_back("s" + std::to_string(i));
    upstreams.push_back(&Add(shards.back().Text(), "u" + std::to_string(i)));
  }
  FanOutTarget target;
  target.mShards = shards;
  target.mMinCoverage = Permille(1000);
  target.mTopRecords = 1;
  SetRoutes({ MakeRoute("read", target) });
  OnWorker([&] {
    for (auto* upstream : upstreams) {
      upstream->mDelay = 150ms;
      upstream->mBody = std::string(16, 'r');
    }
    upstreams.back()->mDelay = 400ms;
  });
  Caller caller(mServer->Port());
  caller.Send("/read/x", std::string(300'000, 'b'));
  CHECK(Eventually([this] { return mMemory->Requests()->Reserved() == 300'000; }));
  // The answers of three parts are held while the fourth one runs.
  CHECK(Eventually([this] { return mMemory->Answers()->Reserved() == 3 * 16; }));
  OnWorker([this] { CHECK(mMemory->Requests()->Reserved() == 300'000); });
  CHECK(caller.ReadHeader().starts_with("HTTP/1.1 200"));
  CHECK(Eventually([this] {
    return mMemory->Requests()->Reserved() == 0 && mMemory->Answers()->Reserved() == 0;
  }));
}

/// Guards against an upstream that crashes because it holds too many large requests, and
/// against small requests that wait behind them.
TEST_CASE_FIXTURE(LimitedGateway,
                  "large requests to one upstream wait, small ones do not")
{
  auto& upstream = Add("s", "a");
  SetRoutes({ MakeRoute("read", ServiceName("s")) });
  OnWorker([&] { upstream.mDelay = 300ms; });
  const std::string large(150'000, 'b');
  auto first = Send("/read/1", 2s, large);
  auto second = Send("/read/2", 2s, large);
  std::this_thread::sleep_for(50ms);
  auto small = Send("/read/3", 2s, std::string(1000, 'b'));
  CHECK(first.get().mResponse.mStatus == 200);
  const auto smallAnswer = small.get();
  CHECK(smallAnswer.mResponse.mStatus == 200);
  CHECK(smallAnswer.mTook < 550ms);
  const auto secondAnswer = second.get();
  CHECK(secondAnswer.mResponse.mStatus == 200);
  CHECK(secondAnswer.mTook >= 590ms);
}

/// Guards against large requests that take a slow path around the bound: a hedge or a
/// retry.
TEST_CASE_FIXTURE(LimitedGateway, "a large request uses an upstream that has room")
{
  auto& first = Add("s", "a");
  auto& second = Add("s", "b");
  SetRoutes({ MakeRoute("read", ServiceName("s"), false) });
  OnWorker([&] { first.mDelay = second.mDelay = 300ms; });
  const std::string large(150'000, 'b');
  std::vector<std::future<GatewayAnswer>> answers;
  for (int i = 0; i < 2; ++i) {
    answers.push_back(Send("/read/x", 2s, large));
  }
  for (auto& answer : answers) {
    const auto got = answer.get();
    CHECK(got.mResponse.mStatus == 200);
    CHECK(got.mTook < 550ms);
  }
  CHECK(first.Requests() == 1);
  CHECK(second.Requests() == 1);
}

/// Guards against answers that are dropped, and reported as lost, because many arrive at
/// once after a pause of the worker.
TEST_CASE_FIXTURE(LimitedGateway, "an answer waits while the share for answers is full")
{
  auto& upstream = Add("s", "a");
  Add("t", "b");
  SetRoutes(
    { MakeRoute("long", ServiceName("s")), MakeRoute("short", ServiceName("t")) });
  ByteBudget::Reservation others(mMemory->Answers());
  OnWorker([&] {
    upstream.mBody = std::string(2'000'000, 'a');
    CHECK(others.Grow(kShareBytes - 10'000));
  });
  auto waiting = Send("/long/x", 900ms);
  CHECK(Eventually([&] { return mMemory->Answers()->WaitingBytes() == 2'000'000; }));
  SUBCASE("until there is room, with short ones passing it")
  {
    CHECK(SendAndWait("/short/x").mResponse.mStatus == 200);
    OnWorker([&] { others = {}; });
    const auto answer = waiting.get();
    CHECK(answer.mResponse.mStatus == 200);
    CHECK(answer.mResponse.mBody.size() == 2'000'000);
    CHECK(upstream.Requests() == 1);
  }
  SUBCASE("until the time of the request has run out")
  {
    CHECK(waiting.get().mResponse.mBody == "timeout");
    OnWorker([&] { others = {}; });
  }
  SUBCASE("until its caller leaves")
  {
    DisconnectCaller();
    // The bound is shorter than the time of the request.
    CHECK(EventuallyOn(
      GatewayWorker(), [&] { return mMemory->Answers()->WaitingBytes() == 0; }, 400ms));
    OnWorker([&] { others = {}; });
  }
  CHECK(Eventually([&] {
    return mMemory->Answers()->Reserved() == 0 && mMemory->Answers()->WaitingBytes() == 0;
  }));
}
