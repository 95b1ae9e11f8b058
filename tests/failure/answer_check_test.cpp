/// @file
/// @brief Tests of the check of answers: it must reject each kind of untrue answer, or
/// the measurements would report false answers as good ones.
#include "bench/answer_check.hpp"

#include "tests/standins/hit_id.hpp"

#include <boost/json.hpp>

#include <doctest/doctest.h>

#include <functional>

using namespace wasabispar;
using namespace wasabispar::bench;
namespace json = boost::json;

namespace {

const ShardMaps kMaps{ { 1, { "s0", "s1", "s2" } }, { 2, { "s0", "s1" } } };
const ExpectedAnswer kExpected{ "profile", "text", 100 };

json::object
HitOf(std::uint64_t aVersion, const std::string& aShard, const std::string& aText)
{
  return { { "id", standins::HitId{ aVersion, aShard, 0, aText }.Text() },
           { "score", 0.5 } };
}

/// A true answer in which shard s2 is missing.
json::object
TrueBody()
{
  return { { "request_id", "1-1" },
           { "profile", "profile" },
           { "snapshot", 1 },
           { "coverage", json::object{ { "permille", 666 },
                                       { "answered", 2 },
                                       { "total", 3 },
                                       { "missing", json::array{ "s2" } } } },
           { "partial", true },
           { "hits", json::array{ HitOf(1, "s0", "text"), HitOf(1, "s1", "text") } } };
}

HttpResponse
ResponseOf(const json::object& aBody)
{
  HttpResponse response;
  response.mHeaders = { { "Wasabispar-Request-Id", "1-1" },
                        { "Wasabispar-Coverage", "666" } };
  response.mBody = json::serialize(aBody);
  return response;
}

/// The fault that is found after @p aChange was made to the true answer.
std::string
FaultAfter(const std::function<void(json::object&)>& aChange)
{
  auto body = TrueBody();
  aChange(body);
  return CheckAnswer(ResponseOf(body), kExpected, kMaps).mFault;
}

json::array&
Hits(json::object& aBody)
{
  return aBody["hits"].as_array();
}

json::object&
Coverage(json::object& aBody)
{
  return aBody["coverage"].as_object();
}

} // namespace

TEST_CASE("a true answer passes")
{
  const auto verdict = CheckAnswer(ResponseOf(TrueBody()), kExpected, kMaps);
  CHECK(verdict.mFault == "");
  CHECK(verdict.mAnswered);
  CHECK(verdict.mCoverage == 666);
}

TEST_CASE("untrue answers are rejected")
{
  // Guards against a check that passes mixed, foreign, duplicate or mislabelled answers.
  const std::vector<std::function<void(json::object&)>> changes{
    [](json::object& aBody) { Hits(aBody)[0] = HitOf(2, "s0", "text"); },
    [](json::object& aBody) { Hits(aBody)[0] = HitOf(1, "s0", "other"); },
    [](json::object& aBody) { Hits(aBody).push_back(HitOf(1, "s0", "text")); },
    [](json::object& aBody) { Hits(aBody).push_back(HitOf(1, "s2", "text")); },
    [](json::object& aBody) { Hits(aBody).push_back(HitOf(1, "s9", "text")); },
    [](json::object& aBody) { Hits(aBody).pop_back(); },
    [](json::object& aBody) { aBody["snapshot"] = 2; },
    [](json::object& aBody) { aBody["snapshot"] = 7; },
    [](json::object& aBody) { aBody["partial"] = false; },
    [](json::object& aBody) { aBody["profile"] = "other"; },
    [](json::object& aBody) { aBody["request_id"] = "1-2"; },
    [](json::object& aBody) { Coverage(aBody)["permille"] = 1000; },
    [](json::object& aBody) { Coverage(aBody)["answered"] = 3; },
    [](json::object& aBody) { Coverage(aBody)["missing"] = json::array{}; },
    [](json::object& aBody) { Coverage(aBody)["missing"] = json::array{ "s1" }; },
    [](json::object& aBody) { Coverage(aBody)["total"] = 2; },
  };
  for (std::size_t i = 0; i < changes.size(); ++i) {
    CAPTURE(i);
    CHECK(FaultAfter(changes[i]) != "");
  }
}

TEST_CASE("a refusal needs the same outcome in header and body")
{
  // Guards against refusals that do not say whether the request ran.
  auto response = ResponseOf({ { "outcome", "not-run" } });
  response.mStatus = 503;
  CHECK(CheckAnswer(response, kExpected, kMaps).mFault != "");
  response.mHeaders.push_back({ "Wasabispar-Outcome", "not-run" });
  const auto verdict = CheckAnswer(response, kExpected, kMaps);
  CHECK(verdict.mFault == "");
  CHECK(verdict.mOutcome == "not-run");
}
