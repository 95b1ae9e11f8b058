/// @file
/// @brief AdmissionControl: collects callbacks under the lock and runs them after it.
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
                         TimePoint aDeadline, TimePoint aNow, AdmissionFn aDone)
{
  Calls calls;
  AdmissionId id = 0;
  {
    std::lock_guard lock(mMutex);
    if (mIsShutDown) {
      AddCallback(calls, std::move(aDone), AdmissionReason::Shutdown);
    } else if (aDeadline <= aNow) {
      AddCallback(calls, std::move(aDone), AdmissionReason::QueueDeadline);
    } else if (mRunning < mLimit.Value() && mQueue.Length() == 0) {
      ++mRunning;
      AddCallback(calls, std::move(aDone), AdmissionReason::Admitted);
    } else {
      id = Enqueue(calls, aCaller, aCost, aDeadline, aNow, std::move(aDone));
    }
  }
  Run(calls);
  return id;
}

AdmissionId
AdmissionControl::Enqueue(Calls& aCalls, const CallerId& aCaller, std::uint32_t aCost,
                          TimePoint aDeadline, TimePoint aNow, AdmissionFn aDone)
{
  mLimit.OnLimitReached();
  const auto latestStart = LatestStart(aDeadline, aNow);
  if (ExpectedWaitLocked(aCaller) > latestStart - aNow) {
    AddCallback(aCalls, std::move(aDone), AdmissionReason::ExpectedWait);
    return 0;
  }
  const auto queueDeadline = std::min(latestStart, aNow + mOptions.mMaxQueueTime);
  auto pushed = mQueue.Push(aCaller, std::move(aDone), aCost, queueDeadline, aNow);
  if (pushed.mDropped) {
    AddCallback(aCalls, std::move(pushed.mDropped->mValue),
                ReasonOf(pushed.mDropped->mReason));
  }
  return pushed.mHandle;
}

void
AdmissionControl::Finish(Duration aRunTime, TimePoint aNow)
{
  Calls calls;
  {
    std::lock_guard lock(mMutex);
    --mRunning;
    RecordRunTime(aRunTime);
    StartQueued(calls, aNow);
  }
  Run(calls);
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
  Calls calls;
  {
    std::lock_guard lock(mMutex);
    mLimit.OnDelay(aDelay, aNow);
    StartQueued(calls, aNow);
  }
  Run(calls);
}

void
AdmissionControl::Expire(TimePoint aNow)
{
  Calls calls;
  {
    std::lock_guard lock(mMutex);
    AddDropped(calls, mQueue.Expire(aNow));
  }
  Run(calls);
}

void
AdmissionControl::Shutdown()
{
  Calls calls;
  {
    std::lock_guard lock(mMutex);
    mIsShutDown = true;
    for (auto& done : mQueue.Clear()) {
      AddCallback(calls, std::move(done), AdmissionReason::Shutdown);
    }
  }
  Run(calls);
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
  // Each caller with items is served once for each item of this caller, at most.
  const auto own = mQueue.Length(aCaller);
  const auto callers = mQueue.Callers() + (own == 0 ? 1 : 0);
  const auto ahead = std::min(mQueue.Length(), (own + 1) * callers);
  return mStartInterval.value_or(Duration{}) * static_cast<std::int64_t>(ahead);
}

void
AdmissionControl::AddCallback(Calls& aCalls, AdmissionFn aDone, AdmissionReason aReason)
{
  ++mCounts[static_cast<std::size_t>(aReason)];
  aCalls.push_back({ std::move(aDone), aReason });
}

void
AdmissionControl::AddDropped(Calls& aCalls, std::vector<Queue::Dropped> aDropped)
{
  for (auto& dropped : aDropped) {
    AddCallback(aCalls, std::move(dropped.mValue), ReasonOf(dropped.mReason));
  }
}

void
AdmissionControl::StartQueued(Calls& aCalls, TimePoint aNow)
{
  std::vector<Queue::Dropped> expired;
  while (!mIsShutDown && mRunning < mLimit.Value()) {
    auto next = mQueue.Pop(aNow, expired);
    if (!next) {
      // Without a queue the time between starts is that between arrivals.
      mLastQueuedStart.reset();
      break;
    }
    ++mRunning;
    RecordStart(aNow);
    AddCallback(aCalls, std::move(next->mValue), AdmissionReason::Admitted);
  }
  AddDropped(aCalls, std::move(expired));
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
  const auto distance = std::chrono::abs(aRunTime - mMeanRunTime);
  mRunTimeDeviation = MovingAverage(mRunTimeDeviation, distance);
  mMeanRunTime = MovingAverage(mMeanRunTime, aRunTime);
}

TimePoint
AdmissionControl::LatestStart(TimePoint aDeadline, TimePoint aNow) const
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
AdmissionControl::Run(Calls& aCalls)
{
  for (auto& call : aCalls) {
    call.mDone(call.mReason);
  }
}

} // namespace wasabispar
