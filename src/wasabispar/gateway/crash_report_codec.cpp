/// @file
/// @brief Reports of requests that crash upstreams as text.
#include "wasabispar/gateway/crash_report_codec.hpp"

#include <array>
#include <charconv>
#include <string_view>

namespace wasabispar {

namespace {

constexpr std::string_view kKeyPrefix = "request-crashes/";
constexpr int kHexBase = 16;
/// Digits of a 64-bit number.
constexpr std::size_t kMaxHexDigits = 16;

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

} // namespace

std::string
CrashReportKey(RequestFingerprint aRequest, const VmId& aVm)
{
  std::array<char, kMaxHexDigits> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 aRequest.Value(), kHexBase)
                     .ptr;
  return std::string(kKeyPrefix) + std::string(digits.data(), end) + "/" + aVm.Text();
}

std::string
EncodeCrashReport(const RequestCrashes& aCrashes)
{
  return std::to_string(aCrashes.mSuccessiveCrashes);
}

std::optional<RequestCrashes>
DecodeCrashReport(const GossipEntry& aEntry)
{
  constexpr int kDecimalBase = 10;
  std::string_view key = aEntry.mKey;
  if (!key.starts_with(kKeyPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kKeyPrefix.size());
  const auto request = ParseNumber<std::uint64_t>(key.substr(0, key.find('/')), kHexBase);
  const auto crashes = ParseNumber<std::uint32_t>(aEntry.mValue, kDecimalBase);
  if (!request || !crashes) {
    return std::nullopt;
  }
  return RequestCrashes{ RequestFingerprint(*request), *crashes };
}

} // namespace wasabispar
