/// @file
/// @brief Priority queue of the requests that wait for a free upstream of a service.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>

namespace wasabispar {

/// @brief Starts waiting requests in the order of their priority, then of the last time
/// at which an answer is on time. Not thread-safe.
class WaitQueue
{
public:
  /// Identifies a waiting request; never 0.
  using EntryId = std::uint64_t;
  /// Tries to start the request; returns false when the request must stay in the queue.
  using StartFn = std::function<bool()>;

  /// Which upstreams of the service may run a request.
  enum class Reach : std::uint8_t
  {
    AllUpstreams,
    /// Not all, so that others may start although it can't.
    SomeUpstreams,
  };

  /// @brief Adds a request. @p aPriority 0 is the most urgent; @p aAnswerBy is the last
  /// time at which an answer is on time.
  EntryId Push(std::uint32_t aPriority, TimePoint aAnswerBy, Reach aReach,
               StartFn aStart);
  /// @brief Removes a waiting request; does nothing when the request is not in the queue.
  void Cancel(EntryId aId);
  /// @brief Starts requests from the head of the queue. Skips requests that can't start,
  /// and stops after a few of them.
  void Dispatch();
  /// @brief Number of waiting requests.
  std::size_t Length() const { return mWaiting.size(); }
  /// @brief Number of waiting requests that would start before a new request with this
  /// priority and time.
  std::size_t CountAhead(std::uint32_t aPriority, TimePoint aAnswerBy) const;

private:
  /// The order of the queue; the id keeps requests of the same urgency in order of
  /// arrival.
  struct Key
  {
    std::uint32_t mPriority = 0;
    TimePoint mAnswerBy;
    EntryId mId = 0;
    auto operator<=>(const Key&) const = default;
  };

  struct Entry
  {
    Reach mReach = Reach::AllUpstreams;
    StartFn mStart;
  };

  EntryId mNextId = 1;
  std::map<Key, Entry> mWaiting;
  /// Invariant: holds the key of each element of mWaiting.
  std::map<EntryId, Key> mKeysById;
  /// Dispatch() is running, so a nested call returns at once.
  bool mIsDispatching = false;
};

} // namespace wasabispar
