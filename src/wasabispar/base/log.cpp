/// @file
/// @brief Log configuration and event formats on log4cxx.
#include "wasabispar/base/log.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <atomic>

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace wasabispar {

namespace {

std::atomic<LogFormat> gFormat{ LogFormat::KeyValue };
std::atomic<std::uint64_t> gDroppedLines{ 0 };

/// Writes lines to standard output without blocking and drops those that do not fit. A
/// pipe that poll() reports as writable takes up to PIPE_BUF bytes in one piece; longer
/// lines are truncated to this length.
class StandardOutputAppender final : public log4cxx::AppenderSkeleton
{
public:
  explicit StandardOutputAppender(const log4cxx::LayoutPtr& aLayout)
    : log4cxx::AppenderSkeleton(aLayout)
    , mLayout(aLayout)
  {
  }
  // Named as log4cxx requires.
  void close() override {}                              // NOLINT
  bool requiresLayout() const override { return true; } // NOLINT

protected:
  void append(const log4cxx::spi::LoggingEventPtr& aEvent, // NOLINT
              log4cxx::helpers::Pool& aPool) override
  {
    log4cxx::LogString text;
    mLayout->format(text, aEvent, aPool);
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    const bool isWritable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    const auto size = std::min<std::size_t>(text.size(), PIPE_BUF);
    if (!isWritable || ::write(STDOUT_FILENO, text.data(), size) < 0) {
      ++gDroppedLines;
    }
  }

private:
  /// Kept here because the base class of this log4cxx version does not return its layout.
  log4cxx::LayoutPtr mLayout;
};

log4cxx::LoggerPtr
Logger()
{
  static const log4cxx::LoggerPtr kLogger = log4cxx::Logger::getLogger("wasabispar");
  return kLogger;
}

log4cxx::LevelPtr
ToLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warning:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      break;
  }
  return log4cxx::Level::getError();
}

/// Returns @p aText as a quoted and escaped JSON string.
std::string
ToJsonString(std::string_view aText)
{
  return boost::json::serialize(boost::json::string(aText));
}

/// Whether @p aText can stand as a value in the key=value format without quotes.
bool
NeedsNoQuotes(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return aChar > ' ' && aChar != '"' && aChar != '=' && aChar != '\\' && aChar < 127;
  });
}

} // namespace

std::string
FormatLogEvent(LogFormat aFormat, std::string_view aEvent,
               std::initializer_list<LogField> aFields)
{
  if (aFormat == LogFormat::Json) {
    std::string line = "{\"event\":" + ToJsonString(aEvent);
    for (const auto& field : aFields) {
      line += "," + ToJsonString(field.mKey) + ":" + ToJsonString(field.mValue);
    }
    return line + "}";
  }
  std::string line = "event=" + std::string(aEvent);
  for (const auto& field : aFields) {
    line += " " + field.mKey + "=" +
            (NeedsNoQuotes(field.mValue) ? field.mValue : ToJsonString(field.mValue));
  }
  return line;
}

void
ConfigureLog(LogLevel aLevel, LogFormat aFormat, LogTarget aTarget)
{
  gFormat = aFormat;
  const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(
    aFormat == LogFormat::Json
      ? "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSS}\",\"level\":\"%p\",%m%n"
      : "%d{yyyy-MM-ddTHH:mm:ss.SSS} %p %m%n"));
  log4cxx::AppenderPtr appender;
  if (aTarget == LogTarget::StandardOutput) {
    appender = std::make_shared<StandardOutputAppender>(layout);
  } else {
    appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  }
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  Logger()->setLevel(ToLevel(aLevel));
}

std::uint64_t
DroppedLogLines()
{
  return gDroppedLines;
}

void
LogEvent(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  const auto logger = Logger();
  const auto level = ToLevel(aLevel);
  if (!logger->isEnabledFor(level)) {
    return;
  }
  const auto format = gFormat.load();
  auto line = FormatLogEvent(format, aEvent, aFields);
  if (format == LogFormat::Json) {
    // The layout writes the opening brace, followed by time and level.
    line.erase(0, 1);
  }
  logger->forcedLog(level, line);
}

} // namespace wasabispar
