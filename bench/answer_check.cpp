/// @file
/// @brief Implements the check of answers.
#include "bench/answer_check.hpp"

#include "tests/standins/hit_id.hpp"
#include "tests/standins/json_read.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <optional>

namespace wasabispar::bench {

namespace json = boost::json;
using standins::HitId;
using standins::ReadNumber;
using standins::ReadText;

namespace {

/// The parts of the body that the check needs.
struct Answer
{
  std::uint64_t mVersion = 0;
  std::uint64_t mPermille = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mTotal = 0;
  std::set<std::string> mMissing;
  bool mPartial = false;
  std::set<std::string> mShown;
};

std::optional<std::uint64_t>
ReadVersion(const json::object& aBody)
{
  if (const auto number = ReadNumber(aBody, "snapshot")) {
    return number;
  }
  const auto text = ReadText(aBody, "snapshot");
  if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(text);
}

std::string
ReadCoverage(const json::object& aBody, Answer& aAnswer)
{
  const auto* coverage = aBody.if_contains("coverage");
  if (coverage == nullptr || !coverage->is_object()) {
    return "no coverage";
  }
  const auto& object = coverage->get_object();
  const auto permille = ReadNumber(object, "permille");
  const auto answered = ReadNumber(object, "answered");
  const auto total = ReadNumber(object, "total");
  const auto* missing = object.if_contains("missing");
  if (!permille || !answered || !total || missing == nullptr || !missing->is_array()) {
    return "coverage is incomplete";
  }
  aAnswer.mPermille = *permille;
  aAnswer.mAnswered = *answered;
  aAnswer.mTotal = *total;
  for (const auto& shard : missing->get_array()) {
    aAnswer.mMissing.emplace(shard.as_string());
  }
  return {};
}

std::string
ReadHits(const json::object& aBody, const ExpectedAnswer& aExpected, Answer& aAnswer)
{
  const auto* hits = aBody.if_contains("hits");
  if (hits == nullptr || !hits->is_array()) {
    return "no hits";
  }
  std::set<std::string> seen;
  for (const auto& hit : hits->get_array()) {
    const auto text = hit.is_object() ? ReadText(hit.get_object(), "id") : std::string();
    const auto id = HitId::Parse(text);
    if (!id) {
      return "malformed hit " + text;
    }
    if (id->mVersion != aAnswer.mVersion) {
      return "mixed: hit " + text + " at version " + std::to_string(aAnswer.mVersion);
    }
    if (id->mQuery != aExpected.mText) {
      return "foreign: hit " + text + " for query " + aExpected.mText;
    }
    if (!seen.insert(text).second) {
      return "duplicate hit " + text;
    }
    aAnswer.mShown.insert(id->mShard);
  }
  return {};
}

std::string
CompareWithMap(const Answer& aAnswer, const std::set<std::string>& aMap)
{
  if (aAnswer.mTotal != aMap.size()) {
    return "total is " + std::to_string(aAnswer.mTotal) + ", the map has " +
           std::to_string(aMap.size()) + " shards";
  }
  if (aAnswer.mAnswered + aAnswer.mMissing.size() != aAnswer.mTotal) {
    return "answered and missing do not add up to the total";
  }
  if (aAnswer.mPermille != aAnswer.mAnswered * 1000 / aAnswer.mTotal) {
    return "permille does not follow from answered and total";
  }
  for (const auto& shard : aAnswer.mMissing) {
    if (!aMap.contains(shard)) {
      return "missing shard " + shard + " is not in the map";
    }
    if (aAnswer.mShown.contains(shard)) {
      return "missing shard " + shard + " has a hit";
    }
  }
  for (const auto& shard : aAnswer.mShown) {
    if (!aMap.contains(shard)) {
      return "hit of shard " + shard + ", which is not in the map";
    }
  }
  return {};
}

std::string
CheckBody(const json::object& aBody, const HttpResponse& aResponse,
          const ExpectedAnswer& aExpected, const ShardMaps& aMaps, Answer& aAnswer)
{
  const auto version = ReadVersion(aBody);
  if (!version || !aMaps.contains(*version)) {
    return "unknown snapshot";
  }
  aAnswer.mVersion = *version;
  if (auto fault = ReadCoverage(aBody, aAnswer); !fault.empty()) {
    return fault;
  }
  if (auto fault = ReadHits(aBody, aExpected, aAnswer); !fault.empty()) {
    return fault;
  }
  if (auto fault = CompareWithMap(aAnswer, aMaps.at(*version)); !fault.empty()) {
    return fault;
  }
  const auto shown = std::min<std::uint64_t>(aAnswer.mAnswered, aExpected.mHitLimit);
  if (aAnswer.mShown.size() != shown) {
    return "coverage reports " + std::to_string(aAnswer.mAnswered) +
           " shards, the hits show " + std::to_string(aAnswer.mShown.size());
  }
  if (aResponse.Header("Wasabispar-Coverage") != std::to_string(aAnswer.mPermille)) {
    return "coverage differs between header and body";
  }
  const auto requestId = ReadText(aBody, "request_id");
  if (requestId.empty() || aResponse.Header("Wasabispar-Request-Id") != requestId) {
    return "request id differs between header and body";
  }
  if (ReadText(aBody, "profile") != aExpected.mProfile) {
    return "answer for another profile";
  }
  const auto* partial = aBody.if_contains("partial");
  if (partial == nullptr || !partial->is_bool() ||
      (aAnswer.mPermille < 1000) != partial->get_bool()) {
    return "partial does not follow from the coverage";
  }
  return {};
}

} // namespace

AnswerVerdict
CheckAnswer(const HttpResponse& aResponse, const ExpectedAnswer& aExpected,
            const ShardMaps& aMaps)
{
  AnswerVerdict verdict;
  const auto body = standins::ParseObject(aResponse.mBody);
  if (!body) {
    verdict.mFault = "body is not a JSON object";
    return verdict;
  }
  if (aResponse.mStatus != 200) {
    verdict.mOutcome = ReadText(*body, "outcome");
    if (verdict.mOutcome.empty() ||
        aResponse.Header("Wasabispar-Outcome") != verdict.mOutcome) {
      verdict.mFault = "refusal without the same outcome in header and body";
    }
    return verdict;
  }
  Answer answer;
  verdict.mAnswered = true;
  verdict.mFault = CheckBody(*body, aResponse, aExpected, aMaps, answer);
  verdict.mCoverage = static_cast<std::uint32_t>(answer.mPermille);
  verdict.mShards = answer.mTotal;
  return verdict;
}

} // namespace wasabispar::bench
