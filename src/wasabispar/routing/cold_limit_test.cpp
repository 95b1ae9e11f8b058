/// @file
/// @brief Tests of the requests to one cold upstream.
#include "wasabispar/routing/cold_limit.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 1000s };
constexpr RateShare kTwo{ 2, 1s };
/// The window with the variation of the transit.
constexpr Duration kWindow = 1200ms;

} // namespace

/// Guards against requests that are chosen at different times and sent together.
TEST_CASE("reserved requests count as if they were sent now")
{
  ColdLimit limit;
  limit.Reserve(1);
  CHECK(limit.NextSendAt(kTwo, kNow) == kNow);
  limit.Reserve(2);
  CHECK_FALSE(limit.NextSendAt(kTwo, kNow + 5s));
  CHECK(limit.Start(1, kTwo, kNow + 5s));
  CHECK(limit.Start(2, kTwo, kNow + 5s));
  CHECK_FALSE(limit.Start(3, kTwo, kNow + 5s));
  CHECK(limit.NextSendAt(kTwo, kNow + 5s) == kNow + 5s + kWindow);
}

/// Guards against an upstream that gets nothing because requests were withdrawn.
TEST_CASE("a withdrawn request is given back, a sent one is not")
{
  ColdLimit limit;
  limit.Reserve(1);
  limit.Reserve(2);
  limit.Release(1);
  CHECK(limit.NextSendAt(kTwo, kNow) == kNow);
  CHECK(limit.Start(2, kTwo, kNow));
  limit.Release(2);
  CHECK(limit.Start(3, kTwo, kNow));
  CHECK_FALSE(limit.Start(4, kTwo, kNow));
}

/// Guards against reserved requests that exceed a share which has shrunk meanwhile.
TEST_CASE("a share that shrinks withdraws reserved requests")
{
  ColdLimit limit;
  limit.Reserve(1);
  limit.Reserve(2);
  constexpr RateShare kOne{ 1, 1s };
  CHECK_FALSE(limit.Start(1, kOne, kNow));
  CHECK(limit.Start(2, kOne, kNow));
  CHECK_FALSE(limit.Start(3, {}, kNow + 10s));
}

/// Guards against twice the share in the second in which an upstream becomes cold.
TEST_CASE("requests from before the cold time count")
{
  ColdLimit limit;
  for (ColdLimit::ExchangeId i = 0; i < 10; ++i) {
    limit.StartUnlimited(i, kNow);
  }
  CHECK(limit.NextSendAt(kTwo, kNow) == kNow + kWindow);
  CHECK_FALSE(limit.Start(11, kTwo, kNow + kWindow - 1ms));
  CHECK(limit.Start(11, kTwo, kNow + kWindow));
}

TEST_CASE("the share follows the fleet and the limit")
{
  ColdLimit limit;
  const UpstreamId upstream("u");
  const VmId self("a");
  CHECK(limit.ShareOf(nullptr, upstream, 10) == RateShare{});
  const auto alone = std::make_shared<FleetRateShare>(self, std::vector{ self });
  CHECK(limit.ShareOf(alone, upstream, 10).mRequests == 10);
  CHECK(limit.ShareOf(alone, upstream, 12).mRequests == 12);
  CHECK(limit.ShareOf(nullptr, upstream, 12) == RateShare{});
  const auto two = std::make_shared<FleetRateShare>(self, std::vector{ self, VmId("b") });
  CHECK(limit.ShareOf(two, upstream, 12).mRequests == 6);
}
