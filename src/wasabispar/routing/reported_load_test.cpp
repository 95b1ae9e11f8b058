/// @file
/// @brief Tests of the load that an upstream states.
#include "wasabispar/routing/reported_load.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 1000s };

} // namespace

TEST_CASE("without a report nothing is known of the load")
{
  ReportedLoad load;
  load.OnSent();
  CHECK_FALSE(load.EstimateAt(kNow));
  CHECK_FALSE(load.SlowdownAt(kNow));
  CHECK_FALSE(load.Slots());
  CHECK_FALSE(load.IsReporting(kNow));
}

/// Guards against VMs that send all their requests to the upstream whose last report was
/// the lowest.
TEST_CASE("the estimate grows with each request sent after the report")
{
  ReportedLoad load;
  load.OnSent();
  load.OnReport({ 3, 1, 4, 2.0 }, kNow);
  CHECK(load.EstimateAt(kNow) == 4.0);
  load.OnSent();
  load.OnSent();
  CHECK(load.EstimateAt(kNow) == 6.0);
  CHECK(load.SlowdownAt(kNow) == 2.0);
  CHECK(load.Slots() == 4U);
  load.OnReport({ 1, 0, 4, {} }, kNow);
  CHECK(load.EstimateAt(kNow) == 1.0);
  CHECK_FALSE(load.SlowdownAt(kNow));
}

/// Guards against an old report that keeps an upstream idle or overloaded.
TEST_CASE("the estimate decays with age and ends after a second")
{
  ReportedLoad load;
  load.OnReport({ 4, 4, 4, 2.0 }, kNow);
  CHECK(*load.EstimateAt(kNow + 500ms) < 8.0);
  CHECK(*load.EstimateAt(kNow + 1s) == doctest::Approx(4.0));
  CHECK_FALSE(load.EstimateAt(kNow + 1001ms));
  CHECK_FALSE(load.SlowdownAt(kNow + 1001ms));
  CHECK(load.IsReporting(kNow + 60s));
  CHECK_FALSE(load.IsReporting(kNow + 61s));
}
