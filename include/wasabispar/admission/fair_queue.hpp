/// @file
/// @brief A queue that serves callers in turn, weighted by the cost of their items
/// (deficit round robin), and first those that used less than their share before.
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

struct FairQueueOptions
{
  std::size_t mMaxLength = 2048;
  std::size_t mMaxLengthPerCaller = 512;
  /// Cost that a caller may spend in one turn. Small, so that a turn is short.
  std::uint32_t mQuantum = 1;
  /// Larger costs count as this. An item of this cost is passed over
  /// mMaxCost / mQuantum times at most.
  std::uint32_t mMaxCost = 16;
  /// Service that a caller may save up while it uses less than its share, as cost. While
  /// it has credit it is served before callers without, so a caller above its share does
  /// not delay the others. 0 gives plain deficit round robin. Of 16, 32, 64 and 128, 64
  /// is the smallest with which such a caller does not raise the others' p99 at loads of
  /// 0.9 and 0.95; see docs/decisions/fair-queue.md.
  std::uint32_t mBurstCredit = 64;
  /// Resolution of Expire().
  Duration mExpiryTick = std::chrono::milliseconds(4);
};

/// @brief Why an item left the queue without being served.
enum class FairQueueDrop
{
  /// The queue is full, and with this item no caller would have a longer queue.
  Full,
  /// The caller has mMaxLengthPerCaller items.
  CallerFull,
  /// The youngest item of the longest caller made place for another caller.
  Displaced,
  /// The queue deadline passed.
  Deadline,
};

/// @brief Items of type @p T, first in first out for each caller. Not thread-safe: its
/// owner locks.
///
/// Callers with credit take turns first, then the others by deficit round robin. Credit
/// accrues while a caller has no items, at the rate of a fair share (the cost served over
/// the number of callers, itself included), and is limited. It is thus service that the
/// caller could have had, and over a long time no caller gets more than its share while
/// others want theirs. A caller that was idle for long has the full credit.
///
/// The pool of an upstream holds one of these for each upstream; Pop() on a free
/// connection gives the next item. Keyed by caller and not by the VM that forwarded the
/// item, so a caller gains nothing by spreading requests over VMs.
///
/// Push, Pop, Cancel take O(1) amortised time (mMaxCost / mQuantum is a constant);
/// Expire takes O(1) for each passed tick and each item in its slot. A caller uses memory
/// while it has items, and after that until it has the full credit again.
template<class T>
class FairQueue
{
public:
  /// @brief Identifies a queued item; 0 is none. Never used twice.
  using Handle = std::uint64_t;

  struct Dropped
  {
    CallerId mCaller;
    T mValue;
    FairQueueDrop mReason;
  };

  struct Popped
  {
    CallerId mCaller;
    T mValue;
    std::uint32_t mCost;
    Duration mWaited;
  };

  struct PushResult
  {
    /// 0 when the item itself was dropped.
    Handle mHandle = 0;
    /// The item that did not find or lost its place.
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

  /// @brief Adds an item; it is dropped at @p aDeadline if it has not been popped.
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

