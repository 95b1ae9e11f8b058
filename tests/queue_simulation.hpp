/// @file
/// @brief Simulation in virtual time of a queue in front of a limited number of slots,
/// and the simple queues with which FairQueue is compared.
#pragma once

#include "wasabispar/admission/fair_queue.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace wasabispar::simulation {

/// A queue under test. Items and callers are numbers.
struct QueuePolicy
{
  std::function<void(std::size_t aCaller, std::size_t aItem, TimePoint aNow)> mPush;
  /// Removes and returns the next item; SIZE_MAX if the queue is empty.
  std::function<std::size_t(TimePoint aNow)> mPop;
};

/// FairQueue with practically unlimited length and items of cost 1.
inline QueuePolicy
FairPolicy(std::uint32_t aBurstCredit = FairQueueOptions{}.mBurstCredit)
{
  FairQueueOptions options;
  options.mBurstCredit = aBurstCredit;
  options.mMaxLength = 1'000'000;
  options.mMaxLengthPerCaller = 1'000'000;
  auto queue = std::make_shared<FairQueue<std::size_t>>(options);
  return { [queue](std::size_t aCaller, std::size_t aItem, TimePoint aNow) {
            queue->Push(CallerId(std::to_string(aCaller)), aItem, 1,
                        aNow + std::chrono::hours(9), aNow);
          },
           [queue](TimePoint aNow) {
             std::vector<FairQueue<std::size_t>::Dropped> expired;
             const auto popped = queue->Pop(aNow, expired);
             return popped ? popped->mValue : SIZE_MAX;
           } };
}

/// Serves one item of each caller in turn and finds the next caller by a scan of all.
inline QueuePolicy
NaiveRoundRobinPolicy(std::size_t aCallers)
{
  auto queues = std::make_shared<std::vector<std::deque<std::size_t>>>(aCallers);
  auto last = std::make_shared<std::size_t>(0);
  return { [queues](std::size_t aCaller, std::size_t aItem, TimePoint) {
            (*queues)[aCaller].push_back(aItem);
          },
           [queues, last](TimePoint) {
             for (std::size_t i = 1; i <= queues->size(); ++i) {
               const auto caller = (*last + i) % queues->size();
               auto& queue = (*queues)[caller];
               if (!queue.empty()) {
                 const auto item = queue.front();
                 queue.pop_front();
                 *last = caller;
                 return item;
               }
             }
             return SIZE_MAX;
           } };
}

/// One queue for all callers, first in, first out.
inline QueuePolicy
FifoPolicy()
{
  auto queue = std::make_shared<std::deque<std::size_t>>();
  return { [queue](std::size_t, std::size_t aItem, TimePoint) {
            queue->push_back(aItem);
          },
           [queue](TimePoint) {
             if (queue->empty()) {
               return SIZE_MAX;
             }
             const auto item = queue->front();
             queue->pop_front();
             return item;
           } };
}

/// The load of a simulation.
struct SlotLoad
{
  std::size_t mCallers = 4;
  std::size_t mSlots = 6;
  double mServiceMs = 10;
  /// Offered load, divided by the capacity of the slots, if no caller exceeds its fair
  /// share.
  double mOfferedLoad = 0.9;
  /// Load of caller 0, divided by its fair share.
  double mExcessFactor = 1;
  double mSeconds = 400;
  unsigned mSeed = 20261204;
};

/// Waits in the queue of the items of all callers except caller 0.
struct WaitStats
{
  double mMeanMs = 0;
  double mP99Ms = 0;
  /// p99 of the sum of wait and service time.
  double mResponseP99Ms = 0;
};

inline WaitStats
ComputeWaitStats(std::vector<double> aWaits, double aServiceMs)
{
  std::sort(aWaits.begin(), aWaits.end());
  const auto count = static_cast<double>(aWaits.size());
  const auto p99 = aWaits[aWaits.size() * 99 / 100];
  return { std::accumulate(aWaits.begin(), aWaits.end(), 0.0) / count, p99,
           p99 + aServiceMs };
}

/// Simulates Poisson arrivals. Those of the callers other than caller 0 do not depend on
/// SlotLoad::mExcessFactor.
inline WaitStats
SimulateSlots(const SlotLoad& aLoad, const QueuePolicy& aPolicy)
{
  struct Arrival
  {
    double mArrivalMs;
    std::size_t mCaller;
  };
  std::vector<Arrival> arrivals;
  const auto fairRatePerMs = aLoad.mOfferedLoad * static_cast<double>(aLoad.mSlots) /
                             (static_cast<double>(aLoad.mCallers) * aLoad.mServiceMs);
  for (std::size_t caller = 0; caller < aLoad.mCallers; ++caller) {
    std::mt19937_64 random(aLoad.mSeed + caller);
    std::exponential_distribution<double> gap(fairRatePerMs *
                                              (caller == 0 ? aLoad.mExcessFactor : 1));
    for (double at = gap(random); at < aLoad.mSeconds * 1000; at += gap(random)) {
      arrivals.push_back({ at, caller });
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& aLeft, const Arrival& aRight) {
              return aLeft.mArrivalMs < aRight.mArrivalMs;
            });

  const auto timeOf = [](double aMs) {
    return TimePoint(Duration(static_cast<std::int64_t>(aMs * 1e6)));
  };
  std::priority_queue<double, std::vector<double>, std::greater<>> ends;
  std::vector<double> waits;
  const auto start = [&](std::size_t aItem, double aNow) {
    ends.push(aNow + aLoad.mServiceMs);
    if (arrivals[aItem].mCaller != 0) {
      waits.push_back(aNow - arrivals[aItem].mArrivalMs);
    }
  };
  const auto runUntil = [&](double aNow) {
    while (!ends.empty() && ends.top() <= aNow) {
      const auto now = ends.top();
      ends.pop();
      if (const auto item = aPolicy.mPop(timeOf(now)); item != SIZE_MAX) {
        start(item, now);
      }
    }
  };
  for (std::size_t item = 0; item < arrivals.size(); ++item) {
    const auto now = arrivals[item].mArrivalMs;
    runUntil(now);
    if (ends.size() < aLoad.mSlots) {
      start(item, now);
    } else {
      aPolicy.mPush(arrivals[item].mCaller, item, timeOf(now));
    }
  }
  return ComputeWaitStats(std::move(waits), aLoad.mServiceMs);
}

} // namespace wasabispar::simulation
