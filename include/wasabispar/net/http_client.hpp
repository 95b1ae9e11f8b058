/// @file
/// @brief An HTTP/1.1 client connection that runs one exchange at a time.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/net/byte_budget.hpp"
#include "wasabispar/net/http_types.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace wasabispar {

/// @brief A TCP address: an IP address and a port.
struct Endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  /// @brief The text form `ip:port`.
  std::string Text() const;
  /// @brief Parses `ip:port`. Fails with Step::Settings if @p aText is malformed.
  static Result<Endpoint> Parse(std::string_view aText);

  auto operator<=>(const Endpoint&) const = default;
};

/// @brief How an exchange ended.
enum class HttpExchangeEnd
{
  /// A complete response arrived.
  Response,
  /// There was no open connection, so no byte was sent.
  ConnectFailed,
  /// The connection failed after a byte may have been sent.
  ConnectionLost,
  /// No response arrived in time; a byte may have been sent. The connection is closed.
  TimedOut,
  /// The connection was closed by HttpConnection::Close() before the exchange ended.
  Cancelled,
};

/// @brief Bounds of one response. An exchange whose response exceeds one ends as
/// ConnectionLost.
struct HttpResponseLimits
{
  /// Most bytes of the header, the trailer, chunk extensions and all interim responses
  /// together, beyond the usual framing of chunks.
  std::uint32_t mMaxHeaderBytes = 32 * 1024;
  std::uint64_t mMaxBodyBytes = 4 * 1024 * 1024;
  /// Whether the body stays counted in the budget until the response is destroyed
  /// (HttpResponse::mReservedMemory), and not only while it is read.
  bool mKeepsReservation = false;
  /// Whether a body of stated length is reserved as a whole before it is read, and waits
  /// within the time of the exchange while the budget is used up. Otherwise it is
  /// reserved as it arrives, and an exchange that exceeds the budget ends as
  /// ConnectionLost, as do bodies without a length, or longer than the budget.
  bool mWaitsForBudget = false;
};

/// @brief The result of an exchange.
struct HttpExchangeResult
{
  HttpExchangeEnd mEnd = HttpExchangeEnd::ConnectFailed;
  /// Set if mEnd is Response.
  HttpResponse mResponse;
  /// Why there is no response; empty if mEnd is Response.
  std::string mCause;
};

/// @brief A client connection. Each callback runs exactly once, on the io_context. Unless
/// stated otherwise, functions may be called from any thread.
///
/// Invariant: an exchange that ends without a response closes the connection, which then
/// never carries another exchange.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  /// @brief Receives whether the connection was opened and, if not, the cause.
  using OpenFn = std::function<void(bool aOpened, std::string aCause)>;
  using ExchangeFn = std::function<void(HttpExchangeResult)>;

  /// @param aBudget bounds the bodies of all responses that are being read with it; null
  /// if there is no such bound.
  static std::shared_ptr<HttpConnection> Create(
    boost::asio::io_context& aContext, Endpoint aEndpoint,
    HttpResponseLimits aLimits = {}, std::shared_ptr<ByteBudget> aBudget = nullptr);
  virtual ~HttpConnection() = default;

  /// @brief Connects to the endpoint; fails if this takes longer than @p aTimeout.
  virtual void Open(Duration aTimeout, OpenFn aDone) = 0;
  /// @brief Sends @p aRequest and reads its response. Must not be called while another
  /// exchange runs.
  virtual void Exchange(HttpRequest aRequest, Duration aTimeout, ExchangeFn aDone) = 0;
  /// @brief Closes the connection. A running exchange ends as Cancelled.
  virtual void Close() = 0;
  /// @brief Whether the connection can carry another exchange: false before it is opened,
  /// after a failure, after Close() and after a response that announced a close.
  virtual bool IsUsable() const = 0;
  /// @brief Whether an idle connection can still carry an exchange: it is usable, the
  /// peer has neither closed it nor sent unexpected data, and the idle timeout announced
  /// by the peer, less a margin, has not expired. Must be called on the io_context of the
  /// connection.
  virtual bool IsStillOpen() = 0;
};

/// @brief Opens a connection, runs one exchange and closes the connection. @p aTimeout
/// covers connecting and the exchange.
void
HttpFetch(boost::asio::io_context& aContext, const Endpoint& aEndpoint,
          HttpRequest aRequest, Duration aTimeout, HttpConnection::ExchangeFn aDone,
          HttpResponseLimits aLimits = {});

} // namespace wasabispar
