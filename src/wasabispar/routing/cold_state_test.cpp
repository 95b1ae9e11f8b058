/// @file
/// @brief Tests of the sources that name the end of an upstream's cold time.
#include "wasabispar/routing/cold_state.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 1000s };
constexpr std::uint64_t kUnixMs = 1'800'000'000'000;

} // namespace

/// Guards against an older or shorter statement that ends a cold time too early.
TEST_CASE("an upstream is cold until the latest time that a source named")
{
  ColdState state;
  CHECK_FALSE(state.IsCold(kNow));
  state.OnStated(4s, kNow);
  state.OnStated(1s, kNow + 1s);
  state.OnStated(0s, kNow + 1s);
  CHECK(state.IsCold(kNow + 3999ms));
  CHECK_FALSE(state.IsCold(kNow + 4s));
  state.OnEvacuationEnded(2s, kNow + 10s);
  CHECK(state.IsCold(kNow + 11s));
  CHECK(*state.Until() == kNow + 12s);
}

/// Guards against upstreams that count as cold because their entries lapsed and were
/// written again.
TEST_CASE("only a young incarnation is cold when it is added")
{
  const auto isCold = [](std::uint64_t aStarted) {
    ColdState state;
    state.OnAdded(5s, aStarted, kUnixMs, kNow);
    return state.IsCold(kNow);
  };
  CHECK(isCold(kUnixMs - 1000));
  CHECK(isCold(kUnixMs + 3'600'000));
  CHECK_FALSE(isCold(kUnixMs - 6000));
  CHECK_FALSE(isCold(0));
}

/// Guards against a VM that restarts and takes upstreams for cold that are warm for long.
TEST_CASE("an old entry that is read at the start has no effect")
{
  const auto isCold = [](std::uint64_t aStarted) {
    ColdState state;
    state.OnStatedAtStart(5s, aStarted, kUnixMs, kNow);
    return state.IsCold(kNow);
  };
  CHECK(isCold(kUnixMs - 60'000));
  CHECK(isCold(0));
  CHECK_FALSE(isCold(kUnixMs - 3'600'000));
}

TEST_CASE("a faulty time is shortened to an hour")
{
  ColdState state;
  state.OnStated(24h * 365, kNow);
  CHECK(*state.Until() == kNow + 1h);
}
