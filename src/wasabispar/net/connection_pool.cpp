/// @file
/// @brief ConnectionPool.
#include "wasabispar/net/connection_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace wasabispar {

ConnectionPool::ConnectionPool(boost::asio::io_context& aContext, Endpoint aEndpoint,
                               ConnectionPoolOptions aOptions, ConnectionPoolHooks aHooks)
  : mContext(aContext)
  , mEndpoint(std::move(aEndpoint))
  , mOptions(aOptions)
  , mHooks(std::move(aHooks))
  , mQueue(aOptions.mQueue)
{
}

ConnectionPool::~ConnectionPool() = default;

void
ConnectionPool::Submit(Handle aHandle, PooledRequest aRequest)
{
  if (mIsStopped) {
    EndUnsent(std::move(aRequest), HttpExchangeEnd::ConnectFailed, "pool is stopped");
    return;
  }
  const bool isUnreachable =
    mIdle.empty() && mRunning.empty() && mOpening == 0 && mHooks.mNow() < mReopenAt;
  if (isUnreachable) {
    EndUnsent(std::move(aRequest), HttpExchangeEnd::ConnectFailed,
              "upstream refused connections");
    return;
  }
  Enqueue(aHandle, std::move(aRequest));
  Pump();
}

void
ConnectionPool::Enqueue(Handle aHandle, PooledRequest aRequest)
{
  const auto caller = aRequest.mCaller;
  const auto deadline = aRequest.mDeadline;
  auto result = mQueue.Push(caller, Queued{ aHandle, std::move(aRequest) }, 1, deadline,
                            mHooks.mNow());
  if (result.mHandle != 0) {
    mQueuedHandles.emplace(aHandle, result.mHandle);
  }
  if (result.mDropped) {
    auto& dropped = result.mDropped->mValue;
    mQueuedHandles.erase(dropped.mHandle);
    EndUnsent(std::move(dropped.mRequest), HttpExchangeEnd::ConnectFailed,
              result.mDropped->mReason == FairQueueDrop::Deadline ? "deadline passed"
                                                                  : "queue is full");
  }
}

/// Upstreams close idle connections; a request that met one would need a retry.
void
ConnectionPool::DropClosedIdle()
{
  std::erase_if(mIdle, [this](const Idle& aIdle) {
    if (aIdle.mConnection->CheckIdle()) {
      return false;
    }
    aIdle.mConnection->Close();
    mHooks.mOnClosed();
    return true;
  });
}

void
ConnectionPool::Pump()
{
  while (!mIdle.empty() && mRunning.size() < mHooks.mSlotLimit() && StartNext()) {
  }
  while (MayOpen()) {
    if (!mHooks.mTryOpen()) {
      return;
    }
    OpenOne();
  }
}

/// True while more requests wait than connections are idle or opening, within the
/// limits on slots and on concurrent opens.
bool
ConnectionPool::MayOpen() const
{
  const auto limit = mHooks.mSlotLimit();
  const auto ready = mIdle.size() + mOpening;
  return !mIsStopped && mQueue.Length() > ready && mOpening < mOptions.mMaxOpening &&
         mRunning.size() + ready < limit && mHooks.mNow() >= mReopenAt;
}

/// Puts the connection that is to be used next to the front.
void
ConnectionPool::MoveNextToFront()
{
  if (mOptions.mIdleClose > Duration{}) {
    std::rotate(mIdle.begin(), std::prev(mIdle.end()), mIdle.end());
  }
}

std::size_t
ConnectionPool::WarmCount() const
{
  return mHooks.mWarm ? mHooks.mWarm() : mOptions.mWarm;
}

void
ConnectionPool::CloseLongIdle()
{
  if (mOptions.mIdleClose == Duration{}) {
    return;
  }
  const auto oldest = mHooks.mNow() - mOptions.mIdleClose;
  while (!mIdle.empty() && Connections() > WarmCount() && mIdle.front().mSince < oldest) {
    CloseIdle(1);
  }
}

