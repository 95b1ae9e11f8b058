/// @file
/// @brief An HTTP/1.1 server on Boost.Beast with limits on size, time and connections.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/net/http_types.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace wasabispar {

/// @brief Sends the response. Callable from any thread, once; later calls are ignored.
/// If it is destroyed without a call, the connection is closed.
using HttpRespondFn = std::function<void(HttpResponse)>;

/// @brief Handles one request. Runs on the worker of the connection and must not block.
using HttpHandlerFn = std::function<void(HttpRequest, HttpRespondFn)>;

/// @brief Reports a request or connection that a limit ended. The reason is one of
/// `malformed`, `header-too-large`, `body-too-large`, `read-timeout`,
/// `too-many-connections`. Runs on the worker of the connection.
using HttpRejectionFn = std::function<void(std::string_view aReason)>;

struct HttpServerOptions
{
  std::string mAddress = "127.0.0.1";
  /// 0: the operating system chooses; read it back with HttpServer::Port().
  std::uint16_t mPort = 0;
  std::size_t mMaxHeaderBytes = 8 * 1024;
  std::size_t mMaxBodyBytes = 1024 * 1024;
  /// Longest time from the first byte of a request to its last.
  Duration mReadTimeout = std::chrono::seconds(10);
  /// Longest time that a connection without a request stays open.
  Duration mIdleTimeout = std::chrono::seconds(60);
  std::size_t mMaxConnections = 4096;
};

/// @brief Serves one listening socket. Connections are spread over the workers.
///
/// Requests of one connection are handled one after the other.
class HttpServer
{
public:
  HttpServer(std::vector<boost::asio::io_context*> aWorkers, HttpServerOptions aOptions,
             HttpHandlerFn aHandler, HttpRejectionFn aOnRejection = nullptr);
  /// Closes the listener and all connections.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Binds and starts to accept. Fails with Step::Settings and the address as
  /// peer when the address cannot be bound.
  Result<void> Start();
  /// @brief Replaces the limits of @p aLimits on size and time for requests that begin
  /// from now on; address, port and number of connections stay.
  void SetLimits(const HttpServerOptions& aLimits);
  /// @brief The bound port; 0 before Start().
  std::uint16_t Port() const;
  /// @brief From now on each response closes its connection, so that clients reconnect
  /// elsewhere. The listener stays open.
  void BeginDrain();
  /// @brief Takes what waits in the listen backlog, then closes the listener. Running
  /// requests finish; idle connections are closed after a short time in which a request
  /// that is already under way is still served.
  void StopAccepting();
  /// @brief Requests whose response has not been written completely.
  std::size_t RunningRequests() const;
  std::size_t OpenConnections() const;

private:
  friend class HttpSession;
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace wasabispar
