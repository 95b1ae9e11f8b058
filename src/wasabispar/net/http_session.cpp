/// @file
/// @brief HttpSession: reads requests and hands them to the handler.
#include "wasabispar/net/http_session.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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

constexpr std::size_t kReadChunkBytes = 4096;
/// The buffer of a connection holds at most the header and one read of the body, which
/// also bounds a chunk extension and a trailer.
constexpr std::size_t kMaxReadBytes = 64 * 1024;

/// Size of the receive buffer of a server with a memory budget, which the kernel doubles
/// to the size that it starts with: what a caller sends before it is read counts for the
/// memory of the VM, so the buffer must not grow.
constexpr int kReceiveBufferBytes = 64 * 1024;
/// Bytes that the kernel takes beyond those it can send at once. A small send buffer
/// would bound them too, but it slows down callers that read fast where it is smaller
/// than a segment, as on loopback.
constexpr int kMaxUnsentBytes = 32 * 1024;

/// HTTP version of responses to requests whose version is not known.
constexpr unsigned kDefaultHttpVersion = 11;

} // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServer::State> aServer, tcp::socket aSocket)
  : mServer(std::move(aServer))
  , mStream(std::move(aSocket))
  , mIdleTimer(mStream.get_executor())
  , mReadTimer(mStream.get_executor())
  , mWriteTimer(mStream.get_executor())
{
  beast::error_code error;
  const auto remote = mStream.socket().remote_endpoint(error);
  if (!error) {
    mPeer = remote.address().to_string() + ":" + std::to_string(remote.port());
  }
  mStream.socket().set_option(tcp::no_delay(true), error);
  if (mServer->mMemory) {
    LimitSocketBuffers();
  }
}

HttpSession::~HttpSession()
{
  if (mHandling) {
    --mServer->mRunningRequests;
  }
  if (mServer->mMemory) {
    mServer->mWaitingSessions.Remove(this);
  }
  std::lock_guard lock(mServer->mMutex);
  mServer->mSessions.erase(this);
}

void
HttpSession::LimitSocketBuffers()
{
  beast::error_code ignored;
  auto& socket = mStream.socket();
  socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kMaxUnsentBytes,
               sizeof(kMaxUnsentBytes));
}

void
HttpSession::Start()
{
  asio::dispatch(mStream.get_executor(),
                 [self = shared_from_this()] { self->AwaitRequest(); });
}

void
HttpSession::Stop()
{
  asio::post(mStream.get_executor(), [self = shared_from_this()] {
    if (!self->mHandling && !self->mReading) {
      self->ArmIdleTimer(kIdleTimeoutAfterStop);
    }
  });
}

void
HttpSession::Abort()
{
  asio::post(mStream.get_executor(), [self = shared_from_this()] { self->Close(); });
}

void
HttpSession::AwaitRequest()
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

void
HttpSession::ArmIdleTimer(Duration aTimeout)
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

void
HttpSession::AwaitBytes()
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

void
HttpSession::OnBytes(beast::error_code aError, std::size_t aBytes)
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

void
HttpSession::ReadRequest()
{
  mReading = true;
  const auto options = mServer->Options();
  mParser.emplace(options.mMaxHeaderBytes, options.mMaxBodyBytes);
  mBuffer.max_size(options.mMaxHeaderBytes + kMaxReadBytes);
  mStream.expires_never();
  ArmReadTimer(options.mReadTimeout);
  if (mServer->mMemory) {
    ReadWithinBudget();
  } else {
    ReadWhole();
  }
}

void
HttpSession::ReadWhole()
{
  http::async_read(mStream, mBuffer, *mParser,
                   [self = shared_from_this()](beast::error_code aError, std::size_t) {
                     self->OnRead(aError);
                   });
}

