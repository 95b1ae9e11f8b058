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
                StartFn aStart, WaitRank aRank)
{
  const auto id = mNextId++;
  const Key key{ aPriority, aRank, aAnswerBy, id };
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
    const auto first = FirstOf(priority, WaitRank::Regular);
    const Key firstOnTime{ priority, WaitRank::Regular, aNow, 0 };
    const auto firstOfLast = FirstOf(priority, WaitRank::Last);
    const auto end = FirstOf(priority + 1, WaitRank::Regular);
    goesOn = DispatchRange(firstOnTime, firstOfLast, budget) &&
             DispatchRange(first, firstOnTime, budget) &&
             DispatchRange(firstOfLast, end, budget);
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

WaitQueue::Key
WaitQueue::FirstOf(std::uint64_t aPriority, WaitRank aRank)
{
  return { aPriority, aRank, TimePoint::min(), 0 };
}

std::size_t
WaitQueue::Count(const Key& aFirst, const Key& aEnd) const
{
  return static_cast<std::size_t>(
    std::distance(mWaiting.lower_bound(aFirst), mWaiting.lower_bound(aEnd)));
}

std::size_t
WaitQueue::CountAhead(std::uint32_t aPriority, TimePoint aAnswerBy, TimePoint aNow,
                      WaitRank aRank) const
{
  const Key own{ aPriority, aRank, aAnswerBy, 0 };
  const auto first = FirstOf(aPriority, WaitRank::Regular);
  const auto moreUrgent = Count(FirstOf(0, WaitRank::Regular), first);
  if (aRank == WaitRank::Last) {
    return moreUrgent + Count(first, own);
  }
  const Key firstOnTime{ aPriority, WaitRank::Regular, aNow, 0 };
  if (aAnswerBy >= aNow) {
    return moreUrgent + Count(firstOnTime, own);
  }
  return moreUrgent + Count(firstOnTime, FirstOf(aPriority, WaitRank::Last)) +
         Count(first, own);
}

} // namespace wasabispar
