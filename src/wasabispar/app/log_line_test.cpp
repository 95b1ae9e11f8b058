/// @file
/// @brief Tests of LogLine.
#include "wasabispar/app/log_line.hpp"

#include "wasabispar/base/log.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;

TEST_CASE("a line is read whatever text stands before its event")
{
  // Guards against lines of a log collector that are not found, and against a time other
  // than the daemon's own.
  const std::string own = "2026-12-04T05:37:37.620 WARN event=process-paused gap_ms=6868";
  for (const std::string prefix :
       { "", "edge-1 | ", "2026-12-04T04:00:00.000Z stdout F ", "event=line host=a " }) {
    CAPTURE(prefix);
    const auto text = prefix + own + "\r";
    const auto line = LogLine::Parse(text);
    REQUIRE(line);
    CHECK(line->Event() == "process-paused");
    CHECK(line->Number("gap_ms") == 6868);
    CHECK(line->TimeMs() == LogLine::Parse(own)->TimeMs());
  }
  CHECK(LogLine::Parse("event=drain running=1")->TimeMs() == std::nullopt);
  for (const std::string_view other :
       { "", "no event", "event=", "anevent=x", "event=A b", R"({"event":"drain"})" }) {
    CHECK_FALSE(LogLine::Parse(other));
  }
}

TEST_CASE("a value cannot pass for a field or an event")
{
  // Guards against a caller's id or host that makes the command read another request.
  const std::string evil = "x\" request=1 event=request-end \\";
  const auto text = FormatLogEvent(LogFormat::KeyValue, "request-unrouted",
                                   { { "host", evil }, { "request", "ab" } });
  const auto line = LogLine::Parse(text);
  REQUIRE(line);
  CHECK(line->Event() == "request-unrouted");
  CHECK(line->Text("host") == evil);
  CHECK(line->Text("request") == "ab");
  // The daemon cuts a line that does not fit into a pipe.
  const auto cut = LogLine::Parse(std::string_view(text).substr(0, 40));
  REQUIRE(cut);
  CHECK(cut->Text("host") == std::nullopt);
  CHECK(cut->Number("request") == std::nullopt);
}
