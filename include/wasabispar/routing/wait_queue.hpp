/// @file
/// @brief Requests that wait for a free upstream of one service.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>

namespace wasabispar {

/// @brief Orders waiting requests by priority, then by the time until which an answer is
/// on time. Not thread-safe.
class WaitQueue
{
public:
  /// Identifies a waiting request; never 0.
  using EntryId = std::uint64_t;
  /// Tries to start the request; false leaves it in the queue.
  using StartFn = std::function<bool()>;

  EntryId Push(std::uint32_t aPriority, TimePoint aAnswerBy, StartFn aStart);
  /// @brief Removes a waiting request; does nothing when it has left the queue.
  void Cancel(EntryId aId);
  /// @brief Starts requests from the head. One that cannot start does not block those
  /// behind it, up to a few.
  void Dispatch();
  std::size_t Length() const { return mWaiting.size(); }
  /// @brief Waiting requests that stand before one of this priority and time.
  std::size_t CountAhead(std::uint32_t aPriority, TimePoint aAnswerBy) const;

private:
  struct Key
  {
    std::uint32_t mPriority = 0;
    TimePoint mAnswerBy;
    EntryId mId = 0;
    auto operator<=>(const Key&) const = default;
  };

  EntryId mNextId = 1;
  std::map<Key, StartFn> mWaiting;
  /// Invariant: holds the key of each element of mWaiting.
  std::map<EntryId, Key> mKeysById;
  bool mIsDispatching = false;
};

} // namespace wasabispar
