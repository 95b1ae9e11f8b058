/// @file
/// @brief Tests of HttpServer with a memory budget: bodies that do not fit and clients
/// that read slowly, not at all, or leave.
#include "wasabispar/net/http_server.hpp"

#include "wasabispar/net/worker.hpp"
#include "worker_calls.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kResponseBytes = 2'000'000;
constexpr Duration kStallTime = 800ms;

/// A client with small socket buffers, so that the server's response waits.
class Client
{
public:
  explicit Client(std::uint16_t aPort)
    : mSocket(mContext, tcp::v4())
  {
    mSocket.set_option(asio::socket_base::receive_buffer_size(4096));
    mSocket.connect({ asio::ip::address_v4::loopback(), aPort });
  }

  boost::system::error_code Send(const std::string& aBytes)
  {
    boost::system::error_code error;
    asio::write(mSocket, asio::buffer(aBytes), error);
    return error;
  }
  /// Reads up to @p aBytes and returns the number; sets @p aError at the end.
  std::size_t Read(std::size_t aBytes, boost::system::error_code& aError)
  {
    std::string bytes(aBytes, '\0');
    return asio::read(mSocket, asio::buffer(bytes), aError);
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

/// A server that answers `/held` never and everything else with kResponseBytes.
struct LimitedServer
{
  Worker mWorker;
  std::shared_ptr<MemoryBudget> mMemory =
    std::make_shared<MemoryBudget>(MemoryShares{ 1000, 100'000, 2 * kResponseBytes });
  std::atomic<int> mHandled = 0;
  /// Requests for `/held`; used on the worker.
  std::vector<std::pair<HttpRequest, HttpRespondFn>> mHeld;
  /// Used on the worker.
  std::vector<std::string> mResets;
  std::unique_ptr<HttpServer> mServer;

  LimitedServer()
  {
    HttpServerOptions options;
    options.mReadTimeout = kStallTime;
    options.mMemory = mMemory;
    options.mOnReset = [this](const HttpReset& aReset) {
      mResets.emplace_back(aReset.mReason);
    };
    mServer = std::make_unique<HttpServer>(
      std::vector{ &mWorker.Context() }, options,
      [this](HttpRequest aRequest, HttpRespondFn aRespond) {
        ++mHandled;
        if (aRequest.Path() == "/held") {
          mHeld.emplace_back(std::move(aRequest), std::move(aRespond));
          return;
        }
        HttpResponse response;
        response.mBody = std::string(kResponseBytes, 'a');
        aRespond(std::move(response));
      });
    REQUIRE(mServer->Start());
  }
  ~LimitedServer()
  {
    RunAndWait(mWorker, [this] { mHeld.clear(); });
    mWorker.Stop();
  }

  bool Eventually(const std::function<bool()>& aPredicate)
  {
    return EventuallyOn(mWorker, aPredicate, 5s);
  }
  /// A client that asks for a response and reads nothing of it.
  std::unique_ptr<Client> AddWaiting(std::size_t aExpectedWaiting)
  {
    auto client = std::make_unique<Client>(mServer->Port());
    client->Send("GET / HTTP/1.1\r\n\r\n");
    CHECK(Eventually([&] { return mServer->WaitingResponses() == aExpectedWaiting; }));
    return client;
  }
};

} // namespace

/// Guards against a body that is read although it does not fit, and against a rejection
/// that its caller cannot read because the connection is reset under it.
TEST_CASE_FIXTURE(LimitedServer, "a body that does not fit is rejected at once, not run")
{
  Client client(mServer->Port());
  std::string body;
  SUBCASE("announced and not sent") {}
  SUBCASE("announced and sent")
  {
    body = std::string(200'000, 'b');
  }
  CHECK(!client.Send("POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + body));
  const auto answer = client.ReadHeader();
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Wasabispar-Outcome: not-run") != std::string::npos);
  CHECK(mHandled == 0);
  CHECK(mMemory->Requests()->Reserved() == 0);
}

TEST_CASE_FIXTURE(LimitedServer, "a chunked body is rejected when it ceases to fit")
{
  Client client(mServer->Port());
  client.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "2710\r\n" + std::string(10'000, 'b') + "\r\n";
  for (int i = 0; i < 12; ++i) {
    client.Send(chunk);
  }
  CHECK(client.ReadHeader().starts_with("HTTP/1.1 503"));
  CHECK(mHandled == 0);
  CHECK(Eventually([this] { return mMemory->Requests()->Reserved() == 0; }));
}

/// Guards against requests that run although their answers find no memory.
TEST_CASE_FIXTURE(LimitedServer, "no request begins while the share for answers is full")
{
  std::optional<ByteBudget::Reservation> answers;
  RunAndWait(mWorker, [&] { CHECK(answers.emplace(mMemory->Answers()).Grow(1000)); });
  Client client(mServer->Port());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(client.ReadHeader().starts_with("HTTP/1.1 503"));
  CHECK(mHandled == 0);
  RunAndWait(mWorker, [&] { answers.reset(); });
  Client later(mServer->Port());
  later.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(later.ReadHeader().starts_with("HTTP/1.1 200"));
}

/// Guards against bytes that stay counted after their caller has left.
TEST_CASE_FIXTURE(LimitedServer, "a caller that disconnects frees its bytes")
{
  Client sender(mServer->Port());
  sender.Send("POST /held HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" +
              std::string(50'000, 'b'));
  CHECK(Eventually([this] { return mMemory->Requests()->Reserved() == 50'000; }));
  RunAndWait(mWorker, [this] { mHeld.clear(); });
  CHECK(mMemory->Requests()->Reserved() == 0);

  Client half(mServer->Port());
  half.Send("POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" +
            std::string(30'000, 'b'));
  CHECK(Eventually([this] { return mMemory->Requests()->Reserved() == 30'000; }));
  half.Close();
  CHECK(Eventually([this] { return mMemory->Requests()->Reserved() == 0; }));

  const auto reader = AddWaiting(1);
  CHECK(mMemory->Waiting()->Reserved() >= kResponseBytes);
  reader->Close();
  CHECK(Eventually([this] { return mMemory->Waiting()->Reserved() == 0; }));
  CHECK(mServer->RunningRequests() == 0);
}

/// Guards against a caller that holds a response forever, and against a part of a
/// response that looks complete.
TEST_CASE_FIXTURE(LimitedServer, "a caller that does not read is reset")
{
  const auto client = AddWaiting(1);
  CHECK(Eventually([this] { return !mResets.empty(); }));
  CHECK(mResets == std::vector<std::string>{ "no-progress" });
  CHECK(mMemory->Waiting()->Reserved() == 0);
  boost::system::error_code error;
  CHECK(client->Read(kResponseBytes, error) < kResponseBytes);
  CHECK(error == asio::error::connection_reset);
}

/// Guards against a time limit that ends the response to a caller which reads slowly.
TEST_CASE_FIXTURE(LimitedServer, "a caller that reads slowly gets the whole response")
{
  const auto client = AddWaiting(1);
  const auto start = BootClock::now();
  boost::system::error_code error;
  std::size_t read = 0;
  while (!error && read < kResponseBytes) {
    read += client->Read(50'000, error);
    std::this_thread::sleep_for(60ms);
  }
  CHECK(read >= kResponseBytes);
  CHECK(BootClock::now() - start > 2 * kStallTime);
  RunAndWait(mWorker, [this] { CHECK(mResets.empty()); });
}

/// Guards against callers that do not read and take the memory from those that do.
TEST_CASE_FIXTURE(LimitedServer, "the response without progress for longest makes room")
{
  mServer->SetLimits(HttpServerOptions{});
  const auto first = AddWaiting(1);
  // The share has room for one response and its header.
  ByteBudget::Reservation other(mMemory->Waiting());
  RunAndWait(mWorker, [&] { CHECK(other.Grow(kResponseBytes - 1000)); });
  const auto second = AddWaiting(1);
  CHECK(Eventually([this] { return !mResets.empty(); }));
  RunAndWait(mWorker, [this] {
    CHECK(mResets == std::vector<std::string>{ "memory" });
    CHECK(mMemory->Waiting()->Reserved() <= mMemory->Waiting()->Limit());
  });
  boost::system::error_code error;
  first->Read(kResponseBytes, error);
  CHECK(error == asio::error::connection_reset);
  second->Read(kResponseBytes, error);
  CHECK(!error);
  RunAndWait(mWorker, [&] { other = {}; });
}
