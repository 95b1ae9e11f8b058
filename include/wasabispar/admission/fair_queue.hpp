/// @file
/// @brief A fair queue: deficit round robin over the callers by the cost of their items,
/// with precedence for callers that used less than their fair share before.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wasabispar {

/// @brief Settings of FairQueue.
struct FairQueueOptions
{
  /// Maximum number of items of all callers.
  std::size_t mMaxLength = 2048;
  /// Maximum number of items of one caller.
  std::size_t mMaxLengthPerCaller = 512;
  /// Cost that is added to the deficit counter of a caller in each round. Small, so that
  /// few items of one caller are served in succession.
  std::uint32_t mQuantum = 1;
  /// Maximum cost of an item; larger costs are reduced to this value. An item is passed
  /// over in at most mMaxCost / mQuantum rounds until the deficit counter of its caller
  /// covers its cost.
  std::uint32_t mMaxCost = 16;
  /// Maximum credit of a caller, as cost. A caller earns credit while it uses less than
  /// its fair share. Callers with credit are served before callers without, so a caller
  /// above its fair share does not delay the others. 0 gives plain deficit round robin.
  /// Of 16, 32, 64 and 128, 64 is the smallest value with which a caller above its fair
  /// share does not raise the p99 wait of the others at loads of 0.9 and 0.95; see
  /// docs/decisions/fair-queue.md.
  std::uint32_t mBurstCredit = 64;
  /// Resolution of Expire().
  Duration mExpiryTick = std::chrono::milliseconds(4);
};

/// @brief Why an item left the queue without being served.
enum class FairQueueDrop
{
  /// The queue is full, and the caller of the item has the longest queue or would have
  /// one as long with this item.
  Full,
  /// The caller already has mMaxLengthPerCaller items.
  CallerFull,
  /// The item was the youngest of the caller with the longest queue, and the full queue
  /// needed its place for an item of another caller.
  Displaced,
  /// The queue deadline of the item passed.
  Deadline,
};

/// @brief A fair queue of items of type @p T; the items of one caller are served first
/// in, first out. Not thread-safe; the owner must hold a lock.
///
/// Callers with credit are served first, in turn; then the others by deficit round robin.
/// Credit accrues, up to a limit, while a caller has no items. Its rate is that of a fair
/// share: the cost served, divided by the number of callers including this one. The
/// credit is thus service that the caller could have used, and over a long time no caller
/// with competing callers gets more than its fair share. A caller that has been idle for
/// long has the full credit.
///
/// Admission uses one queue, and the connection pool of each upstream has one, from which
/// Pop() takes the next item when a connection is free. The queue is keyed by the caller
/// and not by the VM that forwarded the item, so a caller gains nothing when it spreads
/// its requests over VMs.
///
/// Push(), Pop() and Cancel() take O(1) amortised time (mMaxCost / mQuantum is a
/// constant); Expire() takes O(1) for each passed tick and each item in its slot. A
/// caller uses memory while it has items, and afterwards until its credit is full again.
template<class T>
class FairQueue
{
public:
  /// @brief Identifies a queued item; 0 stands for no item. Never reused.
  using Handle = std::uint64_t;

  /// @brief An item that left the queue without being served.
  struct Dropped
  {
    CallerId mCaller;
    T mValue;
    FairQueueDrop mReason;
  };

  /// @brief An item that is served.
  struct Popped
  {
    CallerId mCaller;
    T mValue;
    std::uint32_t mCost;
    /// Time between Push() and Pop().
    Duration mWaited;
  };

  /// @brief Result of Push().
  struct PushResult
  {
    /// Handle of the new item; 0 if the new item was dropped.
    Handle mHandle = 0;
    /// The new item or the item that it displaced, if one of them was dropped.
    std::optional<Dropped> mDropped;
  };

  explicit FairQueue(FairQueueOptions aOptions = {})
    : mOptions(aOptions)
    , mWheel(kWheelSlots)
    , mCallersByLength(aOptions.mMaxLengthPerCaller + 1)
  {
  }
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  /// @brief Adds an item, which is dropped if it is still queued at @p aDeadline.
  PushResult Push(const CallerId& aCaller, T aValue, std::uint32_t aCost,
                  TimePoint aDeadline, TimePoint aNow)
  {
    const auto length = Length(aCaller);
    if (const auto drop = DropReasonOf(length, aDeadline, aNow)) {
      return { 0, Dropped{ aCaller, std::move(aValue), *drop } };
    }
    PushResult result;
    if (mItems.size() >= mOptions.mMaxLength) {
      auto& longest = *mCallersByLength[mLongestLength].front();
      result.mDropped =
        DropItem(std::prev(longest.mItems.end()), FairQueueDrop::Displaced);
    }
    result.mHandle = Append(aCaller, std::move(aValue), aCost, aDeadline, aNow);
    return result;
  }