  /// @brief The next item whose deadline has not passed. Those passed over because of
  /// their deadline are appended to @p aExpired.
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
        if (item->mCost * kCreditUnit > queue.mCredit) {
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

  /// @brief Takes an item out; empty when it already left.
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

  /// @brief Drops the items whose deadline has passed.
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

  /// @brief Drops all items, for a shutdown.
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

  std::size_t Length() const { return mItems.size(); }
  std::size_t Length(const CallerId& aCaller) const
  {
    const auto found = mQueues.find(aCaller);
    return found == mQueues.end() ? 0 : found->second.mItems.size();
  }
  /// @brief Callers that have items.
  std::size_t Callers() const { return mActive.size() + mCredited.size(); }

private:
  struct Queue;
  struct Item
  {
    Handle mHandle;
    Queue* mQueue;
    T mValue;
    std::uint32_t mCost;
    TimePoint mDeadline;
    TimePoint mPushed;
    std::size_t mSlot;
    std::list<Handle>::iterator mSlotPosition;
  };
  using ItemPosition = typename std::list<Item>::iterator;
  using QueueList = std::list<Queue*>;
  /// Which list of turns a caller is in.
  enum class SchedulingState
  {
    Idle,
    Credited,
    Active,
  };
  struct Queue
  {
    CallerId mCaller;
    /// Invariant: empty exactly when mState is Idle, between two public calls.
    std::list<Item> mItems;
    SchedulingState mState = SchedulingState::Idle;
    std::uint64_t mDeficit = 0;
    bool mHasTurn = false;
    /// In kCreditUnit; accrues while Idle, and is spent while Credited.
    std::uint64_t mCredit = 0;
    /// mVirtualTime when it became Idle.
    std::uint64_t mIdleSince = 0;
    /// In mCredited, mActive or mIdle, as mState says.
    typename QueueList::iterator mStatePosition;
    typename QueueList::iterator mLengthPosition;
  };

  /// Slots of the wheel of deadlines; a later deadline is looked at once each round.
  static constexpr std::int64_t kWheelSlots = 512;
  /// Credit of one unit of cost; fractions arise by the division by callers.
  static constexpr std::uint64_t kCreditUnit = 1024;

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

  std::uint64_t MaxCredit() const { return mOptions.mBurstCredit * kCreditUnit; }

  void EnterState(Queue& aQueue, SchedulingState aState, QueueList& aList)
  {
    aQueue.mState = aState;
    aQueue.mStatePosition = aList.insert(aList.end(), &aQueue);
  }

  /// The queue of a caller that is about to get an item.
  Queue& QueueOf(const CallerId& aCaller)
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
    if (queue.mCredit >= kCreditUnit) {
      EnterState(queue, SchedulingState::Credited, mCredited);
    } else {
      EnterState(queue, SchedulingState::Active, mActive);
    }
    return queue;
  }

  /// Moves a caller that has used up its credit to the others.
  void Demote(Queue& aQueue)
  {
    mCredited.erase(aQueue.mStatePosition);
    EnterState(aQueue, SchedulingState::Active, mActive);
  }

  /// Takes a caller without items out of its turns.
  void MakeIdle(Queue& aQueue)
  {
    mCallersByLength[0].erase(aQueue.mLengthPosition);
    (aQueue.mState == SchedulingState::Credited ? mCredited : mActive)
      .erase(aQueue.mStatePosition);
    aQueue.mIdleSince = mVirtualTime;
    EnterState(aQueue, SchedulingState::Idle, mIdle);
    EraseIdleCallers();
  }

  /// Forgets callers that have been idle until their credit was full: a new caller has as
  /// much. At most two, so that the time of an operation is bounded.
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
    // A deadline in a slot that was already visited would be seen a round too late.
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

  void UpdateLength(Queue& aQueue, std::size_t aFrom, std::size_t aTo)
  {
    mCallersByLength[aTo].splice(mCallersByLength[aTo].end(), mCallersByLength[aFrom],
                                 aQueue.mLengthPosition);
    // Lengths change by one, so the maximum does too.
    if (aTo > mLongestLength) {
      mLongestLength = aTo;
    } else if (aFrom == mLongestLength && mCallersByLength[aFrom].empty()) {
      mLongestLength = aTo;
    }
  }

  /// Takes the item out of all lists, and its queue when that becomes empty.
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

  Popped Serve(Queue& aQueue, TimePoint aNow)
  {
    const auto item = aQueue.mItems.begin();
    Popped popped{ aQueue.mCaller, std::move(item->mValue), item->mCost,
                   aNow - item->mPushed };
    // A fair share of this service for a caller that would be one more.
    mVirtualTime += item->mCost * kCreditUnit / (Callers() + 1);
    if (aQueue.mState == SchedulingState::Credited) {
      aQueue.mCredit -= item->mCost * kCreditUnit;
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

  void EndTurn(Queue& aQueue)
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
  std::unordered_map<CallerId, Queue> mQueues;
  /// Callers with items and credit, in the order of their turns.
  QueueList mCredited;
  /// The other callers with items, in the order of their turns.
  QueueList mActive;
  /// Callers without items whose credit is not full, the longest idle first.
  QueueList mIdle;
  /// Service that one more caller could have had since the start, in kCreditUnit.
  std::uint64_t mVirtualTime = 0;
  /// Wheel of deadlines: the items of a slot, by tick modulo kWheelSlots.
  std::vector<std::list<Handle>> mWheel;
  /// All ticks before this one have been visited by Expire().
  std::int64_t mNextTick = 0;
  /// Callers by the length of their queue.
  std::vector<QueueList> mCallersByLength;
  /// Invariant: the largest index of a non-empty element of mCallersByLength, or 0.
  std::size_t mLongestLength = 0;
};

} // namespace wasabispar
