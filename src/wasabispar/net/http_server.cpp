/// @file
/// @brief HttpServer on Boost.Beast: one session object per connection.
#include "wasabispar/net/http_server.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace wasabispar {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

/// Idle timeout after StopAccepting(): long enough for a request that the client has sent
/// to arrive.
constexpr auto kIdleTimeoutAfterStop = std::chrono::milliseconds(500);

/// Delay before the next connection is accepted when an accept failed, for example
/// because the process has no descriptor left. Until then the connections wait in the
/// backlog.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

constexpr std::size_t kReadChunkBytes = 4096;
/// The buffer of a connection holds at most the header and one read of the body, which
/// also bounds a chunk extension and a trailer.
constexpr std::size_t kMaxReadBytes = 64 * 1024;

} // namespace

class HttpSession;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
  std::vector<asio::io_context*> mWorkers;
  HttpServerOptions mOptions;
  HttpHandlerFn mHandler;
  HttpRejectionFn mOnRejection;

  std::atomic<std::uint16_t> mPort{ 0 };
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mStopped{ false };
  std::atomic<std::size_t> mRunningRequests{ 0 };

  /// Guards mOptions after Start(), mSessions and mNextWorker.
  mutable std::mutex mMutex;
  std::unordered_map<HttpSession*, std::weak_ptr<HttpSession>> mSessions;
  std::size_t mNextWorker = 0;

  /// After Start(), used only on worker 0.
  std::optional<tcp::acceptor> mAcceptor;
  std::optional<asio::steady_timer> mAcceptRetryTimer;

  HttpServerOptions Options() const
  {
    std::lock_guard lock(mMutex);
    return mOptions;
  }
  void Accept();
  /// Calls Accept() after kAcceptRetryDelay.
  void AcceptLater();
  void StartSession(tcp::socket aSocket);
  /// Starts sessions for the connections in the listen backlog and closes the listener.
  void AcceptBacklogAndClose();
  asio::io_context& NextWorker();
  std::vector<std::shared_ptr<HttpSession>> Sessions() const;
  /// Passes @p aReason to the rejection callback, if one is set.
  void ReportRejection(std::string_view aReason) const
  {
    if (mOnRejection) {
      mOnRejection(aReason);
    }
  }
};

/// One connection. Except for construction, all members are used only on the worker of
/// the connection.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(std::shared_ptr<HttpServer::State> aServer, tcp::socket aSocket)
    : mServer(std::move(aServer))
    , mStream(std::move(aSocket))
    , mIdleTimer(mStream.get_executor())
    , mReadTimer(mStream.get_executor())
  {
    beast::error_code error;
    const auto remote = mStream.socket().remote_endpoint(error);
    if (!error) {
      mPeer = remote.address().to_string() + ":" + std::to_string(remote.port());
    }
    mStream.socket().set_option(tcp::no_delay(true), error);
  }

  ~HttpSession()
  {
    if (mHandling) {
      --mServer->mRunningRequests;
    }
    std::lock_guard lock(mServer->mMutex);
    mServer->mSessions.erase(this);
  }

  void Start()
  {
    asio::dispatch(mStream.get_executor(),
                   [self = shared_from_this()] { self->AwaitRequest(); });
  }

  /// Closes the connection after kIdleTimeoutAfterStop unless a request is running.
  void Stop()
  {
    asio::post(mStream.get_executor(), [self = shared_from_this()] {
      if (!self->mHandling && !self->mReading) {
        self->ArmIdleTimer(kIdleTimeoutAfterStop);
      }
    });
  }

  void Abort()
  {
    asio::post(mStream.get_executor(), [self = shared_from_this()] { self->Close(); });
  }

