/// @file
/// @brief Endpoint, HttpConnection and HttpFetch(), on Boost.Beast.
#include "wasabispar/net/http_client.hpp"

#include "wasabispar/net/message_head.hpp"
#include "wasabispar/net/message_parser.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
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

/// A request that is being written.
struct OutgoingRequest
{
  OutgoingRequest(HttpRequest aRequest, const Endpoint& aEndpoint)
    : mRequest(std::move(aRequest))
    , mHead(RequestHead(mRequest, aEndpoint.Text()))
  {
    mRequest.mHeaders.clear();
  }

  bool IsHead() const { return mRequest.mMethod == "HEAD"; }
  std::array<asio::const_buffer, 2> Buffers() const
  {
    return { asio::buffer(mHead), asio::buffer(mRequest.Body()) };
  }

  /// Holds the body and its reserved memory; mHead contains the headers.
  HttpRequest mRequest;
  std::string mHead;
};

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
  std::shared_ptr<const OutgoingRequest> mRequest;
  std::optional<ResponseParser> mParser;
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
    mRequest = std::make_shared<const OutgoingRequest>(std::move(aRequest), mEndpoint);
    mOverheadBytes = 0;
    mIsRequestWritten = false;
    mDeadline = BootClock::now() + aTimeout;
    mStream.expires_after(aTimeout);
    asio::async_write(
      mStream, mRequest->Buffers(),
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
    mParser.emplace(mLimits.mMaxHeaderBytes, mLimits.mMaxBodyBytes);
    mParser->skip(mRequest->IsHead());
    mIsBodyAdmitted = !mBudget || !mLimits.mWaitsForBudget;
    mParser->Body().mReservation = ByteBudget::Reservation(mBudget);
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
    auto& body = mParser->Body();
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
    } else if (mParser->IsInterim()) {
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
    auto& reservation = mParser->Body().mReservation;
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
    auto& text = mParser->Body().mText;
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
    mParser->Body().mReservation = std::move(aTaken);
    ReadReserved(aBytes);
  }

  void CompleteExchange()
  {
    mStream.expires_never();
    mRequest = nullptr;
    HttpExchangeResult result;
    result.mEnd = HttpExchangeEnd::Response;
    auto& response = result.mResponse;
    response.mStatus = mParser->Status();
    response.mHeaders = std::move(mParser->Headers());
    response.mBody = std::move(mParser->Body().mText);
    if (mLimits.mKeepsReservation) {
      response.mReservedMemory = std::make_shared<ByteBudget::Reservation>(
        std::move(mParser->Body().mReservation));
    }
    mLastUse = BootClock::now();
    mKeepAliveTimeout = ParseKeepAliveTimeout(response.Header("Keep-Alive"));
    // Closes the connection if it must not carry another request: the peer announced a
    // close, sent bytes after the response, or answered before the request was written.
    if (!mParser->keep_alive() || mBuffer.size() > 0 || !mIsRequestWritten) {
      mIsUsable = false;
      mStream.close();
    }
    mParser.reset();
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
