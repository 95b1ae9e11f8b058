/// @file
/// @brief Endpoint, HttpConnection and HttpFetch(), on Boost.Beast.
#include "wasabispar/net/http_client.hpp"

#include "wasabispar/net/budgeted_body.hpp"
#include "wasabispar/net/shared_body.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <optional>

namespace wasabispar {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

/// The buffer holds at most the header and one read of the body.
constexpr std::size_t kMaxReadBytes = 64 * 1024;

/// Bytes that frame one byte of a body: a chunk of one byte has five, a longer chunk less
/// for each byte.
constexpr std::uint64_t kMaxChunkOverhead = 8;

/// A body of at most this length does not wait behind longer ones while the budget has
/// room for it: an answer of 1 kB would be late because of answers of 1 MB.
constexpr std::uint64_t kShortBodyBytes = 64 * 1024;

/// Subtracted from the idle timeout announced by the peer, because shortly before its end
/// the peer's close may already be on the way.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(500);

/// Returns how long a connection may stay idle according to its Keep-Alive header
/// (`timeout=N`, in seconds), less kKeepAliveMargin. Empty if the header states no
/// timeout.
std::optional<Duration>
ParseKeepAliveTimeout(std::string_view aKeepAlive)
{
  constexpr std::string_view kParameter = "timeout=";
  const auto at = aKeepAlive.find(kParameter);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const auto text = aKeepAlive.substr(at + kParameter.size());
  unsigned seconds = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (parsed.ec != std::errc{}) {
    return std::nullopt;
  }
  return std::max<Duration>(Duration{}, std::chrono::seconds(seconds) - kKeepAliveMargin);
}

http::request<SharedBody>
ToBeast(HttpRequest aRequest, const Endpoint& aEndpoint)
{
  http::request<SharedBody> message;
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  message.version(11);
  for (const auto& header : aRequest.mHeaders) {
    message.insert(header.mName, header.mValue);
  }
  if (message[http::field::host].empty()) {
    message.set(http::field::host, aEndpoint.Text());
  }
  if (!aRequest.Body().empty()) {
    if (!aRequest.mContentType.empty()) {
      message.set(http::field::content_type, aRequest.mContentType);
    }
    auto& body = message.body();
    body.mText = aRequest.mSharedBody
                   ? std::move(aRequest.mSharedBody)
                   : std::make_shared<const std::string>(std::move(aRequest.mBody));
    body.mReservedMemory = std::move(aRequest.mReservedMemory);
  }
  message.prepare_payload();
  return message;
}

class HttpConnectionImpl final : public HttpConnection
{
public:
  HttpConnectionImpl(asio::io_context& aContext, Endpoint aEndpoint,
                     HttpResponseLimits aLimits, std::shared_ptr<ByteBudget> aBudget)
    : mEndpoint(std::move(aEndpoint))
    , mLimits(aLimits)
    , mBudget(std::move(aBudget))
    , mStream(aContext)
    , mBuffer(aLimits.mMaxHeaderBytes + kMaxReadBytes)
    , mWaitTimer(aContext)
  {
  }

  void Open(Duration aTimeout, OpenFn aDone) override
  {
    asio::dispatch(mStream.get_executor(),
                   [self = Self(), aTimeout, done = std::move(aDone)]() mutable {
                     self->OpenOnWorker(aTimeout, std::move(done));
                   });
  }

  void Exchange(HttpRequest aRequest, Duration aTimeout, ExchangeFn aDone) override
  {
    asio::dispatch(mStream.get_executor(), [self = Self(), request = std::move(aRequest),
                                            aTimeout, done = std::move(aDone)]() mutable {
      self->ExchangeOnWorker(std::move(request), aTimeout, std::move(done));
    });
  }

  void Close() override
  {
    mIsUsable = false;
    mIsClosing = true;
    asio::dispatch(mStream.get_executor(), [self = Self()] {
      self->mStream.close();
      if (self->mPlace) {
        self->CancelWaiting();
      }
    });
  }

  bool IsUsable() const override { return mIsUsable; }

