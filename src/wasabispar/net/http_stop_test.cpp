/// @file
/// @brief Tests of a planned stop of the HTTP server: a request that was sent completely
/// before the client could know of the stop is answered.
#include "wasabispar/net/http_server.hpp"

#include "wasabispar/net/worker.hpp"
#include "worker_calls.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

/// A client that sends raw bytes.
class Client
{
public:
  explicit Client(std::uint16_t aPort)
    : mSocket(mContext)
  {
    mSocket.connect({ asio::ip::address_v4::loopback(), aPort });
  }

  void Send(const std::string& aBytes) { asio::write(mSocket, asio::buffer(aBytes)); }

  /// Reads until the server closes the connection.
  std::string ReadAll()
  {
    std::string bytes;
    boost::system::error_code error;
    asio::read(mSocket, asio::dynamic_buffer(bytes), error);
    return bytes;
  }

  /// Reads the header of one response without a body.
  std::string ReadHeader()
  {
    std::string bytes;
    boost::system::error_code error;
    asio::read_until(mSocket, asio::dynamic_buffer(bytes), "\r\n\r\n", error);
    return bytes;
  }

private:
  asio::io_context mContext;
  tcp::socket mSocket;
};

struct StoppedServer
{
  Worker mWorker;
  HttpServer mServer{ { &mWorker.Context() },
                      {},
                      [](HttpRequest, HttpRespondFn aRespond) { aRespond({}); } };

  StoppedServer() { REQUIRE(mServer.Start()); }
  ~StoppedServer() { mWorker.Stop(); }

  /// Keeps the worker busy, so that what clients send meanwhile is not read.
  void Block(Duration aTime)
  {
    mWorker.Post([aTime] { std::this_thread::sleep_for(aTime); });
  }
};

bool
IsOk(const std::string& aAnswer)
{
  return aAnswer.starts_with("HTTP/1.1 200");
}

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

/// Guards against a close of the listener that resets what the kernel has accepted.
TEST_CASE_FIXTURE(StoppedServer, "requests in the listen backlog are answered")
{
  Block(300ms);
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(std::make_unique<Client>(mServer.Port()));
    clients.back()->Send(kRequest);
  }
  mServer.StopAccepting();
  for (const auto& client : clients) {
    CHECK(IsOk(client->ReadAll()));
  }
}

TEST_CASE_FIXTURE(StoppedServer, "a request on a kept connection is answered")
{
  Client client(mServer.Port());
  client.Send(kRequest);
  CHECK(IsOk(client.ReadHeader()));
  mServer.StopAccepting();
  std::this_thread::sleep_for(100ms);
  client.Send(kRequest);
  const auto answer = client.ReadAll();
  CHECK(IsOk(answer));
  CHECK(answer.find("Connection: close") != std::string::npos);
}

TEST_CASE_FIXTURE(StoppedServer, "a request whose body was half sent is answered")
{
  Client client(mServer.Port());
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345");
  std::this_thread::sleep_for(50ms);
  mServer.StopAccepting();
  std::this_thread::sleep_for(800ms);
  client.Send("67890");
  CHECK(IsOk(client.ReadAll()));
}

TEST_CASE_FIXTURE(StoppedServer, "a request that was sent but not read is answered")
{
  Client client(mServer.Port());
  client.Send(kRequest);
  CHECK(IsOk(client.ReadHeader()));
  Block(700ms);
  std::this_thread::sleep_for(50ms);
  client.Send(kRequest);
  mServer.StopAccepting();
  CHECK(IsOk(client.ReadAll()));
}

/// The first answer announces the close; the second request is not passed on, and the
/// first answer must not be lost by a reset.
TEST_CASE_FIXTURE(StoppedServer, "pipelined requests: the first one is answered in full")
{
  Block(200ms);
  Client client(mServer.Port());
  client.Send(kRequest + kRequest);
  mServer.StopAccepting();
  CHECK(IsOk(client.ReadAll()));
}
