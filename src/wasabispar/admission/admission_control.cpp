/// @file
/// @brief Admission control. Callbacks are collected under the lock and called after its
/// release.
#include "wasabispar/admission/admission_control.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace {

AdmissionReason
ReasonOf(FairQueueDrop aDrop)
{
  switch (aDrop) {
    case FairQueueDrop::Full:
      return AdmissionReason::QueueFull;
    case FairQueueDrop::CallerFull:
      return AdmissionReason::CallerQueueFull;
    case FairQueueDrop::Displaced:
      return AdmissionReason::Displaced;
    case FairQueueDrop::Deadline:
      return AdmissionReason::QueueDeadline;
  }
  return AdmissionReason::QueueFull;
}

} // namespace

std::string_view
ToText(AdmissionReason aReason)
{
  switch (aReason) {
    case AdmissionReason::Admitted:
      return "admitted";
    case AdmissionReason::QueueFull:
      return "queue-full";
    case AdmissionReason::CallerQueueFull:
      return "caller-queue-full";
    case AdmissionReason::Displaced:
      return "displaced";
    case AdmissionReason::ExpectedWait:
      return "expected-wait";
    case AdmissionReason::QueueDeadline:
      return "queue-deadline";
    case AdmissionReason::Shutdown:
      return "shutdown";
  }
  return "queue-full";
}

AdmissionControl::AdmissionControl(AdmissionControlOptions aOptions)
  : mOptions(aOptions)
  , mQueue(aOptions.mQueue)
  , mLimit(aOptions.mLimit)
{
}

AdmissionId
AdmissionControl::Submit(const CallerId& aCaller, std::uint32_t aCost,
                         TimePoint aDeadline, TimePoint aNow, AdmissionFn aCallback)
{
  Callbacks callbacks;
  AdmissionId id = 0;
  {
    std::lock_guard lock(mMutex);
    if (mIsShutDown) {
      AddCallback(callbacks, std::move(aCallback), AdmissionReason::Shutdown);
    } else if (aDeadline <= aNow) {
      AddCallback(callbacks, std::move(aCallback), AdmissionReason::QueueDeadline);
    } else if (mRunning < mLimit.Value() && mQueue.Length() == 0) {
      ++mRunning;
      AddCallback(callbacks, std::move(aCallback), AdmissionReason::Admitted);
    } else {
      id = Enqueue(callbacks, aCaller, aCost, aDeadline, aNow, std::move(aCallback));
    }
  }
  RunCallbacks(callbacks);
  return id;
}

AdmissionId
AdmissionControl::Enqueue(Callbacks& aCallbacks, const CallerId& aCaller,
                          std::uint32_t aCost, TimePoint aDeadline, TimePoint aNow,
                          AdmissionFn aCallback)
{
  mLimit.OnLimitReached();
  const auto latestStart = LatestUsefulStart(aDeadline, aNow);
  if (ExpectedWaitLocked(aCaller) > latestStart - aNow) {
    AddCallback(aCallbacks, std::move(aCallback), AdmissionReason::ExpectedWait);
    return 0;
  }
  const auto queueDeadline = std::min(latestStart, aNow + mOptions.mMaxQueueTime);
  auto pushed = mQueue.Push(aCaller, std::move(aCallback), aCost, queueDeadline, aNow);
  if (pushed.mDropped) {
    AddCallback(aCallbacks, std::move(pushed.mDropped->mValue),
                ReasonOf(pushed.mDropped->mReason));
  }
  return pushed.mHandle;
}

void
AdmissionControl::Finish(Duration aRunTime, TimePoint aNow)
{
  Callbacks callbacks;
  {
    std::lock_guard lock(mMutex);
    --mRunning;
    RecordRunTime(aRunTime);
    StartQueued(callbacks, aNow);
  }
  RunCallbacks(callbacks);
}

bool
AdmissionControl::Cancel(AdmissionId aId)
{
  std::lock_guard lock(mMutex);
  return mQueue.Cancel(aId).has_value();
}

void
AdmissionControl::OnWorkerDelay(Duration aDelay, TimePoint aNow)
{
  Callbacks callbacks;
  {
    std::lock_guard lock(mMutex);
    mLimit.OnDelay(aDelay, aNow);
    StartQueued(callbacks, aNow);
  }
  RunCallbacks(callbacks);
}

