/// @file
/// @brief The gateway: takes requests, routes them, asks upstreams and answers.
#pragma once

#include "wasabispar/base/metrics.hpp"
#include "wasabispar/gateway/protocol.hpp"
#include "wasabispar/gateway/request_trace.hpp"
#include "wasabispar/gateway/service_pool.hpp"
#include "wasabispar/net/http_server.hpp"
#include "wasabispar/net/worker.hpp"
#include "wasabispar/routing/route.hpp"
#include "wasabispar/routing/upstream_directory.hpp"
#include "wasabispar/routing/weighted_choice.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace wasabispar {

class ActiveRequest;

/// @brief Settings of Gateway.
struct GatewayOptions
{
  ServicePoolOptions mPools;
  /// Part of the objective that is spent on the way to and from the caller, which
  /// includes the wait of a small VM for its processor: three tenths, up to this time.
  Duration mMaxCallerMargin = std::chrono::milliseconds(30);
};

/// @brief Counters and histograms of the gateway.
struct GatewayMetrics
{
  explicit GatewayMetrics(Metrics& aMetrics);

  Metrics& mMetrics;
  prometheus::Counter& mSentFirst;
  prometheus::Counter& mSentHedge;
  prometheus::Counter& mSentRetry;
  prometheus::Counter& mHedgesDenied;
  prometheus::Counter& mRetriesDenied;
  prometheus::Histogram& mUpstreamLatency;
  prometheus::Histogram& mSingleLatency;
  prometheus::Histogram& mFanOutLatency;
  prometheus::Counter& mMissingParts;
  prometheus::Counter& mTraceLinesDropped;

  void CountRequest(std::string_view aOutcome);
  void CountExchange(TraceStep aStep);
};

/// @brief Routes requests to upstreams. All functions run on the worker.
///
/// Invariant: each request gets exactly one response, unless its caller left first.
class Gateway
{
public:
  Gateway(Worker& aWorker, GatewayOptions aOptions, CallerProtocol aCallers,
          UpstreamProtocol aUpstreams, Metrics& aMetrics);
  ~Gateway();

  /// @brief Handles one request.
  void Handle(HttpRequest aRequest, HttpRespondFn aRespond);
  /// @brief Routes requests that arrive from now on by @p aTable. An older version than
  /// the current one is ignored; returns whether it was taken.
  bool SetRoutes(RouteTablePtr aTable);
  void OnUpstreamChanges(const UpstreamDirectory::Changes& aChanges);
  /// @brief Replaces the budget for extra sends.
  void SetExtraLoad(const ExtraLoadOptions& aOptions);
  /// @brief The shares of connections have changed.
  void UpdateQuotas();

  /// @brief Whether a configuration is known, so that requests can be served.
  bool IsConfigured() const { return mRoutes != nullptr; }
  std::size_t ActiveRequestCount() const { return mActiveRequests.size(); }
  /// @brief Ends all running requests, for a process that exits.
  void RefuseActiveRequests();

private:
  friend class ActiveRequest;

  ServicePool& PoolOf(const ServiceName& aService);
  void Refuse(const CallerRequest* aRequest, RefusalReason aReason,
              const HttpRespondFn& aRespond);
  std::vector<ServiceName> ChooseServices(const Route& aRoute);

  Worker& mWorker;
  GatewayOptions mOptions;
  CallerProtocol mCallerProtocol;
  UpstreamProtocol mUpstreamProtocol;
  GatewayMetrics mMetrics;
  TraceLog mTraceLog;
  RouteTablePtr mRoutes;
  std::map<ServiceName, std::unique_ptr<ServicePool>> mPools;
  /// The service under which an upstream is registered in mPools.
  std::map<UpstreamId, ServiceName> mServiceByUpstream;
  std::map<RouteName, WeightedChoice> mSplitChoices;
  std::set<std::shared_ptr<ActiveRequest>> mActiveRequests;
  ReplicaLoad::ExchangeId mNextExchange = 1;
  Subscription mTickTimer;
};

} // namespace wasabispar
