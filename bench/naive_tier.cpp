/// @file
/// @brief Implements the naive tier.
#include "bench/naive_tier.hpp"

#include "tests/standins/json_read.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace wasabispar::bench {

namespace json = boost::json;
using standins::ParseObject;
using standins::ReadNumber;
using standins::ReadText;

namespace {

bool
IsBetter(const json::value& aLeft, const json::value& aRight)
{
  return aLeft.at("score").as_double() > aRight.at("score").as_double();
}

} // namespace

struct NaiveTier::RunningQuery
{
  HttpRespondFn mRespond;
  std::string mRequestId;
  std::string mProfile;
  json::value mQuery;
  std::uint64_t mVersion = 0;
  TimePoint mDeadline;
  std::size_t mTotal = 0;
  std::size_t mPending = 0;
  std::set<std::string> mMissing;
  json::array mHits;
};

NaiveTier::NaiveTier(boost::asio::io_context& aContext, NaiveTierOptions aOptions)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mTimer(aContext)
{
  mServer = std::make_unique<HttpServer>(
    std::vector<boost::asio::io_context*>{ &aContext }, HttpServerOptions{},
    [this](const HttpRequest& aRequest, const HttpRespondFn& aRespond) {
      Handle(aRequest, aRespond);
    });
}

NaiveTier::~NaiveTier() = default;

std::uint16_t
NaiveTier::Start()
{
  ReadList();
  return HandleError(
    [&]() -> Result<std::uint16_t> {
      BOOST_LEAF_CHECK(mServer->Start());
      return mServer->Port();
    },
    [](const Error&) { return std::uint16_t{ 0 }; });
}

void
NaiveTier::ReadList()
{
  HttpRequest request;
  request.mTarget = "/v1/vms";
  HttpFetch(mContext, mOptions.mPlatform, std::move(request), mOptions.mStateTimeout,
            [this](const HttpExchangeResult& aResult) {
              const auto list = ParseObject(aResult.mResponse.mBody);
              if (!list) {
                return;
              }
              for (const auto& entry : list->at("upstreams").as_array()) {
                const auto& object = entry.as_object();
                auto upstream = std::make_unique<Upstream>();
                upstream->mIndex = ReadText(object, "index");
                const auto address = ReadText(object, "address");
                upstream->mAddress = HandleError([&] { return Endpoint::Parse(address); },
                                                 [](const Error&) { return Endpoint{}; });
                mUpstreams.push_back(std::move(upstream));
              }
              ReadStates();
            });
}

void
NaiveTier::ReadStates()
{
  for (const auto& entry : mUpstreams) {
    auto* upstream = entry.get();
    HttpRequest request;
    request.mTarget = "/state";
    HttpFetch(mContext, upstream->mAddress, std::move(request), mOptions.mStateTimeout,
              [upstream](const HttpExchangeResult& aResult) {
                const auto state = ParseObject(aResult.mResponse.mBody);
                upstream->mHealthy =
                  aResult.mEnd == HttpExchangeEnd::Response && state.has_value();
                if (upstream->mHealthy) {
                  ApplyState(*upstream, *state);
                }
              });
  }
  mTimer.expires_after(mOptions.mStatePeriod);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      ReadStates();
    }
  });
}

void
NaiveTier::ApplyState(Upstream& aUpstream, const json::object& aState)
{
  aUpstream.mMaps.clear();
  aUpstream.mHeld.clear();
  for (const auto& entry : aState.at("versions").as_array()) {
    const auto& object = entry.as_object();
    const auto version = ReadNumber(object, "version").value_or(0);
    for (const auto& shard : object.at("map").as_array()) {
      aUpstream.mMaps[version].emplace_back(shard.as_string());
    }
    for (const auto& shard : object.at("held").as_array()) {
      aUpstream.mHeld[version].emplace(shard.as_string());
    }
  }
  if (const auto* draining = aState.if_contains("draining");
      draining != nullptr && draining->as_bool()) {
    aUpstream.mHealthy = false;
  }
}