private:
  std::shared_ptr<HttpServer::State> mServer;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  asio::steady_timer mIdleTimer;
  /// Bounds the time to read a request. The timeout of mStream is not used for it,
  /// because it closes the connection before the rejection can be reported.
  asio::steady_timer mReadTimer;
  /// Number of requests of which the first byte was read.
  std::uint64_t mRequestNumber = 0;
  std::string mPeer;
  /// True from the first to the last byte of a request.
  bool mReading = false;
  /// True from the last byte of a request to the last byte of its response. Such a
  /// request is counted in the server's mRunningRequests.
  bool mHandling = false;
  /// Whether a read of the first bytes of the next request is pending. The read also
  /// detects that the client disconnects while its request is handled.
  bool mIsReadPending = false;
  /// Whether the client has closed the connection.
  bool mIsPeerClosed = false;
  /// Notifier of the request that is being handled; null between requests.
  std::shared_ptr<DisconnectNotifier> mDisconnectNotifier;

  /// Waits for the next request, which may already be in the buffer.
  void AwaitRequest()
  {
    if (mIsPeerClosed) {
      Close();
      return;
    }
    if (mBuffer.size() > 0) {
      ReadRequest();
      return;
    }
    ArmIdleTimer(mServer->mStopped ? Duration(kIdleTimeoutAfterStop)
                                   : mServer->Options().mIdleTimeout);
    AwaitBytes();
  }

  void ArmIdleTimer(Duration aTimeout)
  {
    mIdleTimer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(aTimeout));
    mIdleTimer.async_wait([weak = weak_from_this()](beast::error_code aError) {
      const auto self = weak.lock();
      if (!aError && self && !self->mHandling && !self->mReading) {
        self->Close();
      }
    });
  }

  /// Reads the first bytes of the next request. Uses the plain socket, because the
  /// timeout of mStream applies to whole requests.
  void AwaitBytes()
  {
    if (mIsReadPending) {
      return;
    }
    mIsReadPending = true;
    mStream.socket().async_read_some(
      mBuffer.prepare(kReadChunkBytes),
      [self = shared_from_this()](beast::error_code aError, std::size_t aBytes) {
        self->mIsReadPending = false;
        self->OnBytes(aError, aBytes);
      });
  }

  void OnBytes(beast::error_code aError, std::size_t aBytes)
  {
    if (aError) {
      mIsPeerClosed = true;
      Close();
      if (const auto notifier = std::exchange(mDisconnectNotifier, nullptr)) {
        notifier->Notify();
      }
      return;
    }
    mBuffer.commit(aBytes);
    if (!mHandling) {
      mIdleTimer.cancel();
      ReadRequest();
    }
  }

  void ReadRequest()
  {
    mReading = true;
    const auto options = mServer->Options();
    mParser.emplace();
    mParser->header_limit(static_cast<std::uint32_t>(options.mMaxHeaderBytes));
    mParser->body_limit(options.mMaxBodyBytes);
    mBuffer.max_size(options.mMaxHeaderBytes + kMaxReadBytes);
    mStream.expires_never();
    ArmReadTimer(options.mReadTimeout);
    http::async_read(mStream, mBuffer, *mParser,
                     [self = shared_from_this()](beast::error_code aError, std::size_t) {
                       self->mReading = false;
                       self->mReadTimer.cancel();
                       if (aError) {
                         self->RejectRequest(aError);
                       } else {
                         self->Handle();
                       }
                     });
  }

  /// Reports the request that is being read and closes the connection after @p aTimeout,
  /// unless the request is complete by then.
  void ArmReadTimer(Duration aTimeout)
  {
    mReadTimer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(aTimeout));
    mReadTimer.async_wait(
      [weak = weak_from_this(), number = ++mRequestNumber](beast::error_code aError) {
        const auto self = weak.lock();
        if (!aError && self && self->mReading && self->mRequestNumber == number) {
          self->mServer->ReportRejection("read-timeout");
          self->Close();
        }
      });
  }

  /// Responds to and reports a request that violates a limit or does not parse. Closes
  /// the connection without a response if it is lost or was closed by the read timer.
  void RejectRequest(beast::error_code aError)
  {
    unsigned status = 400;
    std::string_view reason = "malformed";
    if (aError == http::error::end_of_stream || aError == asio::error::connection_reset ||
        aError == asio::error::operation_aborted) {
      Close();
      return;
    }
    if (aError == http::error::header_limit) {
      status = 431;
      reason = "header-too-large";
    } else if (aError == http::error::body_limit) {
      status = 413;
      reason = "body-too-large";
    }
    mServer->ReportRejection(reason);
    HttpResponse response;
    response.mStatus = status;
    response.mBody =
      R"({"outcome":"not-run","error":{"step":"parse-request","peer":"","cause":")" +
      std::string(reason) + "\"}}";
    response.mHeaders.push_back({ "Wasabispar-Outcome", "not-run" });
    response.mCloseConnection = true;
    Write(std::move(response), 11, false);
  }

  void Handle()
  {
    mHandling = true;
    ++mServer->mRunningRequests;
    mStream.expires_never();
    auto message = mParser->release();
    HttpRequest request;
    request.mMethod = std::string(message.method_string());
    request.mTarget = std::string(message.target());
    for (const auto& field : message) {
      request.mHeaders.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
    request.mBody = std::move(message.body());
    request.mContentType.clear();
    request.mPeer = mPeer;
    request.mDisconnectNotifier = mDisconnectNotifier =
      std::make_shared<DisconnectNotifier>();
    if (mBuffer.size() == 0) {
      AwaitBytes();
    }
    mServer->mHandler(std::move(request),
                      MakeResponder(message.version(), message.keep_alive()));
  }

  /// Sends the response of one request. Closes the connection if destroyed before a
  /// response was sent.
  struct Responder
  {
    std::shared_ptr<HttpSession> mSession;
    unsigned mHttpVersion;
    bool mKeepAlive;
    std::atomic<bool> mIsUsed{ false };

    Responder(std::shared_ptr<HttpSession> aSession, unsigned aHttpVersion,
              bool aKeepAlive)
      : mSession(std::move(aSession))
      , mHttpVersion(aHttpVersion)
      , mKeepAlive(aKeepAlive)
    {
    }
    ~Responder()
    {
      if (!mIsUsed) {
        mSession->Abort();
      }
    }
    void Respond(HttpResponse aResponse)
    {
      if (mIsUsed.exchange(true)) {
        return;
      }
      asio::dispatch(mSession->mStream.get_executor(),
                     [session = mSession, version = mHttpVersion, keepAlive = mKeepAlive,
                      response = std::move(aResponse)]() mutable {
                       session->Write(std::move(response), version, keepAlive);
                     });
    }
  };

  HttpRespondFn MakeResponder(unsigned aHttpVersion, bool aKeepAlive)
  {
    auto responder =
      std::make_shared<Responder>(shared_from_this(), aHttpVersion, aKeepAlive);
    return
      [responder](HttpResponse aResponse) { responder->Respond(std::move(aResponse)); };
  }

  void Write(HttpResponse aResponse, unsigned aHttpVersion, bool aKeepAlive)
  {
    mDisconnectNotifier = nullptr;
    if (mIsPeerClosed) {
      FinishResponse(false);
      return;
    }
    auto message = std::make_shared<http::response<http::string_body>>(
      static_cast<http::status>(aResponse.mStatus), aHttpVersion);
    if (!aResponse.mContentType.empty()) {
      message->set(http::field::content_type, aResponse.mContentType);
    }
    for (const auto& header : aResponse.mHeaders) {
      message->insert(header.mName, header.mValue);
    }
    message->keep_alive(aKeepAlive && !aResponse.mCloseConnection && !mServer->mDraining);
    message->body() = std::move(aResponse.mBody);
    message->prepare_payload();
    mStream.expires_after(mServer->Options().mReadTimeout);
    http::async_write(
      mStream, *message,
      [self = shared_from_this(), message](beast::error_code aError, std::size_t) {
        self->FinishResponse(!aError && message->keep_alive());
      });
  }

  void FinishResponse(bool aKeepAlive)
  {
    if (mHandling) {
      mHandling = false;
      --mServer->mRunningRequests;
    }
    if (aKeepAlive) {
      AwaitRequest();
      return;
    }
    beast::error_code ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    Close();
  }

  void Close()
  {
    mIdleTimer.cancel();
    mReadTimer.cancel();
    mStream.close();
  }
};

