/// @file
/// @brief Encoding and decoding of upstream messages on Boost.JSON.
#include "wasabispar/net/upstream_codec.hpp"

#include "wasabispar/net/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace wasabispar {

namespace json = boost::json;

namespace {

/// Returns @p aText as a quoted and escaped JSON string.
std::string
ToJsonString(std::string_view aText)
{
  return json::serialize(json::string(aText));
}

HttpRequest
MakePost(std::string aTarget, std::string aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  return request;
}

Result<double>
ParseScore(const json::object& aHit)
{
  const auto* score = aHit.if_contains("score");
  if (!score || !score->is_number()) {
    return Fail(
      { Step::UpstreamReply, {}, Outcome::Ran, "field 'score' must be a number" });
  }
  return score->to_number<double>();
}

Result<void>
ParseSearchBody(std::string_view aBody, std::string_view aRequestId, SearchReply& aReply)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aBody, Step::UpstreamReply, {}));
  JsonReader reader(object, Step::UpstreamReply, {});
  const auto requestId = reader.Text("request_id");
  aReply.mVersion = SnapshotVersion(reader.Number("version"));
  aReply.mShard = ShardId(reader.Text("shard"));
  const auto& hits = reader.Array("hits");
  BOOST_LEAF_CHECK(reader.Status());
  if (requestId != aRequestId) {
    return Fail(
      { Step::UpstreamReply, {}, Outcome::Ran, "request_id of another request" });
  }
  for (const auto& hit : hits) {
    if (!hit.is_object()) {
      return Fail({ Step::UpstreamReply, {}, Outcome::Ran, "hit is not an object" });
    }
    JsonReader fields(hit.as_object(), Step::UpstreamReply, {});
    Hit parsed;
    parsed.mId = fields.Text("id");
    BOOST_LEAF_CHECK(fields.Status());
    BOOST_LEAF_ASSIGN(parsed.mScore, ParseScore(hit.as_object()));
    aReply.mHits.push_back(std::move(parsed));
  }
  return {};
}

Result<std::vector<ShardId>>
ParseShards(const json::array& aShards, const std::string& aPeer)
{
  std::vector<ShardId> shards;
  for (const auto& shard : aShards) {
    if (!shard.is_string()) {
      return Fail(
        { Step::UpstreamReply, aPeer, Outcome::NotRun, "shard is not a string" });
    }
    shards.emplace_back(std::string(shard.as_string()));
  }
  return shards;
}

Result<DeclaredVersion>
ParseVersion(const json::value& aValue, const std::string& aPeer)
{
  if (!aValue.is_object()) {
    return Fail(
      { Step::UpstreamReply, aPeer, Outcome::NotRun, "version is not an object" });
  }
  JsonReader reader(aValue.as_object(), Step::UpstreamReply, aPeer);
  DeclaredVersion version;
  version.mVersion = SnapshotVersion(reader.Number("version"));
  const auto& map = reader.Array("map");
  const auto& held = reader.Array("held");
  BOOST_LEAF_CHECK(reader.Status());
  BOOST_LEAF_ASSIGN(version.mAllShards, ParseShards(map, aPeer));
  BOOST_LEAF_ASSIGN(version.mHeldShards, ParseShards(held, aPeer));
  return version;
}

} // namespace

HttpRequest
EncodeSearch(const SearchRequest& aRequest)
{
  // The query is already JSON text, so the body is concatenated without parsing it.
  return MakePost(
    "/search",
    "{\"request_id\":" + ToJsonString(aRequest.mRequestId) +
      ",\"index\":" + ToJsonString(aRequest.mIndex.Text()) +
      ",\"version\":" + std::to_string(aRequest.mVersion.Value()) +
      ",\"shard\":" + ToJsonString(aRequest.mShard.Text()) +
      ",\"caller\":" + ToJsonString(aRequest.mCaller.Text()) +
      ",\"deadline_ms\":" + std::to_string(ToMilliseconds(aRequest.mDeadline)) +
      ",\"query\":" + aRequest.mQuery + "}");
}