/// Closes idle connections from the front until one is open; false when none is left.
bool
ConnectionPool::HasOpenIdle()
{
  while (!mIdle.empty()) {
    MoveNextToFront();
    if (mIdle.front().mConnection->CheckIdle()) {
      return true;
    }
    CloseIdle(1);
  }
  return false;
}

bool
ConnectionPool::StartNext()
{
  if (mQueue.Length() == 0 || !HasOpenIdle()) {
    return false;
  }
  std::vector<Queue::Dropped> expired;
  auto popped = mQueue.Pop(mHooks.mNow(), expired);
  for (auto& dropped : expired) {
    mQueuedHandles.erase(dropped.mValue.mHandle);
    EndUnsent(std::move(dropped.mValue.mRequest), HttpExchangeEnd::Cancelled,
              "deadline passed in the queue");
  }
  if (!popped) {
    return false;
  }
  mQueuedHandles.erase(popped->mValue.mHandle);
  // A callback above may have taken the last idle connection.
  if (mIdle.empty()) {
    Enqueue(popped->mValue.mHandle, std::move(popped->mValue.mRequest));
    return false;
  }
  auto idle = std::move(mIdle.front());
  mIdle.pop_front();
  Start(std::move(idle), std::move(popped->mValue));
  return true;
}

void
ConnectionPool::Start(Idle aIdle, Queued aQueued)
{
  auto& request = aQueued.mRequest;
  const auto now = mHooks.mNow();
  if (request.mMayStillSend && !request.mMayStillSend(now)) {
    mIdle.push_front(std::move(aIdle));
    EndUnsent(std::move(request), HttpExchangeEnd::Cancelled, "deadline before the send");
    return;
  }
  const auto handle = aQueued.mHandle;
  const auto connection = aIdle.mConnection;
  mRunning.emplace(handle,
                   Running{ connection, aIdle.mConnectionId, std::move(request.mDone),
                            std::move(request.mMayReuse), false });
  if (request.mOnStarted) {
    request.mOnStarted(aIdle.mConnectionId);
  }
  const auto left =
    std::max<Duration>(request.mDeadline - now, std::chrono::milliseconds(1));
  connection->Exchange(std::move(request.mRequest), left,
                       [weak = weak_from_this(), handle](HttpExchangeResult aResult) {
                         if (const auto self = weak.lock()) {
                           self->OnExchangeEnd(handle, std::move(aResult));
                         }
                       });
}

void
ConnectionPool::OnExchangeEnd(Handle aHandle, HttpExchangeResult aResult)
{
  const auto found = mRunning.find(aHandle);
  if (found == mRunning.end()) {
    return;
  }
  auto running = std::move(found->second);
  mRunning.erase(found);
  const bool isForeign = aResult.mEnd == HttpExchangeEnd::Response && running.mMayReuse &&
                         !running.mMayReuse(aResult.mResponse);
  if (running.mConnection->IsUsable() && !mIsStopped && !isForeign) {
    mIdle.push_back({ running.mConnection, running.mConnectionId, mHooks.mNow() });
  } else {
    running.mConnection->Close();
    mHooks.mOnClosed();
  }
  if (running.mClosedAsDead && aResult.mEnd == HttpExchangeEnd::Cancelled) {
    aResult.mEnd = HttpExchangeEnd::ConnectionLost;
    aResult.mCause = "unresponsive connection";
  }
  CloseIdle(mHooks.mSurplus());
  if (running.mDone) {
    const bool mayHaveLeft = aResult.mEnd != HttpExchangeEnd::ConnectFailed;
    running.mDone(std::move(aResult), mayHaveLeft);
  }
  Pump();
}

void
ConnectionPool::OpenOne()
{
  ++mOpening;
  Idle idle{ HttpConnection::Create(mContext, mEndpoint), mNextConnection++, {} };
  const auto connection = idle.mConnection;
  connection->Open(
    mOptions.mOpenTimeout,
    [weak = weak_from_this(), idle = std::move(idle)](bool aOpened, std::string) mutable {
      if (const auto self = weak.lock()) {
        self->OnOpened(std::move(idle), aOpened);
      }
    });
}