  bool IsStillOpen() override
  {
    const bool isStale =
      mKeepAliveTimeout && BootClock::now() - mLastUse >= *mKeepAliveTimeout;
    return mIsUsable && !isStale && !WasClosedWhileIdle();
  }

private:
  const Endpoint mEndpoint;
  const HttpResponseLimits mLimits;
  const std::shared_ptr<ByteBudget> mBudget;
  std::atomic<bool> mIsUsable{ false };
  std::atomic<bool> mIsClosing{ false };

  /// The members below are used only on the connection's worker. Invariant: mDone is set
  /// while an exchange runs.
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  /// Null between exchanges, so that an idle connection holds no body. The pending write
  /// shares it.
  std::shared_ptr<http::request<SharedBody>> mRequest;
  std::optional<http::response_parser<BudgetedBody>> mParser;
  /// Bytes read so far that are not part of a body.
  std::uint64_t mOverheadBytes = 0;
  ExchangeFn mDone;
  /// When the exchange times out.
  TimePoint mDeadline{};
  /// Place in mBudget while the body waits to be read; then no read is pending.
  std::optional<ByteBudget::PlaceId> mPlace;
  /// Ends an exchange whose body waits at mDeadline.
  asio::steady_timer mWaitTimer;
  /// Whether the length of the body was reserved, or is not reserved as a whole.
  bool mIsBodyAdmitted = false;
  /// Whether the whole request has been written to the socket.
  bool mIsRequestWritten = false;
  TimePoint mLastUse{};
  /// Idle time after which the peer may close the connection; empty if not announced.
  std::optional<Duration> mKeepAliveTimeout;

  std::shared_ptr<HttpConnectionImpl> Self()
  {
    return std::static_pointer_cast<HttpConnectionImpl>(shared_from_this());
  }

  void OpenOnWorker(Duration aTimeout, OpenFn aDone)
  {
    beast::error_code error;
    const auto address = asio::ip::make_address(mEndpoint.mAddress, error);
    if (error || mIsClosing) {
      aDone(false, mIsClosing ? "closed" : "not an IP address");
      return;
    }
    mStream.expires_after(aTimeout);
    mStream.async_connect(
      tcp::endpoint(address, mEndpoint.mPort),
      [self = Self(), done = std::move(aDone)](beast::error_code aError) {
        if (aError || self->mIsClosing) {
          self->mStream.close();
          done(false, aError ? aError.message() : "closed");
          return;
        }
        beast::error_code ignored;
        self->mStream.socket().set_option(tcp::no_delay(true), ignored);
        self->mStream.expires_never();
        self->mIsUsable = true;
        done(true, {});
      });
  }

