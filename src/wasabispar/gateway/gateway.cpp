/// @file
/// @brief Routing of requests, pools of the services and the set of active requests.
#include "wasabispar/gateway/gateway.hpp"

#include "active_request.hpp"
#include "wasabispar/base/log.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// Period of ServicePool::Tick(), which opens and closes connections.
constexpr Duration kTickPeriod = std::chrono::milliseconds(250);

/// A lag of the worker up to this time is not taken off the time of a request.
constexpr Duration kToleratedLag = std::chrono::milliseconds(150);

constexpr auto kSendHelp = "Requests sent to upstreams, by purpose.";
constexpr auto kDeniedHelp = "Extra sends that the budget for extra load denied.";
constexpr auto kLatencyHelp = "Time from a request to its final answer, by route kind.";

/// The name of a change in the log.
std::string_view
KindText(UpstreamChange::Kind aKind)
{
  switch (aKind) {
    case UpstreamChange::Kind::Added:
      return "added";
    case UpstreamChange::Kind::Updated:
      return "updated";
    case UpstreamChange::Kind::Replaced:
      return "replaced";
    case UpstreamChange::Kind::Draining:
      return "draining";
    case UpstreamChange::Kind::Removed:
      break;
  }
  return "removed";
}

} // namespace

std::string_view
ToText(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NoRoute:
      return "no-route";
    case RefusalReason::BadRequest:
      return "bad-request";
    case RefusalReason::NotConfigured:
      return "not-configured";
    case RefusalReason::Unavailable:
      return "unavailable";
    case RefusalReason::NoPermittedUpstream:
      return "no-permitted-upstream";
    case RefusalReason::Busy:
      return "busy";
    case RefusalReason::Quarantined:
      return "quarantined";
    case RefusalReason::Lost:
      return "lost";
    case RefusalReason::Timeout:
      break;
  }
  return "timeout";
}

GatewayMetrics::GatewayMetrics(Metrics& aMetrics)
  : mMetrics(aMetrics)
  , mSentFirst(aMetrics.Counter("wasabispar_gateway_sends_total", kSendHelp,
                                { { "purpose", "first" } }))
  , mSentHedge(aMetrics.Counter("wasabispar_gateway_sends_total", kSendHelp,
                                { { "purpose", "hedge" } }))
  , mSentRetry(aMetrics.Counter("wasabispar_gateway_sends_total", kSendHelp,
                                { { "purpose", "retry" } }))
  , mHedgesDenied(aMetrics.Counter("wasabispar_gateway_extra_sends_denied_total",
                                   kDeniedHelp, { { "purpose", "hedge" } }))
  , mRetriesDenied(aMetrics.Counter("wasabispar_gateway_extra_sends_denied_total",
                                    kDeniedHelp, { { "purpose", "retry" } }))
  , mUpstreamLatency(aMetrics.Latency("wasabispar_gateway_upstream_seconds",
                                      "Time from a send to the upstream's response."))
  , mSingleLatency(aMetrics.Latency("wasabispar_gateway_request_seconds", kLatencyHelp,
                                    { { "kind", "single" } }))
  , mFanOutLatency(aMetrics.Latency("wasabispar_gateway_request_seconds", kLatencyHelp,
                                    { { "kind", "fan-out" } }))
  , mUpstreamCrashes(
      aMetrics.Counter("wasabispar_gateway_upstream_crashes_total",
                       "Requests that ran on an upstream when it crashed."))
  , mCrashReports(
      aMetrics.Counter("wasabispar_gateway_crash_reports_total",
                       "Reports to other VMs on requests that crash upstreams."))
  , mMissingParts(aMetrics.Counter("wasabispar_gateway_missing_parts_total",
                                   "Parts left out of merged answers."))
  , mTraceLinesDropped(aMetrics.Counter("wasabispar_gateway_trace_lines_dropped_total",
                                        "Log lines above the bound on their rate."))
  , mBalancedServices(
      aMetrics.Gauge("wasabispar_gateway_balanced_services",
                     "Services whose requests are balanced over their upstreams."))
{
}

void
GatewayMetrics::CountRequest(std::string_view aOutcome)
{
  mMetrics
    .Counter("wasabispar_gateway_requests_total", "Requests, by how they ended.",
             { { "outcome", std::string(aOutcome) } })
    .Increment();
}

void
GatewayMetrics::CountLeavingAnnouncement(const ServiceName& aService)
{
  mMetrics
    .Counter("wasabispar_gateway_leaving_announcements_total",
             "Upstreams that announced in an answer that they leave.",
             { { "service", aService.Text() } })
    .Increment();
}

void
GatewayMetrics::CountQuietRequest(const ServiceName& aService)
{
  mMetrics
    .Counter("wasabispar_gateway_quiet_requests_total",
             "Answers in which an upstream asked to get nothing for a while.",
             { { "service", aService.Text() } })
    .Increment();
}

