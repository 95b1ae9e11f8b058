/// @file
/// @brief Tests of FairQueue: comparison with a naive round robin, and the waits of the
/// other callers when one caller exceeds its fair share.
#include "wasabispar/admission/fair_queue.hpp"

#include "queue_simulation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxLength = 12;
constexpr std::size_t kMaxLengthPerCaller = 6;

struct NaiveItem
{
  std::uint64_t mHandle;
  TimePoint mDeadline;
};

/// Round robin by a plain vector of callers in the order of service, each with its items.
class NaiveQueue
{
public:
  struct Turn
  {
    std::string mCaller;
    std::deque<NaiveItem> mItems;
  };

  std::size_t Length(const std::string& aCaller) const
  {
    const auto turn = std::ranges::find(mTurns, aCaller, &Turn::mCaller);
    return turn == mTurns.end() ? 0 : turn->mItems.size();
  }
  std::size_t Length() const
  {
    std::size_t length = 0;
    for (const auto& turn : mTurns) {
      length += turn.mItems.size();
    }
    return length;
  }
  std::size_t Longest() const
  {
    std::size_t longest = 0;
    for (const auto& turn : mTurns) {
      longest = std::max(longest, turn.mItems.size());
    }
    return longest;
  }
  /// Handle of the youngest item of a caller; 0 if there is none.
  std::uint64_t Youngest(const std::string& aCaller) const
  {
    const auto turn = std::ranges::find(mTurns, aCaller, &Turn::mCaller);
    return turn == mTurns.end() ? 0 : turn->mItems.back().mHandle;
  }
  void Push(const std::string& aCaller, NaiveItem aItem)
  {
    auto turn = std::ranges::find(mTurns, aCaller, &Turn::mCaller);
    if (turn == mTurns.end()) {
      turn = mTurns.insert(mTurns.end(), { aCaller, {} });
    }
    turn->mItems.push_back(aItem);
  }
  bool Erase(std::uint64_t aHandle)
  {
    std::size_t erased = 0;
    for (auto& turn : mTurns) {
      erased += std::erase_if(
        turn.mItems, [&](const NaiveItem& aItem) { return aItem.mHandle == aHandle; });
    }
    DropEmpty();
    return erased > 0;
  }
  std::set<std::uint64_t> Expire(TimePoint aNow)
  {
    std::set<std::uint64_t> expired;
    for (auto& turn : mTurns) {
      std::erase_if(turn.mItems, [&](const NaiveItem& aItem) {
        if (aItem.mDeadline <= aNow) {
          expired.insert(aItem.mHandle);
        }
        return aItem.mDeadline <= aNow;
      });
    }
    DropEmpty();
    return expired;
  }
  /// Handle of the next item that has not expired; 0 if there is none.
  std::uint64_t Pop(TimePoint aNow, std::set<std::uint64_t>& aExpired)
  {
    while (!mTurns.empty()) {
      auto turn = mTurns.front();
      const auto item = turn.mItems.front();
      mTurns.front().mItems.pop_front();
      DropEmpty();
      if (item.mDeadline <= aNow) {
        aExpired.insert(item.mHandle);
        continue;
      }
      if (!mTurns.empty() && mTurns.front().mCaller == turn.mCaller) {
        std::rotate(mTurns.begin(), mTurns.begin() + 1, mTurns.end());
      }
      return item.mHandle;
    }
    return 0;
  }

private:
  void DropEmpty()
  {
    std::erase_if(mTurns, [](const Turn& aTurn) { return aTurn.mItems.empty(); });
  }

  std::vector<Turn> mTurns;
};

using Queue = FairQueue<std::uint64_t>;

/// Applies the same steps to both queues and compares the results. The value of an item
/// is its handle.
class Comparison
{
public:
  Comparison()
    : mQueue({ kMaxLength, kMaxLengthPerCaller, 1, 16, 0, 4ms })
  {
  }

  void Step(std::uint32_t aWord)
  {
    const auto argument = aWord / 8;
    switch (aWord % 8) {
      case 0:
      case 1:
      case 2:
      case 3:
        return Push(std::string(1, static_cast<char>('a' + argument % 4)),
                    mNow + (argument % 7) * 5ms);
      case 4:
        return Pop();
      case 5: {
        const auto handle = argument % mNext;
        RC_ASSERT(mQueue.Cancel(handle).has_value() == mNaive.Erase(handle));
        return;
      }
      case 6: {
        std::set<std::uint64_t> expired;
        for (const auto& dropped : mQueue.Expire(mNow)) {
          expired.insert(dropped.mValue);
        }
        RC_ASSERT(expired == mNaive.Expire(mNow));
        return;
      }
      default:
        // Some steps are longer than a round of the timer wheel.
        mNow += argument % 32 == 0 ? 3s : argument % 9 * 1ms;
    }
  }

