/// @file
/// @brief Scheduling of queued requests on connections, and the opening and closing of
/// connections.
#include "wasabispar/net/connection_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace wasabispar {

namespace {

/// Shortest time between two probes that ignore the reconnect delay.
constexpr Duration kMinProbeInterval = std::chrono::seconds(1);

} // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context& aContext, Endpoint aEndpoint,
                               ConnectionPoolOptions aOptions, ConnectionPoolHooks aHooks)
  : mContext(aContext)
  , mEndpoint(std::move(aEndpoint))
  , mOptions(aOptions)
  , mHooks(std::move(aHooks))
  , mQueue(aOptions.mQueue)
  , mBackoff(aOptions.mReconnect, SeededRandom(EntropySeed()))
{
}

ConnectionPool::~ConnectionPool() = default;

void
ConnectionPool::Submit(Handle aHandle, PooledRequest aRequest)
{
  if (mIsStopped) {
    FinishUnsent(std::move(aRequest), HttpExchangeEnd::ConnectFailed, "pool is stopped");
    return;
  }
  const bool isUnreachable = mIdleConnections.empty() && mRunningExchanges.empty() &&
                             mOpeningCount == 0 && !mBackoff.MayOpen(mHooks.mNow());
  if (isUnreachable) {
    FinishUnsent(std::move(aRequest), HttpExchangeEnd::ConnectFailed,
                 "upstream refused connections");
    return;
  }
  Enqueue(aHandle, std::move(aRequest));
  ProcessQueue();
}

void
ConnectionPool::Enqueue(Handle aHandle, PooledRequest aRequest)
{
  const auto caller = aRequest.mCaller;
  const auto deadline = aRequest.mDeadline;
  auto result = mQueue.Push(caller, QueuedRequest{ aHandle, std::move(aRequest) }, 1,
                            deadline, mHooks.mNow());
  if (result.mHandle != 0) {
    mQueuedHandles.emplace(aHandle, result.mHandle);
  }
  if (result.mDropped) {
    auto& dropped = result.mDropped->mValue;
    mQueuedHandles.erase(dropped.mHandle);
    FinishUnsent(std::move(dropped.mRequest), HttpExchangeEnd::ConnectFailed,
                 result.mDropped->mReason == FairQueueDrop::Deadline ? "deadline passed"
                                                                     : "queue is full");
  }
}

/// Drops idle connections that the upstream has closed. A request sent on such a
/// connection would fail and need a retry.
void
ConnectionPool::DropClosedIdle()
{
  std::erase_if(mIdleConnections, [this](const PooledConnection& aIdle) {
    if (aIdle.mHttp->IsStillOpen()) {
      return false;
    }
    aIdle.mHttp->Close();
    mHooks.mOnClosed();
    OnPeerClosed(aIdle);
    return true;
  });
}

/// Counts a connection that the peer closed as refused if it was new and had answered
/// nothing.
void
ConnectionPool::OnPeerClosed(const PooledConnection& aConnection)
{
  const auto now = mHooks.mNow();
  const bool isNew = now - aConnection.mOpenedAt < ReconnectBackoff::kRefusalWindow;
  if (aConnection.mHasAnswered || !isNew) {
    return;
  }
  mBackoff.OnRefused(now);
  if (mHooks.mOnRefused) {
    mHooks.mOnRefused();
  }
  // Nothing is opened during the backoff, so queued requests must not wait for it.
  if (ConnectionCount() == 0) {
    FailQueued("upstream refused connections");
  }
}

/// Ends the backoff if an idle connection has lasted longer than a refused one would.
void
ConnectionPool::NoteAcceptedConnections()
{
  const auto acceptedBefore = mHooks.mNow() - ReconnectBackoff::kRefusalWindow;
  if (std::ranges::any_of(mIdleConnections,
                          [acceptedBefore](const PooledConnection& aIdle) {
                            return aIdle.mOpenedAt <= acceptedBefore;
                          })) {
    mBackoff.OnAccepted();
  }
}

/// Starts queued requests on idle connections and opens connections for the others.
void
ConnectionPool::ProcessQueue()
{
  while (!mIdleConnections.empty() && mRunningExchanges.size() < mHooks.mSlotLimit() &&
         StartNextRequest()) {
  }
  while (ShouldOpen()) {
    if (!mHooks.mTryReserveConnection()) {
      return;
    }
    OpenConnection();
  }
}

/// Whether to open another connection: more requests are queued than connections are idle
/// or opening, and the slot limit, the limit on concurrent opens and the reconnect delay
/// allow it.
bool
ConnectionPool::ShouldOpen() const
{
  const auto limit = mHooks.mSlotLimit();
  const auto ready = mIdleConnections.size() + mOpeningCount;
  return !mIsStopped && mQueue.Length() > ready &&
         mOpeningCount < mOptions.mMaxConcurrentOpens &&
         mRunningExchanges.size() + ready < limit && mBackoff.MayOpen(mHooks.mNow());
}

