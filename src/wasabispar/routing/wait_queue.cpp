/// @file
/// @brief WaitQueue.
#include "wasabispar/routing/wait_queue.hpp"

#include <iterator>
#include <utility>

namespace wasabispar {

namespace {

/// Requests that may be passed over in one run: the upstreams that are free for others
/// were already asked for these.
constexpr std::size_t kMaxBlocked = 4;

} // namespace

WaitQueue::Ticket
WaitQueue::Push(std::uint32_t aPriority, TimePoint aAnswerBy, StartFn aStart)
{
  const auto ticket = mNextTicket++;
  const Key key{ aPriority, aAnswerBy, ticket };
  mWaiting.emplace(key, std::move(aStart));
  mKeys.emplace(ticket, key);
  return ticket;
}

void
WaitQueue::Cancel(Ticket aTicket)
{
  const auto key = mKeys.find(aTicket);
  if (key == mKeys.end()) {
    return;
  }
  mWaiting.erase(key->second);
  mKeys.erase(key);
}

void
WaitQueue::Pump()
{
  // A started request may end at once and call Pump() again.
  if (mIsPumping) {
    return;
  }
  mIsPumping = true;
  std::size_t blocked = 0;
  auto next = mWaiting.begin();
  while (next != mWaiting.end() && blocked < kMaxBlocked) {
    const auto key = next->first;
    const auto start = next->second;
    if (start()) {
      Cancel(key.mTicket);
    } else {
      ++blocked;
    }
    next = mWaiting.upper_bound(key);
  }
  mIsPumping = false;
}

std::size_t
WaitQueue::Ahead(std::uint32_t aPriority, TimePoint aAnswerBy) const
{
  const auto end = mWaiting.lower_bound(Key{ aPriority, aAnswerBy, 0 });
  return static_cast<std::size_t>(std::distance(mWaiting.begin(), end));
}

} // namespace wasabispar