  void Push(const std::string& aCaller, TimePoint aDeadline)
  {
    const auto own = mNaive.Length(aCaller);
    auto result = mQueue.Push(CallerId(aCaller), mNext, 1, aDeadline, mNow);
    if (aDeadline <= mNow || own == kMaxLengthPerCaller) {
      RC_ASSERT(result.mHandle == 0U);
      return;
    }
    if (mNaive.Length() == kMaxLength && own + 1 >= mNaive.Longest()) {
      RC_ASSERT(result.mDropped->mReason == FairQueueDrop::Full);
      return;
    }
    if (mNaive.Length() == kMaxLength) {
      const auto& displaced = result.mDropped->mCaller.Text();
      RC_ASSERT(mNaive.Length(displaced) == mNaive.Longest());
      RC_ASSERT(result.mDropped->mValue == mNaive.Youngest(displaced));
      mNaive.Erase(result.mDropped->mValue);
    } else {
      RC_ASSERT_FALSE(result.mDropped);
    }
    RC_ASSERT(result.mHandle == mNext);
    mNaive.Push(aCaller, { mNext++, aDeadline });
    RC_ASSERT(mQueue.Length() == mNaive.Length());
  }

  void Pop()
  {
    std::vector<Queue::Dropped> dropped;
    std::set<std::uint64_t> expected;
    const auto popped = mQueue.Pop(mNow, dropped);
    RC_ASSERT((popped ? popped->mValue : 0) == mNaive.Pop(mNow, expected));
    std::set<std::uint64_t> expired;
    for (const auto& item : dropped) {
      expired.insert(item.mValue);
    }
    RC_ASSERT(expired == expected);
  }

private:
  TimePoint mNow{ 100s };
  /// The handle that FairQueue will assign next; handles count from 1.
  std::uint64_t mNext = 1;
  Queue mQueue;
  NaiveQueue mNaive;
};

} // namespace

TEST_CASE("without credit and with equal costs the order is that of a naive round robin")
{
  // Guards against a lost or duplicated item, a wrong order of callers and a drop of an
  // item of the wrong caller, also when items are cancelled or expire.
  CHECK(rc::check([] {
    const auto words = *rc::gen::resize(
      500, rc::gen::container<std::vector<std::uint32_t>>(
             rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1U << 31U))));
    Comparison comparison;
    for (const auto word : words) {
      comparison.Step(word);
    }
    for (std::size_t i = 0; i < kMaxLength + 1; ++i) {
      comparison.Pop();
    }
  }));
}

TEST_CASE("callers that always have items get the same service, whatever their costs")
{
  // Guards against a caller that gets more service by large items or by unearned credit.
  CHECK(rc::check([] {
    FairQueueOptions options;
    options.mMaxLengthPerCaller = 4;
    options.mQuantum = 3;
    FairQueue<std::uint32_t> queue(options);
    const auto costs = *rc::gen::container<std::vector<std::uint32_t>>(
      300, rc::gen::inRange<std::uint32_t>(1, 17));
    std::map<CallerId, std::uint64_t> served{ { CallerId("a"), 0 },
                                              { CallerId("b"), 0 },
                                              { CallerId("c"), 0 } };
    std::vector<FairQueue<std::uint32_t>::Dropped> expired;
    for (std::size_t i = 0; i < costs.size(); ++i) {
      for (const auto& [caller, cost] : served) {
        // Caller a has small items only.
        while (queue.Length(caller) < 2) {
          const auto next = caller.Text() == "a" ? 1 : costs[(i + queue.Length()) % 300];
          queue.Push(caller, next, next, TimePoint{ 9s }, TimePoint{});
        }
      }
      const auto popped = queue.Pop(TimePoint{}, expired);
      served[popped->mCaller] += popped->mValue;
    }
    const auto [least, most] = std::ranges::minmax_element(
      served, {}, [](const auto& aEntry) { return aEntry.second; });
    RC_ASSERT(most->second - least->second <=
              options.mBurstCredit + options.mMaxCost + options.mQuantum);
  }));
}

TEST_CASE("a caller with idle times and bursts gets no more than its fair share")
{
  // Guards against credit that lets such a caller get more service than one that always
  // has items.
  FairQueue<int> queue;
  std::vector<FairQueue<int>::Dropped> expired;
  int served = 0;
  for (int round = 0; round < 100; ++round) {
    std::vector<FairQueue<int>::Handle> burst;
    for (int i = 0; i < 120; ++i) {
      queue.Push(CallerId("steady"), 0, 1, TimePoint{ 9s }, TimePoint{});
      while (i >= 40 && burst.size() < 80) {
        burst.push_back(
          queue.Push(CallerId("burst"), 1, 1, TimePoint{ 9s }, TimePoint{}).mHandle);
      }
      served += queue.Pop(TimePoint{}, expired)->mValue;
    }
    for (const auto handle : burst) {
      queue.Cancel(handle);
    }
  }
  CHECK(served <= 100 * 120 / 2);
}

TEST_CASE("a caller at ten times its fair share delays the others by at most 10%")
{
  // Guards against unfair service. The naive round robin exceeds this bound.
  simulation::SlotLoad load;
  load.mSeconds = 100;
  for (const std::size_t callers : { 4U, 20U }) {
    load.mCallers = callers;
    load.mExcessFactor = 1;
    const auto baseline = simulation::SimulateSlots(load, simulation::FairPolicy());
    load.mExcessFactor = 10;
    const auto fair = simulation::SimulateSlots(load, simulation::FairPolicy());
    const auto naive =
      simulation::SimulateSlots(load, simulation::NaiveRoundRobinPolicy(callers));
    CAPTURE(callers);
    CHECK(fair.mMeanMs <= 1.1 * baseline.mMeanMs);
    CHECK(fair.mResponseP99Ms <= 1.1 * baseline.mResponseP99Ms);
    CHECK(naive.mMeanMs > 1.1 * baseline.mMeanMs);
  }
}
