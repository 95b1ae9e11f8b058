/// @file
/// @brief The baseline of the measurements: a query tier that sends each sub-request
/// once, never hedges or retries, and waits for all replies until the deadline.
#pragma once

#include "wasabispar/net/http_client.hpp"
#include "wasabispar/net/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wasabispar::bench {

struct NaiveTierOptions
{
  Endpoint mPlatform;
  std::string mVm;
  Duration mDeadline = std::chrono::milliseconds(1000);
  /// Period of the reads of the upstreams' state, which serve as health checks too.
  Duration mStatePeriod = std::chrono::milliseconds(500);
  Duration mStateTimeout = std::chrono::milliseconds(500);
  /// Connections to one upstream instance; more sub-requests wait in order.
  std::size_t mConnections = 7;
};

/// @brief Serves the caller port's `/v1/query` on one thread, with the same HTTP client
/// as wasabispard.
class NaiveTier
{
public:
  NaiveTier(boost::asio::io_context& aContext, NaiveTierOptions aOptions);
  ~NaiveTier();

  /// @brief Starts to serve; the port is 0 on failure.
  std::uint16_t Start();

private:
  using ReplyFn = std::function<void(const HttpExchangeResult&)>;

  /// One instance: what it declared and its connections.
  struct Upstream
  {
    std::string mIndex;
    Endpoint mAddress;
    bool mHealthy = false;
    std::map<std::uint64_t, std::vector<std::string>> mMaps;
    std::map<std::uint64_t, std::set<std::string>> mHeld;
    std::vector<std::shared_ptr<HttpConnection>> mIdle;
    std::size_t mOpen = 0;
    std::deque<std::function<void()>> mWaiting;
  };
  struct RunningQuery;

  void ReadList();
  void ReadStates();
  static void ApplyState(Upstream& aUpstream, const boost::json::object& aState);
  /// The newest version of which each shard has a healthy holder; else the newest.
  std::uint64_t ChooseVersion() const;
  std::vector<std::string> MapOf(std::uint64_t aVersion) const;
  Upstream* ChooseHolder(std::uint64_t aVersion, const std::string& aShard);

  void Handle(const HttpRequest& aRequest, const HttpRespondFn& aRespond);
  void SendSub(const std::shared_ptr<RunningQuery>& aQuery, const std::string& aShard);
  void Exchange(Upstream& aUpstream, const HttpRequest& aRequest, TimePoint aDeadline,
                const ReplyFn& aDone);
  void ExchangeOn(Upstream& aUpstream, const std::shared_ptr<HttpConnection>& aConnection,
                  const HttpRequest& aRequest, TimePoint aDeadline, const ReplyFn& aDone);
  void StartWaiting(Upstream& aUpstream);
  void Finish(RunningQuery& aQuery);

  boost::asio::io_context& mContext;
  NaiveTierOptions mOptions;
  std::vector<std::unique_ptr<Upstream>> mUpstreams;
  std::size_t mNextHolder = 0;
  std::uint64_t mNextRequest = 1;
  boost::asio::steady_timer mTimer;
  std::unique_ptr<HttpServer> mServer;
};

} // namespace wasabispar::bench
