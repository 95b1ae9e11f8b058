/// @file
/// @brief Tests of when a request over several parts is answered.
#include "wasabispar/routing/fan_out_state.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1000s };

FanOutState
TenParts()
{
  return { 10, 9, kStart + 100ms, kStart + 1s };
}

} // namespace

TEST_CASE("a whole answer goes out at once")
{
  auto state = TenParts();
  for (std::size_t i = 0; i < 9; ++i) {
    state.OnAnswered(i);
    CHECK(state.Decide(kStart + 20ms) == FanOutDecision::Wait);
  }
  state.OnAnswered(9);
  CHECK(state.Decide(kStart + 20ms) == FanOutDecision::Answer);
}

/// A paused shard: the answer does not become late for its sake.
TEST_CASE("an answer without a part goes out right before it would be late")
{
  auto state = TenParts();
  for (std::size_t i = 0; i < 9; ++i) {
    state.OnAnswered(i);
  }
  CHECK(state.Decide(kStart + 99ms) == FanOutDecision::Wait);
  CHECK(state.NextDecisionTime(kStart + 99ms) == kStart + 100ms);
  CHECK(state.Decide(kStart + 100ms) == FanOutDecision::Answer);
}

TEST_CASE("a lost part is not waited for")
{
  auto state = TenParts();
  state.OnLost(3);
  for (std::size_t i = 0; i < 10; ++i) {
    if (i != 3) {
      state.OnAnswered(i);
    }
  }
  CHECK(state.Decide(kStart + 10ms) == FanOutDecision::Answer);
  CHECK(state.Answered() == 9);
}

TEST_CASE("what can no longer reach the least coverage is given up at once")
{
  auto state = TenParts();
  state.OnLost(0);
  CHECK(state.Decide(kStart + 1ms) == FanOutDecision::Wait);
  state.OnLost(1);
  CHECK(state.Decide(kStart + 1ms) == FanOutDecision::Fail);
}

TEST_CASE("below the least coverage a late answer is waited for until the deadline")
{
  auto state = TenParts();
  for (std::size_t i = 0; i < 8; ++i) {
    state.OnAnswered(i);
  }
  CHECK(state.Decide(kStart + 500ms) == FanOutDecision::Wait);
  state.OnAnswered(8);
  CHECK(state.Decide(kStart + 501ms) == FanOutDecision::Answer);
}

TEST_CASE("the deadline ends what has not answered")
{
  const auto state = TenParts();
  CHECK(state.Decide(kStart + 999ms) == FanOutDecision::Wait);
  CHECK(state.Decide(kStart + 1s) == FanOutDecision::Timeout);
}

TEST_CASE("a part that answered does not count as lost later")
{
  auto state = TenParts();
  state.OnAnswered(0);
  state.OnLost(0);
  CHECK(state.Answered() == 1);
}
