/// @file
/// @brief Priority queue of the requests that wait for a free upstream of a service.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>

namespace wasabispar {

/// @brief The rank of a waiting request among those of its priority.
enum class WaitRank : std::uint8_t
{
  Regular,
  /// Starts after all others of its priority, because its caller returned earlier than it
  /// was told.
  Last,
};

/// @brief Starts waiting requests in the order of their priority, then of the last time
/// at which an answer is on time. Those for which it has passed follow the others of
/// their priority, and are followed by those of WaitRank::Last. Not thread-safe.
///
/// Load pattern: callers compete for too little room. If late requests kept their place,
/// each one would make another late, and all answers would be late until the burst is
/// over.
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
  EntryId Push(std::uint32_t aPriority, TimePoint aAnswerBy, Reach aReach, StartFn aStart,
               WaitRank aRank = WaitRank::Regular);
  /// @brief Removes a waiting request; does nothing when the request is not in the queue.
  void Cancel(EntryId aId);
  /// @brief Starts requests from the head of the queue. Skips requests that can't start,
  /// and stops after a few of them.
  void Dispatch(TimePoint aNow);
  /// @brief Number of waiting requests.
  std::size_t Length() const { return mWaiting.size(); }
  /// @brief Number of waiting requests that would start at @p aNow before a new request
  /// with this priority, time and rank.
  std::size_t CountAhead(std::uint32_t aPriority, TimePoint aAnswerBy, TimePoint aNow,
                         WaitRank aRank = WaitRank::Regular) const;

private:
  /// The order of the queue, except that late requests follow those of their rank;
  /// the id keeps requests of the same urgency in order of arrival.
  struct Key
  {
    /// Wider than a priority, so that there is a next one.
    std::uint64_t mPriority = 0;
    WaitRank mRank = WaitRank::Regular;
    TimePoint mAnswerBy;
    EntryId mId = 0;
    auto operator<=>(const Key&) const = default;
  };

  struct Entry
  {
    Reach mReach = Reach::AllUpstreams;
    StartFn mStart;
  };

  /// Numbers of entries that Dispatch() may still skip.
  struct SkipBudget
  {
    std::size_t mUnlimited = 0;
    std::size_t mLimited = 0;
  };
  /// The first key of a priority and rank.
  static Key FirstOf(std::uint64_t aPriority, WaitRank aRank);
  /// Number of entries from @p aFirst on and before @p aEnd.
  std::size_t Count(const Key& aFirst, const Key& aEnd) const;
  /// Starts the entries from @p aFirst on and before @p aEnd; returns false once too many
  /// were skipped.
  bool DispatchRange(const Key& aFirst, const Key& aEnd, SkipBudget& aBudget);

  EntryId mNextId = 1;
  std::map<Key, Entry> mWaiting;
  /// Invariant: holds the key of each element of mWaiting.
  std::map<EntryId, Key> mKeysById;
  /// Dispatch() is running, so a nested call returns at once.
  bool mIsDispatching = false;
};

} // namespace wasabispar
