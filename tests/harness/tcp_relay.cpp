/// @file
/// @brief Implements the relay on Asio.
#include "tests/harness/tcp_relay.hpp"

#include <boost/asio.hpp>

#include <array>
#include <functional>
#include <future>
#include <optional>
#include <thread>
#include <vector>

namespace wasabispar::harness {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A pair of sockets whose bytes are copied in both directions.
class Pair : public std::enable_shared_from_this<Pair>
{
public:
  Pair(asio::io_context& aContext, tcp::socket aClient, const Duration& aDelay)
    : mClient(std::move(aClient))
    , mTarget(aContext)
    , mDelay(aDelay)
  {
  }

  void Start(const tcp::endpoint& aTarget)
  {
    mTarget.async_connect(aTarget, [self = shared_from_this()](error_code aError) {
      if (aError) {
        return self->Close();
      }
      self->Copy(self->mClient, self->mTarget, self->mUp);
      self->Copy(self->mTarget, self->mClient, self->mDown);
    });
  }

  void Close()
  {
    error_code ignored;
    mClient.close(ignored);
    mTarget.close(ignored);
    // What waits holds the pair alive.
    std::exchange(mWaiting, {}).clear();
  }

  void Reset()
  {
    error_code ignored;
    const asio::socket_base::linger discard(true, 0);
    mClient.set_option(discard, ignored);
    mTarget.set_option(discard, ignored);
    Close();
  }

  /// What the client sends and what comes back are silenced apart.
  void SetSilent(bool aUp, bool aDown)
  {
    mSilentUp = aUp;
    mSilentDown = aDown;
    // What stays silenced waits again.
    for (auto& resume : std::exchange(mWaiting, {})) {
      resume();
    }
  }

private:
  using Buffer = std::array<char, 16384>;

  void Copy(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer)
  {
    aFrom.async_read_some(
      asio::buffer(aBuffer), [self = shared_from_this(), &aFrom, &aTo,
                              &aBuffer](error_code aError, std::size_t aSize) {
        self->Pass([self, &aFrom, &aTo, &aBuffer, aError,
                    aSize] { self->Forward(aFrom, aTo, aBuffer, aError, aSize); },
                   &aFrom == &self->mClient);
      });
  }

  /// Runs @p aForward once the direction is neither silent nor delayed.
  void Pass(std::function<void()> aForward, bool aIsUp)
  {
    if (aIsUp ? mSilentUp : mSilentDown) {
      mWaiting.push_back(
        [self = shared_from_this(), aForward, aIsUp] { self->Pass(aForward, aIsUp); });
    } else if (mDelay > Duration::zero()) {
      const auto timer = std::make_shared<asio::steady_timer>(mTarget.get_executor());
      timer->expires_after(mDelay);
      timer->async_wait([timer, aForward](error_code) { aForward(); });
    } else {
      aForward();
    }
  }

  void Forward(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer, error_code aError,
               std::size_t aSize)
  {
    if (aError) {
      return Close();
    }
    asio::async_write(aTo, asio::buffer(aBuffer.data(), aSize),
                      [self = shared_from_this(), &aFrom, &aTo,
                       &aBuffer](error_code aWriteError, std::size_t) {
                        if (aWriteError) {
                          self->Close();
                        } else {
                          self->Copy(aFrom, aTo, aBuffer);
                        }
                      });
  }

  tcp::socket mClient;
  tcp::socket mTarget;
  Buffer mUp{};
  Buffer mDown{};
  /// The relay's, which outlives its connections.
  const Duration& mDelay;
  bool mSilentUp = false;
  bool mSilentDown = false;
  std::vector<std::function<void()>> mWaiting;
};

} // namespace

struct TcpRelay::State
{
  explicit State(const Endpoint& aTarget)
    : mTarget(asio::ip::make_address(aTarget.mAddress), aTarget.mPort)
  {
  }