  /// @brief Removes and returns the next item whose deadline has not passed; empty if
  /// there is none. Items found with a passed deadline are dropped and appended to @p
  /// aExpired.
  std::optional<Popped> Pop(TimePoint aNow, std::vector<Dropped>& aExpired)
  {
    while (!mCredited.empty() || !mActive.empty()) {
      auto& queue = mCredited.empty() ? *mActive.front() : *mCredited.front();
      const auto item = queue.mItems.begin();
      if (item->mDeadline <= aNow) {
        aExpired.push_back(DropItem(item, FairQueueDrop::Deadline));
        continue;
      }
      if (queue.mState == SchedulingState::Credited) {
        if (item->mCost * kCreditPerCost > queue.mCredit) {
          Demote(queue);
          continue;
        }
        return Serve(queue, aNow);
      }
      if (!queue.mHasTurn) {
        queue.mHasTurn = true;
        queue.mDeficit += mOptions.mQuantum;
      }
      if (item->mCost > queue.mDeficit) {
        EndTurn(queue);
        continue;
      }
      return Serve(queue, aNow);
    }
    return std::nullopt;
  }

  /// @brief Removes an item and returns its value; empty when the item has already left
  /// the queue.
  std::optional<T> Cancel(Handle aHandle)
  {
    const auto found = mItems.find(aHandle);
    if (found == mItems.end()) {
      return std::nullopt;
    }
    const auto item = found->second;
    auto value = std::move(item->mValue);
    Remove(item);
    return value;
  }

  /// @brief Removes and returns the items whose deadline has passed.
  std::vector<Dropped> Expire(TimePoint aNow)
  {
    std::vector<Dropped> dropped;
    const auto last = TickOf(aNow);
    const auto first =
      std::max(mNextTick, last - std::min<std::int64_t>(last, kWheelSlots - 1));
    for (auto tick = first; tick <= last; ++tick) {
      ExpireSlot(mWheel[static_cast<std::size_t>(tick) % kWheelSlots], aNow, dropped);
    }
    mNextTick = std::max(mNextTick, last);
    return dropped;
  }

  /// @brief Removes all items and returns their values, for a shutdown.
  std::vector<T> Clear()
  {
    std::vector<T> values;
    while (!mItems.empty()) {
      const auto item = mItems.begin()->second;
      values.push_back(std::move(item->mValue));
      Remove(item);
    }
    return values;
  }

  /// @brief Number of items of all callers.
  std::size_t Length() const { return mItems.size(); }
  /// @brief Number of items of one caller.
  std::size_t Length(const CallerId& aCaller) const
  {
    const auto found = mQueues.find(aCaller);
    return found == mQueues.end() ? 0 : found->second.mItems.size();
  }
  /// @brief Number of callers that have items.
  std::size_t Callers() const { return mActive.size() + mCredited.size(); }

private:
  struct CallerQueue;
  struct Item
  {
    Handle mHandle;
    CallerQueue* mQueue;
    T mValue;
    std::uint32_t mCost;
    TimePoint mDeadline;
    TimePoint mPushed;
    std::size_t mSlot;
    std::list<Handle>::iterator mSlotPosition;
  };
  using ItemPosition = typename std::list<Item>::iterator;
  using QueueList = std::list<CallerQueue*>;
  /// Tells which of the lists mIdle, mCredited and mActive contains a caller.
  enum class SchedulingState
  {
    /// The caller has no items.
    Idle,
    /// The caller has items and credit.
    Credited,
    /// The caller has items and no credit.
    Active,
  };
  struct CallerQueue
  {
    CallerId mCaller;
    /// Invariant between two public calls: empty exactly when mState is Idle.
    std::list<Item> mItems;
    SchedulingState mState = SchedulingState::Idle;
    std::uint64_t mDeficit = 0;
    bool mHasTurn = false;
    /// In 1/kCreditPerCost of a unit of cost. Accrues while Idle, is spent while
    /// Credited.
    std::uint64_t mCredit = 0;
    /// mVirtualTime when mState became Idle.
    std::uint64_t mIdleSince = 0;
    /// Position in the list that mState denotes.
    typename QueueList::iterator mStatePosition;
    /// Position in the list of mCallersByLength.
    typename QueueList::iterator mLengthPosition;
  };

