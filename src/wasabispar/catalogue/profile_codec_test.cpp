/// @file
/// @brief Tests of parsing, validating and serializing profile documents.
#include "wasabispar/catalogue/profile_codec.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace wasabispar;

namespace {

/// The cause for which the document @p aJson is rejected; empty if it is accepted.
std::string
Rejection(const std::string& aJson, const std::string& aName = "fit")
{
  return HandleError(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(ParseProfile(ProfileName(aName), aJson));
      return std::string();
    },
    [](const Error& aError) { return aError.mCause; });
}

/// The cause for which a document with an index and @p aFields is rejected.
std::string
RejectionOf(const std::string& aFields)
{
  return Rejection(R"({"index":"x",)" + aFields + "}");
}

Permille
AnyPermille(std::uint32_t aMin, std::uint32_t aMax)
{
  return Permille(*rc::gen::inRange<std::uint32_t>(aMin, aMax + 1));
}

Profile
AnyProfile()
{
  Profile profile;
  profile.mName = ProfileName("p");
  profile.mIndex = IndexName("index-" + std::to_string(*rc::gen::inRange(0, 9)));
  profile.mKind = *rc::gen::element(ProfileKind::Interactive, ProfileKind::Scheduled);
  profile.mState = *rc::gen::element(ProfileState::Active, ProfileState::Retired);
  profile.mDeadline = std::chrono::milliseconds(*rc::gen::inRange(1, 600001));
  const auto target = std::min<std::int64_t>(60000, ToMilliseconds(profile.mDeadline));
  profile.mLatencyTarget =
    std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(1, target + 1));
  profile.mWantedCoverage = AnyPermille(1, 1000);
  profile.mMinimumCoverage = AnyPermille(0, profile.mWantedCoverage.Value());
  profile.mPartialPolicy =
    *rc::gen::element(PartialPolicy::AnswerAtTarget, PartialPolicy::WaitForCoverage);
  profile.mHedgePercentile = *rc::gen::inRange(50u, 100u);
  profile.mExtraLoad = AnyPermille(0, 1000);
  profile.mHedging = profile.mExtraLoad != Permille(0) && *rc::gen::arbitrary<bool>();
  profile.mSloLatency = AnyPermille(0, 999);
  profile.mSloCoverage = AnyPermille(0, 999);
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    profile.mAllowedCallers.emplace_back("caller-" + std::to_string(10 - i));
  }
  std::sort(profile.mAllowedCallers.begin(), profile.mAllowedCallers.end());
  return profile;
}

} // namespace

TEST_CASE("parsing a serialized profile returns an equal profile")
{
  // Guards against a field that is serialized but not parsed, or parsed but not
  // serialized.
  CHECK(rc::check([] {
    const auto profile = AnyProfile();
    const auto parsed =
      HandleError([&] { return ParseProfile(profile.mName, SerializeProfile(profile)); },
                  [](const Error& aError) -> Profile {
                    RC_FAIL(ToText(aError));
                    return {};
                  });
    RC_ASSERT(parsed == profile);
  }));
}

TEST_CASE("an invalid document is rejected with the name of the field")
{
  // Guards against a document that is accepted in part, and against an error without the
  // place of the fault.
  const std::pair<std::string, std::string> cases[] = {
    { R"("deadline":5)", "deadline: unknown field" },
    { R"("deadline_ms":"5")", "deadline_ms: must be an integer from 1 to 600000" },
    { R"("deadline_ms":0)", "deadline_ms: must be an integer from 1 to 600000" },
    { R"("deadline_ms":18446744073709551615)",
      "deadline_ms: must be an integer from 1 to 600000" },
    { R"("deadline_ms":1e2)", "deadline_ms: must be an integer from 1 to 600000" },
    { R"("deadline_ms":5,"deadline_ms":6)", "deadline_ms: duplicate field, line 1" },
    { R"("deadline_ms":50,"latency_target_ms":51)",
      "latency_target_ms: must not exceed deadline_ms" },
    { R"("latency_target_ms":60001)",
      "latency_target_ms: must be an integer from 1 to 60000" },
    { R"("wanted_coverage_permille":1001)",
      "wanted_coverage_permille: must be an integer from 1 to 1000" },
    { R"("wanted_coverage_permille":900,"minimum_coverage_permille":901)",
      "minimum_coverage_permille: must not exceed wanted_coverage_permille" },
    { R"("partial_policy":"maybe")",
      "partial_policy: must be one of answer_at_target wait_for_coverage" },
    { R"("hedging":1)", "hedging: must be true or false" },
    { R"("hedge_percentile":49)", "hedge_percentile: must be an integer from 50 to 99" },
    { R"("extra_load_permille":0)",
      "hedging: must be false when extra_load_permille is 0" },
    { R"("operation":"execute","hedging":true)",
      "hedging: must be false when operation is execute" },
    { R"("operation":"execute","minimum_coverage_permille":1)",
      "minimum_coverage_permille: must be 1000 when operation is execute" },
    { R"("allowed_callers":["a","a"])", "allowed_callers: duplicate entry a" },
    { R"("allowed_callers":[""])",
      "allowed_callers: each entry must be 1 to 128 of A-Z a-z 0-9 . _ -" },
    { R"("slo_latency_permille":1000)",
      "slo_latency_permille: must be an integer from 0 to 999" },
  };
  for (const auto& [fields, cause] : cases) {
    CHECK(RejectionOf(fields) == cause);
  }
  CHECK(Rejection("{}") == "index: is required");
  CHECK(Rejection("[]") == "document: must be a JSON object");
  CHECK(Rejection(R"({"index":"x"})", "a/b").starts_with("name: "));
}

TEST_CASE("malformed JSON is rejected with the line of the error")
{
  CHECK(Rejection("{\n\"index\":\"x\",\n\"hedging\" true}").starts_with("line 3: "));
  CHECK(Rejection("{\"index\":\"x\"").starts_with("line 1: "));
  CHECK(Rejection("{\"index\":\"x\"} {").starts_with("line 1: "));
  CHECK(Rejection("").starts_with("line 1: "));
  // A key with escape sequences is the same key as one without.
  CHECK(Rejection("{\"index\":\"x\",\n\"inde\\u0078\":\"y\"}") ==
        "index: duplicate field, line 2");
}

TEST_CASE("a document above 1 MB is rejected before it is parsed")
{
  const std::string padding(kMaxProfileDocumentBytes, ' ');
  CHECK(Rejection(padding + R"({"index":"x"})") == "document: is larger than 1 MB");
  CHECK(Rejection(padding.substr(20) + R"({"index":"x"})").empty());
}

TEST_CASE("arbitrary bytes never crash the parser")
{
  CHECK(rc::check([](const std::string& aBytes) { Rejection(aBytes); }));
  CHECK(rc::check([](const std::string& aBytes) { RejectionOf("\"kind\":" + aBytes); }));
}

TEST_CASE("an execution profile gets the only valid coverage and hedging by default")
{
  const auto profile = HandleError(
    [] {
      return ParseProfile(ProfileName("p"), R"({"index":"x","operation":"execute"})");
    },
    [](const Error&) { return Profile{}; });
  CHECK_FALSE(profile.mHedging);
  CHECK(profile.mMinimumCoverage == Permille(1000));
  CHECK(Rejection(SerializeProfile(profile)).empty());
}
