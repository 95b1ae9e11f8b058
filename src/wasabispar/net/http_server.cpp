/// @file
/// @brief HttpServer on Boost.Beast: the listener and its connections.
#include "wasabispar/net/http_server.hpp"

#include "wasabispar/net/http_server_state.hpp"
#include "wasabispar/net/http_session.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace wasabispar {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::asio::ip::tcp;

namespace {

/// Delay before the next connection is accepted when an accept failed, for example
/// because the process has no descriptor left. Until then the connections wait in the
/// backlog.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

void
HttpServer::State::Accept()
{
  mAcceptor->async_accept(NextWorker(), [self = shared_from_this()](
                                          beast::error_code aError, tcp::socket aSocket) {
    // The listener may have been closed after this connection was accepted.
    if (!aError) {
      self->StartSession(std::move(aSocket));
      self->AcceptBacklog();
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
HttpServer::State::AcceptBacklog()
{
  beast::error_code error;
  if (!mAcceptor || !mAcceptor->is_open()) {
    return;
  }
  mAcceptor->non_blocking(true, error);
  while (!error) {
    tcp::socket socket(NextWorker());
    mAcceptor->accept(socket, error);
    if (!error) {
      StartSession(std::move(socket));
    }
  }
}

void
HttpServer::State::AcceptBacklogAndClose()
{
  beast::error_code error;
  mAcceptor->cancel(error);
  AcceptBacklog();
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

bool
HttpServer::State::ResetLongestWaiting()
{
  const auto longest = mWaitingSessions.Oldest();
  if (longest) {
    // The pending operation of the session keeps it alive.
    (*longest)->ResetWriting("memory");
  }
  return longest.has_value();
}

HttpServer::HttpServer(std::vector<asio::io_context*> aWorkers,
                       HttpServerOptions aOptions, HttpHandlerFn aHandler,
                       HttpRejectionFn aOnRejection)
  : mState(std::make_shared<State>())
{
  mState->mWorkers = std::move(aWorkers);
  mState->mOptions = std::move(aOptions);
  mState->mMemory = mState->mOptions.mMemory;
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
HttpServer::WaitingResponses() const
{
  return mState->mWaitingSessions.Size();
}

std::size_t
HttpServer::OpenConnections() const
{
  std::lock_guard lock(mState->mMutex);
  return mState->mSessions.size();
}

} // namespace wasabispar
