/// @file
/// @brief Tests of the HTTP server and the HTTP client on loopback.
#include "wasabispar/net/http_client.hpp"
#include "wasabispar/net/http_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A thread that runs an io_context.
struct Worker
{
  asio::io_context mContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mWork{
    mContext.get_executor()
  };
  std::thread mThread{ [this] { mContext.run(); } };

  ~Worker()
  {
    mWork.reset();
    mContext.stop();
    mThread.join();
  }
};

/// Runs one exchange with a server on loopback and waits for its result.
HttpExchangeResult
Fetch(Worker& aWorker, std::uint16_t aPort, HttpRequest aRequest, Duration aTimeout = 5s)
{
  std::promise<HttpExchangeResult> promise;
  HttpFetch(aWorker.mContext, { "127.0.0.1", aPort }, std::move(aRequest), aTimeout,
            [&](HttpExchangeResult aResult) { promise.set_value(std::move(aResult)); });
  return promise.get_future().get();
}

/// Sends raw bytes and returns what the server sends until it closes the connection.
std::string
SendRaw(std::uint16_t aPort, const std::string& aBytes)
{
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({ asio::ip::make_address("127.0.0.1"), aPort });
  boost::system::error_code error;
  asio::write(socket, asio::buffer(aBytes), error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

} // namespace

TEST_CASE("a client request reaches the handler and the response reaches the client")
{
  Worker worker;
  HttpServer server(
    { &worker.mContext }, {}, [](HttpRequest aRequest, HttpRespondFn aRespond) {
      HttpResponse response;
      response.mBody = aRequest.mMethod + " " + std::string(aRequest.Path()) + " " +
                       aRequest.QueryParameter("a") + " " + aRequest.mBody;
      aRespond(std::move(response));
    });
  REQUIRE(server.Start());
  HttpRequest request{ "POST", "/x?a=1%202", {}, "body", {} };
  const auto result = Fetch(worker, server.Port(), request);
  CHECK(result.mEnd == HttpExchangeEnd::Response);
  CHECK(result.mResponse.mBody == "POST /x 1 2 body");
}

TEST_CASE("malformed, oversized and slow requests are rejected and their reason reported")
{
  // Guards against a request that crashes the process or keeps a connection open forever.
  Worker worker;
  std::mutex mutex;
  std::vector<std::string> reasons;
  HttpServerOptions options;
  options.mMaxBodyBytes = 16;
  options.mMaxHeaderBytes = 256;
  options.mReadTimeout = 200ms;
  HttpServer server(
    { &worker.mContext }, options,
    [](HttpRequest, HttpRespondFn aRespond) { aRespond({}); },
    [&](std::string_view aReason) {
      std::lock_guard lock(mutex);
      reasons.emplace_back(aReason);
    });
  REQUIRE(server.Start());
  CHECK(SendRaw(server.Port(), "\x01\x02garbage\r\n\r\n").find("400") !=
        std::string::npos);
  CHECK(
    SendRaw(server.Port(), "GET / HTTP/1.1\r\nX: " + std::string(500, 'x') + "\r\n\r\n")
      .find("431") != std::string::npos);
  CHECK(
    SendRaw(server.Port(), "POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n").find("413") !=
    std::string::npos);
  CHECK(SendRaw(server.Port(), "GET / HT") == "");
  std::lock_guard lock(mutex);
  CHECK(reasons == std::vector<std::string>{ "malformed", "header-too-large",
                                             "body-too-large", "read-timeout" });
}

/// Guards against a caller whose endless bytes end the process, which buffers them.
TEST_CASE("a request without end is cut off after a bounded number of bytes")
{
  constexpr std::size_t kSocketBufferBytes = 12 * 1024 * 1024;
  const std::string chunkedHead = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string first;
  std::string repeated(1000, 'a');
  SUBCASE("no line end") {}
  SUBCASE("header fields")
  {
    first = "GET / HTTP/1.1\r\n";
    repeated = "X-Field: " + repeated + "\r\n";
  }
  SUBCASE("chunks")
  {
    first = chunkedHead;
    repeated = "3e8\r\n" + repeated + "\r\n";
  }
  SUBCASE("a chunk extension")
  {
    first = chunkedHead + "5;x=";
  }
  SUBCASE("a trailer")
  {
    first = chunkedHead + "0\r\n";
    repeated = "X-Field: " + repeated + "\r\n";
  }
  Worker worker;
  HttpServerOptions options;
  options.mMaxBodyBytes = 256 * 1024;
  options.mReadTimeout = 30s;
  std::atomic<int> handled = 0;
  HttpServer server({ &worker.mContext }, options,
                    [&handled](HttpRequest, HttpRespondFn aRespond) {
                      ++handled;
                      aRespond({});
                    });
  REQUIRE(server.Start());
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({ asio::ip::make_address("127.0.0.1"), server.Port() });
  boost::system::error_code error;
  std::size_t sent = asio::write(socket, asio::buffer(first), error);
  while (!error && sent < 10 * kSocketBufferBytes) {
    sent += asio::write(socket, asio::buffer(repeated), error);
  }
  CHECK(sent < kSocketBufferBytes);
  CHECK(handled == 0);
  // The server serves on.
  CHECK(Fetch(worker, server.Port(), {}).mEnd == HttpExchangeEnd::Response);
}

namespace {

/// Takes all descriptors of the process until it is destroyed.
class DescriptorShortage
{
public:
  DescriptorShortage()
  {
    ::getrlimit(RLIMIT_NOFILE, &mOldLimit);
    auto limit = mOldLimit;
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_cur, 256);
    ::setrlimit(RLIMIT_NOFILE, &limit);
    for (int descriptor = ::dup(0); descriptor >= 0; descriptor = ::dup(0)) {
      mDescriptors.push_back(descriptor);
    }
  }
  ~DescriptorShortage()
  {
    for (const auto descriptor : mDescriptors) {
      ::close(descriptor);
    }
    ::setrlimit(RLIMIT_NOFILE, &mOldLimit);
  }

private:
  rlimit mOldLimit{};
  std::vector<int> mDescriptors;
};

/// Processor time that the process has used.
std::chrono::microseconds
ProcessorTime()
{
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto toDuration = [](const timeval& aTime) {
    return std::chrono::seconds(aTime.tv_sec) + std::chrono::microseconds(aTime.tv_usec);
  };
  return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

} // namespace

/// Guards against a server that spins, or never accepts again, when an accept fails.
TEST_CASE("a server without descriptors waits, and serves when it has some again")
{
  Worker worker;
  HttpServer server({ &worker.mContext }, {},
                    [](HttpRequest, HttpRespondFn aRespond) { aRespond({}); });
  REQUIRE(server.Start());
  asio::io_context context;
  asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
  boost::system::error_code error;
  {
    const DescriptorShortage shortage;
    socket.connect({ asio::ip::address_v4::loopback(), server.Port() }, error);
    REQUIRE(!error);
    const auto before = ProcessorTime();
    std::this_thread::sleep_for(500ms);
    CHECK(ProcessorTime() - before < 200ms);
  }
  const std::string request = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
  asio::write(socket, asio::buffer(request), error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  CHECK(answer.starts_with("HTTP/1.1 200"));
}

/// Guards against a caller that sees its connection closed before the operator's counters
/// say why. The report takes long enough that a close before its end is noticed.
TEST_CASE("a request that is read too slowly is reported before its connection closes")
{
  Worker worker;
  std::atomic<bool> isReported = false;
  HttpServerOptions options;
  options.mReadTimeout = 100ms;
  HttpServer server(
    { &worker.mContext }, options,
    [](HttpRequest, HttpRespondFn aRespond) { aRespond({}); },
    [&](std::string_view aReason) {
      CHECK(aReason == "read-timeout");
      std::this_thread::sleep_for(100ms);
      isReported = true;
    });
  REQUIRE(server.Start());
  CHECK(SendRaw(server.Port(), "GET / HT") == "");
  CHECK(isReported);
}

/// Guards against a timeout of one request that ends the next one on the connection.
TEST_CASE("the time of a request does not count for the next one on its connection")
{
  Worker worker;
  HttpServerOptions options;
  options.mReadTimeout = 150ms;
  HttpServer server({ &worker.mContext }, options,
                    [](HttpRequest, HttpRespondFn aRespond) { aRespond({}); });
  REQUIRE(server.Start());
  const auto connection =
    HttpConnection::Create(worker.mContext, { "127.0.0.1", server.Port() });
  std::promise<bool> opened;
  connection->Open(1s, [&](bool aOpened, std::string) { opened.set_value(aOpened); });
  REQUIRE(opened.get_future().get());
  for (int i = 0; i < 5; ++i) {
    std::promise<HttpExchangeEnd> end;
    connection->Exchange(
      {}, 1s, [&](HttpExchangeResult aResult) { end.set_value(aResult.mEnd); });
    CHECK(end.get_future().get() == HttpExchangeEnd::Response);
    std::this_thread::sleep_for(60ms);
  }
}

TEST_CASE("an exchange that times out closes its connection")
{
  // Guards against reading a late response as the response to the next request.
  Worker worker;
  std::vector<HttpRespondFn> pending;
  HttpServer server({ &worker.mContext }, {}, [&](HttpRequest, HttpRespondFn aRespond) {
    pending.push_back(std::move(aRespond));
  });
  REQUIRE(server.Start());
  const auto connection =
    HttpConnection::Create(worker.mContext, { "127.0.0.1", server.Port() });
  std::promise<bool> opened;
  connection->Open(1s, [&](bool aOpened, std::string) { opened.set_value(aOpened); });
  REQUIRE(opened.get_future().get());
  const auto exchange = [&] {
    std::promise<HttpExchangeEnd> status;
    connection->Exchange(
      {}, 100ms, [&](HttpExchangeResult aResult) { status.set_value(aResult.mEnd); });
    return status.get_future().get();
  };
  CHECK(exchange() == HttpExchangeEnd::TimedOut);
  CHECK_FALSE(connection->IsUsable());
  CHECK(exchange() == HttpExchangeEnd::ConnectFailed);
}

TEST_CASE("a refused connection is reported as ConnectFailed, so no byte was sent")
{
  Worker worker;
  std::uint16_t port = 0;
  {
    HttpServer server({ &worker.mContext }, {}, [](HttpRequest, HttpRespondFn) {});
    REQUIRE(server.Start());
    port = server.Port();
  }
  std::this_thread::sleep_for(50ms);
  CHECK(Fetch(worker, port, {}).mEnd == HttpExchangeEnd::ConnectFailed);
}

TEST_CASE("the running request finishes after the server stops accepting")
{
  // Guards against a graceful shutdown that aborts a running request.
  Worker worker;
  std::promise<void> arrived;
  HttpRespondFn deferredRespond;
  HttpServer server({ &worker.mContext }, {},
                    [&](HttpRequest aRequest, HttpRespondFn aRespond) {
                      if (aRequest.Path() == "/held") {
                        deferredRespond = std::move(aRespond);
                        arrived.set_value();
                        return;
                      }
                      aRespond({});
                    });
  REQUIRE(server.Start());
  std::promise<HttpExchangeEnd> status;
  HttpFetch(worker.mContext, { "127.0.0.1", server.Port() },
            HttpRequest{ "GET", "/held", {}, {}, {} }, 5s,
            [&](HttpExchangeResult aResult) { status.set_value(aResult.mEnd); });
  arrived.get_future().get();
  CHECK(server.RunningRequests() == 1);
  server.StopAccepting();
  deferredRespond(HttpResponse{});
  CHECK(status.get_future().get() == HttpExchangeEnd::Response);
}

/// Guards against a caller or an upstream that ends the process with a field that the
/// limits allow: the container of fields held less than 64 KiB of a value.
TEST_CASE("header values of 64 KiB and more are received and sent unchanged")
{
  Worker worker;
  HttpServerOptions options;
  options.mMaxHeaderBytes = 128 * 1024;
  HttpServer server(
    { &worker.mContext }, options,
    [](const HttpRequest& aRequest, const HttpRespondFn& aRespond) {
      HttpResponse response;
      response.mHeaders = { { "X-Back", std::string(aRequest.Header("X-Long")) } };
      aRespond(std::move(response));
    });
  REQUIRE(server.Start());
  for (const std::size_t bytes : { 65'000, 65'534, 65'535, 65'536, 70'000, 130'000 }) {
    CAPTURE(bytes);
    const std::string value(bytes, 'v');
    HttpRequest request;
    request.mHeaders = { { "X-Long", value } };
    HttpResponseLimits limits;
    limits.mMaxHeaderBytes = 128 * 1024;
    std::promise<HttpExchangeResult> promise;
    HttpFetch(
      worker.mContext, { "127.0.0.1", server.Port() }, request, 5s,
      [&](HttpExchangeResult aResult) { promise.set_value(std::move(aResult)); }, limits);
    const auto result = promise.get_future().get();
    REQUIRE(result.mEnd == HttpExchangeEnd::Response);
    CHECK(result.mResponse.Header("X-Back") == value);
  }
}

/// Guards against a caller that ends the process with a trailer, which the limit on
/// headers did not bound.
TEST_CASE("a request whose trailer is longer than a header may be is rejected")
{
  Worker worker;
  HttpServer server({ &worker.mContext }, {},
                    [](HttpRequest, HttpRespondFn aRespond) { aRespond({}); });
  REQUIRE(server.Start());
  const std::string chunked =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
  std::string trailer = "X-Long: " + std::string(70'000, 'v') + "\r\n";
  SUBCASE("one long value") {}
  SUBCASE("one long name")
  {
    trailer = std::string(70'000, 'n') + ": v\r\n";
  }
  SUBCASE("many fields")
  {
    trailer.clear();
    for (int i = 0; i < 900; ++i) {
      trailer += "X-Short: v\r\n";
    }
  }
  CHECK(SendRaw(server.Port(), chunked + trailer + "\r\n").find("431") !=
        std::string::npos);
  CHECK(Fetch(worker, server.Port(), {}).mEnd == HttpExchangeEnd::Response);
}

/// Guards against a request that ends the process when it is sent on, or whose body an
/// upstream runs as a request.
TEST_CASE("TRACE with a body is rejected")
{
  Worker worker;
  std::atomic<int> handled = 0;
  HttpServer server({ &worker.mContext }, {},
                    [&handled](HttpRequest, HttpRespondFn aRespond) {
                      ++handled;
                      aRespond({});
                    });
  REQUIRE(server.Start());
  const std::string start = "TRACE / HTTP/1.1\r\n";
  CHECK(SendRaw(server.Port(), start + "Content-Length: 2\r\n\r\nno").find("400") !=
        std::string::npos);
  CHECK(SendRaw(server.Port(),
                start + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n")
          .find("400") != std::string::npos);
  CHECK(handled == 0);
  HttpRequest request{ "TRACE", "/", {}, "", {} };
  CHECK(Fetch(worker, server.Port(), request).mResponse.mStatus == 200);
  // The client does not throw, either.
  request.mBody = "no";
  CHECK(Fetch(worker, server.Port(), request).mResponse.mStatus == 400);
}
