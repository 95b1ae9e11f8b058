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

/// Guards against requests that are rejected because of answers that need no further
/// memory, and against a queue of answers without a bound.
TEST_CASE("answers that are reserved ahead admit requests, a long queue does not")
{
  MemoryBudget budget({ 400, 100, 100 });
  ByteBudget::Reservation first(budget.Answers());
  REQUIRE(first.ReserveAhead(400));
  CHECK(budget.MayBegin(0));
  REQUIRE(first.Grow(400));
  CHECK(budget.MayBegin(0));
  CHECK_FALSE(first.Grow(1));
  budget.Answers()->Await(400, [](const ByteBudget::Reservation&) {});
  budget.Answers()->Await(400, [](const ByteBudget::Reservation&) {});
  CHECK(budget.MayBegin(0));
  budget.Answers()->Await(1, [](const ByteBudget::Reservation&) {});
  CHECK_FALSE(budget.MayBegin(0));
}

/// Guards against bytes that are granted twice or out of order, and against a place that
/// stops those behind it after it was left.
TEST_CASE("bytes that are released go to those that have waited longest")
{
  const auto budget = std::make_shared<ByteBudget>(100);
  ByteBudget::Reservation held(budget);
  REQUIRE(held.ReserveAhead(100));
  std::vector<int> granted;
  std::vector<ByteBudget::Reservation> reservations;
  const auto await = [&](std::uint64_t aBytes, int aNumber) {
    return budget->Await(aBytes, [&, aNumber](ByteBudget::Reservation aReservation) {
      granted.push_back(aNumber);
      reservations.push_back(std::move(aReservation));
    });
  };
  await(45, 1);
  const auto left = await(45, 2);
  await(30, 3);
  CHECK(granted.empty());
  held = {};
  CHECK(granted == std::vector<int>{ 1 });
  budget->Leave(left);
  CHECK(granted == std::vector<int>{ 1, 3 });
  // The last quarter is left to messages of unknown length.
  CHECK_FALSE(budget->MayReserveAhead(1));
  CHECK(budget->Available() == 25);
  CHECK(budget->WaitingBytes() == 0);
  reservations.clear();
  CHECK(budget->Reserved() == 0);
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