SearchReply
DecodeSearch(const HttpExchangeResult& aResult, std::string_view aRequestId)
{
  SearchReply reply;
  reply.mStatus = ToExchangeStatus(aResult.mEnd, aResult.mResponse.mStatus);
  reply.mCause = aResult.mCause;
  reply.mDraining = aResult.mResponse.Header("Upstream-Draining") == "1";
  if (reply.mStatus != ExchangeStatus::Ok) {
    if (aResult.mEnd == HttpExchangeEnd::Response) {
      reply.mCause = "status " + std::to_string(aResult.mResponse.mStatus);
    }
    return reply;
  }
  return HandleError(
    [&]() -> Result<SearchReply> {
      BOOST_LEAF_CHECK(ParseSearchBody(aResult.mResponse.mBody, aRequestId, reply));
      return reply;
    },
    [&](const Error& aError) {
      SearchReply malformed;
      malformed.mStatus = ExchangeStatus::ConnectionLost;
      malformed.mDraining = reply.mDraining;
      malformed.mCause = aError.mCause;
      return malformed;
    });
}

HttpRequest
EncodeExecute(const ExecuteRequest& aRequest)
{
  return MakePost(
    "/execute",
    "{\"request_id\":" + ToJsonString(aRequest.mRequestId) +
      ",\"caller\":" + ToJsonString(aRequest.mCaller.Text()) +
      ",\"deadline_ms\":" + std::to_string(ToMilliseconds(aRequest.mDeadline)) +
      ",\"not_after_unix_ms\":" + std::to_string(aRequest.mNotAfterUnixMs) +
      ",\"body\":" + aRequest.mBody + "}");
}

HttpRequest
EncodeCancel(std::string_view aRequestId)
{
  return MakePost("/cancel", "{\"request_id\":" + ToJsonString(aRequestId) + "}");
}

Result<UpstreamReport>
ParseUpstreamReport(std::string_view aBody, const std::string& aPeer)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aBody, Step::UpstreamReply, aPeer));
  JsonReader reader(object, Step::UpstreamReply, aPeer);
  UpstreamReport report;
  report.mIndex = IndexName(reader.Text("index"));
  report.mDraining = reader.BoolOr("draining", false);
  report.mSlots = static_cast<std::uint32_t>(reader.NumberOr("slots", 0));
  report.mConnections = static_cast<std::uint32_t>(reader.NumberOr("connections", 0));
  const auto& versions = reader.Array("versions");
  BOOST_LEAF_CHECK(reader.Status());
  for (const auto& version : versions) {
    BOOST_LEAF_AUTO(parsed, ParseVersion(version, aPeer));
    report.mVersions.push_back(std::move(parsed));
  }
  return report;
}

ExchangeStatus
ToExchangeStatus(HttpExchangeEnd aEnd, unsigned aHttpStatus)
{
  switch (aEnd) {
    case HttpExchangeEnd::Response:
      break;
    case HttpExchangeEnd::ConnectFailed:
      return ExchangeStatus::ConnectFailed;
    case HttpExchangeEnd::ConnectionLost:
      return ExchangeStatus::ConnectionLost;
    case HttpExchangeEnd::TimedOut:
      return ExchangeStatus::TimedOut;
    case HttpExchangeEnd::Cancelled:
      return ExchangeStatus::Cancelled;
  }
  switch (aHttpStatus) {
    case 200:
      return ExchangeStatus::Ok;
    case 409:
      return ExchangeStatus::VersionGone;
    case 410:
      return ExchangeStatus::ShardGone;
    case 429:
      return ExchangeStatus::Shed;
    case 503:
      return ExchangeStatus::Draining;
    case 504:
      return ExchangeStatus::DeadlinePassed;
    default:
      return ExchangeStatus::Failed;
  }
}

} // namespace wasabispar