void
HttpServer::State::Accept()
{
  mAcceptor->async_accept(NextWorker(), [self = shared_from_this()](
                                          beast::error_code aError, tcp::socket aSocket) {
    // The listener may have been closed after this connection was accepted.
    if (!aError) {
      self->StartSession(std::move(aSocket));
    }
    if (!self->mAcceptor || !self->mAcceptor->is_open()) {
      return;
    }
    if (aError) {
      self->AcceptLater();
    } else {
      self->Accept();
    }
  });
}

void
HttpServer::State::AcceptLater()
{
  mAcceptRetryTimer->expires_after(kAcceptRetryDelay);
  mAcceptRetryTimer->async_wait([self = shared_from_this()](beast::error_code aError) {
    if (!aError && self->mAcceptor->is_open()) {
      self->Accept();
    }
  });
}

asio::io_context&
HttpServer::State::NextWorker()
{
  std::lock_guard lock(mMutex);
  return *mWorkers[mNextWorker++ % mWorkers.size()];
}

void
HttpServer::State::StartSession(tcp::socket aSocket)
{
  std::shared_ptr<HttpSession> session;
  {
    std::unique_lock lock(mMutex);
    if (mSessions.size() >= mOptions.mMaxConnections) {
      lock.unlock();
      ReportRejection("too-many-connections");
      return;
    }
  }
  session = std::make_shared<HttpSession>(shared_from_this(), std::move(aSocket));
  {
    std::lock_guard lock(mMutex);
    mSessions.emplace(session.get(), session);
  }
  session->Start();
}

