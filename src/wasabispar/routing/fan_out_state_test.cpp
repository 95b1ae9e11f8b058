/// @file
/// @brief Tests of when a request with several parts is answered, fails or times out.
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

TEST_CASE("a complete answer is sent at once")
{
  auto state = TenParts();
  for (std::size_t i = 0; i < 9; ++i) {
    state.OnAnswered(i);
    CHECK(state.Decide(kStart + 20ms) == FanOutDecision::Wait);
  }
  state.OnAnswered(9);
  CHECK(state.Decide(kStart + 20ms) == FanOutDecision::Answer);
}

/// A shard that pauses must not make the whole answer late.
TEST_CASE("an answer with a missing part is sent just in time for the objective")
{
  auto state = TenParts();
  for (std::size_t i = 0; i < 9; ++i) {
    state.OnAnswered(i);
  }
  CHECK(state.Decide(kStart + 99ms) == FanOutDecision::Wait);
  CHECK(state.NextDecisionTime(kStart + 99ms) == kStart + 100ms);
  CHECK(state.Decide(kStart + 100ms) == FanOutDecision::Answer);
}

TEST_CASE("the answer does not wait for a lost part")
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

TEST_CASE("a request fails as soon as the required parts cannot be reached")
{
  auto state = TenParts();
  state.OnLost(0);
  CHECK(state.Decide(kStart + 1ms) == FanOutDecision::Wait);
  state.OnLost(1);
  CHECK(state.Decide(kStart + 1ms) == FanOutDecision::Fail);
}

TEST_CASE("without the required parts the request waits until the deadline")
{
  auto state = TenParts();
  for (std::size_t i = 0; i < 8; ++i) {
    state.OnAnswered(i);
  }
  CHECK(state.Decide(kStart + 500ms) == FanOutDecision::Wait);
  state.OnAnswered(8);
  CHECK(state.Decide(kStart + 501ms) == FanOutDecision::Answer);
}

TEST_CASE("a request without the required parts times out at the deadline")
{
  const auto state = TenParts();
  CHECK(state.Decide(kStart + 999ms) == FanOutDecision::Wait);
  CHECK(state.Decide(kStart + 1s) == FanOutDecision::Timeout);
}

TEST_CASE("a loss reported after the answer of a part is ignored")
{
  auto state = TenParts();
  state.OnAnswered(0);
  state.OnLost(0);
  CHECK(state.Answered() == 1);
}