void
GatewayMetrics::CountRequestLimitChange(const ServiceName& aService)
{
  mMetrics
    .Counter("wasabispar_gateway_request_limit_changes_total",
             "Changes of the request limits that upstreams name.",
             { { "service", aService.Text() } })
    .Increment();
}

void
GatewayMetrics::CountExchange(TraceStep aStep)
{
  mMetrics
    .Counter("wasabispar_gateway_exchanges_total", "Exchanges, by how they ended.",
             { { "end", std::string(ToText(aStep)) } })
    .Increment();
}

namespace {

/// A rate in requests a second as a whole number for the log; 0 if there is none.
std::uint64_t
PerThousandSeconds(std::optional<double> aPerSecond)
{
  return static_cast<std::uint64_t>(aPerSecond.value_or(0) * 1000);
}

/// Logs a crash with the service that the upstream belonged to.
void
LogCrash(const UpstreamCrash& aCrash, const ServiceName& aService)
{
  LogEvent(
    LogLevel::Warning, "upstream-crashed",
    { { "upstream", aCrash.mUpstream.mId.Text() },
      { "service", aService.Text() },
      { "fingerprint", aCrash.mFingerprint.Value() },
      { "ran_for_ms", static_cast<std::uint64_t>(ToMilliseconds(aCrash.mRanFor)) } });
}

} // namespace

Gateway::Gateway(Worker& aWorker, GatewayOptions aOptions, CallerProtocol aCallers,
                 UpstreamProtocol aUpstreams, Metrics& aMetrics)
  : mWorker(aWorker)
  , mOptions(std::move(aOptions))
  , mCallerProtocol(std::move(aCallers))
  , mUpstreamProtocol(std::move(aUpstreams))
  , mMetrics(aMetrics)
  , mCrashLimiter(
      mOptions.mCrashLimit, [this](const UpstreamCrash& aCrash) { OnCrash(aCrash); },
      mOptions.mMayTry)
{
  mOptions.mPools.mCountsHeldAnswers = mOptions.mMemory != nullptr;
  mOptions.mPools.mResponseBudget =
    mOptions.mMemory ? mOptions.mMemory->Answers()
                     : std::make_shared<ByteBudget>(mOptions.mMaxResponseBytes);
  mOptions.mPools.mConnectionPressure = std::make_shared<ConnectionPressure>();
  mOptions.mPools.mTimers = &mWorker.Timers();
  mOptions.mPools.mIsInService = [this] { return mHasUpstreams; };
  mOptions.mPools.mOnCold = [this](const Replica& aReplica, ColdSource aSource,
                                   Duration aLeft, const RateShare& aShare) {
    OnCold(aReplica, aSource, aLeft, aShare);
  };
  mOptions.mPools.mOnConnectEnd = [this](const UpstreamIncarnation& aUpstream,
                                         bool aIsOpened) {
    OnConnectEnd(aUpstream, aIsOpened);
  };
  mTickTimer = mWorker.Timers().Every(kTickPeriod, [this] { Tick(); });
}

Gateway::~Gateway() = default;

void
Gateway::OnCrash(const UpstreamCrash& aCrash)
{
  const auto service = mServiceByUpstream.find(aCrash.mUpstream.mId);
  LogCrash(aCrash, service == mServiceByUpstream.end() ? ServiceName() : service->second);
  mMetrics.mUpstreamCrashes.Increment();
  if (aCrash.mIsReportUrgent) {
    mCrashReportTimer =
      mWorker.Timers().After(Duration{}, [this] { PublishCrashes(BootClock::now()); });
  }
}

void
Gateway::Tick()
{
  UpdateBalancing(BootClock::now());
  for (const auto& [name, pool] : mPools) {
    pool->Tick();
  }
  PublishCrashes(BootClock::now());
  ReportConnectionPressure(BootClock::now());
  ReportLinkLoad(BootClock::now());
  mMetrics.mTraceLinesDropped.Increment(static_cast<double>(mTraceLog.TakeDropped()));
}

void
Gateway::PublishCrashes(TimePoint aNow)
{
  for (const auto& report : mCrashLimiter.Tick(aNow)) {
    const auto crashes = mCrashLimiter.SuccessiveCrashes(report.mFingerprint, aNow);
    LogEvent(
      LogLevel::Warning, "request-crashes",
      { { "fingerprint", report.mFingerprint.Value() },
        { "crashes", std::uint64_t{ crashes } },
        { "blocked", crashes >= mOptions.mCrashLimit.mMaxCrashes ? "yes" : "no" } });
    mMetrics.mCrashReports.Increment();
    if (mOptions.mPublishCrashes) {
      mOptions.mPublishCrashes(report);
    }
  }
}

