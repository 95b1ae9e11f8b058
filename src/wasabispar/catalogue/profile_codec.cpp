/// @file
/// @brief Parsing, validation and serialization of profile documents.
#include "wasabispar/catalogue/profile_codec.hpp"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <set>

namespace wasabispar {
namespace {

namespace json = boost::json;

/// Fails with the cause `<field>: <cause>`; ParseProfile() adds the key of the platform.
boost::leaf::error_id
Invalid(std::string_view aField, std::string_view aCause)
{
  return Fail(Error{ Step::Configuration,
                     {},
                     Outcome::NotRun,
                     std::string(aField) + ": " + std::string(aCause) });
}

/// Parser handler that finds duplicate keys in the outermost object. Boost.JSON's own
/// parser silently keeps the last of several equal keys.
struct DuplicateKeyHandler
{
  // Names and constants required by basic_parser.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = kMaxProfileDocumentBytes;
  static constexpr std::size_t max_array_size = kMaxProfileDocumentBytes;
  static constexpr std::size_t max_key_size = kMaxProfileDocumentBytes;
  static constexpr std::size_t max_string_size = kMaxProfileDocumentBytes;
  using ErrorCode = boost::system::error_code;

  bool on_document_begin(ErrorCode&) { return true; }
  bool on_document_end(ErrorCode&) { return true; }
  bool on_object_begin(ErrorCode&) { return EnterContainer(); }
  bool on_object_end(std::size_t, ErrorCode&) { return LeaveContainer(); }
  bool on_array_begin(ErrorCode&) { return EnterContainer(); }
  bool on_array_end(std::size_t, ErrorCode&) { return LeaveContainer(); }
  bool on_key_part(json::string_view aPart, std::size_t, ErrorCode&)
  {
    mKey.append(aPart.data(), aPart.size());
    return true;
  }
  bool on_key(json::string_view aPart, std::size_t, ErrorCode& aError)
  {
    mKey.append(aPart.data(), aPart.size());
    if (mDepth == 1 && !mKeys.insert(mKey).second) {
      mDuplicate = mKey;
      aError = json::make_error_code(json::error::syntax);
      return false;
    }
    mKey.clear();
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, ErrorCode&) { return true; }
  bool on_string(json::string_view, std::size_t, ErrorCode&) { return true; }
  bool on_number_part(json::string_view, ErrorCode&) { return true; }
  bool on_int64(std::int64_t, json::string_view, ErrorCode&) { return true; }
  bool on_uint64(std::uint64_t, json::string_view, ErrorCode&) { return true; }
  bool on_double(double, json::string_view, ErrorCode&) { return true; }
  bool on_bool(bool, ErrorCode&) { return true; }
  bool on_null(ErrorCode&) { return true; }
  bool on_comment_part(json::string_view, ErrorCode&) { return true; }
  bool on_comment(json::string_view, ErrorCode&) { return true; }
  // NOLINTEND(readability-identifier-naming)

  bool EnterContainer()
  {
    ++mDepth;
    return true;
  }
  bool LeaveContainer()
  {
    --mDepth;
    return true;
  }

