/// @file
/// @brief The HTTP/1.1 server of the stand-ins. Unlike the product's server it can
/// misbehave on request: refuse, freeze, silence or reset connections.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/net/http_types.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wasabispar::standins {

/// @brief One request and the way to answer it.
class Exchange
{
public:
  virtual ~Exchange() = default;
  /// @brief The request; its peer address identifies the connection.
  virtual const HttpRequest& Request() const = 0;
  /// @brief Sends the response; only the first call counts. Does nothing when the
  /// connection is gone.
  virtual void Respond(HttpResponse aResponse) = 0;
  /// @brief Sends @p aBytes as they are in place of a response. Then resets the
  /// connection, or reads the next request if @p aKeepOpen.
  virtual void RespondRaw(std::string aBytes, bool aKeepOpen) = 0;
  /// @brief Sends @p aBegin and then @p aRepeated again and again, about every 5 ms,
  /// until the peer closes the connection.
  virtual void RespondEndlessly(std::string aBegin, std::string aRepeated) = 0;
  /// @brief Calls @p aFn when the peer closes the connection before the response.
  virtual void OnGone(std::function<void()> aFn) = 0;
  /// @brief When the server read the request; after a freeze later than its arrival.
  virtual TimePoint Received() const = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct ConnectionServerOptions
{
  /// A connection above the limit is accepted and closed at once.
  std::size_t mConnectionLimit = 4096;
  /// Time after the accept before the first request of a connection is read.
  Duration mConnectionCost{};
};

struct ConnectionCounts
{
  std::size_t mOpen = 0;
  std::size_t mMaxOpen = 0;
  std::uint64_t mAccepted = 0;
  std::uint64_t mRefused = 0;
};

/// @brief Serves one port on 127.0.0.1. All functions run on the thread of the
/// io_context, which must have one thread only.
class ConnectionServer
{
public:
  using HandlerFn = std::function<void(ExchangePtr)>;

  ConnectionServer(boost::asio::io_context& aContext, ConnectionServerOptions aOptions,
                   HandlerFn aHandler);
  ~ConnectionServer();
  ConnectionServer(const ConnectionServer&) = delete;
  ConnectionServer& operator=(const ConnectionServer&) = delete;

  /// @brief Listens on @p aPort, 0 for any. Returns the port, 0 when it is in use.
  std::uint16_t Listen(std::uint16_t aPort);
  /// @brief Closes the listener and resets all connections.
  void Abort();
  /// @brief Closes the listener only.
  void StopListening();
  /// @brief Resets all open connections.
  void ResetConnections();
  /// @brief While frozen, bytes are accepted and nothing is handled or answered. On
  /// the end of the freeze everything that waits is handled late.
  void Freeze(bool aFrozen);
  /// @brief The connections that are open now never answer again; new ones do.
  void SilenceOpenConnections();
  ConnectionCounts Counts() const;

  /// Implementation; defined in the source file.
  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace wasabispar::standins
