/// @file
/// @brief One client connection over HTTP/1.1, which carries one exchange at a time.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/net/http_types.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace wasabispar {

/// @brief A TCP address as IP number and port.
struct Endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  /// @brief `ip:port`.
  std::string Text() const;
  /// @brief Parses `ip:port`; fails with Step::Settings.
  static Result<Endpoint> Parse(std::string_view aText);

  auto operator<=>(const Endpoint&) const = default;
};

/// @brief How an exchange ended.
enum class HttpExchangeEnd
{
  /// A complete response arrived.
  Response,
  /// No connection was made; no byte left.
  ConnectFailed,
  /// The connection ended or a read or write failed after a byte may have left.
  ConnectionLost,
  /// No response in time; a byte may have left. The connection is closed.
  TimedOut,
  /// Close() was called during the exchange. The connection is closed.
  Cancelled,
};

struct HttpExchangeResult
{
  HttpExchangeEnd mEnd = HttpExchangeEnd::ConnectFailed;
  HttpResponse mResponse;
  /// The cause in words; empty for Response.
  std::string mCause;
};

/// @brief A client connection. Its callbacks run on its io_context, each exactly once;
/// its functions may be called from any thread.
///
/// Invariant: after an exchange that did not end with Response, the connection is
/// closed and never carries another exchange.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  using OpenFn = std::function<void(bool aOpened, std::string aCause)>;
  using ExchangeFn = std::function<void(HttpExchangeResult)>;

  static std::shared_ptr<HttpConnection> Create(boost::asio::io_context& aContext,
                                                Endpoint aEndpoint);
  virtual ~HttpConnection() = default;

  virtual void Open(Duration aTimeout, OpenFn aDone) = 0;
  /// @brief Sends @p aRequest and reads its response. Must not be called while another
  /// exchange runs.
  virtual void Exchange(HttpRequest aRequest, Duration aTimeout, ExchangeFn aDone) = 0;
  virtual void Close() = 0;
  /// @brief False after a failure, Close(), or when the other side asked to close.
  virtual bool IsUsable() const = 0;
  /// @brief Whether the idle connection is still open at this side; finds a close by the
  /// other side that has arrived. Only on the connection's io_context.
  virtual bool IsStillOpen() = 0;
};

/// @brief Opens a connection, makes one exchange and closes it. @p aTimeout covers both.
void
HttpFetch(boost::asio::io_context& aContext, const Endpoint& aEndpoint,
          HttpRequest aRequest, Duration aTimeout, HttpConnection::ExchangeFn aDone);

} // namespace wasabispar
