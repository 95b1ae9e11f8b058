/// @file
/// @brief A pool of connections from this VM to one upstream. Requests wait in a fair
/// queue until a connection is free.
#pragma once

#include "wasabispar/admission/fair_queue.hpp"
#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/net/http_client.hpp"
#include "wasabispar/net/reconnect_backoff.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace wasabispar {

/// @brief A request to run as one exchange on a connection of the pool.
struct PooledRequest
{
  CallerId mCaller;
  HttpRequest mRequest;
  /// Makes the request to send, right before it is sent, because a request that states
  /// the time left may wait for a connection. If empty, mRequest is sent.
  std::function<HttpRequest(TimePoint)> mMakeRequest;
  /// When this time is reached, a running exchange ends as TimedOut and a queued request
  /// as Cancelled. A request submitted later ends as ConnectFailed.
  TimePoint mDeadline;
  /// Called with the current time right before the first byte is written; if it returns
  /// false, the request ends as Cancelled and no byte is sent. If empty, every request is
  /// sent.
  std::function<bool(TimePoint)> mMayStillSend;
  /// Called once, right before the exchange starts, with the id of its connection. May be
  /// empty.
  std::function<void(std::uint64_t aConnection)> mOnStarted;
  /// Returns whether the connection may be reused after this response. If empty, every
  /// connection may be reused.
  std::function<bool(const HttpResponse&)> mMayReuse;
  /// Called once with the result. @p aMayHaveBeenSent is false if it is certain that no
  /// byte of the request was sent.
  std::function<void(HttpExchangeResult, bool aMayHaveBeenSent)> mDone;
};

/// @brief Limits and timeouts of ConnectionPool.
struct ConnectionPoolOptions
{
  /// Number of connections to keep open without traffic.
  std::size_t mMinConnections = 2;
  /// Limits concurrent opens, to protect a restarting upstream from a connection storm.
  std::size_t mMaxConcurrentOpens = 2;
  Duration mOpenTimeout = std::chrono::seconds(1);
  /// Idle connections above the minimum are closed after this time, and the most recently
  /// used connection is used first. Zero disables the timeout, and the least recently
  /// used connection is used first.
  Duration mIdleTimeout{};
  /// Delays after refused connections, to avoid flooding an unreachable or full upstream.
  ReconnectBackoffOptions mReconnect;
  FairQueueOptions mQueue;
  HttpResponseLimits mResponseLimits;
  /// Bounds the responses that this and other pools of the worker read at the same time;
  /// null if there is no such bound.
  std::shared_ptr<ByteBudget> mResponseBudget;
};

/// @brief Callbacks through which the owner of a pool sets its limits and observes its
/// connections. Called on the worker of the pool, without a lock held.
struct ConnectionPoolHooks
{
  NowFn mNow;
  /// Reserves a connection from the quota before it is opened; false if the quota is used
  /// up.
  std::function<bool()> mTryReserveConnection;
  /// Called when a reserved connection has closed or could not be opened.
  std::function<void()> mOnClosed;
  /// Returns the number of reserved connections above the quota.
  std::function<std::uint32_t()> mExcessConnections;
  /// Returns the number of connections to keep open without traffic. If empty, the pool
  /// uses ConnectionPoolOptions::mMinConnections.
  std::function<std::size_t()> mMinConnections;
  /// Returns whether a connection that was refused is tried again although no request
  /// needs it. If empty, it is.
  std::function<bool()> mMayReopen;
  /// Returns whether a new connection is used only after one more round trip, by which
  /// time an upstream with too many connections has reset it: a request sent before may
  /// have run. If empty, new connections are used at once.
  std::function<bool()> mAwaitsAcceptance;
  /// Returns the maximum number of concurrent exchanges.
  std::function<std::uint32_t()> mSlotLimit;
  /// Called when a connection has been opened.
  std::function<void()> mOnConnected;
  /// Called when a connection could not be opened.
  std::function<void()> mOnConnectFailed;
  /// Called when the upstream closed a new connection without an answer, which it does
  /// when it has too many. May be empty.
  std::function<void()> mOnRefused;
};

/// @brief State of a pool, as shown on the operator port.
struct ConnectionPoolStatus
{
  /// Idle and busy connections.
  std::size_t mOpenConnections = 0;
  /// Connections with a running exchange.
  std::size_t mBusyConnections = 0;
  std::size_t mQueuedRequests = 0;
};