  void Listen(std::uint16_t aPort)
  {
    mAcceptor.emplace(mContext,
                      tcp::endpoint(asio::ip::make_address("127.0.0.1"), aPort));
    mPort = mAcceptor->local_endpoint().port();
    Accept();
  }

  void Accept()
  {
    mAcceptor->async_accept([this](error_code aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      std::erase_if(mPairs, [](const auto& aPair) { return aPair.expired(); });
      const auto pair = std::make_shared<Pair>(mContext, std::move(aSocket), mDelay);
      if (mMode == RelayMode::Reset) {
        pair->Reset();
        return Accept();
      }
      mPairs.push_back(pair);
      ApplyMode(*pair);
      pair->Start(mTarget);
      Accept();
    });
  }

  void Apply(RelayMode aMode)
  {
    const auto old = std::exchange(mMode, aMode);
    if (aMode == RelayMode::Cut) {
      mAcceptor.reset();
      ForEachPair([](Pair& aPair) { aPair.Close(); });
    } else if (aMode == RelayMode::Reset) {
      ForEachPair([](Pair& aPair) { aPair.Reset(); });
    } else {
      ForEachPair([this](Pair& aPair) { ApplyMode(aPair); });
    }
    if (old == RelayMode::Cut && aMode != RelayMode::Cut) {
      Listen(mPort);
    }
  }

  void ApplyMode(Pair& aPair) const
  {
    aPair.SetSilent(mMode == RelayMode::Silent,
                    mMode == RelayMode::Silent || mMode == RelayMode::OneWay);
  }

  template<class Function>
  void ForEachPair(Function aFunction)
  {
    for (const auto& entry : mPairs) {
      if (const auto pair = entry.lock()) {
        aFunction(*pair);
      }
    }
  }

  /// Runs @p aFn on the relay's thread and waits for it.
  void RunAndWait(const std::function<void()>& aFn)
  {
    std::promise<void> done;
    asio::post(mContext, [&] {
      aFn();
      done.set_value();
    });
    done.get_future().wait();
  }

  asio::io_context mContext{ 1 };
  /// Keeps the thread running while the relay is cut and has no socket.
  asio::executor_work_guard<asio::io_context::executor_type> mWork{
    mContext.get_executor()
  };
  tcp::endpoint mTarget;
  Duration mDelay{};
  std::optional<tcp::acceptor> mAcceptor;
  std::vector<std::weak_ptr<Pair>> mPairs;
  RelayMode mMode = RelayMode::Pass;
  std::uint16_t mPort = 0;
  std::thread mThread;
};

TcpRelay::TcpRelay(Endpoint aTarget)
  : mState(std::make_unique<State>(aTarget))
{
  mState->Listen(0);
  mState->mThread = std::thread([state = mState.get()] { state->mContext.run(); });
}

TcpRelay::~TcpRelay()
{
  mState->mContext.stop();
  mState->mThread.join();
  mState->ForEachPair([](Pair& aPair) { aPair.Close(); });
}

Endpoint
TcpRelay::Address() const
{
  return { "127.0.0.1", mState->mPort };
}

void
TcpRelay::SetMode(RelayMode aMode)
{
  mState->RunAndWait([&] { mState->Apply(aMode); });
}

void
TcpRelay::SilenceOpenConnections()
{
  mState->RunAndWait(
    [&] { mState->ForEachPair([](Pair& aPair) { aPair.SetSilent(true, true); }); });
}

void
TcpRelay::ResetOpenConnections()
{
  mState->RunAndWait([&] { mState->ForEachPair([](Pair& aPair) { aPair.Reset(); }); });
}

void
TcpRelay::SetDelay(Duration aDelay)
{
  mState->RunAndWait([&] { mState->mDelay = aDelay; });
}

void
TcpRelay::SetTarget(Endpoint aTarget)
{
  mState->RunAndWait([&] {
    mState->mTarget = { asio::ip::make_address(aTarget.mAddress), aTarget.mPort };
  });
}

} // namespace wasabispar::harness
