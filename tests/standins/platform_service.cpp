/// @file
/// @brief Implements the platform stand-in.
#include "tests/standins/platform_service.hpp"

#include "tests/standins/json_read.hpp"

namespace wasabispar::standins {

namespace json = boost::json;

namespace {

constexpr std::string_view kValuesPath = "/v1/values/";
constexpr std::uint64_t kDefaultWatchMs = 30000;

HttpResponse
MakeResponse(unsigned aStatus, const json::object& aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = json::serialize(aBody);
  return response;
}

} // namespace

PlatformService::PlatformService(boost::asio::io_context& aContext)
  : mContext(aContext)
  , mServer(std::make_unique<ConnectionServer>(
      aContext, ConnectionServerOptions{},
      [this](const ExchangePtr& aExchange) { Handle(aExchange); }))
  , mControl(std::make_unique<ConnectionServer>(
      aContext, ConnectionServerOptions{},
      [this](const ExchangePtr& aExchange) { Control(aExchange); }))
{
  mPort = mServer->Listen(0);
  mControlPort = mControl->Listen(0);
}

json::object
PlatformService::Started() const
{
  return { { "event", "started" }, { "port", mPort }, { "control_port", mControlPort } };
}

void
PlatformService::CountCall(const std::string& aKind)
{
  ++mCalls[aKind];
  const auto second =
    std::chrono::duration_cast<std::chrono::seconds>(BootClock::now().time_since_epoch())
      .count();
  if (second != mSecond) {
    mSecond = second;
    mCallsInSecond = 0;
  }
  mMaxCallsInSecond = std::max(mMaxCallsInSecond, ++mCallsInSecond);
}

void
PlatformService::Handle(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->Request();
  const auto path = request.Path();
  if (path == "/v1/values") {
    CountCall("values");
    const auto prefix = request.QueryParameter("prefix");
    aExchange->Respond(MakeResponse(200, Values(prefix, 0, false)));
  } else if (path == "/v1/watch") {
    CountCall("watch");
    StartWatch(aExchange);
  } else if (path == "/v1/vms") {
    CountCall("vms");
    const auto list = mStore.ListAt(BootClock::now() - mListLag);
    aExchange->Respond(MakeResponse(200, list));
  } else {
    CountCall("unknown");
    aExchange->Respond(MakeResponse(404, { { "cause", "unknown path" } }));
  }
}

std::uint64_t
PlatformService::VisibleRevision() const
{
  return mMode == PlatformMode::Stale ? mStaleRevision : mStore.NewestRevision();
}

json::object
PlatformService::Values(const std::string& aPrefix, std::uint64_t aAfter,
                        bool aDeletedToo) const
{
  json::array items;
  for (const auto& change : mStore.Changes(aPrefix, aAfter, VisibleRevision())) {
    json::object item{ { "key", change.mKey }, { "revision", change.mRevision } };
    if (!change.mDeleted) {
      item["value"] = change.mValue;
    } else if (aDeletedToo) {
      item["deleted"] = true;
    } else {
      continue;
    }
    items.push_back(std::move(item));
  }
  return { { "revision", VisibleRevision() }, { "items", std::move(items) } };
}

void
PlatformService::StartWatch(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->Request();
  Watch watch;
  watch.mExchange = aExchange;
  watch.mPrefix = request.QueryParameter("prefix");
  watch.mAfter = request.QueryNumber("after").value_or(0);
  const auto timeout = request.QueryNumber("timeout_ms").value_or(kDefaultWatchMs);
  watch.mTimer = std::make_unique<boost::asio::steady_timer>(
    mContext, std::chrono::milliseconds(timeout));
  const auto place = mWatches.insert(mWatches.end(), std::move(watch));
  place->mTimer->async_wait([this, place](const boost::system::error_code& aError) {
    if (!aError) {
      EndWatch(place);
    }
  });
  aExchange->OnGone([this, place] { mWatches.erase(place); });
  mMaxWatches = std::max(mMaxWatches, mWatches.size());
  AnswerWatches();
}

void
PlatformService::EndWatch(std::list<Watch>::iterator aWatch)
{
  const auto values = Values(aWatch->mPrefix, aWatch->mAfter, true);
  const auto exchange = aWatch->mExchange;
  mWatches.erase(aWatch);
  exchange->Respond(MakeResponse(200, values));
}

void
PlatformService::AnswerWatches()
{
  for (auto watch = mWatches.begin(); watch != mWatches.end();) {
    const auto current = watch++;
    const auto changes =
      mStore.Changes(current->mPrefix, current->mAfter, VisibleRevision());
    if (!changes.empty()) {
      EndWatch(current);
    }
  }
}

void
PlatformService::Control(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->Request();
  const auto path = request.Path();
  if (path == "/record") {
    aExchange->Respond(MakeResponse(200, Record()));
  } else if (path == "/control") {
    aExchange->Respond(ApplyControl(request));
  } else if (path.starts_with(kValuesPath)) {
    aExchange->Respond(Write(request));
  } else if (path == "/v1/vms") {
    const auto list = ParseObject(request.mBody);
    if (list) {
      mStore.SetList(BootClock::now(), *list);
    }
    aExchange->Respond(MakeResponse(list ? 200 : 400, {}));
  } else {
    aExchange->Respond(MakeResponse(404, { { "cause", "unknown path" } }));
  }
}

HttpResponse
PlatformService::Write(const HttpRequest& aRequest)
{
  const std::string key(aRequest.Path().substr(kValuesPath.size()));
  std::optional<std::string> value;
  if (aRequest.mMethod == "PUT") {
    value = aRequest.mBody;
  } else if (aRequest.mMethod != "DELETE") {
    return MakeResponse(405, { { "cause", "use PUT or DELETE" } });
  }
  const auto expected = aRequest.QueryNumber("expected");
  const auto revision = mStore.Write(key, std::move(value), expected);
  if (!revision) {
    return MakeResponse(409, { { "revision", mStore.KeyRevision(key) } });
  }
  AnswerWatches();
  return MakeResponse(200, { { "revision", *revision } });
}

HttpResponse
PlatformService::ApplyControl(const HttpRequest& aRequest)
{
  const auto body = ParseObject(aRequest.mBody);
  if (!body || !SetMode(*body)) {
    return MakeResponse(400, { { "cause", "body is invalid" } });
  }
  if (const auto lag = ReadNumber(*body, "vm_list_lag_ms")) {
    mListLag = std::chrono::milliseconds(*lag);
  }
  AnswerWatches();
  return MakeResponse(200, {});
}

bool
PlatformService::SetMode(const json::object& aBody)
{
  const auto mode = ReadText(aBody, "mode");
  if (mode.empty()) {
    return true;
  }
  const auto old = mMode;
  if (mode == "normal") {
    mMode = PlatformMode::Normal;
  } else if (mode == "down") {
    mMode = PlatformMode::Down;
    mServer->Abort();
  } else if (mode == "stale") {
    mMode = PlatformMode::Stale;
    mStaleRevision =
      ReadNumber(aBody, "stale_revision").value_or(mStore.NewestRevision());
  } else {
    return false;
  }
  if (old == PlatformMode::Down && mMode != PlatformMode::Down) {
    return mServer->Listen(mPort) != 0;
  }
  return true;
}

json::object
PlatformService::Record() const
{
  json::object calls;
  std::uint64_t total = 0;
  for (const auto& [kind, count] : mCalls) {
    calls[kind] = count;
    total += count;
  }
  return { { "calls", calls },
           { "calls_total", total },
           { "max_calls_in_second", mMaxCallsInSecond },
           { "waiting_watches", mWatches.size() },
           { "max_waiting_watches", mMaxWatches },
           { "revision", mStore.NewestRevision() },
           { "connections_open", mServer->Counts().mOpen } };
}

} // namespace wasabispar::standins
