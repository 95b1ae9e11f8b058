/// @file
/// @brief Implements the stand-ins' HTTP server on Boost.Beast.
#include "tests/standins/connection_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace wasabispar::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;
/// Bounds what an endless response adds to the buffers of its peer and of a relay.
constexpr auto kWritePause = std::chrono::milliseconds(5);
class Connection;
} // namespace

struct ConnectionServer::State : std::enable_shared_from_this<ConnectionServer::State>
{
  State(asio::io_context& aContext, ConnectionServerOptions aOptions, HandlerFn aHandler)
    : mContext(aContext)
    , mOptions(aOptions)
    , mHandler(std::move(aHandler))
  {
  }

  void Accept();
  /// Runs @p aFn now, or at the end of the freeze.
  void RunUnlessFrozen(std::function<void()> aFn);

  asio::io_context& mContext;
  ConnectionServerOptions mOptions;
  HandlerFn mHandler;
  std::optional<tcp::acceptor> mAcceptor;
  std::set<std::shared_ptr<Connection>> mConnections;
  ConnectionCounts mCounts;
  bool mFrozen = false;
  std::vector<std::function<void()>> mWaitingForThaw;
};

namespace {

void
ResetSocket(tcp::socket& aSocket)
{
  error_code ignored;
  // A linger time of 0 makes close() send RST, as the crash of a process does.
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(std::shared_ptr<ConnectionServer::State> aServer, tcp::socket aSocket)
    : mServer(std::move(aServer))
    , mSocket(std::move(aSocket))
    , mTimer(mServer->mContext)
  {
    error_code ignored;
    mSocket.set_option(tcp::no_delay(true), ignored);
    const auto peer = mSocket.remote_endpoint(ignored);
    mPeer = peer.address().to_string() + ":" + std::to_string(peer.port());
  }

  void Start()
  {
    mTimer.expires_after(mServer->mOptions.mConnectionCost);
    mTimer.async_wait([self = shared_from_this()](error_code) { self->Read(); });
  }

  void Reset()
  {
    ResetSocket(mSocket);
    mTimer.cancel();
    Drop();
  }

  void Silence() { mSilent = true; }
  void Write(HttpResponse aResponse);
  void WriteRaw(std::string aBytes, bool aKeepOpen);
  void WriteEndlessly(std::string aNext, std::string aRepeated);
  void WriteLater(std::string aRepeated);

private:
  class PendingExchange : public Exchange
  {
  public:
    PendingExchange(std::shared_ptr<Connection> aConnection, HttpRequest aRequest)
      : mConnection(std::move(aConnection))
      , mRequest(std::move(aRequest))
      , mReceived(BootClock::now())
    {
    }
    const HttpRequest& Request() const override { return mRequest; }
    TimePoint Received() const override { return mReceived; }
    void OnGone(std::function<void()> aFn) override { mGone = std::move(aFn); }
    void Respond(HttpResponse aResponse) override
    {
      mGone = nullptr;
      if (const auto connection = std::exchange(mConnection, nullptr)) {
        connection->Write(std::move(aResponse));
      }
    }
    void RespondRaw(std::string aBytes, bool aKeepOpen) override
    {
      mGone = nullptr;
      if (const auto connection = std::exchange(mConnection, nullptr)) {
        connection->WriteRaw(std::move(aBytes), aKeepOpen);
      }
    }
    void RespondEndlessly(std::string aBegin, std::string aRepeated) override
    {
      mGone = nullptr;
      if (const auto connection = std::exchange(mConnection, nullptr)) {
        connection->WriteEndlessly(std::move(aBegin), std::move(aRepeated));
      }
    }
    void Gone()
    {
      mConnection.reset();
      if (const auto gone = std::exchange(mGone, nullptr)) {
        gone();
      }
    }

  private:
    std::shared_ptr<Connection> mConnection;
    HttpRequest mRequest;
    TimePoint mReceived;
    std::function<void()> mGone;
  };

  void Read()
  {
    if (!mSocket.is_open()) {
      return;
    }
    mParser.emplace();
    mParser->body_limit(kMaxBodyBytes);
    http::async_read(mSocket, mBuffer, *mParser,
                     [self = shared_from_this()](error_code aError, std::size_t) {
                       if (aError) {
                         self->Close();
                       } else {
                         self->mServer->RunUnlessFrozen([self] { self->Handle(); });
                       }
                     });
  }

  void Handle()
  {
    if (!mSocket.is_open()) {
      return;
    }
    auto message = mParser->release();
    HttpRequest request;
    request.mMethod = std::string(message.method_string());
    request.mTarget = std::string(message.target());
    for (const auto& field : message) {
      request.mHeaders.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
    request.mBody = std::move(message.body());
    request.mPeer = mPeer;
    mKeepAlive = message.keep_alive();
    mPending = std::make_shared<PendingExchange>(shared_from_this(), std::move(request));
    WatchForClose(mPending);
    if (!mSilent) {
      mServer->mHandler(mPending);
    }
  }

  /// Notices that the peer closed the connection while its request is processed.
  void WatchForClose(const std::shared_ptr<PendingExchange>& aExchange)
  {
    mSocket.async_wait(
      tcp::socket::wait_read, [self = shared_from_this(), aExchange](error_code aError) {
        if (aError || self->mPending != aExchange) {
          return;
        }
        char byte = 0;
        error_code error;
        self->mSocket.non_blocking(true, error);
        self->mSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (error && error != asio::error::would_block) {
          self->Close();
        }
      });
  }

  void Close()
  {
    error_code ignored;
    mSocket.shutdown(tcp::socket::shutdown_both, ignored);
    mSocket.close(ignored);
    Drop();
  }

  /// Ends the life of the connection in the server.
  void Drop()
  {
    const auto self = shared_from_this();
    if (mServer->mConnections.erase(self) > 0) {
      --mServer->mCounts.mOpen;
    }
    if (const auto pending = std::exchange(mPending, nullptr)) {
      pending->Gone();
    }
  }

  std::shared_ptr<ConnectionServer::State> mServer;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
  std::shared_ptr<PendingExchange> mPending;
  std::string mPeer;
  bool mKeepAlive = true;
  bool mSilent = false;
};

void
Connection::Write(HttpResponse aResponse)
{
  mServer->RunUnlessFrozen(
    [self = shared_from_this(), response = std::move(aResponse)]() mutable {
      if (!self->mSocket.is_open() || self->mSilent) {
        return;
      }
      auto& message = self->mResponse;
      message = {};
      message.result(response.mStatus);
      message.set(http::field::content_type, response.mContentType);
      for (const auto& header : response.mHeaders) {
        message.set(header.mName, header.mValue);
      }
      message.body() = std::move(response.mBody);
      message.keep_alive(self->mKeepAlive && !response.mCloseConnection);
      message.prepare_payload();
      self->mPending.reset();
      http::async_write(self->mSocket, message, [self](error_code aError, std::size_t) {
        if (aError || !self->mResponse.keep_alive()) {
          self->Close();
        } else {
          self->Read();
        }
      });
    });
}

void
Connection::WriteEndlessly(std::string aNext, std::string aRepeated)
{
  mPending.reset();
  const auto bytes = std::make_shared<std::string>(std::move(aNext));
  asio::async_write(mSocket, asio::buffer(*bytes),
                    [self = shared_from_this(), bytes,
                     aRepeated = std::move(aRepeated)](error_code aError, std::size_t) {
                      if (aError) {
                        self->Reset();
                      } else {
                        self->WriteLater(aRepeated);
                      }
                    });
}

void
Connection::WriteLater(std::string aRepeated)
{
  mTimer.expires_after(kWritePause);
  mTimer.async_wait([self = shared_from_this(), aRepeated](error_code aError) {
    if (!aError && self->mSocket.is_open()) {
      self->WriteEndlessly(aRepeated, aRepeated);
    }
  });
}

void
Connection::WriteRaw(std::string aBytes, bool aKeepOpen)
{
  mPending.reset();
  const auto bytes = std::make_shared<std::string>(std::move(aBytes));
  asio::async_write(
    mSocket, asio::buffer(*bytes),
    [self = shared_from_this(), bytes, aKeepOpen](error_code aError, std::size_t) {
      if (aError || !aKeepOpen) {
        self->Reset();
      } else {
        self->Read();
      }
    });
}

} // namespace

void
ConnectionServer::State::RunUnlessFrozen(std::function<void()> aFn)
{
  if (mFrozen) {
    mWaitingForThaw.push_back(std::move(aFn));
  } else {
    aFn();
  }
}

void
ConnectionServer::State::Accept()
{
  mAcceptor->async_accept(
    [self = shared_from_this()](error_code aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      auto& counts = self->mCounts;
      if (counts.mOpen >= self->mOptions.mConnectionLimit) {
        ++counts.mRefused;
        error_code ignored;
        aSocket.close(ignored);
      } else {
        ++counts.mAccepted;
        counts.mMaxOpen = std::max(counts.mMaxOpen, ++counts.mOpen);
        auto connection = std::make_shared<Connection>(self, std::move(aSocket));
        self->mConnections.insert(connection);
        connection->Start();
      }
      if (self->mAcceptor) {
        self->Accept();
      }
    });
}

ConnectionServer::ConnectionServer(asio::io_context& aContext,
                                   ConnectionServerOptions aOptions, HandlerFn aHandler)
  : mState(std::make_shared<State>(aContext, aOptions, std::move(aHandler)))
{
}

ConnectionServer::~ConnectionServer()
{
  Abort();
}

std::uint16_t
ConnectionServer::Listen(std::uint16_t aPort)
{
  const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), aPort);
  tcp::acceptor acceptor(mState->mContext);
  error_code error;
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (error) {
    return 0;
  }
  acceptor.listen(asio::socket_base::max_listen_connections, error);
  const auto port = acceptor.local_endpoint().port();
  mState->mAcceptor.emplace(std::move(acceptor));
  mState->Accept();
  return port;
}

void
ConnectionServer::StopListening()
{
  mState->mAcceptor.reset();
}

void
ConnectionServer::ResetConnections()
{
  const auto connections = mState->mConnections;
  for (const auto& connection : connections) {
    connection->Reset();
  }
}

void
ConnectionServer::Abort()
{
  StopListening();
  ResetConnections();
}

void
ConnectionServer::Freeze(bool aFrozen)
{
  mState->mFrozen = aFrozen;
  if (aFrozen) {
    return;
  }
  for (auto& waiting : std::exchange(mState->mWaitingForThaw, {})) {
    waiting();
  }
}

void
ConnectionServer::SilenceOpenConnections()
{
  for (const auto& connection : mState->mConnections) {
    connection->Silence();
  }
}

ConnectionCounts
ConnectionServer::Counts() const
{
  return mState->mCounts;
}

} // namespace wasabispar::standins