void
Gateway::OnLeavingAnnounced(const Replica& aReplica, const CallerRequestId& aRequest)
{
  const auto& record = aReplica.mRecord;
  if (record.mState == UpstreamState::Draining || !mOptions.mOnLeavingAnnounced) {
    return;
  }
  LogEvent(LogLevel::Info, "upstream-announced-leaving",
           { { "upstream", record.mId.Text() },
             { "service", record.mService.Text() },
             { "request", aRequest.Text() } });
  mMetrics.CountLeavingAnnouncement(record.mService);
  // The hook may change the record.
  mOptions.mOnLeavingAnnounced(UpstreamRecord(record));
}

void
Gateway::OnQuietRequested(ServicePool& aPool, Replica& aReplica,
                          const UpstreamReply& aReply, const CallerRequestId& aRequest)
{
  const auto& record = aReplica.mRecord;
  if (!aReply.mInvalidQuietTime.empty()) {
    LogEvent(LogLevel::Warning, "upstream-quiet-ignored",
             { { "upstream", record.mId.Text() },
               { "request", aRequest.Text() },
               { "value", aReply.mInvalidQuietTime } });
  }
  if (!aReply.mQuietTime) {
    return;
  }
  const auto now = BootClock::now();
  const bool wasQuiet = aReplica.mQuietPeriod.IsQuiet(now);
  aPool.OnQuietRequested(aReplica, *aReply.mQuietTime, now);
  mMetrics.CountQuietRequest(record.mService);
  if (!wasQuiet && aReplica.mQuietPeriod.IsQuiet(now)) {
    LogEvent(LogLevel::Info, "upstream-quiet",
             { { "upstream", record.mId.Text() },
               { "service", record.mService.Text() },
               { "request", aRequest.Text() },
               { "for_ms", static_cast<std::uint64_t>(
                             ToMilliseconds(*aReplica.mQuietPeriod.Until() - now)) } });
  }
}

void
Gateway::OnRequestLimit(ServicePool& aPool, Replica& aReplica,
                        const UpstreamReply& aReply, TimePoint aSentAt)
{
  const auto& record = aReplica.mRecord;
  if (!aReply.mInvalidRequestLimit.empty()) {
    LogEvent(
      LogLevel::Warning, "upstream-limit-ignored",
      { { "upstream", record.mId.Text() }, { "value", aReply.mInvalidRequestLimit } });
  }
  const bool comesFromUpstream = aReply.mKind != UpstreamReply::Kind::Invalid &&
                                 aReply.mKind != UpstreamReply::Kind::WrongUpstream;
  const bool isStated = aReply.mRequestLimit || aReply.mInvalidRequestLimit.empty();
  if (!comesFromUpstream || !isStated ||
      !aPool.OnRequestLimit(aReplica, aReply.mRequestLimit, aSentAt, BootClock::now())) {
    return;
  }
  mMetrics.CountRequestLimitChange(record.mService);
  const auto& limit = aReplica.mRequestLimit;
  LogEvent(LogLevel::Info, limit.IsLimited() ? "upstream-limit" : "upstream-limit-ended",
           { { "upstream", record.mId.Text() },
             { "service", record.mService.Text() },
             { "per_1000_s", PerThousandSeconds(limit.Limit()) },
             { "share_per_1000_s", PerThousandSeconds(limit.Share()) } });
}

void
Gateway::OnCrashReport(const CrashReporter& aReporter, const RequestCrashReport& aReport)
{
  const auto now = BootClock::now();
  mCrashLimiter.OnReport(aReporter, aReport, now);
  const auto crashes = mCrashLimiter.SuccessiveCrashes(aReport.mFingerprint, now);
  LogEvent(LogLevel::Info, "request-crashes-reported",
           { { "vm", aReporter.mVm.Text() },
             { "fingerprint", aReport.mFingerprint.Value() },
             { "reported", std::uint64_t{ aReport.mCrashes.size() } },
             { "crashes", std::uint64_t{ crashes } } });
}

void
Gateway::Handle(HttpRequest aRequest, HttpRespondFn aRespond)
{
  // A request that waited for the worker arrived earlier. Its caller counts that time.
  const auto arrivedAt =
    BootClock::now() - std::max(Duration{}, mWorker.Lag() - kToleratedLag);
  auto request = mCallerProtocol.mDecode(std::move(aRequest));
  if (!request) {
    Refuse(nullptr, RefusalReason::BadRequest, aRespond);
    return;
  }
  if (!mRoutes) {
    Refuse(&*request, RefusalReason::NotConfigured, aRespond);
    return;
  }
  const auto* route = mRoutes->Find(request->mHost, request->mHttpRequest.Path());
  if (!route) {
    Refuse(&*request, RefusalReason::NoRoute, aRespond);
    return;
  }
  const auto disconnectNotifier = request->mHttpRequest.mDisconnectNotifier;
  const auto activeRequest = std::make_shared<ActiveRequest>(
    *this, std::move(*request), mRoutes, *route, ChooseServices(*route),
    std::move(aRespond), arrivedAt);
  mActiveRequests.insert(activeRequest);
  if (disconnectNotifier) {
    disconnectNotifier->Subscribe([weak = std::weak_ptr<ActiveRequest>(activeRequest)] {
      if (const auto self = weak.lock()) {
        self->OnCallerDisconnected();
      }
    });
  }
  activeRequest->Start();
}