void
ConnectionPool::OnOpened(Idle aIdle, bool aOpened)
{
  --mOpening;
  if (aOpened && !mIsStopped) {
    aIdle.mSince = mHooks.mNow();
    mIdle.push_back(std::move(aIdle));
    mHooks.mOnConnected();
    Pump();
    return;
  }
  aIdle.mConnection->Close();
  mHooks.mOnClosed();
  if (mIsStopped) {
    return;
  }
  mReopenAt = mHooks.mNow() + mOptions.mReopenDelay;
  mHooks.mOnConnectFailed();
  if (mIdle.empty() && mRunning.empty() && mOpening == 0) {
    FailQueued("upstream refused connections");
  }
}

void
ConnectionPool::FailQueued(const std::string& aCause)
{
  mQueuedHandles.clear();
  for (auto& queued : mQueue.Clear()) {
    EndUnsent(std::move(queued.mRequest), HttpExchangeEnd::ConnectFailed, aCause);
  }
}

void
ConnectionPool::Cancel(Handle aHandle)
{
  if (const auto queued = mQueuedHandles.find(aHandle); queued != mQueuedHandles.end()) {
    auto taken = mQueue.Cancel(queued->second);
    mQueuedHandles.erase(queued);
    if (taken) {
      EndUnsent(std::move(taken->mRequest), HttpExchangeEnd::Cancelled, "cancelled");
    }
    return;
  }
  const auto running = mRunning.find(aHandle);
  if (running == mRunning.end()) {
    return;
  }
  if (auto done = std::exchange(running->second.mDone, nullptr)) {
    done({ HttpExchangeEnd::Cancelled, {}, "cancelled" }, true);
  }
}

void
ConnectionPool::CloseConnectionOf(Handle aHandle)
{
  const auto running = mRunning.find(aHandle);
  if (running != mRunning.end()) {
    running->second.mClosedAsDead = true;
    running->second.mConnection->Close();
  }
}

void
ConnectionPool::Abort(Handle aHandle)
{
  if (mQueuedHandles.contains(aHandle)) {
    Cancel(aHandle);
  } else {
    CloseConnectionOf(aHandle);
  }
}

void
ConnectionPool::CloseIdle(std::size_t aCount)
{
  for (; aCount > 0 && !mIdle.empty(); --aCount) {
    mIdle.front().mConnection->Close();
    mIdle.pop_front();
    mHooks.mOnClosed();
  }
}

void
ConnectionPool::DropExpired()
{
  for (auto& dropped : mQueue.Expire(mHooks.mNow())) {
    mQueuedHandles.erase(dropped.mValue.mHandle);
    EndUnsent(std::move(dropped.mValue.mRequest), HttpExchangeEnd::Cancelled,
              "deadline passed in the queue");
  }
}

void
ConnectionPool::Tick()
{
  if (mIsStopped) {
    return;
  }
  CloseIdle(mHooks.mSurplus());
  DropExpired();
  DropClosedIdle();
  CloseLongIdle();
  if (Connections() < WarmCount() && mOpening == 0 && mHooks.mNow() >= mReopenAt &&
      mHooks.mTryOpen()) {
    OpenOne();
  }
  Pump();
}

void
ConnectionPool::Stop()
{
  mIsStopped = true;
  FailQueued("pool is stopped");
  CloseIdle(mIdle.size());
  for (auto& [handle, running] : mRunning) {
    running.mConnection->Close();
  }
}

void
ConnectionPool::Discard()
{
  mIsStopped = true;
  mQueuedHandles.clear();
  mQueue.Clear();
  CloseIdle(mIdle.size());
  for (const auto& [handle, running] : std::exchange(mRunning, {})) {
    running.mConnection->Close();
  }
}

void
ConnectionPool::EndUnsent(PooledRequest aRequest, HttpExchangeEnd aEnd,
                          std::string aCause)
{
  aRequest.mDone({ aEnd, {}, std::move(aCause) }, false);
}

ConnectionPoolStatus
ConnectionPool::Status() const
{
  return { mIdle.size() + mRunning.size(), mRunning.size(), mQueue.Length() };
}

} // namespace wasabispar
