/// @file
/// @brief CallerApi on Boost.JSON.
#include "wasabispar/app/caller_api.hpp"

#include "wasabispar/net/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace wasabispar {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameBytes = 128;
/// Longest deadline that a caller may ask for.
constexpr std::uint64_t kMaxDeadlineMs = 600'000;

/// The fields that all requests of callers share.
struct CommonFields
{
  ProfileName mProfile;
  CallerId mCaller;
  std::optional<Duration> mDeadline;
  std::optional<std::string> mTicket;
  std::optional<std::size_t> mLimit;
  /// The field `query` or `body` as JSON text.
  std::string mPayload;
};

boost::leaf::error_id
Malformed(std::string aCause)
{
  return Fail({ Step::ParseRequest, {}, Outcome::NotRun, std::move(aCause) });
}

Result<void>
CheckFields(const json::object& aObject, std::string_view aPayloadField)
{
  for (const auto& field : aObject) {
    const std::string_view key = field.key();
    const bool isKnown = key == "profile" || key == "caller" || key == "deadline_ms" ||
                         (key == "ticket" && aPayloadField == "body") ||
                         (key == "limit" && aPayloadField == "query") ||
                         (!aPayloadField.empty() && key == aPayloadField);
    if (!isKnown) {
      return Malformed("unknown field '" + std::string(key.substr(0, kMaxNameBytes)) +
                       "'");
    }
  }
  return {};
}

Result<CommonFields>
ParseFields(const HttpRequest& aRequest, std::string_view aPayloadField)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aRequest.mBody, Step::ParseRequest, {}));
  BOOST_LEAF_CHECK(CheckFields(object, aPayloadField));
  JsonReader reader(object, Step::ParseRequest, {});
  CommonFields fields;
  fields.mProfile = ProfileName(reader.Text("profile"));
  fields.mCaller = CallerId(reader.Text("caller"));
  const auto deadline = reader.NumberOr("deadline_ms", 0);
  const auto ticket = reader.TextOr("ticket", {});
  const auto limit = reader.NumberOr("limit", 0);
  BOOST_LEAF_CHECK(reader.Status());
  for (const auto* name : { &fields.mProfile.Text(), &fields.mCaller.Text() }) {
    if (name->empty() || name->size() > kMaxNameBytes) {
      return Malformed("'profile' and 'caller' must have 1 to 128 bytes");
    }
  }
  if (object.contains("deadline_ms")) {
    if (deadline == 0 || deadline > kMaxDeadlineMs) {
      return Malformed("'deadline_ms' must be from 1 to 600000");
    }
    fields.mDeadline = std::chrono::milliseconds(deadline);
  }
  if (object.contains("ticket")) {
    fields.mTicket = ticket;
  }
  if (object.contains("limit")) {
    fields.mLimit = limit;
  }
  if (!aPayloadField.empty()) {
    const auto* payload = object.if_contains(aPayloadField);
    if (!payload || !payload->is_object()) {
      return Malformed("field '" + std::string(aPayloadField) + "' must be an object");
    }
    fields.mPayload = json::serialize(*payload);
  }
  return fields;
}

json::array
MissingOf(const Coverage& aCoverage)
{
  json::array missing;
  for (const auto& shard : aCoverage.Missing()) {
    missing.emplace_back(shard.Text());
  }
  return missing;
}

json::object
CoverageOf(const Coverage& aCoverage)
{
  return { { "permille", aCoverage.Ratio().Value() },
           { "answered", aCoverage.Answered() },
           { "total", aCoverage.Total() },
           { "missing", MissingOf(aCoverage) } };
}

json::object
ErrorOf(const Error& aError)
{
  return { { "step", ToText(aError.mStep) },
           { "peer", aError.mPeer },
           { "cause", aError.mCause } };
}

HttpResponse
AnswerResponse(const VmId& aVm, const ProfileName& aProfile, const QueryResult& aResult)
{
  const auto& answer = *aResult.mAnswer;
  json::array hits;
  hits.reserve(answer.mHits.size());
  for (const auto& hit : answer.mHits) {
    hits.push_back(json::object{ { "id", hit.mId }, { "score", hit.mScore } });
  }
  json::object body{ { "request_id", aResult.mRequest.Text() },
                     { "profile", aProfile.Text() },
                     { "snapshot", answer.mVersion.Value() },
                     { "coverage", CoverageOf(answer.mCoverage) },
                     { "partial", answer.mPartial },
                     { "hits", std::move(hits) },
                     { "vm", aVm.Text() } };
  HttpResponse response;
  response.mBody = json::serialize(body);
  response.mHeaders = {
    { "Wasabispar-Coverage", std::to_string(answer.mCoverage.Ratio().Value()) },
    { "Wasabispar-Partial", answer.mPartial ? "true" : "false" },
  };
  return response;
}

