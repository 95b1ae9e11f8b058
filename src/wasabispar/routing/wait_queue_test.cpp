/// @file
/// @brief Tests of the order in which waiting requests start.
#include "wasabispar/routing/wait_queue.hpp"

#include <doctest/doctest.h>

#include <limits>
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
                          WaitQueue::Reach aReach = WaitQueue::Reach::AllUpstreams,
                          WaitRank aRank = WaitRank::Regular)
  {
    const auto start = [this, aName, aCanStart] {
      if (mFreeSlots == 0 || !aCanStart) {
        return false;
      }
      --mFreeSlots;
      mStarted += aName;
      return true;
    };
    return mQueue.Push(aPriority, kNow + aAnswerBy, aReach, start, aRank);
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
  fixture.mQueue.Dispatch(kNow);
  CHECK(fixture.mStarted == "cb");
  CHECK(fixture.mQueue.Length() == 1);
}

/// Guards against late requests that make the others late, too, and against urgent ones
/// that wait behind less urgent ones because they are late.
TEST_CASE("late requests follow the others of their priority")
{
  Fixture fixture;
  fixture.Push('a', 1, -20ms);
  fixture.Push('b', 1, -10ms);
  fixture.Push('c', 1, 30ms);
  fixture.Push('d', 2, 5ms);
  fixture.Push('e', 1, 10ms);
  CHECK(fixture.mQueue.CountAhead(1, kNow + 20ms, kNow) == 1);
  CHECK(fixture.mQueue.CountAhead(1, kNow - 15ms, kNow) == 3);
  CHECK(fixture.mQueue.CountAhead(2, kNow + 1ms, kNow) == 4);
  fixture.mFreeSlots = 5;
  fixture.mQueue.Dispatch(kNow);
  CHECK(fixture.mStarted == "ecabd");
}

/// Guards against callers that overtake others by returning early, and against urgent
/// ones that wait behind less urgent ones because they did.
TEST_CASE("requests that returned early follow the others of their priority")
{
  Fixture fixture;
  fixture.Push('a', 0, 10ms, true, WaitQueue::Reach::AllUpstreams, WaitRank::Last);
  fixture.Push('b', 1, 10ms, true, WaitQueue::Reach::AllUpstreams, WaitRank::Last);
  fixture.Push('c', 0, -10ms);
  fixture.Push('d', 1, 50ms);
  CHECK(fixture.mQueue.CountAhead(0, kNow + 90ms, kNow) == 0);
  CHECK(fixture.mQueue.CountAhead(0, kNow - 5ms, kNow) == 1);
  CHECK(fixture.mQueue.CountAhead(1, kNow + 1ms, kNow, WaitRank::Last) == 3);
  fixture.mFreeSlots = 4;
  fixture.mQueue.Dispatch(kNow);
  CHECK(fixture.mStarted == "cadb");
}

/// Load pattern: for a second, half as many requests again as the service can run; each
/// is on time if it starts within 50 ms.
TEST_CASE("load pattern: in an overload, most of what the service runs is on time")
{
  constexpr auto kObjective = 50ms;
  Fixture fixture;
  int onTime = 0;
  int started = 0;
  auto now = kNow;
  for (int i = 0; i < 1000; ++i, now += 1ms) {
    for (int k = 0; k < (i % 2 == 0 ? 1 : 2); ++k) {
      const auto answerBy = now + kObjective;
      fixture.mQueue.Push(1, answerBy, WaitQueue::Reach::AllUpstreams, [&, answerBy] {
        if (fixture.mFreeSlots == 0) {
          return false;
        }
        --fixture.mFreeSlots;
        ++started;
        onTime += now <= answerBy ? 1 : 0;
        return true;
      });
    }
    fixture.mFreeSlots = 1;
    fixture.mQueue.Dispatch(now);
  }
  CHECK(started == 1000);
  CHECK(onTime >= 900);
}

TEST_CASE("the highest priority number has a place in the queue")
{
  Fixture fixture;
  fixture.Push('a', std::numeric_limits<std::uint32_t>::max(), 10ms);
  fixture.Push('b', 0, 10ms);
  fixture.mFreeSlots = 2;
  fixture.mQueue.Dispatch(kNow);
  CHECK(fixture.mStarted == "ba");
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
  fixture.mQueue.Dispatch(kNow);
  CHECK(fixture.mStarted == "b");
}

TEST_CASE("a request that cannot start does not block those behind it")
{
  Fixture fixture;
  fixture.Push('a', 1, 10ms, false);
  fixture.Push('b', 1, 20ms);
  fixture.mFreeSlots = 1;
  fixture.mQueue.Dispatch(kNow);
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
  fixture.mQueue.Dispatch(kNow);
  CHECK(fixture.mStarted.empty());
}

TEST_CASE("only requests that would start earlier are counted as ahead")
{
  Fixture fixture;
  fixture.Push('a', 1, 10ms);
  fixture.Push('b', 2, 10ms);
  CHECK(fixture.mQueue.CountAhead(1, kNow + 5ms, kNow) == 0);
  CHECK(fixture.mQueue.CountAhead(1, kNow + 20ms, kNow) == 1);
  CHECK(fixture.mQueue.CountAhead(2, kNow + 20ms, kNow) == 2);
}

TEST_CASE("a starting request may cancel others and dispatch the queue again")
{
  WaitQueue queue;
  WaitQueue::EntryId second = 0;
  bool started = false;
  queue.Push(1, kNow, WaitQueue::Reach::AllUpstreams, [&] {
    queue.Cancel(second);
    queue.Dispatch(kNow);
    return true;
  });
  second = queue.Push(1, kNow + 1ms, WaitQueue::Reach::AllUpstreams,
                      [&] { return started = true; });
  queue.Dispatch(kNow);
  CHECK_FALSE(started);
  CHECK(queue.Length() == 0);
}
