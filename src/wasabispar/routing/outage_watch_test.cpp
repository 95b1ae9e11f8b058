/// @file
/// @brief Tests of the outages of an upstream.
#include "wasabispar/routing/outage_watch.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 1000s };

} // namespace

/// Guards against a lost packet that is taken for a restart.
TEST_CASE("only an outage of a second or more is reported, from its begin")
{
  OutageWatch watch;
  CHECK_FALSE(watch.OnConnected(kNow));
  watch.OnUnreachable(kNow);
  CHECK_FALSE(watch.OnConnected(kNow + 900ms));
  watch.OnUnreachable(kNow + 2s);
  watch.OnUnreachable(kNow + 4s);
  CHECK(watch.OnConnected(kNow + 5s) == kNow + 2s);
  CHECK_FALSE(watch.OnConnected(kNow + 5s));
}

/// Guards against upstreams that count as restarted because this VM was cut off.
TEST_CASE("an outage in the time is remembered")
{
  OutageWatch watch;
  CHECK(watch.WasReachableSince(kNow));
  watch.OnUnreachable(kNow + 1s);
  CHECK_FALSE(watch.WasReachableSince(kNow));
  watch.OnConnected(kNow + 3s);
  CHECK_FALSE(watch.WasReachableSince(kNow + 2s));
  CHECK(watch.WasReachableSince(kNow + 3s));
}
