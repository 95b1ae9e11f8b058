/// @file
/// @brief An HTTP/1.1 server on Boost.Beast with limits on size, time and connections.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/net/http_types.hpp"
#include "wasabispar/net/memory_budget.hpp"

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

/// @brief Sends the response to one request. May be called from any thread; only the
/// first call has an effect. If the function is destroyed without a call, the connection
/// is closed.
using HttpRespondFn = std::function<void(HttpResponse)>;

/// @brief Handles one request. Runs on the worker of the connection and must not block;
/// the response may be sent later.
using HttpHandlerFn = std::function<void(HttpRequest, HttpRespondFn)>;

/// @brief Receives the reason why a request or connection was rejected: `malformed`,
/// `header-too-large`, `body-too-large`, `read-timeout`, `no-memory` or
/// `too-many-connections`. Runs on a worker of the server.
using HttpRejectionFn = std::function<void(std::string_view aReason)>;

/// @brief A connection that was reset because its client did not read the response.
struct HttpReset
{
  /// `memory`: the share for waiting responses was used up, and this one had waited
  /// longest. `no-progress`: the client read nothing for HttpServerOptions::mReadTimeout.
  std::string_view mReason;
  /// Address of the client as `ip:port`.
  std::string_view mPeer;
  /// Size of the response, and how much of it the socket had taken.
  std::uint64_t mBytes = 0;
  std::uint64_t mWrittenBytes = 0;
  /// Time since the client last read anything.
  Duration mWaited{};
};

/// @brief Receives the connections that were reset. Runs on the worker of the server.
using HttpResetFn = std::function<void(const HttpReset&)>;

/// @brief Address and limits of HttpServer.
struct HttpServerOptions
{
  /// IP address to listen on.
  std::string mAddress = "127.0.0.1";
  /// Port to listen on. With 0 the operating system chooses one; see HttpServer::Port().
  std::uint16_t mPort = 0;
  std::size_t mMaxHeaderBytes = 8 * 1024;
  std::size_t mMaxBodyBytes = 1024 * 1024;
  /// Maximum time from the first to the last byte of a request, and for writing its
  /// response. With mMemory, the time for writing starts again whenever the client has
  /// read some of the response.
  Duration mReadTimeout = std::chrono::seconds(10);
  /// Time after which a connection without a request is closed.
  Duration mIdleTimeout = std::chrono::seconds(60);
  /// Further connections are closed at once.
  std::size_t mMaxConnections = 4096;
  /// Bounds the bodies of requests and the responses that wait for clients. Such a server
  /// must have one worker. Null if there is no such bound.
  std::shared_ptr<MemoryBudget> mMemory;
  /// Called only with mMemory; may be empty.
  HttpResetFn mOnReset;
};

/// @brief Serves HTTP on one listening socket. Connections are assigned to the workers in
/// turn; the requests of one connection are handled one after the other.
class HttpServer
{
public:
  /// @brief Creates a server on @p aWorkers. The first worker accepts the connections.
  HttpServer(std::vector<boost::asio::io_context*> aWorkers, HttpServerOptions aOptions,
             HttpHandlerFn aHandler, HttpRejectionFn aOnRejection = nullptr);
  /// @brief Closes the listener and all connections.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Binds the address and starts to accept connections. If the address cannot be
  /// bound, fails with Step::Settings and the address as peer.
  Result<void> Start();
  /// @brief Sets the limits on sizes and times for requests that begin from now on. The
  /// other options in @p aLimits are ignored.
  void SetLimits(const HttpServerOptions& aLimits);
  /// @brief The bound port; 0 before Start().
  std::uint16_t Port() const;
  /// @brief Closes each connection after its next response, so that clients reconnect
  /// elsewhere. The listener stays open.
  void BeginDrain();
  /// @brief Accepts the connections in the listen backlog, then closes the listener.
  /// Running requests finish. Idle connections are closed after a short delay, during
  /// which a request that has already been sent is still served.
  void StopAccepting();
  /// @brief Number of requests whose response has not been written completely.
  std::size_t RunningRequests() const;
  std::size_t OpenConnections() const;
  /// @brief Number of responses that count in MemoryBudget::Waiting(). Must be called on
  /// the worker.
  std::size_t WaitingResponses() const;

private:
  friend class HttpSession;
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace wasabispar
