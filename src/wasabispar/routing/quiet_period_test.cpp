/// @file
/// @brief Tests of the time for which an upstream gets nothing, and of the return of many
/// VMs after it.
#include "wasabispar/routing/quiet_period.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };
constexpr std::size_t kLimit = 6;

/// The shortest possible period.
std::uint64_t
Least(std::uint64_t)
{
  return 0;
}

} // namespace

TEST_CASE("during the period nothing is sent, then rising numbers")
{
  QuietPeriod period;
  CHECK(period.MaxExchanges(kLimit, kNow) == kLimit);
  CHECK_FALSE(period.Until());
  period.Request(2s, kNow, Least);
  CHECK(period.IsQuiet(kNow + 1999ms));
  CHECK(period.MaxExchanges(kLimit, kNow + 1999ms) == 0);
  CHECK_FALSE(period.IsQuiet(kNow + 2s));
  CHECK(period.MaxExchanges(kLimit, kNow + 2s) == 1);
  CHECK(period.MaxExchanges(kLimit, kNow + 2500ms) == 2);
  CHECK(period.MaxExchanges(kLimit, kNow + 3s) == 4);
  CHECK(period.MaxExchanges(kLimit, kNow + 3500ms) == kLimit);
  CHECK(period.MaxExchanges(kLimit, kNow + 24h) == kLimit);
}

TEST_CASE("a later request does not shorten the period")
{
  QuietPeriod period;
  period.Request(3s, kNow, Least);
  period.Request(500ms, kNow + 1s, Least);
  CHECK(period.IsQuiet(kNow + 2900ms));
  period.Request(3s, kNow + 1s, Least);
  CHECK(period.IsQuiet(kNow + 3900ms));
}

TEST_CASE("no time and negative times have no effect")
{
  QuietPeriod period;
  period.Request(0s, kNow, Least);
  period.Request(-1s, kNow, Least);
  CHECK_FALSE(period.Until());
}

/// Guards against an upstream that is lost for ever because it asked for an absurd time.
TEST_CASE("an absurdly long time is shortened to ten minutes")
{
  QuietPeriod period;
  period.Request(24h * 365, kNow, Least);
  CHECK(period.Until() == kNow + 10min);
}

/// Guards against a searcher that is overrun again when the waits of all VMs, which it
/// turned away at the same moment, end together.
TEST_CASE("195 VMs return spread over a quarter of the time, with one exchange each")
{
  constexpr std::size_t kVms = 195;
  constexpr auto kWindow = 100ms;
  const auto random = SeededRandom(20261205);
  std::vector<TimePoint> returns;
  for (std::size_t i = 0; i < kVms; ++i) {
    QuietPeriod period;
    period.Request(4s, kNow, random);
    CHECK(*period.Until() >= kNow + 4s);
    CHECK(*period.Until() <= kNow + 5s);
    CHECK(period.MaxExchanges(kLimit, *period.Until()) == 1);
    returns.push_back(*period.Until());
  }
  std::ranges::sort(returns);
  std::size_t most = 0;
  for (const auto start : returns) {
    const auto end = std::ranges::lower_bound(returns, start + kWindow);
    const auto begin = std::ranges::lower_bound(returns, start);
    most = std::max(most, static_cast<std::size_t>(end - begin));
  }
  // A tenth of the VMs on average return in a tenth of the spread, twice that at most.
  CHECK(most <= 2 * kVms / 10);
}
