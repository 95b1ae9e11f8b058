/// @file
/// @brief Implements the protocol of an upstream.
#include "tests/standins/upstream_instance.hpp"

#include "tests/standins/hit_id.hpp"
#include "tests/standins/json_read.hpp"
#include "wasabispar/base/hash.hpp"

namespace wasabispar::standins {

namespace json = boost::json;

namespace {

constexpr auto kRestartRetry = std::chrono::milliseconds(50);
constexpr std::uint64_t kMaxScore = 1000000;

/// The text that identifies a query in its hits: its member `text`, else all of it.
std::string
QueryText(const json::value* aQuery)
{
  if (aQuery == nullptr) {
    return {};
  }
  if (aQuery->is_string()) {
    return std::string(aQuery->get_string());
  }
  if (aQuery->is_object()) {
    const auto text = ReadText(aQuery->get_object(), "text");
    if (!text.empty()) {
      return text;
    }
  }
  return json::serialize(*aQuery);
}

json::array
MakeHits(std::uint64_t aVersion, const std::string& aShard, const json::value* aQuery)
{
  const auto text = QueryText(aQuery);
  std::size_t count = 1;
  if (aQuery != nullptr && aQuery->is_object()) {
    count = ReadNumber(aQuery->get_object(), "hits_per_shard").value_or(1);
  }
  json::array hits;
  for (std::size_t number = 0; number < count; ++number) {
    const auto id = HitId{ aVersion, aShard, number, text }.Text();
    const auto score = static_cast<double>(HashText(id) % kMaxScore) / kMaxScore;
    hits.push_back(json::object{ { "id", id }, { "score", score } });
  }
  return hits;
}

TimePoint
DeadlineOf(const ExchangePtr& aExchange, const json::object& aBody)
{
  auto deadline = TimePoint::max();
  if (const auto milliseconds = ReadNumber(aBody, "deadline_ms")) {
    deadline = aExchange->Received() + std::chrono::milliseconds(*milliseconds);
  }
  if (const auto notAfter = ReadNumber(aBody, "not_after_unix_ms")) {
    const auto left = static_cast<std::int64_t>(*notAfter) -
                      static_cast<std::int64_t>(UnixMilliseconds());
    deadline = std::min(deadline, BootClock::now() + std::chrono::milliseconds(left));
  }
  return deadline;
}

Duration
FromMilliseconds(double aMilliseconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMilliseconds));
}

} // namespace

UpstreamInstance::UpstreamInstance(boost::asio::io_context& aContext, std::string aName,
                                   std::size_t aNumber, const InstanceOptions& aOptions,
                                   UpstreamRecord& aRecord)
  : mContext(aContext)
  , mName(std::move(aName))
  , mNumber(aNumber)
  , mOptions(aOptions)
  , mRecord(aRecord)
  , mLatency(HashText(mName, aOptions.mSeed))
  , mVersions{ { aOptions.mVersion, aOptions.mShards } }
  , mRestart(aContext)
{
  mSettings.mLatency = aOptions.mLatency;
  mSettings.mQueueLimit = aOptions.mQueueLimit;
  for (std::size_t index = 0; index < aOptions.mLayout.mSearchers; ++index) {
    mSearchers.push_back(std::make_unique<Searcher>(aContext, aOptions.mSlots));
  }
  mServer = std::make_unique<ConnectionServer>(
    aContext,
    ConnectionServerOptions{ aOptions.mConnectionLimit, aOptions.mConnectionCost },
    [this](const ExchangePtr& aExchange) { Handle(aExchange); });
  mPort = mServer->Listen(0);
}

void
UpstreamInstance::Handle(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->Request();
  const std::string target = request.mTarget.substr(0, request.mTarget.find('?'));
  if (target == "/search") {
    Search(aExchange);
  } else if (target == "/execute") {
    Execute(aExchange);
  } else if (target == "/cancel") {
    Cancel(aExchange);
  } else if (target == "/state") {
    Respond(aExchange, 200, State());
  } else if (target == "/health") {
    const json::object health{ { "status", mSettings.mDraining ? "draining" : "ok" } };
    Respond(aExchange, 200, Lagging(health, mSettings.mHealthLie, "health"));
  } else if (target == "/load") {
    Respond(aExchange, 200, Lagging(Load(), mSettings.mLoadLie, "load"));
  } else {
    Respond(aExchange, 404, { { "cause", "unknown path" } });
  }
}

