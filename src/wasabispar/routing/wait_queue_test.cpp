/// @file
/// @brief Tests of the order in which waiting requests start.
#include "wasabispar/routing/wait_queue.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };

/// A queue whose requests start while mFreeSlots is greater than 0.
struct Fixture
{
  WaitQueue mQueue;
  /// The names of the started requests, in order.
  std::string mStarted;
  std::size_t mFreeSlots = 0;

  WaitQueue::EntryId Push(char aName, std::uint32_t aPriority, Duration aAnswerBy,
                          bool aCanStart = true,
                          WaitQueue::Reach aReach = WaitQueue::Reach::AllUpstreams)
  {
    return mQueue.Push(aPriority, kNow + aAnswerBy, aReach, [this, aName, aCanStart] {
      if (mFreeSlots == 0 || !aCanStart) {
        return false;
      }
      --mFreeSlots;
      mStarted += aName;
      return true;
    });
  }
};

} // namespace

TEST_CASE("requests start by priority, then by the least time left")
{
  Fixture fixture;
  fixture.Push('a', 2, 10ms);
  fixture.Push('b', 1, 90ms);
  fixture.Push('c', 1, 50ms);
  fixture.mFreeSlots = 2;
  fixture.mQueue.Dispatch();
  CHECK(fixture.mStarted == "cb");
  CHECK(fixture.mQueue.Length() == 1);
}

/// Guards against requests that wait for a busy region and hold up all others.
TEST_CASE("many requests that only some upstreams may run hold up no others")
{
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.Push('a', 1, 10ms, false, WaitQueue::Reach::SomeUpstreams);
  }
  fixture.Push('b', 1, 20ms);
  fixture.mFreeSlots = 1;
  fixture.mQueue.Dispatch();
  CHECK(fixture.mStarted == "b");
}

TEST_CASE("a request that cannot start does not block those behind it")
{
  Fixture fixture;
  fixture.Push('a', 1, 10ms, false);
  fixture.Push('b', 1, 20ms);
  fixture.mFreeSlots = 1;
  fixture.mQueue.Dispatch();
  CHECK(fixture.mStarted == "b");
  CHECK(fixture.mQueue.Length() == 1);
}

TEST_CASE("a cancelled request does not start")
{
  Fixture fixture;
  const auto id = fixture.Push('a', 1, 10ms);
  fixture.mQueue.Cancel(id);
  fixture.mQueue.Cancel(id);
  fixture.mFreeSlots = 1;
  fixture.mQueue.Dispatch();
  CHECK(fixture.mStarted.empty());
}

TEST_CASE("only requests that would start earlier are counted as ahead")
{
  Fixture fixture;
  fixture.Push('a', 1, 10ms);
  fixture.Push('b', 2, 10ms);
  CHECK(fixture.mQueue.CountAhead(1, kNow + 5ms) == 0);
  CHECK(fixture.mQueue.CountAhead(1, kNow + 20ms) == 1);
  CHECK(fixture.mQueue.CountAhead(2, kNow + 20ms) == 2);
}

TEST_CASE("a starting request may cancel others and dispatch the queue again")
{
  WaitQueue queue;
  WaitQueue::EntryId second = 0;
  bool started = false;
  queue.Push(1, kNow, WaitQueue::Reach::AllUpstreams, [&] {
    queue.Cancel(second);
    queue.Dispatch();
    return true;
  });
  second = queue.Push(1, kNow + 1ms, WaitQueue::Reach::AllUpstreams,
                      [&] { return started = true; });
  queue.Dispatch();
  CHECK_FALSE(started);
  CHECK(queue.Length() == 0);
}