  /// Number of open objects and arrays.
  int mDepth = 0;
  /// The part of the current key that was parsed so far.
  std::string mKey;
  /// Keys of the outermost object.
  std::set<std::string> mKeys;
  /// The first duplicate key; empty if there is none.
  std::string mDuplicate;
};

/// Parses a JSON object; fails if a key of it occurs twice.
Result<json::object>
ParseObject(std::string_view aJson)
{
  json::basic_parser<DuplicateKeyHandler> parser{ json::parse_options{} };
  boost::system::error_code error;
  const auto consumed = parser.write_some(false, aJson.data(), aJson.size(), error);
  const auto end = aJson.begin() + static_cast<std::ptrdiff_t>(consumed);
  const auto line = "line " + std::to_string(1 + std::count(aJson.begin(), end, '\n'));
  if (!parser.handler().mDuplicate.empty()) {
    return Invalid(parser.handler().mDuplicate, "duplicate field, " + line);
  }
  if (!error && consumed < aJson.size()) {
    error = json::make_error_code(json::error::extra_data);
  }
  if (error) {
    return Invalid(line, error.message());
  }
  auto value = json::parse(aJson, error);
  if (error || !value.is_object()) {
    return Invalid("document", "must be a JSON object");
  }
  return std::move(value.get_object());
}

bool
IsValidName(std::string_view aText)
{
  const auto allowed = [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
           (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_' || aChar == '.';
  };
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), allowed);
}

constexpr std::string_view kNameRule = "must be 1 to 128 of A-Z a-z 0-9 . _ -";

/// Reads and validates the fields of a document. Each function leaves its target
/// unchanged if the field is absent.
class FieldReader
{
public:
  explicit FieldReader(json::object aObject)
    : mObject(std::move(aObject))
  {
  }

  bool Has(std::string_view aField) const { return mObject.contains(aField); }

  Result<void> Number(std::string_view aField, std::int64_t aMin, std::int64_t aMax,
                      std::int64_t& aTarget)
  {
    const auto* value = Take(aField);
    if (value == nullptr) {
      return {};
    }
    const auto range =
      "must be an integer from " + std::to_string(aMin) + " to " + std::to_string(aMax);
    // Boost.JSON parses a number above the range of int64 as uint64, which is out of
    // range.
    if (!value->is_int64() || value->get_int64() < aMin || value->get_int64() > aMax) {
      return Invalid(aField, range);
    }
    aTarget = value->get_int64();
    return {};
  }

  Result<void> Milliseconds(std::string_view aField, std::int64_t aMax, Duration& aTarget)
  {
    std::int64_t number = ToMilliseconds(aTarget);
    BOOST_LEAF_CHECK(Number(aField, 1, aMax, number));
    aTarget = std::chrono::milliseconds(number);
    return {};
  }

  Result<void> Fraction(std::string_view aField, std::int64_t aMin, std::int64_t aMax,
                        Permille& aTarget)
  {
    std::int64_t number = aTarget.Value();
    BOOST_LEAF_CHECK(Number(aField, aMin, aMax, number));
    aTarget = Permille(static_cast<std::uint32_t>(number));
    return {};
  }

  Result<void> Boolean(std::string_view aField, bool& aTarget)
  {
    const auto* value = Take(aField);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_bool()) {
      return Invalid(aField, "must be true or false");
    }
    aTarget = value->get_bool();
    return {};
  }

  template<class Enum>
  Result<void> OneOf(std::string_view aField, std::initializer_list<Enum> aChoices,
                     Enum& aTarget)
  {
    const auto* value = Take(aField);
    if (value == nullptr) {
      return {};
    }
    std::string rule = "must be one of";
    for (const auto choice : aChoices) {
      if (value->is_string() && std::string_view(value->get_string()) == ToText(choice)) {
        aTarget = choice;
        return {};
      }
      rule += " " + std::string(ToText(choice));
    }
    return Invalid(aField, rule);
  }

  Result<void> Index(std::string_view aField, IndexName& aTarget)
  {
    const auto* value = Take(aField);
    if (value == nullptr) {
      return Invalid(aField, "is required");
    }
    if (!value->is_string() || !IsValidName(value->get_string())) {
      return Invalid(aField, kNameRule);
    }
    aTarget = IndexName(std::string(value->get_string()));
    return {};
  }