bool
UpstreamInstance::Admit(const ExchangePtr& aExchange, const json::object& aBody)
{
  const auto caller = ReadText(aBody, "caller");
  if (!caller.empty()) {
    ++mRecord.mReceivedByCaller[caller];
  }
  if (mDrainingSince) {
    ++mReceivedWhileDraining;
    mLastReceivedAfterDrain = BootClock::now() - *mDrainingSince;
  }
  const auto& crash = mSettings.mCrashText;
  if (!crash.empty() && aExchange->Request().mBody.find(crash) != std::string::npos) {
    Crash();
    return false;
  }
  if (mSettings.mDraining && !mSettings.mDrainAccepts) {
    Respond(aExchange, 503, { { "cause", "draining" } });
    return false;
  }
  return true;
}

void
UpstreamInstance::Search(const ExchangePtr& aExchange)
{
  const auto body = ParseObject(aExchange->Request().mBody);
  if (!body) {
    return Respond(aExchange, 400, { { "cause", "body is not a JSON object" } });
  }
  ++mRecord.mSearchesReceived;
  if (!Admit(aExchange, *body)) {
    return;
  }
  const auto version = mVersions.find(ReadNumber(*body, "version").value_or(0));
  if (version == mVersions.end() || ReadText(*body, "index") != mOptions.mIndex) {
    return Respond(aExchange, 409, { { "cause", "version not held" } });
  }
  const auto shard = ReadText(*body, "shard");
  const auto held = HeldShards(mOptions.mLayout, version->second, mNumber);
  const auto place = held.find(shard);
  if (place == held.end()) {
    return Respond(aExchange, 410, { { "cause", "shard not held" } });
  }
  auto job = std::make_shared<SearcherJob>();
  job->mRequestId = ReadText(*body, "request_id");
  job->mDeadline = DeadlineOf(aExchange, *body);
  job->mStarted = [this] {
    ++mRecord.mSearchesStarted;
    ++mSearchesStarted;
    return ProcessingTime();
  };
  Submit(aExchange, place->second, job,
         [this, body, shard, id = job->mRequestId, number = version->first] {
           ++mRecord.mSearchesAnswered;
           return json::object{ { "request_id", id },
                                { "version", number },
                                { "shard", shard },
                                { "hits",
                                  MakeHits(number, shard, body->if_contains("query")) } };
         });
}

void
UpstreamInstance::Execute(const ExchangePtr& aExchange)
{
  const auto body = ParseObject(aExchange->Request().mBody);
  if (!body) {
    return Respond(aExchange, 400, { { "cause", "body is not a JSON object" } });
  }
  if (!Admit(aExchange, *body)) {
    return;
  }
  const auto* content = body->if_contains("body");
  std::string bodyId;
  if (content != nullptr && content->is_object()) {
    bodyId = ReadText(content->get_object(), "id");
  }
  auto job = std::make_shared<SearcherJob>();
  job->mRequestId = ReadText(*body, "request_id");
  job->mDeadline = DeadlineOf(aExchange, *body);
  job->mStopWhenCancelled = false;
  job->mStarted = [this, id = job->mRequestId, bodyId] {
    ++mRecord.mExecutionsStarted;
    ++mExecutionsStarted;
    ++mRecord.mExecutionsByRequest[id];
    ++mRecord.mExecutionsByBody[bodyId];
    return ProcessingTime();
  };
  Submit(aExchange, HashText(job->mRequestId) % mSearchers.size(), job,
         [this, id = job->mRequestId, bodyId] {
           return json::object{ { "request_id", id },
                                { "result", json::object{ { "id", bodyId },
                                                          { "upstream", mName } } } };
         });
}

void
UpstreamInstance::Submit(const ExchangePtr& aExchange, std::size_t aSearcher,
                         SearcherJobPtr aJob, std::function<json::object()> aResult)
{
  const bool execution = !aJob->mStopWhenCancelled;
  aJob->mFinished = [this, aExchange, execution, result = std::move(aResult)] {
    const auto body = result();
    Respond(aExchange, execution && mSettings.mExecuteFails ? 500 : 200, body);
  };
  aJob->mTooLate = [this, aExchange] {
    Respond(aExchange, 504, { { "cause", "deadline passed" } });
  };
  aJob->mCancelled = [this, aExchange] {
    ++mRecord.mCancelled;
    Respond(aExchange, 504, { { "cause", "cancelled" } });
  };
  auto& searcher = *mSearchers[aSearcher];
  aExchange->OnGone([this, &searcher, job = std::weak_ptr<SearcherJob>(aJob)] {
    ++mRecord.mAbandoned;
    if (const auto abandoned = job.lock()) {
      searcher.Abandon(abandoned);
    }
  });
  if (!searcher.Submit(aJob, mSettings.mQueueLimit)) {
    Respond(aExchange, 429, { { "cause", "queue full" } });
  }
}

