/// @file
/// @brief The connections of this VM to one upstream, with a fair queue in front.
#pragma once

#include "wasabispar/admission/fair_queue.hpp"
#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/net/http_client.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

namespace wasabispar {

/// @brief An exchange to run on a connection of the pool.
struct PooledRequest
{
  CallerId mCaller;
  HttpRequest mRequest;
  /// The exchange ends as TimedOut at this time; while queued, as Cancelled.
  TimePoint mDeadline;
  /// Called right before the first byte is written; false ends the exchange as Cancelled
  /// with no byte sent. May be empty.
  std::function<bool(TimePoint)> mMayStillSend;
  /// Called once right before the exchange starts on a connection. May be empty.
  std::function<void(std::uint64_t aConnection)> mOnStarted;
  /// Whether the connection may carry another exchange after this response. May be empty.
  std::function<bool(const HttpResponse&)> mMayReuse;
  /// Called once with the end, and whether a byte may have left.
  std::function<void(HttpExchangeResult, bool aMayHaveBeenSent)> mDone;
};

struct ConnectionPoolOptions
{
  /// Connections that are kept open without traffic.
  std::size_t mMinConnections = 2;
  /// More concurrent opens would be a storm on an upstream that restarts.
  std::size_t mMaxConcurrentOpens = 2;
  Duration mOpenTimeout = std::chrono::seconds(1);
  /// Idle connections beyond the warm ones are closed after this time, and the last used
  /// one is used first. Zero keeps them and uses the oldest first.
  Duration mIdleTimeout{};
  /// Pause after a failed open, so that a dead upstream is not flooded.
  Duration mReconnectDelay = std::chrono::milliseconds(200);
  FairQueueOptions mQueue;
};

/// @brief Decisions and observations that belong to the owner of the pool. Called on the
/// worker of the pool, without a lock held.
struct ConnectionPoolHooks
{
  NowFn mNow;
  /// Counts a connection before it opens; false when the share is used up.
  std::function<bool()> mTryReserveConnection;
  /// A counted connection closed or could not be opened.
  std::function<void()> mOnClosed;
  /// Connections above the share.
  std::function<std::uint32_t()> mExcessConnections;
  /// Connections that are kept open without traffic; empty: as in the options.
  std::function<std::size_t()> mMinConnections;
  /// Most concurrent exchanges.
  std::function<std::uint32_t()> mSlotLimit;
  std::function<void()> mOnConnected;
  std::function<void()> mOnConnectFailed;
};

/// @brief State of a pool for the operator port.
struct ConnectionPoolStatus
{
  std::size_t mOpenConnections = 0;
  std::size_t mBusyConnections = 0;
  std::size_t mQueuedRequests = 0;
};

/// @brief Runs exchanges on a bounded number of connections. Not thread-safe: all
/// functions are called on one worker, and so are all callbacks.
///
/// Invariant: a connection carries one exchange at a time, and one whose exchange did
/// not end with a response is closed.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  /// Identifies a submitted request; never used twice in a process.
  using Handle = std::uint64_t;

  ConnectionPool(boost::asio::io_context& aContext, Endpoint aEndpoint,
                 ConnectionPoolOptions aOptions, ConnectionPoolHooks aHooks);
  ~ConnectionPool();

  /// @brief Runs or queues @p aRequest under @p aHandle.
  void Submit(Handle aHandle, PooledRequest aRequest);
  /// @brief Gives up a request. A queued one ends at once; of a running one the result
  /// is ignored, and its connection is free again when the response has been read.
  /// mDone is called with Cancelled either way.
  void Cancel(Handle aHandle);
  /// @brief Closes the connection of a running request, which ends as ConnectionLost.
  void CloseConnectionOf(Handle aHandle);
  /// @brief Ends a request at once: a queued one is taken out, a running one loses its
  /// connection. mDone is called as for Cancel() or CloseConnectionOf().
  void Abort(Handle aHandle);
  /// @brief Closes surplus connections, opens warm ones, drops expired requests. Call it
  /// each 50 to 100 ms.
  void Tick();
  /// @brief Closes all connections; queued and running requests end.
  void Stop();
  /// @brief Closes all connections and drops queued and running requests without a call
  /// of mDone, for an owner that goes away while its requests refer to the pool.
  void Discard();

  ConnectionPoolStatus Status() const;

private:
  struct RunningExchange
  {
    std::shared_ptr<HttpConnection> mConnection;
    std::uint64_t mConnectionId = 0;
    /// Empty after Cancel().
    std::function<void(HttpExchangeResult, bool)> mDone;
    std::function<bool(const HttpResponse&)> mMayReuse;
    /// Set by CloseConnectionOf().
    bool mClosedAsUnresponsive = false;
  };
  struct Idle
  {
    std::shared_ptr<HttpConnection> mConnection;
    std::uint64_t mConnectionId = 0;
    TimePoint mIdleSince{};
  };
  struct Queued
  {
    Handle mHandle = 0;
    PooledRequest mRequest;
  };
  using Queue = FairQueue<Queued>;

  boost::asio::io_context& mContext;
  Endpoint mEndpoint;
  ConnectionPoolOptions mOptions;
  ConnectionPoolHooks mHooks;
  Queue mQueue;
  std::unordered_map<Handle, Queue::Handle> mQueuedHandles;
  /// Oldest use first. Without mIdleTimeout the first one is used next, so that all
  /// connections are exercised and a dead one is found.
  std::deque<Idle> mIdleConnections;
  std::unordered_map<Handle, RunningExchange> mRunningExchanges;
  std::size_t mOpeningCount = 0;
  std::uint64_t mNextConnectionId = 1;
  TimePoint mReconnectAt{};
  bool mIsStopped = false;

  void ProcessQueue();
  void Enqueue(Handle aHandle, PooledRequest aRequest);
  bool FindOpenIdle();
  void MoveNextIdleToFront();
  std::size_t MinConnections() const;
  void CloseTimedOutIdle();
  bool StartNextRequest();
  void StartExchange(Idle aIdle, Queued aQueued);
  void OnExchangeEnd(Handle aHandle, HttpExchangeResult aResult);
  bool ShouldOpen() const;
  void OpenConnection();
  void OnOpened(Idle aIdle, bool aOpened);
  void FailQueued(const std::string& aCause);
  void CloseIdle(std::size_t aCount);
  void DropClosedIdle();
  void DropExpiredRequests();
  void FinishUnsent(PooledRequest aRequest, HttpExchangeEnd aEnd, std::string aCause);
  std::size_t Connections() const
  {
    return mIdleConnections.size() + mRunningExchanges.size() + mOpeningCount;
  }
};

} // namespace wasabispar
