/// @file
/// @brief Text form of RequestId.
#include "wasabispar/base/ids.hpp"

#include <charconv>
#include <cstdio>

namespace wasabispar {

namespace {

bool
ParseHex(std::string_view aText, std::uint64_t& aValue)
{
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), aValue, 16);
  return error == std::errc{} && end == aText.data() + aText.size() && !aText.empty();
}

} // namespace

std::string
RequestId::Text() const
{
  char buffer[40];
  const int length = std::snprintf(buffer, sizeof buffer, "%llx-%llx",
                                   static_cast<unsigned long long>(mIncarnation.Value()),
                                   static_cast<unsigned long long>(mCounter));
  return std::string(buffer, static_cast<std::size_t>(length));
}

std::optional<RequestId>
RequestId::Parse(std::string_view aText)
{
  const auto dash = aText.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t incarnation = 0;
  std::uint64_t counter = 0;
  if (!ParseHex(aText.substr(0, dash), incarnation) ||
      !ParseHex(aText.substr(dash + 1), counter)) {
    return std::nullopt;
  }
  return RequestId{ Incarnation(incarnation), counter };
}

} // namespace wasabispar
