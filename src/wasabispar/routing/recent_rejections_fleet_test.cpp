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
constexpr Duration kTransit = 4ms;
constexpr Duration kBurst = 5s;
constexpr std::size_t kVms = 89;
constexpr double kLoad = 2.5;

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

/// The requests of one kind of callers.
struct Counts
{
  double mAll = 0;
  double mOnTime = 0;
  double Share() const { return mOnTime / mAll; }
};

/// 89 VMs that each serve one request in 20 ms; for 5 s, callers send 2.5 times as many.
/// A tenth of them retry immediately, up to 50 times, the others at most 4 times after
/// the stated delay or a third of their time left. Each attempt reaches any VM of the
/// data centre.
class Replay
{
public:
  Replay(std::size_t aVmsPerDataCentre, bool aHasRecords)
    : mVmsPerDataCentre(aVmsPerDataCentre)
    , mHasRecords(aHasRecords)
  {
    for (auto now = kStart; now < kStart + kBurst + kTimeout; now += 1ms) {
      mNow = now;
      if (now < kStart + kBurst) {
        AddCallers(now);
      }
      for (; !mArrivals.empty() && mArrivals.begin()->first <= now;
           mArrivals.erase(mArrivals.begin())) {
        Arrive(mArrivals.begin()->second, now);
      }
      for (auto& vm : mVms) {
        vm.mQueue.Dispatch(now);
      }
    }
  }

  /// Of the callers that wait, and of those that retry immediately.
  std::array<Counts, 2> mCounts;

private:
  static constexpr TimePoint kStart{ 1000s };

  void AddCallers(TimePoint aNow)
  {
    constexpr std::uint64_t kParts = 1'000'000;
    const auto perVm =
      kLoad * ToDoubleMilliseconds(1ms) / ToDoubleMilliseconds(kServiceTime);
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (mRandom(kParts) < static_cast<std::uint64_t>(perVm * kParts)) {
        const bool isHasty = mRandom(10) == 0;
        ++mCounts[isHasty].mAll;
        mArrivals.emplace(aNow, Caller{ RequestFingerprint(++mLast), isHasty,
                                        aNow + kTimeout, vm / mVmsPerDataCentre });
      }
    }
  }

  void Arrive(Caller aCaller, TimePoint aNow)
  {
    const auto first = aCaller.mDataCentre * mVmsPerDataCentre;
    auto& vm = mVms[first + mRandom(std::min(mVmsPerDataCentre, kVms - first))];
    const auto rank = mHasRecords && vm.mRejections.IsRecorded(aCaller.mRequest, aNow)
                        ? WaitRank::Last
                        : WaitRank::Regular;
    const auto answerBy = aNow + kObjective;
    const auto ahead = vm.mQueue.CountAhead(0, answerBy, aNow, rank);
    const auto wait = std::max(Duration{}, vm.mFreeAt - aNow) +
                      kServiceTime * static_cast<Duration::rep>(ahead);
    if (wait + kServiceTime > kObjective) {
      Reject(aCaller, vm, wait, aNow);
      return;
    }
    auto start = [this, &vm, isHasty = aCaller.mIsHasty, answerBy] {
      return TryStart(vm, isHasty, answerBy);
    };
    vm.mQueue.Push(0, answerBy, WaitQueue::Reach::AllUpstreams, start, rank);
  }

  bool TryStart(Vm& aVm, bool aIsHasty, TimePoint aAnswerBy)
  {
    if (aVm.mFreeAt > mNow) {
      return false;
    }
    aVm.mFreeAt = mNow + kServiceTime;
    mCounts[aIsHasty].mOnTime += aVm.mFreeAt <= aAnswerBy ? 1 : 0;
    return true;
  }

  void Reject(Caller aCaller, Vm& aVm, Duration aWait, TimePoint aNow)
  {
    const auto delay = RetryDelay(aWait, { 50ms, 1s }, mRandom);
    aVm.mRejections.OnRejected(aCaller.mRequest, aNow + delay, aNow);
    const auto pause = aCaller.mIsHasty
                         ? Duration{}
                         : std::min<Duration>(delay, (aCaller.mDeadline - aNow) / 3);
    const auto returnAt = aNow + pause + kTransit;
    if (++aCaller.mAttempts < (aCaller.mIsHasty ? 50U : 4U) &&
        returnAt < aCaller.mDeadline) {
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
};

} // namespace

/// Guards against callers that gain by retrying at once at the VM that rejected them.
/// Load pattern: see Replay; each attempt of a caller reaches the same VM.
TEST_CASE("load pattern: callers that retry immediately get no more than those that wait")
{
  const Replay replay(1, true);
  CHECK(replay.mCounts[1].Share() <= replay.mCounts[0].Share());
}

/// Guards against callers that wait as they are told and find the capacity taken by
/// others. Load pattern: see Replay; a VM knows only what it rejected itself.
TEST_CASE("load pattern: callers that wait are answered on time more often")
{
  const Replay before(15, false);
  const Replay after(15, true);
  CHECK(after.mCounts[0].Share() > before.mCounts[0].Share());
  CHECK(after.mCounts[1].Share() < before.mCounts[1].Share());
}