/// Moves the idle connection to use next to the front.
void
ConnectionPool::MoveNextIdleToFront()
{
  if (mOptions.mIdleTimeout > Duration{}) {
    std::rotate(mIdleConnections.begin(), std::prev(mIdleConnections.end()),
                mIdleConnections.end());
  }
}

std::size_t
ConnectionPool::MinConnections() const
{
  return mHooks.mMinConnections ? mHooks.mMinConnections() : mOptions.mMinConnections;
}

void
ConnectionPool::CloseTimedOutIdle()
{
  if (mOptions.mIdleTimeout == Duration{}) {
    return;
  }
  const auto oldest = mHooks.mNow() - mOptions.mIdleTimeout;
  while (!mIdleConnections.empty() && ConnectionCount() > MinConnections() &&
         mIdleConnections.front().mIdleSince < oldest) {
    CloseIdle(1);
  }
}

/// Moves an open idle connection to the front and removes the closed ones found before.
/// Returns false if no idle connection is open.
bool
ConnectionPool::FindOpenIdle()
{
  while (!mIdleConnections.empty()) {
    MoveNextIdleToFront();
    if (mIdleConnections.front().mHttp->IsStillOpen()) {
      return true;
    }
    const auto closed = mIdleConnections.front();
    CloseIdle(1);
    OnPeerClosed(closed);
  }
  return false;
}

/// Starts the next queued request on an idle connection. Returns false if there is no
/// request or no idle connection.
bool
ConnectionPool::StartNextRequest()
{
  if (mQueue.Length() == 0 || !FindOpenIdle()) {
    return false;
  }
  std::vector<Queue::Dropped> expired;
  auto popped = mQueue.Pop(mHooks.mNow(), expired);
  for (auto& dropped : expired) {
    mQueuedHandles.erase(dropped.mValue.mHandle);
    FinishUnsent(std::move(dropped.mValue.mRequest), HttpExchangeEnd::Cancelled,
                 "deadline passed in the queue");
  }
  if (!popped) {
    return false;
  }
  mQueuedHandles.erase(popped->mValue.mHandle);
  // A callback of FinishUnsent() may have used the last idle connection.
  if (mIdleConnections.empty()) {
    Enqueue(popped->mValue.mHandle, std::move(popped->mValue.mRequest));
    return false;
  }
  auto connection = std::move(mIdleConnections.front());
  mIdleConnections.pop_front();
  StartExchange(std::move(connection), std::move(popped->mValue));
  return true;
}

void
ConnectionPool::StartExchange(PooledConnection aConnection, QueuedRequest aQueued)
{
  auto& request = aQueued.mRequest;
  const auto now = mHooks.mNow();
  if (request.mMayStillSend && !request.mMayStillSend(now)) {
    mIdleConnections.push_front(std::move(aConnection));
    FinishUnsent(std::move(request), HttpExchangeEnd::Cancelled,
                 "request was withdrawn before the send");
    return;
  }
  const auto handle = aQueued.mHandle;
  const auto connection = aConnection.mHttp;
  const auto connectionId = aConnection.mId;
  mRunningExchanges.emplace(
    handle, RunningExchange{ std::move(aConnection), std::move(request.mDone),
                             std::move(request.mMayReuse), false });
  if (request.mOnStarted) {
    request.mOnStarted(connectionId);
  }
  const auto left =
    std::max<Duration>(request.mDeadline - now, std::chrono::milliseconds(1));
  auto message =
    request.mMakeRequest ? request.mMakeRequest(now) : std::move(request.mRequest);
  connection->Exchange(std::move(message), left,
                       [weak = weak_from_this(), handle](HttpExchangeResult aResult) {
                         if (const auto self = weak.lock()) {
                           self->OnExchangeEnd(handle, std::move(aResult));
                         }
                       });
}

void
ConnectionPool::OnExchangeEnd(Handle aHandle, HttpExchangeResult aResult)
{
  const auto found = mRunningExchanges.find(aHandle);
  if (found == mRunningExchanges.end()) {
    return;
  }
  auto running = std::move(found->second);
  mRunningExchanges.erase(found);
  auto& connection = running.mConnection;
  if (aResult.mEnd == HttpExchangeEnd::Response) {
    connection.mHasAnswered = true;
    mBackoff.OnAccepted();
  }
  const bool isReuseRefused = aResult.mEnd == HttpExchangeEnd::Response &&
                              running.mMayReuse && !running.mMayReuse(aResult.mResponse);
  if (connection.mHttp->IsUsable() && !mIsStopped && !isReuseRefused) {
    connection.mIdleSince = mHooks.mNow();
    mIdleConnections.push_back(connection);
  } else {
    connection.mHttp->Close();
    mHooks.mOnClosed();
  }
  if (aResult.mEnd == HttpExchangeEnd::ConnectionLost ||
      aResult.mEnd == HttpExchangeEnd::ConnectFailed) {
    OnPeerClosed(connection);
  }
  if (running.mClosedAsUnresponsive && aResult.mEnd == HttpExchangeEnd::Cancelled) {
    aResult.mEnd = HttpExchangeEnd::ConnectionLost;
    aResult.mCause = "unresponsive connection";
  }
  CloseIdle(mHooks.mExcessConnections());
  if (running.mDone) {
    const bool mayHaveBeenSent = aResult.mEnd != HttpExchangeEnd::ConnectFailed;
    running.mDone(std::move(aResult), mayHaveBeenSent);
  }
  ProcessQueue();
}