std::vector<std::string>
NaiveTier::MapOf(std::uint64_t aVersion) const
{
  for (const auto& upstream : mUpstreams) {
    const auto map = upstream->mMaps.find(aVersion);
    if (map != upstream->mMaps.end()) {
      return map->second;
    }
  }
  return {};
}

std::uint64_t
NaiveTier::ChooseVersion() const
{
  std::map<std::uint64_t, std::set<std::string>> held;
  for (const auto& upstream : mUpstreams) {
    for (const auto& [version, shards] : upstream->mHeld) {
      auto& all = held[version];
      if (upstream->mHealthy) {
        all.insert(shards.begin(), shards.end());
      }
    }
  }
  for (auto version = held.rbegin(); version != held.rend(); ++version) {
    if (version->second.size() == MapOf(version->first).size()) {
      return version->first;
    }
  }
  return held.empty() ? 0 : held.rbegin()->first;
}

NaiveTier::Upstream*
NaiveTier::ChooseHolder(std::uint64_t aVersion, const std::string& aShard)
{
  std::vector<Upstream*> holders;
  for (const auto& upstream : mUpstreams) {
    const auto held = upstream->mHeld.find(aVersion);
    if (upstream->mHealthy && held != upstream->mHeld.end() &&
        held->second.contains(aShard)) {
      holders.push_back(upstream.get());
    }
  }
  return holders.empty() ? nullptr : holders[mNextHolder++ % holders.size()];
}

void
NaiveTier::Handle(const HttpRequest& aRequest, const HttpRespondFn& aRespond)
{
  const auto body = ParseObject(aRequest.mBody);
  const auto version = ChooseVersion();
  if (!body || version == 0) {
    HttpResponse response;
    response.mStatus = 503;
    response.mHeaders.push_back({ "Wasabispar-Outcome", "not-run" });
    response.mBody = json::serialize(json::object{ { "outcome", "not-run" } });
    return aRespond(std::move(response));
  }
  auto query = std::make_shared<RunningQuery>();
  query->mRespond = aRespond;
  query->mRequestId = mOptions.mVm + "-" + std::to_string(mNextRequest++);
  query->mProfile = ReadText(*body, "profile");
  if (const auto* content = body->if_contains("query")) {
    query->mQuery = *content;
  }
  query->mVersion = version;
  query->mDeadline = BootClock::now() + mOptions.mDeadline;
  const auto map = MapOf(version);
  query->mTotal = map.size();
  query->mPending = map.size();
  for (const auto& shard : map) {
    SendSub(query, shard);
  }
}

