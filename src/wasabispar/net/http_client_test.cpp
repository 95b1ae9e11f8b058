/// @file
/// @brief Tests of the HTTP client against servers in trouble: bytes that are no answer,
/// without end, and answers that break off. The servers are scripts on loopback.
#include "wasabispar/net/http_client.hpp"

#include "wasabispar/net/worker.hpp"
#include "worker_calls.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr HttpResponseLimits kLimits{ 16 * 1024, 256 * 1024 };
/// What the kernel's buffers on both sides may take beyond what the client has read.
constexpr std::size_t kSocketBufferBytes = 12 * 1024 * 1024;

/// Accepts one connection, reads a request, sends `first` and then `repeated` until the
/// client closes the connection or, if `repeated` is empty, closes it.
class ScriptedServer
{
public:
  ScriptedServer(std::string aFirst, std::string aRepeated, bool aResets = false)
    : mAcceptor(mContext, { asio::ip::address_v4::loopback(), 0 })
    , mThread([this, first = std::move(aFirst), repeated = std::move(aRepeated),
               aResets] { Run(first, repeated, aResets); })
  {
  }
  ~ScriptedServer() { mThread.join(); }

  Endpoint Address() { return { "127.0.0.1", mAcceptor.local_endpoint().port() }; }
  std::size_t SentBytes() const { return mSentBytes; }

private:
  void Run(const std::string& aFirst, const std::string& aRepeated, bool aResets)
  {
    boost::system::error_code error;
    tcp::socket socket(mContext);
    mAcceptor.accept(socket, error);
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    mSentBytes += asio::write(socket, asio::buffer(aFirst), error);
    while (!error && !aRepeated.empty()) {
      mSentBytes += asio::write(socket, asio::buffer(aRepeated), error);
    }
    if (aResets) {
      // The bytes sent before the reset must have been read.
      std::this_thread::sleep_for(50ms);
      socket.set_option(asio::socket_base::linger(true, 0), error);
      socket.close(error);
    }
  }

  asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::atomic<std::size_t> mSentBytes{ 0 };
  std::thread mThread;
};

/// Runs one exchange with @p aServer.
HttpExchangeResult
Exchange(ScriptedServer& aServer, HttpResponseLimits aLimits = kLimits,
         std::shared_ptr<ByteBudget> aBudget = nullptr)
{
  Worker worker;
  std::promise<HttpExchangeResult> result;
  std::shared_ptr<HttpConnection> connection;
  RunAndWait(worker, [&] {
    connection =
      HttpConnection::Create(worker.Context(), aServer.Address(), aLimits, aBudget);
    connection->Open(1s, [&](bool aOpened, const std::string&) {
      REQUIRE(aOpened);
      connection->Exchange({}, 10s, [&](HttpExchangeResult aResult) {
        result.set_value(std::move(aResult));
      });
    });
  });
  auto end = result.get_future().get();
  RunAndWait(worker, [&] {
    CHECK((end.mEnd == HttpExchangeEnd::Response || !connection->IsUsable()));
    connection->Close();
    connection.reset();
  });
  worker.Stop();
  return end;
}

const std::string kRow(1000, 'a');

} // namespace

