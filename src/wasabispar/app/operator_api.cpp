/// @file
/// @brief OperatorApi on Boost.JSON.
#include "wasabispar/app/operator_api.hpp"

#include "wasabispar/catalogue/profile_codec.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <map>

namespace wasabispar {

namespace json = boost::json;

namespace {

constexpr std::array kMemberStates{ MemberState::Unconfirmed, MemberState::Alive,
                                    MemberState::Leaving, MemberState::Suspect,
                                    MemberState::Dead };

/// Time for other VMs to report their revision; above the delay between regions.
constexpr Duration kRevisionWait = std::chrono::milliseconds(300);

json::value
MsSince(TimePoint aThen, TimePoint aNow)
{
  return aThen == TimePoint{} ? json::value(nullptr)
                              : json::value(ToMilliseconds(aNow - aThen));
}

json::value
MsOrNull(const std::optional<Duration>& aDuration)
{
  return aDuration ? json::value(ToMilliseconds(*aDuration)) : json::value(nullptr);
}

template<class Ids>
json::array
TextsOf(const Ids& aIds)
{
  json::array texts;
  for (const auto& id : aIds) {
    texts.emplace_back(id.Text());
  }
  return texts;
}

json::object
MemberJson(const Member& aMember, TimePoint aNow)
{
  return { { "vm", aMember.mIdentity.mVm.Text() },
           { "state", ToText(aMember.mState) },
           { "incarnation", aMember.mIdentity.mIncarnation.Value() },
           { "data_centre", aMember.mIdentity.mDataCentre.Text() },
           { "region", aMember.mIdentity.mRegion.Text() },
           { "fleet", aMember.mIdentity.mAddress },
           { "since_ms", MsSince(aMember.mStateSince, aNow) },
           { "revision", nullptr } };
}

json::object
ContactJson(const DataCentreContact& aContact, TimePoint aNow)
{
  return { { "data_centre", aContact.mDataCentre.Text() },
           { "region", aContact.mRegion.Text() },
           { "reachable", aContact.mIsReachable },
           { "last_contact_ms", aContact.mLastContact
                                  ? MsSince(*aContact.mLastContact, aNow)
                                  : json::value(nullptr) },
           { "alive", aContact.mAlive },
           { "members", aContact.mMembers } };
}

json::object
UsageJson(const ProfileUsageReport& aReport, TimePoint aNow)
{
  json::array callers;
  for (const auto& caller : aReport.mCallers) {
    callers.push_back(
      json::object{ { "caller", caller.mCaller.Text() },
                    { "requests", caller.mRequests },
                    { "last_ms", MsSince(caller.mLastRequestAt, aNow) } });
  }
  return { { "profile", aReport.mName.Text() },
           { "status", ToText(aReport.mStatus) },
           { "requests", aReport.mRequests },
           { "refused", aReport.mRefused },
           { "last_ms", MsSince(aReport.mLastRequestAt, aNow) },
           { "callers", std::move(callers) },
           { "other_callers", aReport.mOtherCallers } };
}

std::string_view
AvoidedReason(const UpstreamView& aView)
{
  if (aView.mLeaving) {
    return "leaving";
  }
  if (aView.mSuspect) {
    return "suspect";
  }
  if (!aView.mVersions || aView.mVersions->empty()) {
    return "no state report";
  }
  if (aView.mIsolated) {
    return "reserved for a suspect request";
  }
  return aView.mSlowStartWeight.Value() < 1000 ? "slow start" : "";
}

json::object
UpstreamJson(const UpstreamStatus& aStatus, TimePoint aNow)
{
  const auto& view = aStatus.mView;
  json::array versions;
  if (view.mVersions) {
    for (const auto& version : *view.mVersions) {
      versions.push_back(json::object{ { "version", version.mVersion.Value() },
                                       { "held", TextsOf(version.mHeldShards) },
                                       { "shards", version.mAllShards.size() } });
    }
  }
  return { { "upstream", view.mDeclaration.mUpstream.Text() },
           { "index", view.mDeclaration.mIndex.Text() },
           { "address", view.mDeclaration.mAddress },
           { "avoided", AvoidedReason(view) },
           { "in_flight", view.mInFlight },
           { "slot_limit", view.mSlotLimit },
           { "mean_latency_ms", ToDoubleMilliseconds(view.mMeanLatency) },
           { "warmth_permille", view.mSlowStartWeight.Value() },
           { "last_reply_ms",
             view.mLastReply ? MsSince(*view.mLastReply, aNow) : json::value(nullptr) },
           { "connection_limit", view.mDeclaration.mConnectionLimit },
           { "share", aStatus.mAllowed },
           { "open", aStatus.mOpen },
           { "owners", TextsOf(aStatus.mOwners) },
           { "versions", std::move(versions) } };
}

json::array
SeriesOf(const std::vector<double>& aValues)
{
  json::array series;
  for (const double value : aValues) {
    series.emplace_back(value);
  }
  return series;
}

json::object
BurnJson(const BurnReport& aReport)
{
  json::array windows;
  for (const auto& window : aReport.mWindows) {
    windows.push_back(json::object{
      { "minutes",
        std::chrono::duration_cast<std::chrono::minutes>(window.mWidth).count() },
      { "requests", window.mLatency.mTotal },
      { "latency_bad", window.mLatency.mTotal - window.mLatency.mGood },
      { "coverage_bad", window.mCoverage.mTotal - window.mCoverage.mGood },
      { "latency_burn", window.mLatencyBurn },
      { "coverage_burn", window.mCoverageBurn } });
  }
  return { { "profile", aReport.mProfile.Text() },
           { "latency_objective_permille", aReport.mLatencyObjective.Value() },
           { "coverage_objective_permille", aReport.mCoverageObjective.Value() },
           { "latency_alert", ToText(aReport.mLatencyAlert) },
           { "coverage_alert", ToText(aReport.mCoverageAlert) },
           { "windows", std::move(windows) },
           { "latency_series", SeriesOf(aReport.mLatencySeries) },
           { "coverage_series", SeriesOf(aReport.mCoverageSeries) } };
}

json::object
SubJson(const SubRequestTrace& aSub, TimePoint aStart)
{
  json::array skipped;
  for (const auto& replica : aSub.mSkipped) {
    skipped.push_back(json::object{ { "upstream", replica.mUpstream.Text() },
                                    { "reason", ToText(replica.mReason) } });
  }
  return { { "sub", aSub.mSubRequestId },
           { "shard", aSub.mShard.Text() },
           { "version", aSub.mVersion.Value() },
           { "upstream", aSub.mUpstream.Text() },
           { "kind", ToText(aSub.mKind) },
           { "why", aSub.mReasonText },
           { "start_ms", ToDoubleMilliseconds(aSub.mStart - aStart) },
           { "end_ms", aSub.mEnd ? json::value(ToDoubleMilliseconds(*aSub.mEnd - aStart))
                                 : json::value(nullptr) },
           { "status", aSub.mStatus ? ToText(*aSub.mStatus) : std::string_view() },
           { "fate", ToText(aSub.mReplyState) },
           { "skipped", std::move(skipped) } };
}

json::object
ExplainJson(const StoredExplain& aExplain)
{
  const auto& record = aExplain.mRecord;
  json::array subs;
  for (const auto& sub : record.mSubRequests) {
    subs.push_back(SubJson(sub, record.mStart));
  }
  json::array missing;
  for (const auto& shard : record.mMissing) {
    missing.push_back(
      json::object{ { "shard", shard.mShard.Text() }, { "why", shard.mReasonText } });
  }
  json::array versions;
  for (const auto& version : record.mVersions) {
    versions.emplace_back(version.Value());
  }
  return { { "request_id", record.mRequest.Text() },
           { "vm", record.mVm.Text() },
           { "profile", aExplain.mProfile.Text() },
           { "caller", aExplain.mCaller.Text() },
           { "index", record.mIndex.Text() },
           { "versions", std::move(versions) },
           { "took_ms",
             record.mEnd ? json::value(ToDoubleMilliseconds(*record.mEnd - record.mStart))
                         : json::value(nullptr) },
           { "verdict", record.mSummary },
           { "sub_requests", std::move(subs) },
           { "missing", std::move(missing) },
           { "ignored_replies", record.mIgnoredReplies },
           { "text", ToText(record) } };
}

HttpResponse
JsonResponse(std::string aBody)
{
  HttpResponse response;
  response.mBody = std::move(aBody);
  return response;
}

} // namespace

OperatorApi::OperatorApi(AppContext& aContext, OperatorSources aSources,
                         ReadinessFn aIsReady)
  : mContext(aContext)
  , mSources(aSources)
  , mIsReady(std::move(aIsReady))
{
}

void
OperatorApi::Handle(HttpRequest aRequest, HttpRespondFn aRespond)
{
  constexpr std::string_view kExplain = "/v1/explain/";
  const auto path = aRequest.Path();
  if (aRequest.mMethod != "GET") {
    aRespond(
      RefusalResponse(405, { Step::ParseRequest, {}, Outcome::NotRun, "use GET" }));
  } else if (path == "/metrics") {
    UpdateMetrics();
    auto response = JsonResponse(mContext.mMetrics.Text());
    response.mContentType = "text/plain; version=0.0.4";
    aRespond(std::move(response));
  } else if (path == "/healthz") {
    aRespond({});
  } else if (path == "/readyz") {
    aRespond(ReadinessResponse(mIsReady));
  } else if (path == "/v1/status") {
    Status(std::move(aRespond));
  } else if (path == "/v1/profiles") {
    aRespond(JsonResponse(ProfilesText()));
  } else if (path == "/v1/upstreams") {
    aRespond(JsonResponse(UpstreamsText()));
  } else if (path == "/v1/burn") {
    aRespond(JsonResponse(BurnText()));
  } else if (path == "/v1/catalogue") {
    aRespond(JsonResponse(CatalogueText()));
  } else if (path.starts_with(kExplain)) {
    aRespond(Explain(path.substr(kExplain.size())));
  } else {
    aRespond(
      RefusalResponse(404, { Step::ParseRequest, {}, Outcome::NotRun, "no such path" }));
  }
}

void
OperatorApi::UpdateMetrics()
{
  auto& metrics = mContext.mMetrics;
  mSources.mLink.UpdateMetrics();
  const auto set = [&](const std::string& aName, const std::string& aHelp,
                       double aValue) { metrics.Gauge(aName, aHelp).Set(aValue); };
  set("wasabispar_platform_calls", "Calls made to the platform since the start.",
      static_cast<double>(mSources.mConfig.PlatformCalls()));
  set("wasabispar_catalogue_revision", "Revision of the catalogue in effect.",
      static_cast<double>(mSources.mConfig.Profiles().View()->AppliedRevision().Value()));
  const auto age = mSources.mConfig.PlatformAge();
  set("wasabispar_platform_age_seconds",
      "Age of the last contact of the data centre with the platform; -1 for none.",
      age ? std::chrono::duration<double>(*age).count() : -1);
  const auto load = mSources.mQueries.Load();
  set("wasabispar_sub_requests_needed", "Sub-requests that were first tries.",
      static_cast<double>(load.mNeeded));
  set("wasabispar_hedges", "Hedges sent.", static_cast<double>(load.mHedges));
  set("wasabispar_retries", "Retries sent.", static_cast<double>(load.mRetries));
  set("wasabispar_forced_retries",
      "Retries sent without budget, for the sake of coverage.",
      static_cast<double>(load.mForced));
  set("wasabispar_extra_load_refused", "Hedges and retries refused by the budget.",
      static_cast<double>(load.mRefused));
  set("wasabispar_searches_sent", "Sub-requests sent, first tries and extra ones.",
      static_cast<double>(mSources.mUpstreams.SearchesSent()));
  set("wasabispar_admission_limit", "Concurrency limit.",
      static_cast<double>(mSources.mAdmission.Limit()));
  set("wasabispar_admission_running", "Requests that run.",
      static_cast<double>(mSources.mAdmission.Running()));
  set("wasabispar_admission_queued", "Requests that wait for admission.",
      static_cast<double>(mSources.mAdmission.Queued()));
  const auto usage = mSources.mExecutions.Usage();
  set("wasabispar_tickets", "Outstanding tickets.", static_cast<double>(usage.mTickets));
  set("wasabispar_quarantined", "Quarantined requests.",
      static_cast<double>(mSources.mExecutions.Quarantined().Count()));
  std::uint32_t open = 0;
  std::uint32_t avoided = 0;
  for (const auto& status : mSources.mUpstreams.Status()) {
    open += status.mOpen;
    avoided += AvoidedReason(status.mView).empty() ? 0 : 1;
  }
  set("wasabispar_upstream_connections", "Open connections to upstreams.", open);
  set("wasabispar_upstreams_avoided", "Upstreams that get no or less work.", avoided);
  UpdateFleetMetrics();
  UpdateBurnMetrics();
}

void
OperatorApi::UpdateFleetMetrics()
{
  auto& metrics = mContext.mMetrics;
  std::string reason;
  metrics.Gauge("wasabispar_ready", "1 if this VM serves, else 0.")
    .Set(mIsReady(reason) ? 1 : 0);
  metrics
    .Gauge("wasabispar_rejected_documents",
           "Profiles whose newest document is invalid; the last valid one is in effect.")
    .Set(static_cast<double>(mSources.mConfig.Profiles().View()->Rejected().size()));
  std::map<std::string_view, double> counts;
  for (const auto state : kMemberStates) {
    counts[ToText(state)] = 0;
  }
  for (const auto& [vm, member] : mSources.mFleet.View()->mMembers) {
    ++counts[ToText(member.mState)];
  }
  for (const auto& [state, count] : counts) {
    metrics
      .Gauge("wasabispar_members", "VMs of the fleet by state, as this VM sees them.",
             { { "state", std::string(state) } })
      .Set(count);
  }
  for (const auto& contact : mSources.mFleet.Members().Contacts(mContext.mNow())) {
    metrics
      .Gauge("wasabispar_data_centre_reachable",
             "1 if another data centre was heard from recently, else 0.",
             { { "data_centre", contact.mDataCentre.Text() } })
      .Set(contact.mIsReachable ? 1 : 0);
  }
}

void
OperatorApi::UpdateBurnMetrics()
{
  const auto set = [this](const std::string& aProfile, const std::string& aObjective,
                          const std::string& aMinutes, double aBurn) {
    mContext.mMetrics
      .Gauge(
        "wasabispar_burn_rate",
        "Rate at which the error budget is used; 1 uses it up exactly.",
        { { "profile", aProfile }, { "objective", aObjective }, { "minutes", aMinutes } })
      .Set(aBurn);
  };
  const auto reports =
    mSources.mSlo.Report(*mSources.mConfig.Profiles().View(), mContext.mNow());
  std::lock_guard lock(mBurnMutex);
  // A deleted profile has no report any more; its alert must not stay on.
  for (const auto& [profile, minutes] : mBurnSeries) {
    set(profile, "latency", minutes, 0);
    set(profile, "coverage", minutes, 0);
  }
  for (const auto& report : reports) {
    for (const auto& window : report.mWindows) {
      const auto minutes = std::to_string(
        std::chrono::duration_cast<std::chrono::minutes>(window.mWidth).count());
      const auto& profile = report.mProfile.Text();
      mBurnSeries.emplace(profile, minutes);
      set(profile, "latency", minutes, window.mLatencyBurn);
      set(profile, "coverage", minutes, window.mCoverageBurn);
    }
  }
}

void
OperatorApi::Status(HttpRespondFn aRespond)
{
  auto& worker = mContext.mWorkers.At(0);
  worker.Post([this, &worker, respond = std::move(aRespond)] {
    mSources.mConfig.AskRevisions();
    auto timer = std::make_shared<Subscription>();
    *timer = worker.Timers().After(kRevisionWait, [this, timer, respond] {
      respond(JsonResponse(StatusText()));
      const auto ended = std::move(*timer);
    });
  });
}

std::string
OperatorApi::StatusText()
{
  const auto now = mContext.mNow();
  const auto& settings = mContext.mSettings;
  std::string reason;
  const bool isReady = mIsReady(reason);
  const auto view = mSources.mFleet.View();
  const auto catalogue = mSources.mConfig.Profiles().View();
  const auto own = catalogue->AppliedRevision();
  json::array members;
  std::uint64_t inForce = 0;
  std::uint64_t counted = 0;
  for (const auto& [vm, member] : view->mMembers) {
    auto entry = MemberJson(member, now);
    const auto& revisions = mSources.mConfig.Revisions();
    const auto reported = revisions.find(vm);
    const bool isSelf = vm == settings.mVm;
    if (isSelf || reported != revisions.end()) {
      const auto revision = isSelf ? own : reported->second.mRevision;
      entry["revision"] = revision.Value();
      entry["revision_age_ms"] =
        isSelf ? json::value(0) : MsSince(reported->second.mAt, now);
      inForce += revision >= own ? 1 : 0;
    }
    counted += member.mState == MemberState::Dead ? 0 : 1;
    members.push_back(std::move(entry));
  }
  json::array dataCentres;
  for (const auto& contact : mSources.mFleet.Members().Contacts(now)) {
    dataCentres.push_back(ContactJson(contact, now));
  }
  json::array rejected;
  for (const auto& document : catalogue->Rejected()) {
    rejected.push_back(json::object{ { "profile", document.mName.Text() },
                                     { "revision", document.mRevision.Value() },
                                     { "cause", document.mCause },
                                     { "age_ms", MsSince(document.mAt, now) } });
  }
  return json::serialize(json::object{
    { "vm", settings.mVm.Text() },
    { "data_centre", settings.mDataCentre.Text() },
    { "region", settings.mRegion.Text() },
    { "incarnation", mContext.mIncarnation.Value() },
    { "ready", isReady },
    { "reason", reason },
    { "revision", own.Value() },
    { "revision_in_force_permille", Permille::Of(inForce, counted).Value() },
    { "configuration_started_by", mSources.mConfig.StartedBy() },
    { "platform_age_ms", MsOrNull(mSources.mConfig.PlatformAge()) },
    { "holds_platform_watch", mSources.mConfig.IsWatcher() },
    { "platform_calls", mSources.mConfig.PlatformCalls() },
    { "rejected_documents", std::move(rejected) },
    { "members", std::move(members) },
    { "other_data_centres", std::move(dataCentres) },
    { "running_requests", mSources.mAdmission.Running() },
    { "queued_requests", mSources.mAdmission.Queued() },
    { "concurrency_limit", mSources.mAdmission.Limit() },
    { "outstanding_tickets", mSources.mExecutions.Usage().mTickets },
    { "quarantined", mSources.mExecutions.Quarantined().Count() } });
}

std::string
OperatorApi::ProfilesText() const
{
  const auto now = mContext.mNow();
  const auto report = mSources.mUsage.Report(*mSources.mConfig.Profiles().View());
  json::array profiles;
  for (const auto& profile : report.mProfiles) {
    profiles.push_back(UsageJson(profile, now));
  }
  return json::serialize(json::object{ { "vm", mContext.mSettings.mVm.Text() },
                                       { "profiles", std::move(profiles) },
                                       { "other_unknown", report.mOtherUnknown } });
}

std::string
OperatorApi::UpstreamsText() const
{
  const auto now = mContext.mNow();
  json::array upstreams;
  for (const auto& status : mSources.mUpstreams.Status()) {
    upstreams.push_back(UpstreamJson(status, now));
  }
  return json::serialize(json::object{ { "vm", mContext.mSettings.mVm.Text() },
                                       { "upstreams", std::move(upstreams) } });
}

std::string
OperatorApi::BurnText() const
{
  json::array reports;
  for (const auto& report :
       mSources.mSlo.Report(*mSources.mConfig.Profiles().View(), mContext.mNow())) {
    reports.push_back(BurnJson(report));
  }
  return json::serialize(json::object{ { "vm", mContext.mSettings.mVm.Text() },
                                       { "profiles", std::move(reports) } });
}

std::string
OperatorApi::CatalogueText() const
{
  const auto view = mSources.mConfig.Profiles().View();
  json::array profiles;
  for (const auto& name : view->Names()) {
    const auto found = view->Find(name);
    json::object entry{ { "profile", name.Text() },
                        { "revision", found.mRevision.Value() },
                        { "status", ToText(found.mStatus) },
                        { "document", nullptr } };
    if (found.mProfile) {
      entry["document"] = json::parse(SerializeProfile(*found.mProfile));
    }
    profiles.push_back(std::move(entry));
  }
  return json::serialize(json::object{ { "vm", mContext.mSettings.mVm.Text() },
                                       { "revision", view->AppliedRevision().Value() },
                                       { "profiles", std::move(profiles) } });
}

HttpResponse
OperatorApi::Explain(std::string_view aId) const
{
  const auto request = RequestId::Parse(aId);
  const auto record = request ? mSources.mExplains.Find(*request) : nullptr;
  if (record) {
    return JsonResponse(json::serialize(ExplainJson(*record)));
  }
  std::string cause = "not a request id";
  if (request) {
    cause = request->mIncarnation == mContext.mIncarnation
              ? "no record: too old, refused before it started, or unknown"
              : "the request ran on another VM or before a restart";
  }
  return RefusalResponse(404, { Step::ParseRequest, {}, Outcome::NotRun, cause });
}

} // namespace wasabispar