void
NaiveTier::SendSub(const std::shared_ptr<RunningQuery>& aQuery, const std::string& aShard)
{
  const auto done = [this, aQuery, aShard](const HttpExchangeResult& aResult) {
    const auto reply = ParseObject(aResult.mResponse.mBody);
    const bool answered = aResult.mEnd == HttpExchangeEnd::Response &&
                          aResult.mResponse.mStatus == 200 && reply &&
                          ReadNumber(*reply, "version") == aQuery->mVersion;
    if (answered) {
      for (const auto& hit : reply->at("hits").as_array()) {
        aQuery->mHits.push_back(hit);
      }
    } else {
      aQuery->mMissing.insert(aShard);
    }
    if (--aQuery->mPending == 0) {
      Finish(*aQuery);
    }
  };
  auto* upstream = ChooseHolder(aQuery->mVersion, aShard);
  if (upstream == nullptr) {
    return done({});
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/search";
  request.mBody = json::serialize(
    json::object{ { "request_id", aQuery->mRequestId + "-" + aShard },
                  { "index", upstream->mIndex },
                  { "version", aQuery->mVersion },
                  { "shard", aShard },
                  { "query", aQuery->mQuery },
                  { "deadline_ms", ToMilliseconds(mOptions.mDeadline) } });
  Exchange(*upstream, request, aQuery->mDeadline, done);
}

void
NaiveTier::Exchange(Upstream& aUpstream, const HttpRequest& aRequest, TimePoint aDeadline,
                    const ReplyFn& aDone)
{
  if (BootClock::now() >= aDeadline) {
    aDone({});
    return StartWaiting(aUpstream);
  }
  while (!aUpstream.mIdle.empty()) {
    const auto connection = aUpstream.mIdle.back();
    aUpstream.mIdle.pop_back();
    if (connection->IsUsable()) {
      return ExchangeOn(aUpstream, connection, aRequest, aDeadline, aDone);
    }
    --aUpstream.mOpen;
  }
  if (aUpstream.mOpen >= mOptions.mConnections) {
    aUpstream.mWaiting.push_back([this, &aUpstream, aRequest, aDeadline, aDone] {
      Exchange(aUpstream, aRequest, aDeadline, aDone);
    });
    return;
  }
  ++aUpstream.mOpen;
  const auto connection = HttpConnection::Create(mContext, aUpstream.mAddress);
  connection->Open(
    aDeadline - BootClock::now(), [this, &aUpstream, connection, aRequest, aDeadline,
                                   aDone](bool aOpened, const std::string&) {
      if (aOpened) {
        return ExchangeOn(aUpstream, connection, aRequest, aDeadline, aDone);
      }
      --aUpstream.mOpen;
      aDone({});
      StartWaiting(aUpstream);
    });
}

void
NaiveTier::ExchangeOn(Upstream& aUpstream,
                      const std::shared_ptr<HttpConnection>& aConnection,
                      const HttpRequest& aRequest, TimePoint aDeadline,
                      const ReplyFn& aDone)
{
  const auto left =
    std::max<Duration>(aDeadline - BootClock::now(), std::chrono::milliseconds(1));
  aConnection->Exchange(
    aRequest, left,
    [this, &aUpstream, aConnection, aDone](const HttpExchangeResult& aResult) {
      if (aConnection->IsUsable()) {
        aUpstream.mIdle.push_back(aConnection);
      } else {
        --aUpstream.mOpen;
      }
      aDone(aResult);
      StartWaiting(aUpstream);
    });
}

void
NaiveTier::StartWaiting(Upstream& aUpstream)
{
  if (!aUpstream.mWaiting.empty()) {
    // Posted, as a long queue of expired requests would recurse deeply.
    boost::asio::post(mContext, std::move(aUpstream.mWaiting.front()));
    aUpstream.mWaiting.pop_front();
  }
}

void
NaiveTier::Finish(RunningQuery& aQuery)
{
  std::sort(aQuery.mHits.begin(), aQuery.mHits.end(), IsBetter);
  const auto answered = aQuery.mTotal - aQuery.mMissing.size();
  const auto permille = answered * 1000 / aQuery.mTotal;
  json::array missing;
  for (const auto& shard : aQuery.mMissing) {
    missing.emplace_back(shard);
  }
  HttpResponse response;
  response.mHeaders = { { "Wasabispar-Request-Id", aQuery.mRequestId },
                        { "Wasabispar-Coverage", std::to_string(permille) },
                        { "Wasabispar-Partial", permille < 1000 ? "1" : "0" } };
  response.mBody = json::serialize(
    json::object{ { "request_id", aQuery.mRequestId },
                  { "profile", aQuery.mProfile },
                  { "snapshot", aQuery.mVersion },
                  { "coverage", json::object{ { "permille", permille },
                                              { "answered", answered },
                                              { "total", aQuery.mTotal },
                                              { "missing", std::move(missing) } } },
                  { "partial", permille < 1000 },
                  { "hits", std::move(aQuery.mHits) },
                  { "vm", mOptions.mVm } });
  aQuery.mRespond(std::move(response));
}

} // namespace wasabispar::bench
