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
WaitQueue::Dispatch()
{
  // A started request may end at once and call this function again.
  if (mIsDispatching) {
    return;
  }
  mIsDispatching = true;
  std::size_t skipped = 0;
  std::size_t skippedLimited = 0;
  auto next = mWaiting.begin();
  while (next != mWaiting.end() && skipped < kMaxSkippedRequests &&
         skippedLimited < kMaxSkippedLimitedRequests) {
    const auto key = next->first;
    const auto entry = next->second;
    if (entry.mStart()) {
      Cancel(key.mId);
    } else {
      ++(entry.mReach == Reach::AllUpstreams ? skipped : skippedLimited);
    }
    next = mWaiting.upper_bound(key);
  }
  mIsDispatching = false;
}

std::size_t
WaitQueue::CountAhead(std::uint32_t aPriority, TimePoint aAnswerBy) const
{
  const auto end = mWaiting.lower_bound(Key{ aPriority, aAnswerBy, 0 });
  return static_cast<std::size_t>(std::distance(mWaiting.begin(), end));
}

} // namespace wasabispar
