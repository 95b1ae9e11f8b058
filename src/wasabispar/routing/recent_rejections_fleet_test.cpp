/// @file
/// @brief Replay of a burst whose callers partly retry immediately, in virtual time.
#include "wasabispar/routing/recent_rejections.hpp"
#include "wasabispar/routing/retry_delay.hpp"
#include "wasabispar/routing/wait_queue.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr Duration kServiceTime = 20ms;
constexpr Duration kObjective = 200ms;
constexpr Duration kTimeout = 2500ms;
constexpr std::size_t kVms = 89;
/// 2.5 times the load, in requests per second and VM.
constexpr std::uint64_t kArrivalRate = 125;

struct Caller
{
  RequestFingerprint mRequest;
  bool mIsHasty = false;
  TimePoint mDeadline;
  std::size_t mDataCentre = 0;
  std::size_t mAttempts = 0;
};

struct Vm
{
  WaitQueue mQueue;
  RecentRejections mRejections;
  TimePoint mFreeAt;
};

/// 89 VMs that each serve one request in 20 ms; for 5 s, callers send 2.5 times as many.
/// A tenth of them retry immediately, up to 50 times, the others at most 4 times after
/// the stated delay or a third of their time left. Each attempt reaches any VM of the
/// data centre.
struct Replay
{
  Replay(std::size_t aVmsPerDataCentre, bool aHasRecords)
    : mVmsPerDataCentre(aVmsPerDataCentre)
    , mHasRecords(aHasRecords)
  {
    for (; mNow < TimePoint(5s) + kTimeout; mNow += 1ms) {
      for (std::size_t vm = 0; mNow < TimePoint(5s) && vm < kVms; ++vm) {
        if (mRandom(1000) < kArrivalRate) {
          AddCaller(mRandom(10) == 0, vm / aVmsPerDataCentre);
        }
      }
      for (; !mArrivals.empty() && mArrivals.begin()->first <= mNow;
           mArrivals.erase(mArrivals.begin())) {
        Arrive(mArrivals.begin()->second);
      }
      for (auto& vm : mVms) {
        vm.mQueue.Dispatch(mNow);
      }
    }
  }

  /// The share of callers that were answered on time.
  double OnTime(bool aIsHasty) const { return mOnTime[aIsHasty] / mCallers[aIsHasty]; }

  void AddCaller(bool aIsHasty, std::size_t aDataCentre)
  {
    ++mCallers[aIsHasty];
    mArrivals.emplace(mNow, Caller{ RequestFingerprint(++mLast), aIsHasty,
                                    mNow + kTimeout, aDataCentre });
  }

  void Arrive(Caller aCaller)
  {
    const auto first = aCaller.mDataCentre * mVmsPerDataCentre;
    auto& vm = mVms[first + mRandom(std::min(mVmsPerDataCentre, kVms - first))];
    const auto rank = mHasRecords && vm.mRejections.IsRecorded(aCaller.mRequest, mNow)
                        ? WaitRank::Last
                        : WaitRank::Regular;
    const auto answerBy = mNow + kObjective;
    const auto ahead = vm.mQueue.CountAhead(0, answerBy, mNow, rank);
    const auto wait = std::max(Duration{}, vm.mFreeAt - mNow) +
                      kServiceTime * static_cast<Duration::rep>(ahead);
    if (wait + kServiceTime > kObjective) {
      return Reject(aCaller, vm, wait);
    }
    auto start = [this, &vm, isHasty = aCaller.mIsHasty, answerBy] {
      if (vm.mFreeAt > mNow) {
        return false;
      }
      vm.mFreeAt = mNow + kServiceTime;
      mOnTime[isHasty] += vm.mFreeAt <= answerBy ? 1 : 0;
      return true;
    };
    vm.mQueue.Push(0, answerBy, WaitQueue::Reach::AllUpstreams, start, rank);
  }

  void Reject(Caller aCaller, Vm& aVm, Duration aWait)
  {
    const auto delay = RetryDelay(aWait, { 50ms, 1s }, mRandom);
    aVm.mRejections.OnRejected(aCaller.mRequest, mNow + delay, mNow);
    const auto pause = std::min<Duration>(delay, (aCaller.mDeadline - mNow) / 3);
    const auto returnAt = mNow + 4ms + (aCaller.mIsHasty ? Duration{} : pause);
    const auto maxAttempts = aCaller.mIsHasty ? 50U : 4U;
    if (++aCaller.mAttempts < maxAttempts && returnAt < aCaller.mDeadline) {
      mArrivals.emplace(returnAt, aCaller);
    }
  }

  std::size_t mVmsPerDataCentre;
  bool mHasRecords;
  RandomFn mRandom = SeededRandom(20261204);
  std::uint64_t mLast = 0;
  TimePoint mNow;
  std::vector<Vm> mVms = std::vector<Vm>(kVms);
  std::multimap<TimePoint, Caller> mArrivals;
  /// Of the callers that wait, and of those that retry immediately.
  std::array<double, 2> mCallers{};
  std::array<double, 2> mOnTime{};
};

} // namespace

/// Guards against callers that gain by retrying immediately at the VM that rejected them,
/// and against callers that wait and find the capacity taken by others. Load pattern: see
/// Replay; a VM knows only what it rejected itself.
TEST_CASE("load pattern: callers that retry immediately get no more than those that wait")
{
  const Replay sameVm(1, true);
  CHECK(sameVm.OnTime(true) <= sameVm.OnTime(false));
  const Replay before(15, false);
  const Replay after(15, true);
  CHECK(after.OnTime(false) > before.OnTime(false));
  CHECK(after.OnTime(true) < before.OnTime(true));
}