  /// Slots of the timer wheel. An item whose deadline is more than one round away is
  /// visited once in each round.
  static constexpr std::int64_t kWheelSlots = 512;
  /// Credit for one unit of cost. A factor is needed, because the division by the number
  /// of callers gives fractions.
  static constexpr std::uint64_t kCreditPerCost = 1024;

  std::optional<FairQueueDrop> DropReasonOf(std::size_t aLength, TimePoint aDeadline,
                                            TimePoint aNow) const
  {
    if (aDeadline <= aNow) {
      return FairQueueDrop::Deadline;
    }
    if (aLength >= mOptions.mMaxLengthPerCaller) {
      return FairQueueDrop::CallerFull;
    }
    if (mItems.size() >= mOptions.mMaxLength && aLength + 1 >= mLongestLength) {
      return FairQueueDrop::Full;
    }
    return std::nullopt;
  }

  std::int64_t TickOf(TimePoint aTime) const
  {
    return std::max<std::int64_t>(0, aTime.time_since_epoch() / mOptions.mExpiryTick);
  }

  std::uint64_t MaxCredit() const { return mOptions.mBurstCredit * kCreditPerCost; }

  void EnterState(CallerQueue& aQueue, SchedulingState aState, QueueList& aList)
  {
    aQueue.mState = aState;
    aQueue.mStatePosition = aList.insert(aList.end(), &aQueue);
  }

  /// Prepares the queue of a caller for a new item: finds or creates it and, if the
  /// caller was idle, adds the credit earned since and schedules the caller.
  CallerQueue& QueueOf(const CallerId& aCaller)
  {
    auto [found, isNew] = mQueues.try_emplace(aCaller);
    auto& queue = found->second;
    if (isNew) {
      queue.mCaller = aCaller;
      queue.mCredit = MaxCredit();
    } else if (queue.mState != SchedulingState::Idle) {
      return queue;
    } else {
      queue.mCredit =
        std::min(MaxCredit(), queue.mCredit + mVirtualTime - queue.mIdleSince);
      mIdle.erase(queue.mStatePosition);
    }
    queue.mLengthPosition = mCallersByLength[0].insert(mCallersByLength[0].end(), &queue);
    queue.mDeficit = 0;
    queue.mHasTurn = false;
    if (queue.mCredit >= kCreditPerCost) {
      EnterState(queue, SchedulingState::Credited, mCredited);
    } else {
      EnterState(queue, SchedulingState::Active, mActive);
    }
    return queue;
  }

  /// Moves a caller without sufficient credit to the callers without credit.
  void Demote(CallerQueue& aQueue)
  {
    mCredited.erase(aQueue.mStatePosition);
    EnterState(aQueue, SchedulingState::Active, mActive);
  }

  /// Moves a caller whose last item was removed to the idle callers.
  void MakeIdle(CallerQueue& aQueue)
  {
    mCallersByLength[0].erase(aQueue.mLengthPosition);
    (aQueue.mState == SchedulingState::Credited ? mCredited : mActive)
      .erase(aQueue.mStatePosition);
    aQueue.mIdleSince = mVirtualTime;
    EnterState(aQueue, SchedulingState::Idle, mIdle);
    EraseIdleCallers();
  }

  /// Erases idle callers whose credit is full, because a new caller starts with the same
  /// credit. Erases at most two, so that the time of an operation is bounded.
  void EraseIdleCallers()
  {
    for (int i = 0; i < 2 && !mIdle.empty(); ++i) {
      auto& queue = *mIdle.front();
      if (mVirtualTime - queue.mIdleSince < MaxCredit()) {
        return;
      }
      mIdle.pop_front();
      mQueues.erase(CallerId(queue.mCaller));
    }
  }

