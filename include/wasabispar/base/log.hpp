/// @file
/// @brief Structured logs on log4cxx: one event a line, as `key=value` or JSON.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace wasabispar {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

enum class LogFormat
{
  KeyValue,
  Json,
};

enum class LogTarget
{
  StandardError,
  /// Without ever blocking: lines that do not fit into a full pipe are dropped and
  /// counted.
  StandardOutput,
};

/// @brief One field of a log event.
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

/// @brief Sends events of @p aLevel and above to @p aTarget.
void
ConfigureLog(LogLevel aLevel, LogFormat aFormat,
             LogTarget aTarget = LogTarget::StandardError);

/// @brief Lines that were dropped because standard output could not take them.
std::uint64_t
DroppedLogLines();

/// @brief Writes one event. Never call it with a lock held.
void
LogEvent(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

/// @brief One line without time stamp, as LogEvent() writes it.
std::string
FormatLogEvent(LogFormat aFormat, std::string_view aEvent,
               std::initializer_list<LogField> aFields);

} // namespace wasabispar
