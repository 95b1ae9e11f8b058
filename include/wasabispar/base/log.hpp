/// @file
/// @brief Structured logging on log4cxx: one event per line, as `key=value` pairs or
/// JSON.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace wasabispar {

/// @brief Severity of an event, least severe first.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// @brief Format of a log line.
enum class LogFormat
{
  KeyValue,
  Json,
};

/// @brief Stream that receives the log lines.
enum class LogTarget
{
  StandardError,
  /// Written without blocking: a line that does not fit into the pipe is dropped and
  /// counted.
  StandardOutput,
};

/// @brief A key and a value of a log event.
struct LogField
{
  std::string mKey;
  std::string mValue;

  LogField(std::string_view aKey, std::string_view aValue)
    : mKey(aKey)
    , mValue(aValue)
  {
  }
  LogField(std::string_view aKey, std::uint64_t aValue)
    : mKey(aKey)
    , mValue(std::to_string(aValue))
  {
  }
};

/// @brief Writes events of @p aLevel and above to @p aTarget in @p aFormat.
void
ConfigureLog(LogLevel aLevel, LogFormat aFormat,
             LogTarget aTarget = LogTarget::StandardError);

/// @brief Number of lines dropped because standard output was not writable.
std::uint64_t
DroppedLogLines();

/// @brief Writes one event. Must not be called with a lock held.
void
LogEvent(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

/// @brief Formats an event as LogEvent() does, without time stamp and level.
std::string
FormatLogEvent(LogFormat aFormat, std::string_view aEvent,
               std::initializer_list<LogField> aFields);

} // namespace wasabispar