void
AdmissionControl::Expire(TimePoint aNow)
{
  Callbacks callbacks;
  {
    std::lock_guard lock(mMutex);
    AddDropped(callbacks, mQueue.Expire(aNow));
  }
  RunCallbacks(callbacks);
}

void
AdmissionControl::Shutdown()
{
  Callbacks callbacks;
  {
    std::lock_guard lock(mMutex);
    mIsShutDown = true;
    for (auto& callback : mQueue.Clear()) {
      AddCallback(callbacks, std::move(callback), AdmissionReason::Shutdown);
    }
  }
  RunCallbacks(callbacks);
}

std::size_t
AdmissionControl::Limit() const
{
  std::lock_guard lock(mMutex);
  return mLimit.Value();
}

std::size_t
AdmissionControl::Running() const
{
  std::lock_guard lock(mMutex);
  return mRunning;
}

std::size_t
AdmissionControl::Queued() const
{
  std::lock_guard lock(mMutex);
  return mQueue.Length();
}

Duration
AdmissionControl::ExpectedWait(const CallerId& aCaller) const
{
  std::lock_guard lock(mMutex);
  return ExpectedWaitLocked(aCaller);
}

std::array<std::uint64_t, kAdmissionReasonCount>
AdmissionControl::Counts() const
{
  std::lock_guard lock(mMutex);
  return mCounts;
}

Duration
AdmissionControl::ExpectedWaitLocked(const CallerId& aCaller) const
{
  // With round robin, a new item of the caller is served after at most own + 1 rounds, in
  // each of which every caller with items is served once.
  const auto own = mQueue.Length(aCaller);
  const auto callers = mQueue.Callers() + (own == 0 ? 1 : 0);
  const auto ahead = std::min(mQueue.Length(), (own + 1) * callers);
  return mStartInterval.value_or(Duration{}) * static_cast<std::int64_t>(ahead);
}

void
AdmissionControl::AddCallback(Callbacks& aCallbacks, AdmissionFn aCallback,
                              AdmissionReason aReason)
{
  ++mCounts[static_cast<std::size_t>(aReason)];
  aCallbacks.push_back({ std::move(aCallback), aReason });
}

void
AdmissionControl::AddDropped(Callbacks& aCallbacks, std::vector<Queue::Dropped> aDropped)
{
  for (auto& dropped : aDropped) {
    AddCallback(aCallbacks, std::move(dropped.mValue), ReasonOf(dropped.mReason));
  }
}

void
AdmissionControl::StartQueued(Callbacks& aCallbacks, TimePoint aNow)
{
  std::vector<Queue::Dropped> expired;
  while (!mIsShutDown && mRunning < mLimit.Value()) {
    auto next = mQueue.Pop(aNow, expired);
    if (!next) {
      // While the queue is empty, the time between starts depends on the arrivals and
      // does not measure the capacity.
      mLastQueuedStart.reset();
      break;
    }
    ++mRunning;
    RecordStart(aNow);
    AddCallback(aCallbacks, std::move(next->mValue), AdmissionReason::Admitted);
  }
  AddDropped(aCallbacks, std::move(expired));
}

void
AdmissionControl::RecordStart(TimePoint aNow)
{
  if (mLastQueuedStart) {
    const auto sample = aNow - *mLastQueuedStart;
    mStartInterval = MovingAverage(mStartInterval.value_or(sample), sample);
  }
  mLastQueuedStart = aNow;
}

void
AdmissionControl::RecordRunTime(Duration aRunTime)
{
  if (mMeanRunTime == Duration{}) {
    mMeanRunTime = aRunTime;
    return;
  }
  const auto deviation = std::chrono::abs(aRunTime - mMeanRunTime);
  mRunTimeDeviation = MovingAverage(mRunTimeDeviation, deviation);
  mMeanRunTime = MovingAverage(mMeanRunTime, aRunTime);
}

TimePoint
AdmissionControl::LatestUsefulStart(TimePoint aDeadline, TimePoint aNow) const
{
  return aDeadline -
         std::min(mMeanRunTime + 4 * mRunTimeDeviation, (aDeadline - aNow) / 2);
}

Duration
AdmissionControl::MovingAverage(Duration aOld, Duration aSample) const
{
  return aOld +
         std::chrono::duration_cast<Duration>((aSample - aOld) * mOptions.mSampleWeight);
}

void
AdmissionControl::RunCallbacks(Callbacks& aCallbacks)
{
  for (auto& pending : aCallbacks) {
    pending.mCallback(pending.mReason);
  }
}

} // namespace wasabispar