void
HttpSession::ReadWithinBudget()
{
  http::async_read_header(
    mStream, mBuffer, *mParser,
    [self = shared_from_this()](beast::error_code aError, std::size_t) {
      if (aError) {
        self->OnRead(aError);
        return;
      }
      auto& parser = *self->mParser;
      const auto& memory = *self->mServer->mMemory;
      // The length is checked at once, but reserved as the bytes arrive: a caller that
      // announces a long body and does not send it takes nothing from the others.
      if (!memory.MayBegin(parser.content_length().value_or(0))) {
        self->mIsBodyUnread = !parser.is_done();
        self->mReading = false;
        self->mReadTimer.cancel();
        self->RejectForMemory();
        return;
      }
      parser.Body().mReservation = ByteBudget::Reservation(memory.Requests());
      self->ReadWhole();
    });
}

void
HttpSession::OnRead(beast::error_code aError)
{
  mReading = false;
  mReadTimer.cancel();
  if (!aError && IsTraceWithContent()) {
    RejectRequest(http::error::unexpected_body);
  } else if (!aError) {
    Handle();
  } else if (mParser->Body().mIsOverBudget) {
    mIsBodyUnread = true;
    RejectForMemory();
  } else {
    RejectRequest(aError);
  }
}

bool
HttpSession::IsTraceWithContent()
{
  return mParser->Method() == "TRACE" && !mParser->Body().mText.empty();
}

void
HttpSession::ArmReadTimer(Duration aTimeout)
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

void
HttpSession::RejectRequest(beast::error_code aError)
{
  if (aError == http::error::end_of_stream || aError == asio::error::connection_reset ||
      aError == asio::error::operation_aborted) {
    Close();
  } else if (aError == http::error::header_limit) {
    Reject(431, "header-too-large");
  } else if (aError == http::error::body_limit) {
    Reject(413, "body-too-large");
  } else {
    Reject(400, "malformed");
  }
}

void
HttpSession::RejectForMemory()
{
  mParser.reset();
  // Whole seconds, as HTTP defines the header.
  Reject(503, "no-memory", { { "Retry-After", "1" } });
}

void
HttpSession::Reject(unsigned aStatus, std::string_view aReason,
                    std::vector<HttpHeader> aHeaders)
{
  mServer->ReportRejection(aReason);
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody =
    R"({"outcome":"not-run","error":{"step":"parse-request","peer":"","cause":")" +
    std::string(aReason) + "\"}}";
  response.mHeaders = std::move(aHeaders);
  response.mHeaders.push_back({ "Wasabispar-Outcome", "not-run" });
  response.mCloseConnection = true;
  Write(std::move(response), kDefaultHttpVersion, false);
}

class HttpSession::Responder
{
public:
  Responder(std::shared_ptr<HttpSession> aSession, unsigned aHttpVersion, bool aKeepAlive)
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
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

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

private:
  std::shared_ptr<HttpSession> mSession;
  unsigned mHttpVersion;
  bool mKeepAlive;
  std::atomic<bool> mIsUsed{ false };
};

HttpRespondFn
HttpSession::MakeResponder(unsigned aHttpVersion, bool aKeepAlive)
{
  auto responder =
    std::make_shared<Responder>(shared_from_this(), aHttpVersion, aKeepAlive);
  return
    [responder](HttpResponse aResponse) { responder->Respond(std::move(aResponse)); };
}

void
HttpSession::Handle()
{
  mHandling = true;
  ++mServer->mRunningRequests;
  mStream.expires_never();
  HttpRequest request;
  request.mMethod = std::move(mParser->Method());
  request.mTarget = std::move(mParser->Target());
  request.mHeaders = std::move(mParser->Headers());
  request.mBody = std::move(mParser->Body().mText);
  if (mServer->mMemory) {
    request.mReservedMemory =
      std::make_shared<ByteBudget::Reservation>(std::move(mParser->Body().mReservation));
  }
  request.mContentType.clear();
  request.mPeer = mPeer;
  request.mDisconnectNotifier = mDisconnectNotifier =
    std::make_shared<DisconnectNotifier>();
  auto responder = MakeResponder(mParser->Version(), mParser->keep_alive());
  mParser.reset();
  if (mBuffer.size() == 0) {
    AwaitBytes();
  }
  mServer->mHandler(std::move(request), std::move(responder));
}

void
HttpSession::Close()
{
  mIdleTimer.cancel();
  mReadTimer.cancel();
  mWriteTimer.cancel();
  mStream.close();
}

} // namespace wasabispar