void
ConnectionPool::FailQueued(const std::string& aCause)
{
  mQueuedHandles.clear();
  for (auto& queued : mQueue.Clear()) {
    FinishUnsent(std::move(queued.mRequest), HttpExchangeEnd::ConnectFailed, aCause);
  }
}

void
ConnectionPool::Cancel(Handle aHandle)
{
  if (const auto queued = mQueuedHandles.find(aHandle); queued != mQueuedHandles.end()) {
    auto taken = mQueue.Cancel(queued->second);
    mQueuedHandles.erase(queued);
    if (taken) {
      FinishUnsent(std::move(taken->mRequest), HttpExchangeEnd::Cancelled, "cancelled");
    }
    return;
  }
  const auto running = mRunningExchanges.find(aHandle);
  if (running == mRunningExchanges.end()) {
    return;
  }
  if (auto done = std::exchange(running->second.mDone, nullptr)) {
    done({ HttpExchangeEnd::Cancelled, {}, "cancelled" }, true);
  }
}

void
ConnectionPool::CloseConnectionOf(Handle aHandle)
{
  const auto running = mRunningExchanges.find(aHandle);
  if (running != mRunningExchanges.end()) {
    running->second.mClosedAsUnresponsive = true;
    running->second.mConnection.mHttp->Close();
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
  for (; aCount > 0 && !mIdleConnections.empty(); --aCount) {
    mIdleConnections.front().mHttp->Close();
    mIdleConnections.pop_front();
    mHooks.mOnClosed();
  }
}

void
ConnectionPool::DropExpiredRequests()
{
  for (auto& dropped : mQueue.Expire(mHooks.mNow())) {
    mQueuedHandles.erase(dropped.mValue.mHandle);
    FinishUnsent(std::move(dropped.mValue.mRequest), HttpExchangeEnd::Cancelled,
                 "deadline passed in the queue");
  }
}

void
ConnectionPool::Tick()
{
  if (mIsStopped) {
    return;
  }
  DropExpiredRequests();
  DropClosedIdle();
  NoteAcceptedConnections();
  CloseIdle(mHooks.mExcessConnections());
  CloseTimedOutIdle();
  if (MustReopen() && mHooks.mTryReserveConnection()) {
    OpenConnection();
  }
  ProcessQueue();
}

/// Whether the pool must open a connection although no request waits for one.
bool
ConnectionPool::MustReopen() const
{
  const bool reopens =
    mBackoff.IsRefused() && (!mHooks.mMayReopen || mHooks.mMayReopen());
  const auto wanted = std::max<std::size_t>(MinConnections(), reopens ? 1 : 0);
  return ConnectionCount() < wanted && mOpeningCount == 0 &&
         mBackoff.MayOpen(mHooks.mNow());
}

void
ConnectionPool::Probe()
{
  const auto now = mHooks.mNow();
  const bool isRecent = mLastProbeAt && now - *mLastProbeAt < kMinProbeInterval;
  const bool mayOpen = !isRecent || mBackoff.MayOpen(now);
  if (!mIsStopped && mOpeningCount == 0 && mayOpen && mHooks.mTryReserveConnection()) {
    mLastProbeAt = now;
    OpenConnection();
  }
}

void
ConnectionPool::Stop()
{
  mIsStopped = true;
  FailQueued("pool is stopped");
  CloseIdle(mIdleConnections.size());
  for (auto& [handle, running] : mRunningExchanges) {
    running.mConnection.mHttp->Close();
  }
}

void
ConnectionPool::Discard()
{
  mIsStopped = true;
  mQueuedHandles.clear();
  mQueue.Clear();
  CloseIdle(mIdleConnections.size());
  for (const auto& [handle, running] : std::exchange(mRunningExchanges, {})) {
    running.mConnection.mHttp->Close();
  }
}

void
ConnectionPool::FinishUnsent(PooledRequest aRequest, HttpExchangeEnd aEnd,
                             std::string aCause)
{
  aRequest.mDone({ aEnd, {}, std::move(aCause) }, false);
}

ConnectionPoolStatus
ConnectionPool::Status() const
{
  return { mIdleConnections.size() + mRunningExchanges.size(), mRunningExchanges.size(),
           mQueue.Length() };
}

} // namespace wasabispar
