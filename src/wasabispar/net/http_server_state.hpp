/// @file
/// @brief What the connections of one HttpServer share.
#pragma once

#include "wasabispar/net/http_server.hpp"
#include "wasabispar/net/progress_list.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace wasabispar {

class HttpSession;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
  std::vector<boost::asio::io_context*> mWorkers;
  HttpServerOptions mOptions;
  HttpHandlerFn mHandler;
  HttpRejectionFn mOnRejection;

  std::atomic<std::uint16_t> mPort{ 0 };
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mStopped{ false };
  std::atomic<std::size_t> mRunningRequests{ 0 };

  /// Guards mOptions after Start(), mSessions and mNextWorker.
  mutable std::mutex mMutex;
  std::unordered_map<HttpSession*, std::weak_ptr<HttpSession>> mSessions;
  std::size_t mNextWorker = 0;

  /// HttpServerOptions::mMemory, which does not change.
  std::shared_ptr<MemoryBudget> mMemory;
  /// The connections whose response counts in MemoryBudget::Waiting(). Used only on
  /// worker 0, the only worker of a server with a budget.
  ProgressList<HttpSession*> mWaitingSessions;

  /// After Start(), used only on worker 0.
  std::optional<boost::asio::ip::tcp::acceptor> mAcceptor;
  std::optional<boost::asio::steady_timer> mAcceptRetryTimer;

  HttpServerOptions Options() const
  {
    std::lock_guard lock(mMutex);
    return mOptions;
  }
  void Accept();
  /// Calls Accept() after kAcceptRetryDelay.
  void AcceptLater();
  void StartSession(boost::asio::ip::tcp::socket aSocket);
  /// Starts sessions for all connections in the listen backlog. After a lag of the worker
  /// they are handled in the same pass of the event loop, before Worker::Lag() ends.
  void AcceptBacklog();
  /// Starts sessions for the connections in the listen backlog and closes the listener.
  void AcceptBacklogAndClose();
  boost::asio::io_context& NextWorker();
  std::vector<std::shared_ptr<HttpSession>> Sessions() const;
  /// Resets the connection whose response has waited longest without progress. Returns
  /// false if no response waits.
  bool ResetLongestWaiting();
  /// Passes @p aReason to the rejection callback, if one is set.
  void ReportRejection(std::string_view aReason) const
  {
    if (mOnRejection) {
      mOnRejection(aReason);
    }
  }
};

} // namespace wasabispar
