/// @file
/// @brief Reports of requests that crash upstreams as text.
#include "wasabispar/gateway/crash_report_codec.hpp"

#include <array>
#include <charconv>
#include <cstddef>
#include <string_view>
#include <vector>

namespace wasabispar {

namespace {

constexpr std::string_view kKeyPrefix = "request-crashes/";
constexpr char kKeySeparator = '/';
/// Fields of a key, the prefix included.
constexpr std::size_t kKeyFields = 4;
constexpr int kHexBase = 16;
constexpr int kDecimalBase = 10;
/// Digits of a 64-bit number.
constexpr std::size_t kMaxHexDigits = 16;
/// Crashes in a report. With them, a value fits into GossipStoreOptions::mMaxValueBytes.
constexpr std::size_t kMaxCrashes = 12;
/// Services in a report whose upstreams crashed in the same moment.
constexpr std::size_t kMaxServices = 3;
constexpr char kCrashSeparator = ',';
constexpr char kFieldSeparator = ':';
constexpr char kCompletionSeparator = ';';

/// Parses the whole text as a number; empty if it is none.
template<class Number>
std::optional<Number>
ParseNumber(std::string_view aText, int aBase)
{
  Number number = 0;
  const auto* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number, aBase);
  return error == std::errc{} && end == last ? std::optional(number) : std::nullopt;
}

std::string
ToHex(std::uint64_t aNumber)
{
  std::array<char, kMaxHexDigits> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber, kHexBase).ptr;
  return { digits.data(), end };
}

std::vector<std::string_view>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> items;
  while (true) {
    const auto end = aText.find(aSeparator);
    items.push_back(aText.substr(0, end));
    if (end == std::string_view::npos) {
      return items;
    }
    aText.remove_prefix(end + 1);
  }
}

std::string
EncodeAge(TimePoint aTime, TimePoint aNow)
{
  return kFieldSeparator + std::to_string(ToMilliseconds(aNow - aTime));
}

/// The time @p aAge, in milliseconds, before @p aPublishedAt.
std::optional<TimePoint>
DecodeAge(std::string_view aAge, TimePoint aPublishedAt)
{
  const auto age = ParseNumber<std::uint32_t>(aAge, kDecimalBase);
  return age ? std::optional(aPublishedAt - std::chrono::milliseconds(*age))
             : std::nullopt;
}

std::optional<RequestCrash>
DecodeCrash(std::string_view aText, TimePoint aPublishedAt)
{
  const auto fields = Split(aText, kFieldSeparator);
  if (fields.size() != 3) {
    return std::nullopt;
  }
  const auto service = ParseNumber<std::uint64_t>(fields[0], kHexBase);
  const auto sentAt = DecodeAge(fields[1], aPublishedAt);
  const auto lostAt = DecodeAge(fields[2], aPublishedAt);
  if (!service || !sentAt || !lostAt || *lostAt < *sentAt) {
    return std::nullopt;
  }
  return RequestCrash{ ServiceFingerprint(*service), *sentAt, *lostAt };
}

std::optional<RequestCrashes>
DecodeCrashes(std::string_view aText, TimePoint aPublishedAt)
{
  RequestCrashes crashes;
  if (aText.empty()) {
    return crashes;
  }
  for (const auto item : Split(aText, kCrashSeparator)) {
    const auto crash = DecodeCrash(item, aPublishedAt);
    if (!crash || crashes.size() == kMaxCrashes) {
      return std::nullopt;
    }
    crashes.push_back(*crash);
  }
  return crashes;
}

std::optional<RequestCompletion>
DecodeCompletion(std::string_view aText, TimePoint aPublishedAt)
{
  const auto fields = Split(aText, kFieldSeparator);
  if (fields.size() != 2) {
    return std::nullopt;
  }
  const auto service = ParseNumber<std::uint64_t>(fields[0], kHexBase);
  const auto at = DecodeAge(fields[1], aPublishedAt);
  return service && at
           ? std::optional(RequestCompletion{ ServiceFingerprint(*service), *at })
           : std::nullopt;
}

/// When an entry with this time to live was published.
TimePoint
PublishedAt(std::uint32_t aTtlMs, TimePoint aNow)
{
  const Duration age = kCrashReportTtl - std::chrono::milliseconds(aTtlMs);
  return aNow - std::max(age, Duration::zero());
}

} // namespace

std::string
CrashReportKey(RequestFingerprint aRequest, const CrashReporter& aReporter)
{
  return std::string(kKeyPrefix) + ToHex(aRequest.Value()) + kKeySeparator +
         aReporter.mVm.Text() + kKeySeparator + ToHex(aReporter.mIncarnation.Value());
}

CrashReporter
CrashReporterOf(const GossipEntry& aEntry)
{
  const auto fields = Split(aEntry.mKey, kKeySeparator);
  const auto incarnation = fields.size() == kKeyFields
                             ? ParseNumber<std::uint64_t>(fields.back(), kHexBase)
                             : std::nullopt;
  return { aEntry.mOrigin, Incarnation(incarnation.value_or(0)) };
}

std::string
EncodeCrashReport(const RequestCrashReport& aReport, TimePoint aNow)
{
  const auto crashes = CompactCrashes(aReport.mCrashes, kMaxServices);
  std::string text;
  for (auto i = crashes.size() - std::min(crashes.size(), kMaxCrashes);
       i < crashes.size(); ++i) {
    text += text.empty() ? "" : std::string(1, kCrashSeparator);
    text += ToHex(crashes[i].mService.Value());
    text += EncodeAge(crashes[i].mSentAt, aNow) + EncodeAge(crashes[i].mLostAt, aNow);
  }
  text += kCompletionSeparator;
  if (aReport.mCompletion) {
    text += ToHex(aReport.mCompletion->mService.Value()) +
            EncodeAge(aReport.mCompletion->mAt, aNow);
  }
  return text;
}

std::optional<RequestCrashReport>
DecodeCrashReport(const GossipEntry& aEntry, TimePoint aNow)
{
  std::string_view key = aEntry.mKey;
  if (!key.starts_with(kKeyPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kKeyPrefix.size());
  const auto request =
    ParseNumber<std::uint64_t>(key.substr(0, key.find(kKeySeparator)), kHexBase);
  const auto parts = Split(aEntry.mValue, kCompletionSeparator);
  if (!request || parts.size() != 2) {
    return std::nullopt;
  }
  const auto publishedAt = PublishedAt(aEntry.mTtlMs, aNow);
  auto crashes = DecodeCrashes(parts[0], publishedAt);
  const auto completion = DecodeCompletion(parts[1], publishedAt);
  if (!crashes || (!completion && !parts[1].empty())) {
    return std::nullopt;
  }
  return RequestCrashReport{ RequestFingerprint(*request), std::move(*crashes),
                             completion };
}

} // namespace wasabispar