  /// Whether the peer has closed the connection while no exchange was running, or has
  /// sent bytes that belong to no request.
  bool WasClosedWhileIdle()
  {
    char byte = 0;
    const auto received =
      ::recv(mStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void ExchangeOnWorker(HttpRequest aRequest, Duration aTimeout, ExchangeFn aDone)
  {
    mDone = std::move(aDone);
    if (mIsClosing) {
      EndExchange(HttpExchangeEnd::Cancelled, "closed before the exchange");
      return;
    }
    if (!mIsUsable || WasClosedWhileIdle()) {
      EndExchange(HttpExchangeEnd::ConnectFailed, "connection closed by the peer");
      return;
    }
    mRequest = std::make_shared<http::request<SharedBody>>(
      ToBeast(std::move(aRequest), mEndpoint));
    mOverheadBytes = 0;
    mIsRequestWritten = false;
    mDeadline = BootClock::now() + aTimeout;
    mStream.expires_after(aTimeout);
    http::async_write(
      mStream, *mRequest,
      [self = Self(), request = mRequest](beast::error_code aError, std::size_t) {
        // After a failed write, a response may still be readable: the peer may have
        // rejected the request before reading all of it.
        self->mIsRequestWritten = !aError;
      });
    // Reads concurrently with the write: an upstream may answer before it has read a long
    // body.
    ReadResponse();
  }

  void ReadResponse()
  {
    mParser.emplace();
    mParser->header_limit(mLimits.mMaxHeaderBytes);
    mParser->body_limit(mLimits.mMaxBodyBytes);
    mParser->skip(mRequest->method() == http::verb::head);
    mIsBodyAdmitted = !mBudget || !mLimits.mWaitsForBudget;
    mParser->get().body().mReservation = ByteBudget::Reservation(mBudget);
    ReadSome();
  }

  /// Reads in steps, so that bytes which are not part of a body are bounded as well.
  void ReadSome()
  {
    http::async_read_some(mStream, mBuffer, *mParser,
                          [self = Self()](beast::error_code aError, std::size_t aBytes) {
                            self->OnRead(aError, aBytes);
                          });
  }

  void OnRead(beast::error_code aError, std::size_t aBytes)
  {
    auto& body = mParser->get().body();
    const auto bodyBytes = body.mText.size() - body.mCountedBytes;
    body.mCountedBytes = body.mText.size();
    mOverheadBytes += aBytes - std::min(aBytes, bodyBytes);
    const auto maxOverheadBytes =
      mLimits.mMaxHeaderBytes + kMaxChunkOverhead * body.mText.size();
    if (aError) {
      FailExchange(aError);
    } else if (mOverheadBytes > maxOverheadBytes) {
      EndExchange(HttpExchangeEnd::ConnectionLost, "too many bytes beside the body");
    } else if (!mParser->is_done()) {
      ReadAdmitted();
    } else if (IsInterim()) {
      ReadResponse();
    } else {
      CompleteExchange();
    }
  }

  /// Reads on, after the length of the body was reserved if it is to be.
  void ReadAdmitted()
  {
    if (mIsBodyAdmitted || !mParser->is_header_done()) {
      ReadSome();
      return;
    }
    mIsBodyAdmitted = true;
    const auto bytes = mParser->content_length_remaining().value_or(0);
    auto& reservation = mParser->get().body().mReservation;
    const bool mayTake = bytes <= kShortBodyBytes || (mBudget->WaitingBytes() == 0 &&
                                                      mBudget->MayReserveAhead(bytes));
    if (bytes > mBudget->Limit()) {
      ReadSome();
    } else if (mayTake && reservation.ReserveAhead(bytes)) {
      ReadReserved(bytes);
    } else {
      AwaitBudget(bytes);
    }
  }

  /// Reads a body of which @p aBytes are reserved, into a string that does not grow.
  void ReadReserved(std::uint64_t aBytes)
  {
    auto& text = mParser->get().body().mText;
    text.reserve(text.size() + aBytes);
    ReadSome();
  }

  void AwaitBudget(std::uint64_t aBytes)
  {
    mPlace.emplace();
    mWaitTimer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(
      mDeadline - BootClock::now()));
    mWaitTimer.async_wait([self = Self()](beast::error_code aError) {
      if (!aError && self->mPlace) {
        self->EndExchange(HttpExchangeEnd::TimedOut, "no memory for the response");
      }
    });
    mPlace = mBudget->Await(aBytes, [weak = std::weak_ptr(Self()),
                                     aBytes](ByteBudget::Reservation aBytesTaken) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      auto taken = std::make_shared<ByteBudget::Reservation>(std::move(aBytesTaken));
      asio::post(self->mStream.get_executor(),
                 [self, aBytes, taken] { self->OnBudget(std::move(*taken), aBytes); });
    });
  }

  /// Posted, as the end of a pending read would be: the caller of Close() may not expect
  /// the callback before it returns.
  void CancelWaiting()
  {
    asio::post(mStream.get_executor(), [self = Self()] {
      if (self->mPlace) {
        self->EndExchange(HttpExchangeEnd::Cancelled, "cancelled");
      }
    });
  }

  void OnBudget(ByteBudget::Reservation aTaken, std::uint64_t aBytes)
  {
    if (!mPlace) {
      return;
    }
    mPlace.reset();
    mWaitTimer.cancel();
    mParser->get().body().mReservation = std::move(aTaken);
    ReadReserved(aBytes);
  }

  /// Whether the response is followed by the answer.
  bool IsInterim() const { return mParser->get().result_int() < 200; }