  Result<void> Callers(std::string_view aField, std::vector<CallerId>& aTarget)
  {
    const auto* value = Take(aField);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_array() || value->get_array().size() > kMaxAllowedCallers) {
      return Invalid(aField, "must be a list of at most 10000 caller names");
    }
    for (const auto& caller : value->get_array()) {
      if (!caller.is_string() || !IsValidName(caller.get_string())) {
        return Invalid(aField, std::string("each entry ") + std::string(kNameRule));
      }
      aTarget.emplace_back(std::string(caller.get_string()));
    }
    std::sort(aTarget.begin(), aTarget.end());
    const auto duplicate = std::adjacent_find(aTarget.begin(), aTarget.end());
    if (duplicate != aTarget.end()) {
      return Invalid(aField, "duplicate entry " + duplicate->Text());
    }
    return {};
  }

  /// Fails if the document has a field that was not read.
  Result<void> Finish() const
  {
    for (const auto& field : mObject) {
      if (mRead.count(std::string(field.key())) == 0) {
        // An unknown name may be of any length. It is shortened, as the error is
        // displayed and stored.
        const auto name = std::string(field.key()).substr(0, kMaxNameBytes);
        return Invalid(name, "unknown field");
      }
    }
    return {};
  }

private:
  /// Marks the field as read and returns its value, or null if it is absent.
  const json::value* Take(std::string_view aField)
  {
    mRead.emplace(aField);
    return mObject.if_contains(aField);
  }

  json::object mObject;
  /// Names of the fields that were read.
  std::set<std::string, std::less<>> mRead;
};

constexpr std::int64_t kMaxLatencyTargetMs = 60 * 1000;
constexpr std::int64_t kMaxDeadlineMs = 10 * 60 * 1000;

/// An execution is sent to one upstream and is never retried, so its coverage and hedging
/// settings have only one valid value.
void
SetExecutionDefaults(Profile& aProfile)
{
  aProfile.mMinimumCoverage = Permille(1000);
  aProfile.mPartialPolicy = PartialPolicy::WaitForCoverage;
  aProfile.mHedging = false;
}

Result<void>
CheckExecution(const Profile& aProfile)
{
  if (aProfile.mWantedCoverage != Permille(1000)) {
    return Invalid("wanted_coverage_permille", "must be 1000 when operation is execute");
  }
  if (aProfile.mMinimumCoverage != Permille(1000)) {
    return Invalid("minimum_coverage_permille", "must be 1000 when operation is execute");
  }
  if (aProfile.mPartialPolicy != PartialPolicy::WaitForCoverage) {
    return Invalid("partial_policy",
                   "must be wait_for_coverage when operation is execute");
  }
  if (aProfile.mHedging) {
    return Invalid("hedging", "must be false when operation is execute");
  }
  return {};
}

Result<void>
CheckRules(const Profile& aProfile)
{
  if (aProfile.mLatencyTarget > aProfile.mDeadline) {
    return Invalid("latency_target_ms", "must not exceed deadline_ms");
  }
  if (aProfile.mMinimumCoverage > aProfile.mWantedCoverage) {
    return Invalid("minimum_coverage_permille",
                   "must not exceed wanted_coverage_permille");
  }
  if (aProfile.mOperation == Operation::Execute) {
    return CheckExecution(aProfile);
  }
  if (aProfile.mHedging && aProfile.mExtraLoad == Permille(0)) {
    return Invalid("hedging", "must be false when extra_load_permille is 0");
  }
  return {};
}