void
UpstreamInstance::Cancel(const ExchangePtr& aExchange)
{
  std::size_t cancelled = 0;
  if (const auto body = ParseObject(aExchange->Request().mBody)) {
    const auto id = ReadText(*body, "request_id");
    for (const auto& searcher : mSearchers) {
      cancelled += searcher->Cancel(id);
    }
  }
  Respond(aExchange, 200, { { "cancelled", cancelled } });
}

void
UpstreamInstance::Respond(const ExchangePtr& aExchange, unsigned aStatus,
                          const json::object& aBody)
{
  ++mRecord.mAnswersByStatus[std::to_string(aStatus)];
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = json::serialize(aBody);
  if (mSettings.mDraining) {
    response.mHeaders.push_back({ "Upstream-Draining", "1" });
  }
  aExchange->Respond(std::move(response));
}

json::object
UpstreamInstance::State() const
{
  json::array versions;
  for (const auto& [version, shards] : mVersions) {
    json::array map;
    for (const auto& shard : ShardNames(shards)) {
      map.emplace_back(shard);
    }
    json::array held;
    for (const auto& entry : HeldShards(mOptions.mLayout, shards, mNumber)) {
      held.emplace_back(entry.first);
    }
    versions.push_back(
      json::object{ { "version", version }, { "map", map }, { "held", held } });
  }
  return { { "index", mOptions.mIndex },
           { "draining", mSettings.mDraining },
           { "versions", versions },
           { "slots", mOptions.mSlots * mSearchers.size() },
           { "connections", mOptions.mConnectionLimit } };
}

json::object
UpstreamInstance::Load() const
{
  std::size_t running = 0;
  std::size_t queued = 0;
  for (const auto& searcher : mSearchers) {
    running += searcher->Running();
    queued += searcher->Queued();
  }
  return { { "running", running }, { "queued", queued } };
}

json::object
UpstreamInstance::Lagging(json::object aValue, const std::string& aLie, const char* aName)
{
  if (const auto lie = ParseObject(aLie)) {
    return *lie;
  }
  const auto now = BootClock::now();
  auto [shown, isNew] = mShown.try_emplace(aName, now, aValue);
  if (now - shown->second.first >= FromMilliseconds(mSettings.mHealthLagMs)) {
    shown->second = { now, std::move(aValue) };
  }
  return shown->second.second;
}

Duration
UpstreamInstance::ProcessingTime()
{
  double factor = mSettings.mLatencyFactor;
  if (mColdUntil && BootClock::now() < *mColdUntil) {
    factor *= mSettings.mColdStartFactor;
  }
  return mLatency.Draw(mSettings.mLatency, factor);
}

void
UpstreamInstance::Crash()
{
  ++mRecord.mCrashes;
  GoDown();
  mRestart.expires_after(FromMilliseconds(mSettings.mCrashDownMs));
  mRestart.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      ComeBack();
    }
  });
}

void
UpstreamInstance::GoDown()
{
  // First the jobs, so that no closed connection starts the next job of the queue.
  for (const auto& searcher : mSearchers) {
    searcher->Clear();
  }
  mServer->Abort();
}

void
UpstreamInstance::ComeBack()
{
  if (mServer->Listen(mPort) == 0) {
    // Another process may hold the port for a moment as the local end of a connection.
    mRestart.expires_after(kRestartRetry);
    mRestart.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        ComeBack();
      }
    });
    return;
  }
  mColdUntil = BootClock::now() + FromMilliseconds(mSettings.mColdStartMs);
}

std::string
UpstreamInstance::Set(const json::object& aSettings)
{
  for (const auto& [name, value] : aSettings) {
    if (!SetMember(name, value) && !SetLatency(name, value) &&
        !SetVersions(name, value)) {
      return std::string(name);
    }
  }
  return {};
}

