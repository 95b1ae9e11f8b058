/// @file
/// @brief Tests of the log line format.
#include "wasabispar/base/log.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;

TEST_CASE("a value from outside cannot start a new line or a new field")
{
  // Guards against log injection through caller-chosen text.
  const auto line =
    FormatLogEvent(LogFormat::KeyValue, "refused", { { "caller", "a b\nevent=x" } });
  CHECK(line == "event=refused caller=\"a b\\nevent=x\"");
  CHECK(FormatLogEvent(LogFormat::Json, "refused", { { "n", std::uint64_t{ 3 } } }) ==
        R"({"event":"refused","n":"3"})");
}
