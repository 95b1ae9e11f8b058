/// @file
/// @brief Decides when a request starts: a concurrency limit that adapts to the load of
/// the process, a fair queue in front of it, and early refusal.
#pragma once

#include "wasabispar/admission/concurrency_limit.hpp"
#include "wasabispar/admission/fair_queue.hpp"
#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief How a submitted request left admission. All but Admitted are `not-run`.
enum class AdmissionReason
{
  Admitted,
  /// The queue is full and its caller has the longest queue.
  QueueFull,
  /// The queue of its caller is full.
  CallerQueueFull,
  /// It was queued, and made place for a caller with a shorter queue.
  Displaced,
  /// The expected wait exceeds the time that remains to its latest useful start.
  ExpectedWait,
  /// Its latest useful start or the longest queue time passed while it was queued.
  QueueDeadline,
  /// The process shuts down.
  Shutdown,
};

inline constexpr std::size_t kAdmissionReasonCount = 7;

/// @brief The reason in lower case with dashes, for metrics and causes.
std::string_view
ToText(AdmissionReason aReason);

struct AdmissionControlOptions
{
  FairQueueOptions mQueue;
  CodelLimitOptions mLimit;
  /// Longest time in the queue, if the request's deadline is not earlier.
  Duration mMaxQueueTime = std::chrono::seconds(2);
  /// Weight of a new sample in the moving averages of the time between two starts and of
  /// the run time.
  double mSampleWeight = 0.05;
};

/// @brief Called exactly once for each submitted request that is not cancelled, without
/// a lock held; may run before Submit() returns.
using AdmissionFn = std::function<void(AdmissionReason)>;

/// @brief Identifies a queued request; 0 when it is not queued.
using AdmissionId = std::uint64_t;

/// @brief Admits requests up to the limit, queues the others fairly by caller.
/// Thread-safe.
///
/// The latest useful start of a request is its deadline less the run time to expect (mean
/// and four times the deviation of recent ones, at most half of the time to the
/// deadline). A request that starts later would use a slot and miss its deadline all the
/// same.
class AdmissionControl
{
public:
  explicit AdmissionControl(AdmissionControlOptions aOptions = {});

  /// @brief Admits, queues or refuses a request of cost @p aCost.
  AdmissionId Submit(const CallerId& aCaller, std::uint32_t aCost, TimePoint aDeadline,
                     TimePoint aNow, AdmissionFn aDone);
  /// @brief An admitted request ended @p aRunTime after its start; starts queued ones.
  /// Call once for each Admitted.
  void Finish(Duration aRunTime, TimePoint aNow);
  /// @brief Takes a queued request out, whose callback is then never called. False when
  /// it already left the queue.
  bool Cancel(AdmissionId aId);
  /// @brief A handler waited @p aDelay for its worker: the load signal of the process.
  void OnWorkerDelay(Duration aDelay, TimePoint aNow);
  /// @brief Refuses queued requests whose queue deadline has passed. Call each 10 ms.
  void Expire(TimePoint aNow);
  /// @brief Refuses what is queued and what is submitted later.
  void Shutdown();

  std::size_t Limit() const;
  std::size_t Running() const;
  std::size_t Queued() const;
  /// @brief The wait that a request of @p aCaller would have now.
  Duration ExpectedWait(const CallerId& aCaller) const;
  /// @brief Requests by AdmissionReason since the start.
  std::array<std::uint64_t, kAdmissionReasonCount> Counts() const;

private:
  struct Call
  {
    AdmissionFn mDone;
    AdmissionReason mReason;
  };
  using Calls = std::vector<Call>;
  using Queue = FairQueue<AdmissionFn>;

  AdmissionId Enqueue(Calls& aCalls, const CallerId& aCaller, std::uint32_t aCost,
                      TimePoint aDeadline, TimePoint aNow, AdmissionFn aDone);
  /// Runs the callbacks; call it without the lock.
  static void Run(Calls& aCalls);
  Duration ExpectedWaitLocked(const CallerId& aCaller) const;
  void AddCallback(Calls& aCalls, AdmissionFn aDone, AdmissionReason aReason);
  void AddDropped(Calls& aCalls, std::vector<Queue::Dropped> aDropped);
  void StartQueued(Calls& aCalls, TimePoint aNow);
  void RecordStart(TimePoint aNow);
  void RecordRunTime(Duration aRunTime);
  TimePoint LatestStart(TimePoint aDeadline, TimePoint aNow) const;
  Duration MovingAverage(Duration aOld, Duration aSample) const;

  AdmissionControlOptions mOptions;
  /// Guards all members below.
  mutable std::mutex mMutex;
  Queue mQueue;
  CodelLimit mLimit;
  std::size_t mRunning = 0;
  bool mIsShutDown = false;
  /// Moving average of the time between two starts while requests are queued; empty
  /// until two such starts were seen.
  std::optional<Duration> mStartInterval;
  std::optional<TimePoint> mLastQueuedStart;
  /// Moving averages of the run time and of its distance from its mean.
  Duration mMeanRunTime{};
  Duration mRunTimeDeviation{};
  std::array<std::uint64_t, kAdmissionReasonCount> mCounts{};
};

} // namespace wasabispar
