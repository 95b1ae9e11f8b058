/// @file
/// @brief Reports of crashed upstreams as JSON.
#include "wasabispar/gateway/crash_report_codec.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>
#include <string_view>

namespace wasabispar {

namespace json = boost::json;

namespace {

constexpr std::string_view kKeyPrefix = "request-crashes/";
constexpr std::size_t kMaxUpstreams = 4;
constexpr int kHexBase = 16;

/// Parses the fingerprint of a key; empty if the key is malformed.
std::optional<RequestFingerprint>
FingerprintIn(std::string_view aKey)
{
  if (!aKey.starts_with(kKeyPrefix)) {
    return std::nullopt;
  }
  aKey.remove_prefix(kKeyPrefix.size());
  const auto digits = aKey.substr(0, aKey.find('/'));
  std::uint64_t value = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), value, kHexBase);
  const bool isNumber = error == std::errc{} && end == digits.data() + digits.size();
  return isNumber ? std::optional(RequestFingerprint(value)) : std::nullopt;
}

/// Decodes `["id", started]`; empty if the value is malformed.
std::optional<UpstreamIncarnation>
DecodeIncarnation(const json::value& aValue)
{
  const auto* pair = aValue.if_array();
  if (!pair || pair->size() != 2 || !pair->at(0).is_string()) {
    return std::nullopt;
  }
  boost::json::error_code error;
  const auto started = pair->at(1).to_number<std::uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return UpstreamIncarnation{ UpstreamId(std::string(pair->at(0).as_string())), started };
}

} // namespace

std::string
CrashReportKey(RequestFingerprint aRequest, const VmId& aVm)
{
  std::array<char, kHexBase> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 aRequest.Value(), kHexBase)
                     .ptr;
  return std::string(kKeyPrefix) + std::string(digits.data(), end) + "/" + aVm.Text();
}

std::string
EncodeCrashReport(const RequestCrashes& aCrashes)
{
  json::array upstreams;
  for (const auto& upstream : aCrashes.mUpstreams) {
    if (upstreams.size() == kMaxUpstreams) {
      break;
    }
    upstreams.push_back(json::array{ upstream.mId.Text(), upstream.mStartedUnixMs });
  }
  return json::serialize(upstreams);
}

std::optional<RequestCrashes>
DecodeCrashReport(const GossipEntry& aEntry)
{
  const auto fingerprint = FingerprintIn(aEntry.mKey);
  boost::json::error_code error;
  const auto value = json::parse(aEntry.mValue, error);
  if (!fingerprint || error || !value.is_array()) {
    return std::nullopt;
  }
  RequestCrashes crashes{ *fingerprint, {} };
  for (const auto& item : value.as_array()) {
    const auto upstream = DecodeIncarnation(item);
    if (!upstream) {
      return std::nullopt;
    }
    crashes.mUpstreams.insert(*upstream);
  }
  return crashes;
}

} // namespace wasabispar
