/// @file
/// @brief Malformed input and reset connections against a running wasabispard.
#include "tests/failure/daemon_fixture.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <random>
#include <thread>

using namespace wasabispar;
using namespace wasabispar::harness;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

tcp::socket
Connect(asio::io_context& aContext, const Endpoint& aEndpoint)
{
  tcp::socket socket(aContext);
  socket.connect({ asio::ip::make_address(aEndpoint.mAddress), aEndpoint.mPort });
  return socket;
}

/// The other side sees a reset instead of an orderly close.
void
Reset(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

std::string
RandomBytes(std::mt19937_64& aRandom)
{
  std::string bytes(1 + aRandom() % 400, '\0');
  for (auto& byte : bytes) {
    byte = static_cast<char>(aRandom());
  }
  return bytes;
}

} // namespace

TEST_CASE("random bytes on any port bring no process down")
{
  // Guards against input from outside that ends a daemon or blocks its ports.
  SmallSystem system;
  auto& vm = system.Vm(0);
  asio::io_context context;
  std::mt19937_64 random(20261204);
  for (const auto& port : { vm.Caller(), vm.Operator(), vm.Fleet() }) {
    for (int i = 0; i < 200; ++i) {
      auto socket = Connect(context, port);
      boost::system::error_code ignored;
      asio::write(socket, asio::buffer(RandomBytes(random)), ignored);
      if (i % 2 == 0) {
        Reset(socket);
      }
    }
  }
  CHECK(system.AllAnswer(kSearchProfile, 200));
  CHECK(system.AllRunning());
  CHECK(vm.Metric("wasabispar_http_rejected_total") > 0);
}

TEST_CASE("connections that were reset while the VM was paused bring it not down")
{
  // Guards against a session that is set up on a socket whose other side is gone.
  SmallSystem system;
  auto& vm = system.Vm(0);
  asio::io_context context;
  const std::string request = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
  for (int round = 0; round < 3; ++round) {
    vm.Process().Signal(SIGSTOP);
    for (std::size_t i = 0; i < 60; ++i) {
      auto socket = Connect(context, vm.Caller());
      asio::write(socket, asio::buffer(request.substr(0, 1 + i % request.size())));
      Reset(socket);
    }
    vm.Process().Signal(SIGCONT);
    std::this_thread::sleep_for(200ms);
  }
  CHECK(system.AllRunning());
  CHECK(WaitUntil(5s, [&] { return system.AllAnswer(kSearchProfile, 200); }));
}