void
HttpServer::State::AcceptBacklogAndClose()
{
  beast::error_code error;
  mAcceptor->cancel(error);
  mAcceptor->non_blocking(true, error);
  while (!error) {
    tcp::socket socket(NextWorker());
    mAcceptor->accept(socket, error);
    if (!error) {
      StartSession(std::move(socket));
    }
  }
  mAcceptor->close(error);
  mAcceptRetryTimer->cancel();
}

std::vector<std::shared_ptr<HttpSession>>
HttpServer::State::Sessions() const
{
  std::lock_guard lock(mMutex);
  std::vector<std::shared_ptr<HttpSession>> sessions;
  for (const auto& [key, weak] : mSessions) {
    if (auto session = weak.lock()) {
      sessions.push_back(std::move(session));
    }
  }
  return sessions;
}

HttpServer::HttpServer(std::vector<asio::io_context*> aWorkers,
                       HttpServerOptions aOptions, HttpHandlerFn aHandler,
                       HttpRejectionFn aOnRejection)
  : mState(std::make_shared<State>())
{
  mState->mWorkers = std::move(aWorkers);
  mState->mOptions = std::move(aOptions);
  mState->mHandler = std::move(aHandler);
  mState->mOnRejection = std::move(aOnRejection);
}

HttpServer::~HttpServer()
{
  StopAccepting();
  for (const auto& session : mState->Sessions()) {
    session->Abort();
  }
}

Result<void>
HttpServer::Start()
{
  const auto& options = mState->mOptions;
  const auto addressText = options.mAddress + ":" + std::to_string(options.mPort);
  beast::error_code error;
  const auto address = asio::ip::make_address(options.mAddress, error);
  if (error) {
    return Fail({ Step::Settings, addressText, Outcome::NotRun, "not an IP address" });
  }
  const tcp::endpoint endpoint(address, options.mPort);
  mState->mAcceptRetryTimer.emplace(*mState->mWorkers.front());
  auto& acceptor = mState->mAcceptor.emplace(*mState->mWorkers.front());
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail({ Step::Settings, addressText, Outcome::NotRun, error.message() });
  }
  mState->mPort = acceptor.local_endpoint().port();
  asio::post(*mState->mWorkers.front(), [state = mState] { state->Accept(); });
  return {};
}

void
HttpServer::SetLimits(const HttpServerOptions& aLimits)
{
  std::lock_guard lock(mState->mMutex);
  auto& options = mState->mOptions;
  options.mMaxHeaderBytes = aLimits.mMaxHeaderBytes;
  options.mMaxBodyBytes = aLimits.mMaxBodyBytes;
  options.mReadTimeout = aLimits.mReadTimeout;
  options.mIdleTimeout = aLimits.mIdleTimeout;
}

std::uint16_t
HttpServer::Port() const
{
  return mState->mPort;
}

void
HttpServer::BeginDrain()
{
  mState->mDraining = true;
}

void
HttpServer::StopAccepting()
{
  if (mState->mStopped.exchange(true)) {
    return;
  }
  mState->mDraining = true;
  if (!mState->mAcceptor) {
    return;
  }
  asio::post(*mState->mWorkers.front(), [state = mState] {
    if (state->mAcceptor->is_open()) {
      state->AcceptBacklogAndClose();
    }
    for (const auto& session : state->Sessions()) {
      session->Stop();
    }
  });
}

std::size_t
HttpServer::RunningRequests() const
{
  return mState->mRunningRequests;
}

std::size_t
HttpServer::OpenConnections() const
{
  std::lock_guard lock(mState->mMutex);
  return mState->mSessions.size();
}

} // namespace wasabispar