Result<Profile>
ReadProfile(const ProfileName& aName, std::string_view aJson)
{
  if (!IsValidName(aName.Text())) {
    return Invalid("name", kNameRule);
  }
  if (aJson.size() > kMaxProfileDocumentBytes) {
    return Invalid("document", "is larger than 1 MB");
  }
  BOOST_LEAF_AUTO(object, ParseObject(aJson));
  FieldReader reader(std::move(object));
  Profile profile;
  profile.mName = aName;
  BOOST_LEAF_CHECK(reader.Index("index", profile.mIndex));
  BOOST_LEAF_CHECK(reader.OneOf(
    "kind", { ProfileKind::Interactive, ProfileKind::Scheduled }, profile.mKind));
  BOOST_LEAF_CHECK(reader.OneOf("state", { ProfileState::Active, ProfileState::Retired },
                                profile.mState));
  BOOST_LEAF_CHECK(reader.OneOf("operation", { Operation::Search, Operation::Execute },
                                profile.mOperation));
  if (profile.mOperation == Operation::Execute) {
    SetExecutionDefaults(profile);
  }
  BOOST_LEAF_CHECK(reader.Milliseconds("deadline_ms", kMaxDeadlineMs, profile.mDeadline));
  // The default latency target is reduced to a shorter deadline. An explicit target must
  // not exceed the deadline.
  profile.mLatencyTarget = std::min(profile.mLatencyTarget, profile.mDeadline);
  BOOST_LEAF_CHECK(reader.Milliseconds("latency_target_ms", kMaxLatencyTargetMs,
                                       profile.mLatencyTarget));
  BOOST_LEAF_CHECK(
    reader.Fraction("wanted_coverage_permille", 1, 1000, profile.mWantedCoverage));
  BOOST_LEAF_CHECK(
    reader.Fraction("minimum_coverage_permille", 0, 1000, profile.mMinimumCoverage));
  BOOST_LEAF_CHECK(reader.OneOf(
    "partial_policy", { PartialPolicy::AnswerAtTarget, PartialPolicy::WaitForCoverage },
    profile.mPartialPolicy));
  BOOST_LEAF_CHECK(reader.Boolean("hedging", profile.mHedging));
  std::int64_t percentile = profile.mHedgePercentile;
  BOOST_LEAF_CHECK(reader.Number("hedge_percentile", 50, 99, percentile));
  profile.mHedgePercentile = static_cast<unsigned>(percentile);
  BOOST_LEAF_CHECK(reader.Fraction("extra_load_permille", 0, 1000, profile.mExtraLoad));
  BOOST_LEAF_CHECK(reader.Callers("allowed_callers", profile.mAllowedCallers));
  BOOST_LEAF_CHECK(reader.Fraction("slo_latency_permille", 0, 999, profile.mSloLatency));
  BOOST_LEAF_CHECK(
    reader.Fraction("slo_coverage_permille", 0, 999, profile.mSloCoverage));
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_CHECK(CheckRules(profile));
  return profile;
}

} // namespace

Result<Profile>
ParseProfile(const ProfileName& aName, std::string_view aJson)
{
  std::optional<Error> failure;
  auto profile = HandleError([&] { return ReadProfile(aName, aJson); },
                             [&](const Error& aError) {
                               failure = aError;
                               return Profile{};
                             });
  if (failure) {
    failure->mPeer = "profiles/" + aName.Text().substr(0, kMaxNameBytes);
    return Fail(std::move(*failure));
  }
  return profile;
}

std::string
SerializeProfile(const Profile& aProfile)
{
  json::array callers;
  for (const auto& caller : aProfile.mAllowedCallers) {
    callers.emplace_back(caller.Text());
  }
  json::object object;
  object["index"] = aProfile.mIndex.Text();
  object["kind"] = ToText(aProfile.mKind);
  object["state"] = ToText(aProfile.mState);
  object["operation"] = ToText(aProfile.mOperation);
  object["latency_target_ms"] = ToMilliseconds(aProfile.mLatencyTarget);
  object["deadline_ms"] = ToMilliseconds(aProfile.mDeadline);
  object["wanted_coverage_permille"] = aProfile.mWantedCoverage.Value();
  object["minimum_coverage_permille"] = aProfile.mMinimumCoverage.Value();
  object["partial_policy"] = ToText(aProfile.mPartialPolicy);
  object["hedging"] = aProfile.mHedging;
  object["hedge_percentile"] = aProfile.mHedgePercentile;
  object["extra_load_permille"] = aProfile.mExtraLoad.Value();
  object["allowed_callers"] = std::move(callers);
  object["slo_latency_permille"] = aProfile.mSloLatency.Value();
  object["slo_coverage_permille"] = aProfile.mSloCoverage.Value();
  return json::serialize(object);
}

} // namespace wasabispar