  Handle Append(const CallerId& aCaller, T aValue, std::uint32_t aCost,
                TimePoint aDeadline, TimePoint aNow)
  {
    auto& queue = QueueOf(aCaller);
    const auto handle = mNextHandle++;
    // An item in a slot that Expire() has already visited would be dropped one round too
    // late.
    const auto tick = std::max(TickOf(aDeadline), mNextTick);
    const auto slot = static_cast<std::size_t>(tick % kWheelSlots);
    const auto slotPosition = mWheel[slot].insert(mWheel[slot].end(), handle);
    const auto cost = std::clamp<std::uint32_t>(aCost, 1, mOptions.mMaxCost);
    queue.mItems.push_back(Item{ handle, &queue, std::move(aValue), cost, aDeadline, aNow,
                                 slot, slotPosition });
    mItems.emplace(handle, std::prev(queue.mItems.end()));
    UpdateLength(queue, queue.mItems.size() - 1, queue.mItems.size());
    return handle;
  }

  void UpdateLength(CallerQueue& aQueue, std::size_t aFrom, std::size_t aTo)
  {
    mCallersByLength[aTo].splice(mCallersByLength[aTo].end(), mCallersByLength[aFrom],
                                 aQueue.mLengthPosition);
    // A length changes by one, so the maximum changes by at most one.
    if (aTo > mLongestLength) {
      mLongestLength = aTo;
    } else if (aFrom == mLongestLength && mCallersByLength[aFrom].empty()) {
      mLongestLength = aTo;
    }
  }

  /// Removes the item from all lists, and makes its caller idle if it was the last item.
  void Remove(ItemPosition aItem)
  {
    auto& queue = *aItem->mQueue;
    mWheel[aItem->mSlot].erase(aItem->mSlotPosition);
    mItems.erase(aItem->mHandle);
    queue.mItems.erase(aItem);
    UpdateLength(queue, queue.mItems.size() + 1, queue.mItems.size());
    if (queue.mItems.empty()) {
      MakeIdle(queue);
    }
  }

  Dropped DropItem(ItemPosition aItem, FairQueueDrop aReason)
  {
    Dropped dropped{ aItem->mQueue->mCaller, std::move(aItem->mValue), aReason };
    Remove(aItem);
    return dropped;
  }

  Popped Serve(CallerQueue& aQueue, TimePoint aNow)
  {
    const auto item = aQueue.mItems.begin();
    Popped popped{ aQueue.mCaller, std::move(item->mValue), item->mCost,
                   aNow - item->mPushed };
    // The part of this service that one additional caller would have received.
    mVirtualTime += item->mCost * kCreditPerCost / (Callers() + 1);
    if (aQueue.mState == SchedulingState::Credited) {
      aQueue.mCredit -= item->mCost * kCreditPerCost;
      mCredited.splice(mCredited.end(), mCredited, aQueue.mStatePosition);
    } else {
      aQueue.mDeficit -= item->mCost;
      if (aQueue.mItems.size() > 1 && std::next(item)->mCost > aQueue.mDeficit) {
        EndTurn(aQueue);
      }
    }
    Remove(item);
    return popped;
  }

  void EndTurn(CallerQueue& aQueue)
  {
    aQueue.mHasTurn = false;
    mActive.splice(mActive.end(), mActive, aQueue.mStatePosition);
  }

  void ExpireSlot(std::list<Handle>& aSlot, TimePoint aNow,
                  std::vector<Dropped>& aDropped)
  {
    for (auto next = aSlot.begin(); next != aSlot.end();) {
      const auto item = mItems.at(*next++);
      if (item->mDeadline <= aNow) {
        aDropped.push_back(DropItem(item, FairQueueDrop::Deadline));
      }
    }
  }

  FairQueueOptions mOptions;
  Handle mNextHandle = 1;
  std::unordered_map<Handle, ItemPosition> mItems;
  std::unordered_map<CallerId, CallerQueue> mQueues;
  /// Callers with items and credit, in the order of service.
  QueueList mCredited;
  /// Callers with items and without credit, in the order of service.
  QueueList mActive;
  /// Callers without items whose credit is not full, the longest idle first.
  QueueList mIdle;
  /// Service that one additional caller would have received since the start, in the unit
  /// of CallerQueue::mCredit.
  std::uint64_t mVirtualTime = 0;
  /// Timer wheel: the items of each slot. The slot is the tick of the deadline modulo
  /// kWheelSlots.
  std::vector<std::list<Handle>> mWheel;
  /// Expire() has visited all ticks before this one.
  std::int64_t mNextTick = 0;
  /// Callers with items, indexed by the length of their queue.
  std::vector<QueueList> mCallersByLength;
  /// Invariant: the largest index of a non-empty element of mCallersByLength, or 0.
  std::size_t mLongestLength = 0;
};

} // namespace wasabispar
