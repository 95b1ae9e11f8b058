/// @file
/// @brief Tests of the division of the VM's memory and of the order of progress.
#include "wasabispar/net/memory_budget.hpp"

#include "wasabispar/net/progress_list.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wasabispar;

/// Guards against shares that together exceed what the VM has, or leave no direction
/// anything.
TEST_CASE("the shares fit into the memory beside the process, and none is empty")
{
  CHECK(rc::check([] {
    const auto memory = *rc::gen::inRange<std::uint64_t>(1'000'000, 1'000'000'000);
    const auto shares = DivideMemory(memory);
    const auto total = shares.mAnswers + shares.mRequests + shares.mWaiting;
    RC_ASSERT(std::min({ shares.mAnswers, shares.mRequests, shares.mWaiting }) > 0);
    RC_ASSERT(total <= memory / 2);
    RC_ASSERT(memory < 112'000'000 || 2 * total + 40'000'000 <= memory);
  }));
  CHECK(DivideMemory(112'000'000) == MemoryShares{ 12'000'000, 12'000'000, 12'000'000 });
}

/// Guards against requests that begin although their answers, or their bodies, find no
/// memory.
TEST_CASE("a request begins only if its body fits and answers have room")
{
  MemoryBudget budget({ 400, 100, 100 });
  CHECK(budget.MayBegin(100));
  CHECK_FALSE(budget.MayBegin(101));
  {
    ByteBudget::Reservation body(budget.Requests());
    REQUIRE(body.Grow(60));
    CHECK(budget.MayBegin(40));
    CHECK_FALSE(budget.MayBegin(41));
  }
  CHECK(budget.MayBegin(100));
  ByteBudget::Reservation answers(budget.Answers());
  REQUIRE(answers.Grow(300));
  CHECK(budget.MayBegin(0));
  REQUIRE(answers.Grow(1));
  CHECK_FALSE(budget.MayBegin(0));
  // Those that run still have the rest.
  CHECK(answers.Grow(99));
}

/// Guards against responses that wait for callers and use up another direction.
TEST_CASE("a direction that is used up takes nothing from the others")
{
  MemoryBudget budget({ 100, 100, 100 });
  ByteBudget::Reservation waiting(budget.Waiting());
  REQUIRE(waiting.Grow(100));
  CHECK_FALSE(waiting.Grow(1));
  CHECK(budget.MayBegin(100));
  ByteBudget::Reservation answers(budget.Answers());
  CHECK(answers.Grow(100));
}

/// Guards against a reset of a caller that reads while another one does not.
TEST_CASE("progress moves an item behind the others")
{
  ProgressList<int> list;
  CHECK_FALSE(list.Oldest());
  list.Touch(1);
  list.Touch(2);
  list.Touch(3);
  CHECK(list.Oldest() == 1);
  list.Touch(1);
  CHECK(list.Oldest() == 2);
  list.Remove(2);
  list.Remove(2);
  CHECK(list.Oldest() == 3);
  CHECK(list.Size() == 2);
}
