/// @file
/// @brief Tests of when a request over several parts is answered.
#include "wasabispar/routing/gather.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1000s };

Gather
TenParts()
{
  return { 10, 9, kStart + 100ms, kStart + 1s };
}

} // namespace

TEST_CASE("a whole answer goes out at once")
{
  auto gather = TenParts();
  for (std::size_t i = 0; i < 9; ++i) {
    gather.OnAnswered(i);
    CHECK(gather.Judge(kStart + 20ms) == GatherVerdict::Wait);
  }
  gather.OnAnswered(9);
  CHECK(gather.Judge(kStart + 20ms) == GatherVerdict::Answer);
}

/// A paused shard: the answer does not become late for its sake.
TEST_CASE("an answer without a part goes out right before it would be late")
{
  auto gather = TenParts();
  for (std::size_t i = 0; i < 9; ++i) {
    gather.OnAnswered(i);
  }
  CHECK(gather.Judge(kStart + 99ms) == GatherVerdict::Wait);
  CHECK(gather.NextCheck(kStart + 99ms) == kStart + 100ms);
  CHECK(gather.Judge(kStart + 100ms) == GatherVerdict::Answer);
}

TEST_CASE("a lost part is not waited for")
{
  auto gather = TenParts();
  gather.OnLost(3);
  for (std::size_t i = 0; i < 10; ++i) {
    if (i != 3) {
      gather.OnAnswered(i);
    }
  }
  CHECK(gather.Judge(kStart + 10ms) == GatherVerdict::Answer);
  CHECK(gather.Answered() == 9);
}

TEST_CASE("what can no longer reach the least coverage is given up at once")
{
  auto gather = TenParts();
  gather.OnLost(0);
  CHECK(gather.Judge(kStart + 1ms) == GatherVerdict::Wait);
  gather.OnLost(1);
  CHECK(gather.Judge(kStart + 1ms) == GatherVerdict::GiveUp);
}

TEST_CASE("below the least coverage a late answer is waited for until the deadline")
{
  auto gather = TenParts();
  for (std::size_t i = 0; i < 8; ++i) {
    gather.OnAnswered(i);
  }
  CHECK(gather.Judge(kStart + 500ms) == GatherVerdict::Wait);
  gather.OnAnswered(8);
  CHECK(gather.Judge(kStart + 501ms) == GatherVerdict::Answer);
}

TEST_CASE("the deadline ends what has not answered")
{
  const auto gather = TenParts();
  CHECK(gather.Judge(kStart + 999ms) == GatherVerdict::Wait);
  CHECK(gather.Judge(kStart + 1s) == GatherVerdict::Timeout);
}

TEST_CASE("a part that answered does not count as lost later")
{
  auto gather = TenParts();
  gather.OnAnswered(0);
  gather.OnLost(0);
  CHECK(gather.Answered() == 1);
}
