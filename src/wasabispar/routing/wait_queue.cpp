/// @file
/// @brief Order and dispatch of waiting requests.
#include "wasabispar/routing/wait_queue.hpp"

#include <iterator>
#include <utility>

namespace wasabispar {

namespace {

/// Maximum number of requests that one dispatch skips. A skipped request has already
/// tried all upstreams that are free, while a request behind it may still use one of
/// them.
constexpr std::size_t kMaxSkippedRequests = 4;
/// The same for requests that some upstreams may not run, and which hold up no others.
constexpr std::size_t kMaxSkippedLimitedRequests = 64;

} // namespace

WaitQueue::EntryId
WaitQueue::Push(std::uint32_t aPriority, TimePoint aAnswerBy, Reach aReach,
                StartFn aStart)
{
  const auto id = mNextId++;
  const Key key{ aPriority, aAnswerBy, id };
  mWaiting.emplace(key, Entry{ aReach, std::move(aStart) });
  mKeysById.emplace(id, key);
  return id;
}

void
WaitQueue::Cancel(EntryId aId)
{
  const auto key = mKeysById.find(aId);
  if (key == mKeysById.end()) {
    return;
  }
  mWaiting.erase(key->second);
  mKeysById.erase(key);
}

void
WaitQueue::Dispatch(TimePoint aNow)
{
  // A started request may end at once and call this function again.
  if (mIsDispatching) {
    return;
  }
  mIsDispatching = true;
  SkipBudget budget{ kMaxSkippedRequests, kMaxSkippedLimitedRequests };
  bool goesOn = true;
  for (auto next = mWaiting.begin(); goesOn && next != mWaiting.end();) {
    const auto priority = next->first.mPriority;
    const Key first{ priority, TimePoint::min(), 0 };
    const Key firstOnTime{ priority, aNow, 0 };
    const Key end{ priority + 1, TimePoint::min(), 0 };
    goesOn = DispatchRange(firstOnTime, end, budget) &&
             DispatchRange(first, firstOnTime, budget);
    next = mWaiting.lower_bound(end);
  }
  mIsDispatching = false;
}

bool
WaitQueue::DispatchRange(const Key& aFirst, const Key& aEnd, SkipBudget& aBudget)
{
  for (auto next = mWaiting.lower_bound(aFirst);
       next != mWaiting.end() && next->first < aEnd;) {
    const auto key = next->first;
    const auto entry = next->second;
    if (entry.mStart()) {
      Cancel(key.mId);
    } else {
      auto& left =
        entry.mReach == Reach::AllUpstreams ? aBudget.mUnlimited : aBudget.mLimited;
      if (--left == 0) {
        return false;
      }
    }
    next = mWaiting.upper_bound(key);
  }
  return true;
}

std::size_t
WaitQueue::CountAhead(std::uint32_t aPriority, TimePoint aAnswerBy, TimePoint aNow) const
{
  const auto count = [this](const Key& aFirst, const Key& aEnd) {
    return static_cast<std::size_t>(
      std::distance(mWaiting.lower_bound(aFirst), mWaiting.lower_bound(aEnd)));
  };
  const Key first{ aPriority, TimePoint::min(), 0 };
  const Key firstOnTime{ aPriority, aNow, 0 };
  const Key own{ aPriority, aAnswerBy, 0 };
  const auto moreUrgent = count({ 0, TimePoint::min(), 0 }, first);
  if (aAnswerBy >= aNow) {
    return moreUrgent + count(firstOnTime, own);
  }
  const Key end{ first.mPriority + 1, TimePoint::min(), 0 };
  return moreUrgent + count(firstOnTime, end) + count(first, own);
}

} // namespace wasabispar
