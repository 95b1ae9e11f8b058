/// @file
/// @brief Implements the hit id.
#include "tests/standins/hit_id.hpp"

#include <charconv>

namespace wasabispar::standins {

namespace {

template<class Number>
bool
ParseNumber(std::string_view aText, Number& aNumber)
{
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aNumber);
  return result.ec == std::errc{} && result.ptr == end;
}

/// Cuts the text up to the next `|` off @p aRest.
std::optional<std::string_view>
NextField(std::string_view& aRest)
{
  const auto end = aRest.find('|');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const auto field = aRest.substr(0, end);
  aRest.remove_prefix(end + 1);
  return field;
}

} // namespace

std::string
HitId::Text() const
{
  return std::to_string(mVersion) + "|" + mShard + "|" + std::to_string(mNumber) + "|" +
         mQuery;
}

std::optional<HitId>
HitId::Parse(std::string_view aText)
{
  const auto version = NextField(aText);
  const auto shard = NextField(aText);
  const auto number = NextField(aText);
  HitId id;
  if (!version || !shard || !number || !ParseNumber(*version, id.mVersion) ||
      !ParseNumber(*number, id.mNumber)) {
    return std::nullopt;
  }
  id.mShard = *shard;
  id.mQuery = aText;
  return id;
}

} // namespace wasabispar::standins
