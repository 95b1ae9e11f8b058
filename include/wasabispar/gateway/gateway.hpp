/// @file
/// @brief The gateway: routes the requests of callers, sends them to upstreams and
/// returns the answers.
#pragma once

#include "wasabispar/base/metrics.hpp"
#include "wasabispar/gateway/protocol.hpp"
#include "wasabispar/gateway/request_trace.hpp"
#include "wasabispar/gateway/service_pool.hpp"
#include "wasabispar/net/http_server.hpp"
#include "wasabispar/net/memory_budget.hpp"
#include "wasabispar/net/worker.hpp"
#include "wasabispar/routing/crash_limiter.hpp"
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
  /// Options of the pool of each service.
  ServicePoolOptions mPools;
  /// Maximum part of a route's objective that is reserved for the transit from and to the
  /// caller, which includes the time that a small VM waits for its processor. The reserve
  /// is three tenths of the objective, up to this time.
  Duration mMaxCallerMargin = std::chrono::milliseconds(30);
  /// Most bytes of the answers that are being read at the same time, without mMemory.
  std::uint64_t mMaxResponseBytes = 32 * 1024 * 1024;
  /// Bounds the answers from the first byte until they are passed on. May be null.
  std::shared_ptr<MemoryBudget> mMemory;
  /// Limit on the upstreams that one request may crash.
  CrashLimiterOptions mCrashLimit;
  /// Whether this VM may try a request again that crashed many upstreams. May be empty.
  MayTryFn mMayTry;
  /// Called when an upstream announced in an answer that it leaves. Must report the
  /// change by Gateway::OnUpstreamChanges(), before it returns if it is to take effect at
  /// once.
  std::function<void(const UpstreamRecord&)> mOnLeavingAnnounced;
  /// Tells the other VMs which upstreams crashed with a request. May be empty.
  std::function<void(const RequestCrashReport&)> mPublishCrashes;
};

/// @brief Counters and histograms of the gateway.
struct GatewayMetrics
{
  explicit GatewayMetrics(Metrics& aMetrics);

  Metrics& mMetrics;
  /// Sends to upstreams by purpose.
  prometheus::Counter& mSentFirst;
  prometheus::Counter& mSentHedge;
  prometheus::Counter& mSentRetry;
  /// Extra sends that the budget did not allow.
  prometheus::Counter& mHedgesDenied;
  prometheus::Counter& mRetriesDenied;
  /// Time from a send to the upstream's response.
  prometheus::Histogram& mUpstreamLatency;
  /// Time from a request to its final answer, by kind of route.
  prometheus::Histogram& mSingleLatency;
  prometheus::Histogram& mFanOutLatency;
  /// Requests that ran on an upstream when it crashed; one crash may count for several.
  prometheus::Counter& mUpstreamCrashes;
  /// Reports to the other VMs on requests that crash upstreams.
  prometheus::Counter& mCrashReports;
  /// Parts missing in merged answers.
  prometheus::Counter& mMissingParts;
  /// Log lines dropped by the rate limit of TraceLog.
  prometheus::Counter& mTraceLinesDropped;

  /// @brief Counts a finished request by its outcome.
  void CountRequest(std::string_view aOutcome);
  /// @brief Counts an upstream that announced in an answer that it leaves.
  void CountLeavingAnnouncement(const ServiceName& aService);
  /// @brief Counts an answer in which an upstream asked to get nothing for a while.
  void CountQuietRequest(const ServiceName& aService);
  /// @brief Counts a change of the request limit that an upstream names.
  void CountRequestLimitChange(const ServiceName& aService);
  /// @brief Counts a finished exchange by the step that ended it.
  void CountExchange(TraceStep aStep);
};

/// @brief Routes requests to upstreams. All functions must be called on the worker.
///
/// Invariant: each request gets exactly one response unless its caller disconnects first.
class Gateway
{
public:
  Gateway(Worker& aWorker, GatewayOptions aOptions, CallerProtocol aCallers,
          UpstreamProtocol aUpstreams, Metrics& aMetrics);
  ~Gateway();

  /// @brief Handles one request. Calls @p aRespond once, unless the caller disconnects
  /// first.
  void Handle(HttpRequest aRequest, HttpRespondFn aRespond);
  /// @brief Routes new requests by @p aTable. Ignores a table whose version is not newer
  /// than the current one; returns whether the table was applied.
  bool SetRoutes(RouteTablePtr aTable);
  /// @brief Updates the pools of the services.
  void OnUpstreamChanges(const UpstreamDirectory::Changes& aChanges);
  /// @brief Takes account of the upstreams that crashed at another VM with a request.
  void OnCrashReport(const VmId& aVm, const RequestCrashReport& aReport);
  /// @brief Replaces the budget for extra sends of all services.
  void SetExtraLoad(const ExtraLoadOptions& aOptions);
  /// @brief Reads the connection quotas of all upstreams again.
  void UpdateQuotas();

  /// @brief Whether a route table was set. Until then all requests are refused.
  bool IsConfigured() const { return mRoutes != nullptr; }
  /// @brief Number of requests without a final response.
  std::size_t ActiveRequestCount() const { return mActiveRequests.size(); }
  /// @brief Refuses all active requests before the process exits.
  void RefuseActiveRequests();

private:
  friend class ActiveRequest;

  /// Maintains the pools, publishes crashes and counts dropped log lines.
  void Tick();
  void PublishCrashes(TimePoint aNow);
  /// Logs a crash, and reports it at once if the other VMs must know it.
  void OnCrash(const UpstreamCrash& aCrash);
  /// An answer of the upstream to this request announced that it leaves.
  void OnLeavingAnnounced(const Replica& aReplica, const CallerRequestId& aRequest);
  /// The answer of the upstream to this request asked for quiet; logs what it asked for.
  void OnQuietRequested(ServicePool& aPool, Replica& aReplica,
                        const UpstreamReply& aReply, const CallerRequestId& aRequest);
  /// Takes account of the request limit that an answer of the upstream names, or of its
  /// end; logs a change. @p aSentAt is when the answered request was sent.
  void OnRequestLimit(ServicePool& aPool, Replica& aReplica, const UpstreamReply& aReply,
                      TimePoint aSentAt);
  /// The pool of a service; created when there is none.
  ServicePool& PoolOf(const ServiceName& aService);
  /// Refuses a request that was not routed; @p aRequest is null when it is malformed.
  void Refuse(const CallerRequest* aRequest, RefusalReason aReason,
              const HttpRespondFn& aRespond);
  /// The services to send a request to: one for each part of its answer.
  std::vector<ServiceName> ChooseServices(const Route& aRoute);

  Worker& mWorker;
  GatewayOptions mOptions;
  CallerProtocol mCallerProtocol;
  UpstreamProtocol mUpstreamProtocol;
  GatewayMetrics mMetrics;
  TraceLog mTraceLog;
  CrashLimiter mCrashLimiter;
  /// Null until the first SetRoutes().
  RouteTablePtr mRoutes;
  std::map<ServiceName, std::unique_ptr<ServicePool>> mPools;
  /// The service under which an upstream is registered in mPools.
  std::map<UpstreamId, ServiceName> mServiceByUpstream;
  std::map<RouteName, WeightedChoice> mSplitChoices;
  std::set<std::shared_ptr<ActiveRequest>> mActiveRequests;
  ReplicaLoad::ExchangeId mNextExchange = 1;
  Subscription mTickTimer;
  /// Publishes an urgent report on crashes as soon as the crash was handled.
  Subscription mCrashReportTimer;
};

} // namespace wasabispar