void
Gateway::Refuse(const CallerRequest* aRequest, RefusalReason aReason,
                const HttpRespondFn& aRespond)
{
  const auto outcome = ToText(aReason);
  mMetrics.CountRequest(outcome);
  mTraceLog.WriteUnrouted(aRequest ? aRequest->mId.Text() : std::string_view(),
                          aRequest ? aRequest->mHost : std::string_view(),
                          mRoutes ? mRoutes->Version().Value() : 0, outcome,
                          BootClock::now());
  Refusal refusal{ aReason, {} };
  if (aReason == RefusalReason::NotConfigured) {
    refusal.mRetryAfter = std::chrono::milliseconds(200);
  }
  aRespond(mCallerProtocol.mEncodeRefusal(refusal));
}

std::vector<ServiceName>
Gateway::ChooseServices(const Route& aRoute)
{
  if (const auto* fanOut = std::get_if<FanOutTarget>(&aRoute.mTarget)) {
    return fanOut->mShards;
  }
  if (const auto* split = std::get_if<SplitTarget>(&aRoute.mTarget)) {
    return { mSplitChoices[aRoute.mName].Next(split->mServices) };
  }
  return { std::get<ServiceName>(aRoute.mTarget) };
}

bool
Gateway::SetRoutes(RouteTablePtr aTable)
{
  if (mRoutes && aTable->Version() <= mRoutes->Version()) {
    return false;
  }
  mRoutes = std::move(aTable);
  for (const auto& request : mActiveRequests) {
    request->OnRoutesChanged(*mRoutes);
  }
  for (const auto& [name, pool] : mPools) {
    if (const auto* service = mRoutes->Service(name)) {
      pool->Configure(*service);
    }
  }
  return true;
}

ServicePool&
Gateway::PoolOf(const ServiceName& aService)
{
  auto& pool = mPools[aService];
  if (!pool) {
    pool = std::make_unique<ServicePool>(mWorker.Context(), mOptions.mPools);
    pool->SetEvacuated(mEvacuated);
    const auto* service = mRoutes ? mRoutes->Service(aService) : nullptr;
    if (service) {
      pool->Configure(*service);
    }
  }
  return *pool;
}

void
Gateway::OnUpstreamChanges(const UpstreamDirectory::Changes& aChanges)
{
  std::set<ServicePool*> stalePools;
  const auto apply = [this, &stalePools](const ServiceName& aService,
                                         const UpstreamChange& aChange) {
    auto& pool = PoolOf(aService);
    if (pool.OnChange(aChange)) {
      stalePools.insert(&pool);
    }
  };
  for (const auto& change : aChanges) {
    const auto& record = change.mRecord;
    LogEvent(LogLevel::Info, "upstream-changed",
             { { "upstream", record.mId.Text() },
               { "change", KindText(change.mKind) },
               { "service", record.mService.Text() },
               { "data_centre", record.mDataCentre.Text() },
               { "address", record.mAddress.Text() } });
    const auto existing = mServiceByUpstream.find(record.mId);
    if (existing != mServiceByUpstream.end() && existing->second != record.mService) {
      apply(existing->second, { UpstreamChange::Kind::Removed, record });
    }
    if (change.mKind == UpstreamChange::Kind::Removed) {
      mServiceByUpstream.erase(record.mId);
    } else {
      mServiceByUpstream.insert_or_assign(record.mId, record.mService);
    }
    apply(record.mService, change);
  }
  mHasUpstreams = true;
  for (auto* pool : stalePools) {
    pool->UpdateQuotas();
  }
}

void
Gateway::SetExtraLoad(const ExtraLoadOptions& aOptions)
{
  mOptions.mPools.mExtraLoad = aOptions;
  for (const auto& [name, pool] : mPools) {
    pool->SetExtraLoad(aOptions);
  }
}

void
Gateway::UpdateQuotas()
{
  for (const auto& [name, pool] : mPools) {
    pool->UpdateQuotas();
  }
}

void
Gateway::RefuseActiveRequests()
{
  const auto activeRequests = mActiveRequests;
  for (const auto& activeRequest : activeRequests) {
    activeRequest->Abort();
  }
}

} // namespace wasabispar