/// @brief Runs exchanges on a bounded number of connections. Not thread-safe: all
/// functions must be called on one worker, which also runs all callbacks.
///
/// Invariants: a connection carries one exchange at a time; a connection is closed if its
/// exchange ends without a response.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  /// @brief Identifies a submitted request; chosen by the owner and never reused in a
  /// process.
  using Handle = std::uint64_t;

  ConnectionPool(boost::asio::io_context& aContext, Endpoint aEndpoint,
                 ConnectionPoolOptions aOptions, ConnectionPoolHooks aHooks);
  ~ConnectionPool();

  /// @brief Runs @p aRequest, or queues it until a connection is free.
  void Submit(Handle aHandle, PooledRequest aRequest);
  /// @brief Cancels a request and calls mDone with Cancelled. A queued request is
  /// removed. The result of a running exchange is ignored, and its connection becomes
  /// free when the response has been read.
  void Cancel(Handle aHandle);
  /// @brief Closes the connection of a running request, which ends as ConnectionLost.
  void CloseConnectionOf(Handle aHandle);
  /// @brief Ends a request at once: cancels a queued request as Cancel() does, or closes
  /// the connection of a running request as CloseConnectionOf() does.
  void Abort(Handle aHandle);
  /// @brief Closes excess and timed-out connections, drops expired requests and opens
  /// connections up to the minimum. After a refusal it opens one connection even if the
  /// minimum is 0, unless ConnectionPoolHooks::mMayReopen forbids it, so that the
  /// requests of callers need not find out whether the upstream accepts connections
  /// again. Call it every 50 to 250 ms.
  void Tick();
  /// @brief Opens a connection although no request needs it, to find out through
  /// mOnConnected or mOnConnectFailed whether the upstream still accepts connections. One
  /// probe a second ignores the reconnect delay. Does nothing if the quota does not allow
  /// it.
  void Probe();
  /// @brief Ends all queued requests as ConnectFailed, with no byte sent.
  void WithdrawQueued(const std::string& aCause) { FailQueued(aCause); }
  /// @brief Closes all connections and ends queued and running requests.
  void Stop();
  /// @brief Closes all connections and drops queued and running requests without calling
  /// mDone. For an owner that is destroyed while its requests refer to the pool.
  void Discard();

  ConnectionPoolStatus Status() const;

private:
  /// An open connection.
  struct PooledConnection
  {
    std::shared_ptr<HttpConnection> mHttp;
    std::uint64_t mId = 0;
    TimePoint mOpeningSince{};
    TimePoint mOpenedAt{};
    TimePoint mIdleSince{};
    bool mHasAnswered = false;
  };
  struct RunningExchange
  {
    PooledConnection mConnection;
    /// PooledRequest::mDone; empty after Cancel() has called it.
    std::function<void(HttpExchangeResult, bool)> mDone;
    std::function<bool(const HttpResponse&)> mMayReuse;
    /// Set by CloseConnectionOf(): the exchange then ends as ConnectionLost.
    bool mClosedAsUnresponsive = false;
  };
  struct QueuedRequest
  {
    Handle mHandle = 0;
    PooledRequest mRequest;
  };
  using Queue = FairQueue<QueuedRequest>;

  boost::asio::io_context& mContext;
  Endpoint mEndpoint;
  ConnectionPoolOptions mOptions;
  ConnectionPoolHooks mHooks;
  Queue mQueue;
  std::unordered_map<Handle, Queue::Handle> mQueuedHandles;
  /// Least recently used connection first. Without an idle timeout this connection is
  /// also used next, so that every connection is used in turn and a dead one is detected.
  std::deque<PooledConnection> mIdleConnections;
  std::unordered_map<Handle, RunningExchange> mRunningExchanges;
  /// Connections that are being opened.
  std::size_t mOpeningCount = 0;
  std::uint64_t mNextConnectionId = 1;
  ReconnectBackoff mBackoff;
  std::optional<TimePoint> mLastProbeAt;
  bool mIsStopped = false;

  void ProcessQueue();
  void Enqueue(Handle aHandle, PooledRequest aRequest);
  bool FindOpenIdle();
  void MoveNextIdleToFront();
  std::size_t MinConnections() const;
  void CloseTimedOutIdle();
  bool StartNextRequest();
  void StartExchange(PooledConnection aConnection, QueuedRequest aQueued);
  void OnExchangeEnd(Handle aHandle, HttpExchangeResult aResult);
  bool ShouldOpen() const;
  void OpenConnection();
  void OnOpened(PooledConnection aConnection, bool aOpened);
  /// Uses the connection if the upstream has not reset it by the end of a round trip.
  void AwaitAcceptance(PooledConnection aConnection);
  void OnAcceptanceAwaited(PooledConnection aConnection);
  /// Adds a new connection to the idle ones.
  void AddIdle(PooledConnection aConnection);
  void OnPeerClosed(const PooledConnection& aConnection);
  void NoteAcceptedConnections();
  bool MustReopen() const;
  void FailQueued(const std::string& aCause);
  void CloseIdle(std::size_t aCount);
  void DropClosedIdle();
  void DropExpiredRequests();
  void FinishUnsent(PooledRequest aRequest, HttpExchangeEnd aEnd, std::string aCause);
  std::size_t ConnectionCount() const
  {
    return mIdleConnections.size() + mRunningExchanges.size() + mOpeningCount;
  }
};

} // namespace wasabispar
