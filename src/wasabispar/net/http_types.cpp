/// @file
/// @brief Access to headers and query parameters of HTTP messages, and
/// DisconnectNotifier.
#include "wasabispar/net/http_types.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace wasabispar {

namespace {

bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                    [](char aA, char aB) {
                      return std::tolower(static_cast<unsigned char>(aA)) ==
                             std::tolower(static_cast<unsigned char>(aB));
                    });
}

std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  for (const auto& header : aHeaders) {
    if (EqualsIgnoringCase(header.mName, aName)) {
      return header.mValue;
    }
  }
  return {};
}

/// Returns the value of a hexadecimal digit, or -1 for another character.
int
HexDigit(char aChar)
{
  if (aChar >= '0' && aChar <= '9') {
    return aChar - '0';
  }
  const auto lower = static_cast<char>(aChar | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Decodes `%XX` and `+`; a malformed escape sequence is copied.
std::string
PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size() && HexDigit(aText[i + 1]) >= 0 &&
        HexDigit(aText[i + 2]) >= 0) {
      decoded += static_cast<char>(HexDigit(aText[i + 1]) * 16 + HexDigit(aText[i + 2]));
      i += 2;
    } else {
      decoded += aText[i] == '+' ? ' ' : aText[i];
    }
  }
  return decoded;
}

} // namespace

void
DisconnectNotifier::Subscribe(std::function<void()> aFn)
{
  mFn = std::move(aFn);
  if (mIsDisconnected && mFn) {
    Notify();
  }
}

void
DisconnectNotifier::Notify()
{
  mIsDisconnected = true;
  if (const auto fn = std::exchange(mFn, nullptr)) {
    fn();
  }
}

std::string_view
HttpRequest::Path() const
{
  return std::string_view(mTarget).substr(0, mTarget.find('?'));
}

std::string
HttpRequest::QueryParameter(std::string_view aName) const
{
  const auto question = mTarget.find('?');
  if (question == std::string::npos) {
    return {};
  }
  std::string_view rest = std::string_view(mTarget).substr(question + 1);
  while (!rest.empty()) {
    const auto pair = rest.substr(0, rest.find('&'));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      return equals == std::string_view::npos ? std::string{}
                                              : PercentDecode(pair.substr(equals + 1));
    }
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return {};
}

std::optional<std::uint64_t>
HttpRequest::QueryNumber(std::string_view aName) const
{
  const auto text = QueryParameter(aName);
  const auto* end = text.data() + text.size();
  std::uint64_t number = 0;
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string_view
HttpRequest::Header(std::string_view aName) const
{
  return FindHeader(mHeaders, aName);
}

std::string_view
HttpResponse::Header(std::string_view aName) const
{
  return FindHeader(mHeaders, aName);
}

} // namespace wasabispar
