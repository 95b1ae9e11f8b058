/// @file
/// @brief Tests of when refused connections are pressure.
#include "wasabispar/routing/connection_pressure.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

UpstreamId
Upstream(int aNumber)
{
  return UpstreamId("u" + std::to_string(aNumber));
}

} // namespace

/// Load pattern: after a power loss, the upstreams of many shards refuse connections.
TEST_CASE("many upstreams that refuse connections are pressure, for a while")
{
  ConnectionPressure pressure;
  for (int i = 0; i < 30; ++i) {
    pressure.OnRefused(Upstream(i), kNow + i * 10ms);
  }
  CHECK(pressure.IsHigh(kNow + 300ms));
  CHECK(pressure.IsHigh(kNow + 2s));
  CHECK_FALSE(pressure.IsHigh(kNow + 3s));
}

/// Guards against a VM that gives up its hedges because of a few full upstreams, which it
/// tries again and again.
TEST_CASE("a few full upstreams are no pressure")
{
  ConnectionPressure pressure;
  for (int i = 0; i < 100; ++i) {
    pressure.OnRefused(Upstream(i % 3), kNow + i * 10ms);
    CHECK_FALSE(pressure.IsHigh(kNow + i * 10ms));
  }
}
