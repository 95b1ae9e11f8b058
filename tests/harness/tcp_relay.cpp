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
  Pair(asio::io_context& aContext, tcp::socket aClient)
    : mClient(std::move(aClient))
    , mTarget(aContext)
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

  void SetSilent(bool aSilent)
  {
    mSilent = aSilent;
    if (!aSilent) {
      for (auto& resume : std::exchange(mWaiting, {})) {
        resume();
      }
    }
  }

private:
  using Buffer = std::array<char, 16384>;

  void Copy(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer)
  {
    aFrom.async_read_some(
      asio::buffer(aBuffer), [self = shared_from_this(), &aFrom, &aTo,
                              &aBuffer](error_code aError, std::size_t aSize) {
        if (self->mSilent) {
          self->mWaiting.push_back([self, &aFrom, &aTo, &aBuffer, aError, aSize] {
            self->Forward(aFrom, aTo, aBuffer, aError, aSize);
          });
        } else {
          self->Forward(aFrom, aTo, aBuffer, aError, aSize);
        }
      });
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
  bool mSilent = false;
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
      const auto pair = std::make_shared<Pair>(mContext, std::move(aSocket));
      mPairs.push_back(pair);
      if (mMode == RelayMode::Silent) {
        pair->SetSilent(true);
      }
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
    } else {
      ForEachPair([&](Pair& aPair) { aPair.SetSilent(aMode == RelayMode::Silent); });
    }
    if (old == RelayMode::Cut && aMode != RelayMode::Cut) {
      Listen(mPort);
    }
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
    [&] { mState->ForEachPair([](Pair& aPair) { aPair.SetSilent(true); }); });
}

} // namespace wasabispar::harness