HttpResponse
QueryRefusalResponse(const QueryResult& aResult)
{
  const auto& refusal = *aResult.mRefusal;
  json::object body{ { "request_id", aResult.mRequest.Text() },
                     { "outcome", ToText(refusal.mError.mOutcome) },
                     { "error", ErrorOf(refusal.mError) } };
  if (aResult.mAnswer) {
    body["coverage"] = CoverageOf(aResult.mAnswer->mCoverage);
  }
  auto response = RefusalResponse(refusal.mStatus, refusal.mError);
  response.mBody = json::serialize(body);
  return response;
}

HttpResponse
ExecutionResponse(const ExecutionAnswer& aAnswer)
{
  const auto error = aAnswer.AsError();
  if (aAnswer.mEnd != EndCondition::UpstreamAnswered) {
    auto refusal = RefusalResponse(aAnswer.Status(), error);
    refusal.mBody = json::serialize(json::object{ { "outcome", ToText(error.mOutcome) },
                                                  { "covers", ToText(aAnswer.mScope) },
                                                  { "error", ErrorOf(error) } });
    return refusal;
  }
  HttpResponse response;
  response.mBody = "{\"outcome\":\"ran\",\"result\":" +
                   (aAnswer.mBody.empty() ? "null" : aAnswer.mBody) + "}";
  response.mHeaders.push_back({ "Wasabispar-Outcome", "ran" });
  return response;
}

} // namespace

HttpResponse
RefusalResponse(unsigned aStatus, const Error& aError)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = json::serialize(
    json::object{ { "outcome", ToText(aError.mOutcome) }, { "error", ErrorOf(aError) } });
  response.mHeaders.push_back(
    { "Wasabispar-Outcome", std::string(ToText(aError.mOutcome)) });
  return response;
}

HttpResponse
ReadinessResponse(const ReadinessFn& aIsReady)
{
  std::string reason;
  HttpResponse response;
  if (!aIsReady(reason)) {
    response.mStatus = 503;
  }
  response.mBody = json::serialize(
    json::object{ { "ready", response.mStatus == 200 }, { "reason", reason } });
  return response;
}

CallerApi::CallerApi(AppContext& aContext, QueryService& aQueries,
                     ExecutionService& aExecutions, ReadinessFn aIsReady,
                     std::function<bool()> aMayServe)
  : mContext(aContext)
  , mQueries(aQueries)
  , mExecutions(aExecutions)
  , mIsReady(std::move(aIsReady))
  , mMayServe(std::move(aMayServe))
{
}

void
CallerApi::Handle(HttpRequest aRequest, HttpRespondFn aRespond)
{
  const auto path = aRequest.Path();
  if (path == "/healthz") {
    aRespond({});
    return;
  }
  if (path == "/readyz") {
    aRespond(ReadinessResponse(mIsReady));
    return;
  }
  const bool isKnown =
    path == "/v1/query" || path == "/v1/tickets" || path == "/v1/executions";
  if (!isKnown || aRequest.mMethod != "POST") {
    aRespond(RefusalResponse(
      isKnown ? 405 : 404,
      { Step::ParseRequest, {}, Outcome::NotRun, "no such method or path" }));
    return;
  }
  HandleError(
    [&]() -> Result<int> {
      const std::string_view payload = path == "/v1/query"        ? "query"
                                       : path == "/v1/executions" ? "body"
                                                                  : "";
      BOOST_LEAF_AUTO(fields, ParseFields(aRequest, payload));
      // An earlier copy of a request with a ticket may have run, which the router
      // decides without configuration.
      if (!mMayServe() && !fields.mTicket) {
        return Fail({ Step::Configuration, {}, Outcome::NotRun, "this VM is starting" });
      }
      if (path == "/v1/query") {
        mQueries.Run({ fields.mProfile, fields.mCaller, std::move(fields.mPayload),
                       fields.mDeadline, fields.mLimit },
                     [vm = mContext.mSettings.mVm, profile = fields.mProfile,
                      respond = aRespond](QueryResult aResult) {
                       auto response = aResult.mRefusal
                                         ? QueryRefusalResponse(aResult)
                                         : AnswerResponse(vm, profile, aResult);
                       response.mHeaders.push_back(
                         { "Wasabispar-Request-Id", aResult.mRequest.Text() });
                       respond(std::move(response));
                     });
      } else if (path == "/v1/executions") {
        mExecutions.Run({ fields.mProfile, fields.mCaller, fields.mTicket,
                          std::move(fields.mPayload), fields.mDeadline, false },
                        [respond = aRespond](const ExecutionAnswer& aAnswer) {
                          respond(ExecutionResponse(aAnswer));
                        });
      } else {
        const auto issued = mExecutions.Issue(fields.mProfile, fields.mCaller);
        if (!issued.IsIssued()) {
          aRespond(RefusalResponse(issued.mRefusal.Status(), issued.mRefusal.AsError()));
          return 0;
        }
        HttpResponse response;
        response.mBody = json::serialize(
          json::object{ { "ticket", issued.mTicket },
                        { "expires_in_ms", ToMilliseconds(issued.mExpiresIn) } });
        aRespond(std::move(response));
      }
      return 0;
    },
    [&](const Error& aError) {
      aRespond(RefusalResponse(aError.mStep == Step::Configuration ? 503 : 400, aError));
      return 0;
    });
}

} // namespace wasabispar