  void CompleteExchange()
  {
    mStream.expires_never();
    mRequest = nullptr;
    auto message = mParser->release();
    mLastUse = BootClock::now();
    mKeepAliveTimeout = ParseKeepAliveTimeout(message["Keep-Alive"]);
    // Closes the connection if it must not carry another request: the peer announced a
    // close, sent bytes after the response, or answered before the request was written.
    if (!message.keep_alive() || mBuffer.size() > 0 || !mIsRequestWritten) {
      mIsUsable = false;
      mStream.close();
    }
    HttpExchangeResult result;
    result.mEnd = HttpExchangeEnd::Response;
    result.mResponse.mStatus = message.result_int();
    for (const auto& field : message) {
      result.mResponse.mHeaders.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
    result.mResponse.mBody = std::move(message.body().mText);
    if (mLimits.mKeepsReservation) {
      result.mResponse.mReservedMemory =
        std::make_shared<ByteBudget::Reservation>(std::move(message.body().mReservation));
    }
    std::exchange(mDone, nullptr)(std::move(result));
  }

  void FailExchange(beast::error_code aError)
  {
    if (mIsClosing) {
      EndExchange(HttpExchangeEnd::Cancelled, "cancelled");
    } else if (aError == beast::error::timeout) {
      EndExchange(HttpExchangeEnd::TimedOut, "timed out");
    } else {
      EndExchange(HttpExchangeEnd::ConnectionLost, aError.message());
    }
  }

  /// Closes the connection and ends the exchange without a response.
  void EndExchange(HttpExchangeEnd aEnd, std::string aCause)
  {
    mIsUsable = false;
    mStream.close();
    if (const auto place = std::exchange(mPlace, std::nullopt)) {
      mWaitTimer.cancel();
      mBudget->Leave(*place);
    }
    mRequest = nullptr;
    mParser.reset();
    std::exchange(mDone, nullptr)(HttpExchangeResult{ aEnd, {}, std::move(aCause) });
  }
};

} // namespace

std::string
Endpoint::Text() const
{
  return mAddress + ":" + std::to_string(mPort);
}

Result<Endpoint>
Endpoint::Parse(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  Endpoint endpoint;
  beast::error_code error;
  if (colon != std::string_view::npos) {
    endpoint.mAddress = std::string(aText.substr(0, colon));
    asio::ip::make_address(endpoint.mAddress, error);
    const auto* begin = aText.data() + colon + 1;
    const auto* end = aText.data() + aText.size();
    const auto parsed = std::from_chars(begin, end, endpoint.mPort);
    if (!error && begin != end && parsed.ec == std::errc{} && parsed.ptr == end) {
      return endpoint;
    }
  }
  return Fail({ Step::Settings, std::string(aText), Outcome::NotRun, "not ip:port" });
}

std::shared_ptr<HttpConnection>
HttpConnection::Create(asio::io_context& aContext, Endpoint aEndpoint,
                       HttpResponseLimits aLimits, std::shared_ptr<ByteBudget> aBudget)
{
  return std::make_shared<HttpConnectionImpl>(aContext, std::move(aEndpoint), aLimits,
                                              std::move(aBudget));
}

void
HttpFetch(asio::io_context& aContext, const Endpoint& aEndpoint, HttpRequest aRequest,
          Duration aTimeout, HttpConnection::ExchangeFn aDone, HttpResponseLimits aLimits)
{
  const auto connection = HttpConnection::Create(aContext, aEndpoint, aLimits);
  const auto deadline = BootClock::now() + aTimeout;
  connection->Open(
    aTimeout, [connection, deadline, request = std::move(aRequest),
               done = std::move(aDone)](bool aOpened, std::string aCause) mutable {
      if (!aOpened) {
        done({ HttpExchangeEnd::ConnectFailed, {}, std::move(aCause) });
        return;
      }
      const auto left =
        std::max<Duration>(deadline - BootClock::now(), std::chrono::milliseconds(1));
      connection->Exchange(
        std::move(request), left,
        [connection, done = std::move(done)](HttpExchangeResult aResult) {
          connection->Close();
          done(std::move(aResult));
        });
    });
}

} // namespace wasabispar
