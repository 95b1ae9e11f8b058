/// @file
/// @brief Reads one line of a log in the key=value format, as FormatLogEvent() writes it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabispar {

/// @brief Longest line that is read, in bytes. The daemon cuts its lines at 4 KiB; the
/// rest is for text that a log collector puts in front.
inline constexpr std::size_t kMaxLogLineBytes = std::size_t{ 16 } * 1024;

/// @brief One event of a log. Refers to the text of the line, which must outlive it.
class LogLine
{
public:
  /// @brief Finds the event of a line, which may have any text in front of `event=`.
  /// @return empty if the line has no event in the key=value format.
  static std::optional<LogLine> Parse(std::string_view aLine);

  std::string_view Event() const { return mEvent; }
  /// @brief The local time of the line in milliseconds since 1970, counted as if local
  /// time were UTC; empty if there is no time in front of the event. Only differences
  /// within the log of one VM have a meaning.
  std::optional<std::int64_t> TimeMs() const;
  /// @brief The value of a field without quotes; empty if the field is missing or was
  /// cut.
  std::optional<std::string> Text(std::string_view aKey) const;
  /// @brief The value of a field as a number; empty if it is missing or no number.
  std::optional<std::uint64_t> Number(std::string_view aKey) const;

private:
  /// The text before `event=`.
  std::string_view mPrefix;
  std::string_view mEvent;
  /// The fields after the event.
  std::string_view mFields;
};

} // namespace wasabispar
