/// @file
/// @brief LogLine.
#include "wasabispar/app/log_line.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace wasabispar {

namespace {

constexpr std::string_view kEventKey = "event=";
/// Length of `2026-12-04T05:37:37.620`.
constexpr std::size_t kTimeLength = 23;

bool
IsEventCharacter(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') || aChar == '-';
}

/// Whether @p aPrefix ends with a level, as the layout of the log writes it.
bool
EndsWithLevel(std::string_view aPrefix)
{
  return aPrefix.ends_with(" DEBUG ") || aPrefix.ends_with(" INFO ") ||
         aPrefix.ends_with(" WARN ") || aPrefix.ends_with(" ERROR ");
}

/// Position of the event's key. A text in front may contain `event=` too, so the first
/// one after a level is preferred to the first one.
std::size_t
FindEvent(std::string_view aLine)
{
  auto first = std::string_view::npos;
  for (auto at = aLine.find(kEventKey); at != std::string_view::npos;
       at = aLine.find(kEventKey, at + 1)) {
    if (EndsWithLevel(aLine.substr(0, at))) {
      return at;
    }
    const bool startsWord = at == 0 || aLine[at - 1] == ' ' || aLine[at - 1] == '\t';
    if (startsWord && first == std::string_view::npos) {
      first = at;
    }
  }
  return first;
}

/// Length of the value at the start of @p aText: up to the closing quote, or to the next
/// space. Empty if the closing quote is missing.
std::optional<std::size_t>
ValueLength(std::string_view aText)
{
  if (!aText.starts_with('"')) {
    return std::min(aText.find(' '), aText.size());
  }
  for (std::size_t i = 1; i < aText.size(); ++i) {
    if (aText[i] == '\\') {
      ++i;
    } else if (aText[i] == '"') {
      return i + 1;
    }
  }
  return std::nullopt;
}

std::string
Unquoted(std::string_view aValue)
{
  if (!aValue.starts_with('"')) {
    return std::string(aValue);
  }
  boost::system::error_code error;
  const auto value = boost::json::parse(aValue, error);
  return !error && value.is_string() ? std::string(value.get_string())
                                     : std::string(aValue);
}

/// The digits at @p aAt as a number.
std::optional<int>
Digits(std::string_view aText, std::size_t aAt, std::size_t aCount)
{
  int number = 0;
  const auto* begin = aText.data() + aAt;
  const auto [end, error] = std::from_chars(begin, begin + aCount, number);
  return error == std::errc{} && end == begin + aCount && number >= 0
           ? std::optional(number)
           : std::nullopt;
}

std::optional<std::int64_t>
ParseTime(std::string_view aText)
{
  const auto year = Digits(aText, 0, 4);
  const auto month = Digits(aText, 5, 2);
  const auto day = Digits(aText, 8, 2);
  const auto hour = Digits(aText, 11, 2);
  const auto minute = Digits(aText, 14, 2);
  const auto second = Digits(aText, 17, 2);
  const auto millisecond = Digits(aText, 20, 3);
  if (!year || !month || !day || !hour || !minute || !second || !millisecond) {
    return std::nullopt;
  }
  using namespace std::chrono;
  const auto date = std::chrono::year(*year) / static_cast<unsigned>(*month) /
                    static_cast<unsigned>(*day);
  if (!date.ok()) {
    return std::nullopt;
  }
  const auto time = sys_days(date).time_since_epoch() + hours(*hour) + minutes(*minute) +
                    seconds(*second) + milliseconds(*millisecond);
  return duration_cast<milliseconds>(time).count();
}

} // namespace

std::optional<LogLine>
LogLine::Parse(std::string_view aLine)
{
  while (!aLine.empty() && (aLine.back() == '\r' || aLine.back() == '\n')) {
    aLine.remove_suffix(1);
  }
  aLine = aLine.substr(0, kMaxLogLineBytes);
  const auto at = FindEvent(aLine);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const auto rest = aLine.substr(at + kEventKey.size());
  const auto end = std::ranges::find_if_not(rest, IsEventCharacter) - rest.begin();
  const auto length = static_cast<std::size_t>(end);
  if (length == 0 || (length < rest.size() && rest[length] != ' ')) {
    return std::nullopt;
  }
  LogLine line;
  line.mPrefix = aLine.substr(0, at);
  line.mEvent = rest.substr(0, length);
  line.mFields = rest.substr(length);
  return line;
}

std::optional<std::int64_t>
LogLine::TimeMs() const
{
  // The daemon's own time stands last; a log collector may put another one in front.
  for (auto at = mPrefix.rfind('T'); at != std::string_view::npos && at > 0;
       at = mPrefix.rfind('T', at - 1)) {
    constexpr std::size_t kDateLength = 10;
    if (at < kDateLength || at - kDateLength + kTimeLength > mPrefix.size()) {
      continue;
    }
    const auto text = mPrefix.substr(at - kDateLength, kTimeLength);
    if (text[4] == '-' && text[7] == '-' && text[13] == ':') {
      return ParseTime(text);
    }
  }
  return std::nullopt;
}

std::optional<std::string>
LogLine::Text(std::string_view aKey) const
{
  auto rest = mFields;
  while (true) {
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const auto equals = rest.find_first_of("= ");
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    const auto key = rest.substr(0, equals);
    if (rest[equals] == ' ') {
      rest.remove_prefix(equals);
      continue;
    }
    rest.remove_prefix(equals + 1);
    const auto length = ValueLength(rest);
    if (!length) {
      return std::nullopt;
    }
    if (key == aKey) {
      return Unquoted(rest.substr(0, *length));
    }
    rest.remove_prefix(*length);
  }
}

std::optional<std::uint64_t>
LogLine::Number(std::string_view aKey) const
{
  const auto text = Text(aKey);
  std::uint64_t number = 0;
  if (!text || text->empty()) {
    return std::nullopt;
  }
  const auto* end = text->data() + text->size();
  const auto [last, error] = std::from_chars(text->data(), end, number);
  return error == std::errc{} && last == end ? std::optional(number) : std::nullopt;
}

} // namespace wasabispar
