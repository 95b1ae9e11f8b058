/// @file
/// @brief How a connection of the pool is opened, and when it may carry requests.
#include "wasabispar/net/connection_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace {

/// Bounds of the time in which an upstream resets a new connection.
constexpr Duration kMinAcceptanceTime = std::chrono::milliseconds(2);
constexpr Duration kMaxAcceptanceTime = std::chrono::milliseconds(60);

} // namespace

void
ConnectionPool::OpenConnection()
{
  ++mOpeningCount;
  PooledConnection connection;
  connection.mHttp = HttpConnection::Create(mContext, mEndpoint, mOptions.mResponseLimits,
                                            mOptions.mResponseBudget);
  connection.mId = mNextConnectionId++;
  connection.mOpeningSince = mHooks.mNow();
  const auto http = connection.mHttp;
  http->Open(mOptions.mOpenTimeout,
             [weak = weak_from_this(),
              connection = std::move(connection)](bool aOpened, std::string) mutable {
               if (const auto self = weak.lock()) {
                 self->OnOpened(std::move(connection), aOpened);
               }
             });
}

void
ConnectionPool::OnOpened(PooledConnection aConnection, bool aOpened)
{
  if (aOpened && !mIsStopped) {
    aConnection.mOpenedAt = mHooks.mNow();
    mHooks.mOnConnected();
    if (mHooks.mAwaitsAcceptance && mHooks.mAwaitsAcceptance()) {
      AwaitAcceptance(std::move(aConnection));
    } else {
      AddIdle(std::move(aConnection));
    }
    return;
  }
  --mOpeningCount;
  aConnection.mHttp->Close();
  mHooks.mOnClosed();
  if (mIsStopped) {
    return;
  }
  mBackoff.OnRefused(mHooks.mNow());
  mHooks.mOnConnectFailed();
  if (mIdleConnections.empty() && mRunningExchanges.empty() && mOpeningCount == 0) {
    FailQueued("upstream refused connections");
  }
}

void
ConnectionPool::AddIdle(PooledConnection aConnection)
{
  --mOpeningCount;
  aConnection.mIdleSince = mHooks.mNow();
  mIdleConnections.push_back(std::move(aConnection));
  ProcessQueue();
}

void
ConnectionPool::AwaitAcceptance(PooledConnection aConnection)
{
  const auto roundTrip = aConnection.mOpenedAt - aConnection.mOpeningSince;
  const auto timer = std::make_shared<boost::asio::steady_timer>(mContext);
  timer->expires_after(
    std::clamp<Duration>(roundTrip, kMinAcceptanceTime, kMaxAcceptanceTime));
  timer->async_wait([weak = weak_from_this(), timer, connection = std::move(aConnection)](
                      boost::system::error_code) mutable {
    if (const auto self = weak.lock()) {
      self->OnAcceptanceAwaited(std::move(connection));
    }
  });
}

void
ConnectionPool::OnAcceptanceAwaited(PooledConnection aConnection)
{
  if (!mIsStopped && aConnection.mHttp->IsStillOpen()) {
    AddIdle(std::move(aConnection));
    return;
  }
  --mOpeningCount;
  aConnection.mHttp->Close();
  mHooks.mOnClosed();
  if (!mIsStopped) {
    OnPeerClosed(aConnection);
  }
}

} // namespace wasabispar
