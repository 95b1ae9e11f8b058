/// @file
/// @brief The gateway: routes the requests of callers, sends them to upstreams and
/// returns the answers.
#pragma once

#include "wasabispar/base/metrics.hpp"
#include "wasabispar/base/random.hpp"
#include "wasabispar/gateway/protocol.hpp"
#include "wasabispar/gateway/request_trace.hpp"
#include "wasabispar/gateway/service_pool.hpp"
#include "wasabispar/net/http_server.hpp"
#include "wasabispar/net/memory_budget.hpp"
#include "wasabispar/net/worker.hpp"
#include "wasabispar/routing/crash_limiter.hpp"
#include "wasabispar/routing/link_load.hpp"
#include "wasabispar/routing/recent_rejections.hpp"
#include "wasabispar/routing/route.hpp"
#include "wasabispar/routing/upstream_directory.hpp"
#include "wasabispar/routing/vm_capacity.hpp"
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
  /// Whether so many VMs serve callers that the requests of single services must be
  /// balanced over their upstreams. If empty, there are few.
  std::function<bool()> mIsLargeFleet;
  /// What is known of this VM's link and processor. If anything is stated, callers may
  /// contend for insufficient capacity: see docs/design/contention.md.
  VmCapacity mVmCapacity;
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
  /// Services whose requests are balanced over their upstreams.
  prometheus::Gauge& mBalancedServices;

  /// @brief Counts a finished request by its outcome.
  void CountRequest(std::string_view aOutcome);
  /// @brief Counts an upstream that announced in an answer that it leaves.
  void CountLeavingAnnouncement(const ServiceName& aService);
  /// @brief Counts an answer in which an upstream asked to get nothing for a while.
  void CountQuietRequest(const ServiceName& aService);
  /// @brief Counts a change of the request limit that an upstream names.
  void CountRequestLimitChange(const ServiceName& aService);
  /// @brief Counts a time at which many upstreams began to refuse connections.
  void CountConnectionPressure();
  /// @brief Sets whether a data centre is evacuated.
  void SetEvacuated(const DataCentreId& aDataCentre, bool aIsEvacuated);
  /// @brief Counts an upstream that has become cold.
  void CountCold(const ServiceName& aService);
  /// @brief Counts a request that was withdrawn right before its first byte, because the
  /// upstream was at its request limit or had become cold.
  void CountWithdrawal(const Replica& aReplica, TimePoint aNow);
  /// @brief Counts a malformed load that an upstream stated.
  void CountInvalidLoad(const ServiceName& aService);
  /// @brief Counts a request that returned earlier than its rejection stated.
  void CountEarlyReturn();
  /// @brief Sets the expected size of the responses to open requests.
  void SetExpectedBytes(std::uint64_t aBytes);
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
  /// @brief Sends nothing more to the upstreams of these data centres, also to those that
  /// are added later, until a call without them. Requests that wait there for a
  /// connection are placed again; running ones finish.
  void SetEvacuated(const std::set<DataCentreId>& aDataCentres);
  /// @brief Takes account of the upstreams that crashed at another VM with a request.
  void OnCrashReport(const CrashReporter& aReporter, const RequestCrashReport& aReport);
  /// @brief The evacuation of a data centre has ended; see
  /// ServicePool::OnEvacuationEnded().
  void OnEvacuationEnded(const DataCentreId& aDataCentre);
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
  /// Logs when many upstreams begin, or cease, to refuse connections.
  void ReportConnectionPressure(TimePoint aNow);
  void PublishCrashes(TimePoint aNow);
  /// Reports the load of the link, and logs rejections of requests that it or the
  /// processor would make late.
  void ReportLinkLoad(TimePoint aNow);
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
  /// Logs the start or end of the evacuation of a data centre.
  void ReportEvacuation(const DataCentreId& aDataCentre, bool aIsEvacuated);
  /// A connection to an upstream was opened, or could not be opened.
  void OnConnectEnd(const UpstreamIncarnation& aUpstream, bool aIsOpened);
  /// Takes account of the cold time that an answer of the upstream states.
  void OnWarmupStated(ServicePool& aPool, Replica& aReplica, const UpstreamReply& aReply);
  /// Logs and counts an upstream that has become cold.
  void OnCold(const Replica& aReplica, ColdSource aSource, Duration aLeft,
              const RateShare& aShare);
  /// Keeps the load that an answer of the upstream states; logs a malformed one.
  void OnLoadReport(Replica& aReplica, const UpstreamReply& aReply, TimePoint aNow);
  /// Decides which services are balanced, by the routes and the size of the fleet.
  void UpdateBalancing(TimePoint aNow);
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
  /// Rejected requests whose callers are to return later.
  RecentRejections mRejections;
  /// Requests that were rejected because this VM was busy, for longer than callers retry.
  RecentRejections mBusyRejections{ { 4096, std::chrono::seconds(10) } };
  /// Rejections of this kind since mBusyReportedAt.
  std::uint64_t mBusyRejectionCount = 0;
  TimePoint mBusyReportedAt{};
  /// Empty where the settings state no bandwidth.
  std::optional<LinkLoad> mLinkLoad = LinkLoad::For(mOptions.mVmCapacity);
  /// Extends the retry delays of rejections.
  RandomFn mRandom = SeededRandom(EntropySeed());
  /// Null until the first SetRoutes().
  RouteTablePtr mRoutes;
  std::map<ServiceName, std::unique_ptr<ServicePool>> mPools;
  std::set<DataCentreId> mEvacuated;
  /// The service under which an upstream is registered in mPools.
  std::map<UpstreamId, ServiceName> mServiceByUpstream;
  /// Upstreams were added before: those that are added now appear while this VM serves.
  bool mHasUpstreams = false;
  std::map<RouteName, WeightedChoice> mSplitChoices;
  std::set<std::shared_ptr<ActiveRequest>> mActiveRequests;
  ReplicaLoad::ExchangeId mNextExchange = 1;
  /// As last reported.
  bool mIsUnderConnectionPressure = false;
  Subscription mTickTimer;
  /// Publishes an urgent report on crashes as soon as the crash was handled.
  Subscription mCrashReportTimer;
};

} // namespace wasabispar