bool
UpstreamInstance::SetMember(std::string_view aName, const json::value& aValue)
{
  auto& settings = mSettings;
  if (aName == "draining" && aValue.is_bool()) {
    SetDraining(aValue.get_bool());
  } else if (aName == "drain_accepts" && aValue.is_bool()) {
    settings.mDrainAccepts = aValue.get_bool();
  } else if (aName == "down" && aValue.is_bool()) {
    const bool wasDown = std::exchange(settings.mDown, aValue.get_bool());
    mRestart.cancel();
    if (settings.mDown) {
      GoDown();
    } else if (wasDown) {
      ComeBack();
    }
  } else if (aName == "freeze" && aValue.is_string()) {
    SetFreeze(aValue.get_string());
  } else if (aName == "crash_text" && aValue.is_string()) {
    settings.mCrashText = aValue.get_string();
  } else if (aName == "crash_down_ms" && aValue.is_number()) {
    settings.mCrashDownMs = aValue.to_number<double>();
  } else if (aName == "execute_fails" && aValue.is_bool()) {
    settings.mExecuteFails = aValue.get_bool();
  } else if (aName == "health_lag_ms" && aValue.is_number()) {
    settings.mHealthLagMs = aValue.to_number<double>();
  } else if (aName == "health" && aValue.is_object()) {
    settings.mHealthLie = json::serialize(aValue);
  } else if (aName == "load" && aValue.is_object()) {
    settings.mLoadLie = json::serialize(aValue);
  } else {
    return false;
  }
  return true;
}

bool
UpstreamInstance::SetLatency(std::string_view aName, const json::value& aValue)
{
  if (!aValue.is_number()) {
    return false;
  }
  const auto number = aValue.to_number<double>();
  if (aName == "base_ms") {
    mSettings.mLatency.mBaseMs = number;
  } else if (aName == "jitter_ms") {
    mSettings.mLatency.mJitterMs = number;
  } else if (aName == "straggler_share") {
    mSettings.mLatency.mStragglerShare = number;
  } else if (aName == "straggler_factor") {
    mSettings.mLatency.mStragglerFactor = number;
  } else if (aName == "latency_factor") {
    mSettings.mLatencyFactor = number;
  } else if (aName == "cold_start_ms") {
    mSettings.mColdStartMs = number;
  } else if (aName == "cold_start_factor") {
    mSettings.mColdStartFactor = number;
  } else if (aName == "queue") {
    mSettings.mQueueLimit = static_cast<std::size_t>(number);
  } else {
    return false;
  }
  return true;
}

bool
UpstreamInstance::SetVersions(std::string_view aName, const json::value& aValue)
{
  if (aName == "add_version" && aValue.is_object()) {
    const auto version = ReadNumber(aValue.get_object(), "version");
    const auto shards = ReadNumber(aValue.get_object(), "shards");
    if (!version) {
      return false;
    }
    mVersions[*version] = shards.value_or(mOptions.mShards);
    return true;
  }
  if (aName == "drop_version" && aValue.is_number()) {
    mVersions.erase(aValue.to_number<std::uint64_t>());
    return true;
  }
  return false;
}

void
UpstreamInstance::SetDraining(bool aDraining)
{
  mSettings.mDraining = aDraining;
  mDrainingSince.reset();
  mReceivedWhileDraining = 0;
  mLastReceivedAfterDrain = {};
  if (aDraining) {
    mDrainingSince = BootClock::now();
  }
}

void
UpstreamInstance::SetFreeze(std::string_view aMode)
{
  if (aMode == "open") {
    mServer->SilenceOpenConnections();
  } else {
    mServer->Freeze(aMode == "all");
  }
}

json::object
UpstreamInstance::Status() const
{
  const auto counts = mServer->Counts();
  return { { "upstream", mName },
           { "port", mPort },
           { "connections_open", counts.mOpen },
           { "connections_max", counts.mMaxOpen },
           { "connections_accepted", counts.mAccepted },
           { "connections_refused", counts.mRefused },
           { "searches_started", mSearchesStarted },
           { "executions_started", mExecutionsStarted },
           { "received_while_draining", mReceivedWhileDraining },
           { "last_received_after_drain_ms", ToMilliseconds(mLastReceivedAfterDrain) } };
}

} // namespace wasabispar::standins