/// Guards against a server in trouble that ends the process, which buffers its bytes.
TEST_CASE("bytes without end are not an answer, and only a bounded number is read")
{
  const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string first;
  std::string repeated;
  SUBCASE("no line end")
  {
    repeated = kRow;
  }
  SUBCASE("header fields")
  {
    first = "HTTP/1.1 200 OK\r\n";
    repeated = "X-Field: " + kRow + "\r\n";
  }
  SUBCASE("one header field")
  {
    first = "HTTP/1.1 200 OK\r\nX-Field: ";
    repeated = kRow;
  }
  SUBCASE("a body of a length")
  {
    first = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
    repeated = kRow;
  }
  SUBCASE("a body without a length")
  {
    first = "HTTP/1.1 200 OK\r\n\r\n";
    repeated = kRow;
  }
  SUBCASE("chunks")
  {
    first = chunkedHead;
    repeated = "3e8\r\n" + kRow + "\r\n";
  }
  SUBCASE("one chunk")
  {
    first = chunkedHead + "ffffffffff\r\n";
    repeated = kRow;
  }
  SUBCASE("a chunk extension")
  {
    first = chunkedHead + "5;x=";
    repeated = kRow;
  }
  SUBCASE("chunk extensions")
  {
    first = chunkedHead;
    repeated = "1;x=" + std::string(8000, 'a') + "\r\na\r\n";
  }
  SUBCASE("a trailer")
  {
    first = chunkedHead + "0\r\n";
    repeated = "X-Field: " + kRow + "\r\n";
  }
  SUBCASE("interim responses")
  {
    repeated = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  SUBCASE("interim responses with fields")
  {
    repeated = "HTTP/1.1 103 Early Hints\r\nLink: " + kRow + "\r\n\r\n";
  }
  const auto startedAt = BootClock::now();
  ScriptedServer server(first, repeated);
  const auto result = Exchange(server);
  CHECK(result.mEnd != HttpExchangeEnd::Response);
  CHECK(result.mResponse.mBody.empty());
  CHECK(BootClock::now() - startedAt < 8s);
  CHECK(server.SentBytes() < kSocketBufferBytes);
}

/// Guards against a bound on framing that rejects an answer in small chunks.
TEST_CASE("an answer in chunks of one byte is complete")
{
  std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 40'000; ++i) {
    bytes += "1\r\na\r\n";
  }
  ScriptedServer server(bytes + "0\r\n\r\n", "");
  const auto result = Exchange(server);
  REQUIRE(result.mEnd == HttpExchangeEnd::Response);
  CHECK(result.mResponse.mBody == std::string(40'000, 'a'));
}

/// Guards against an interim response that is passed on as the answer.
TEST_CASE("an interim response is skipped")
{
  ScriptedServer server(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
    "Link: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "");
  const auto result = Exchange(server);
  REQUIRE(result.mEnd == HttpExchangeEnd::Response);
  CHECK(result.mResponse.mStatus == 200);
  CHECK(result.mResponse.mBody == "ok");
  CHECK(result.mResponse.Header("Link").empty());
}

/// Guards against a change of protocol that was not requested.
TEST_CASE("a switch of protocols is not an answer")
{
  ScriptedServer server("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "");
  CHECK(Exchange(server).mEnd != HttpExchangeEnd::Response);
}

/// Guards against half an answer that is passed on as a complete one.
TEST_CASE("an answer that breaks off is not a response")
{
  std::string bytes;
  bool resets = false;
  SUBCASE("in the head")
  {
    bytes = "HTTP/1.1 200 OK\r\nContent-Le";
  }
  SUBCASE("after the head")
  {
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
  }
  SUBCASE("short of its length")
  {
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n123456789";
  }
  SUBCASE("before the last chunk")
  {
    bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n";
  }
  SUBCASE("within a chunk")
  {
    bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123";
  }
  SUBCASE("by a reset where the length is unknown")
  {
    bytes = "HTTP/1.1 200 OK\r\n\r\n12345";
    resets = true;
  }
  SUBCASE("after an interim response")
  {
    bytes = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  ScriptedServer server(bytes, "", resets);
  CHECK(Exchange(server).mEnd != HttpExchangeEnd::Response);
}

/// Guards against a process that many upstreams in trouble end together.
TEST_CASE("an answer ends when all answers together have too many bytes")
{
  const auto budget = std::make_shared<ByteBudget>(100'000);
  ByteBudget::Reservation other(budget);
  REQUIRE(other.Grow(60'000));
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n";
  {
    ScriptedServer server(head + std::string(50'000, 'a'), "");
    CHECK(Exchange(server, kLimits, budget).mEnd != HttpExchangeEnd::Response);
  }
  CHECK(budget->Reserved() == 60'000);
  other = {};
  {
    ScriptedServer server(head + std::string(50'000, 'a'), "");
    CHECK(Exchange(server, kLimits, budget).mEnd == HttpExchangeEnd::Response);
  }
  CHECK(budget->Reserved() == 0);
}

/// Guards against a server that ends the process with a field of a trailer that the
/// container of fields could not hold.
TEST_CASE("a response whose trailer is longer than a header may be is not an answer")
{
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
  std::string trailer = "X-Long: " + std::string(70'000, 'v');
  SUBCASE("one long value") {}
  SUBCASE("one long name")
  {
    trailer = std::string(70'000, 'n') + ": v";
  }
  ScriptedServer server(chunked + trailer + "\r\n\r\n", "");
  CHECK(Exchange(server).mEnd != HttpExchangeEnd::Response);
}

/// Guards against an answer to another request: a status below 100 was taken for an
/// interim response, and the bytes after it for the answer.
TEST_CASE("a response whose status HTTP does not define is not an answer")
{
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string status : { "000", "001", "099", "600", "999" }) {
    CAPTURE(status);
    ScriptedServer server(
      "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nno" + answer, "");
    CHECK(Exchange(server).mEnd == HttpExchangeEnd::ConnectionLost);
  }
}
