/// @file
/// @brief Tests of the log line format.
#include "wasabispar/base/log.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;

TEST_CASE("a logged value cannot start a new line or a new field")
{
  // Guards against log injection through text chosen by a caller.
  const auto line =
    FormatLogEvent(LogFormat::KeyValue, "refused", { { "caller", "a b\nevent=x" } });
  CHECK(line == "event=refused caller=\"a b\\nevent=x\"");
  CHECK(FormatLogEvent(LogFormat::Json, "refused", { { "n", std::uint64_t{ 3 } } }) ==
        R"({"event":"refused","n":"3"})");
}
