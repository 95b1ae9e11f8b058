/// @file
/// @brief Admission of requests: a concurrency limit that adapts to the load of the
/// process, a fair queue for requests above the limit, and early refusal of requests that
/// would start too late.
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

/// @brief The result of a submission. With all reasons except Admitted the request is
/// refused with `not-run`.
enum class AdmissionReason
{
  Admitted,
  /// The queue is full, and the caller of the request has the longest queue.
  QueueFull,
  /// The queue of the caller is full.
  CallerQueueFull,
  /// The request was removed from the full queue in favour of a caller with a shorter
  /// queue.
  Displaced,
  /// The expected wait exceeds the time to the latest useful start of the request.
  ExpectedWait,
  /// The latest useful start or the maximum queue time passed while the request was
  /// queued.
  QueueDeadline,
  /// The process shuts down.
  Shutdown,
};

/// @brief Number of values of AdmissionReason.
inline constexpr std::size_t kAdmissionReasonCount = 7;

/// @brief The reason in lower case with dashes, for metrics and causes.
std::string_view
ToText(AdmissionReason aReason);

/// @brief Settings of AdmissionControl.
struct AdmissionControlOptions
{
  FairQueueOptions mQueue;
  CodelLimitOptions mLimit;
  /// Longest time in the queue of a request whose latest useful start is not earlier.
  Duration mMaxQueueTime = std::chrono::seconds(2);
  /// Weight of a new sample in the moving averages of the time between two starts and of
  /// the run time.
  double mSampleWeight = 0.05;
};

/// @brief Called with the result exactly once for each submitted request that is not
/// cancelled. No lock is held during the call, which may precede the return of Submit().
using AdmissionFn = std::function<void(AdmissionReason)>;

/// @brief Identifies a queued request; 0 for a request that was not queued.
using AdmissionId = std::uint64_t;

/// @brief Admits requests up to the concurrency limit and queues the others, fairly among
/// callers. Thread-safe.
///
/// The latest useful start of a request is its deadline minus the expected run time. The
/// expected run time is the mean of recent run times plus four times their mean
/// deviation, but at most half of the time to the deadline. A request that starts later
/// would occupy a slot and still miss its deadline.
class AdmissionControl
{
public:
  explicit AdmissionControl(AdmissionControlOptions aOptions = {});

  /// @brief Admits, queues or refuses a request of cost @p aCost.
  /// @return the id of the queued request; 0 if it was admitted or refused at once.
  AdmissionId Submit(const CallerId& aCaller, std::uint32_t aCost, TimePoint aDeadline,
                     TimePoint aNow, AdmissionFn aCallback);
  /// @brief Records that an admitted request ended @p aRunTime after its start, and
  /// starts queued requests. Call exactly once for each admitted request.
  void Finish(Duration aRunTime, TimePoint aNow);
  /// @brief Removes a queued request without a call of its callback. False when the
  /// request has already left the queue.
  bool Cancel(AdmissionId aId);
  /// @brief Records that a handler waited @p aDelay for its worker to run it. This delay
  /// is the load signal to which the concurrency limit adapts.
  void OnWorkerDelay(Duration aDelay, TimePoint aNow);
  /// @brief Refuses queued requests whose queue deadline has passed. Call every 10 ms.
  void Expire(TimePoint aNow);
  /// @brief Refuses all queued requests and all later submissions.
  void Shutdown();

  /// @brief Number of requests that may run at the same time.
  std::size_t Limit() const;
  /// @brief Number of admitted requests that have not finished.
  std::size_t Running() const;
  /// @brief Number of queued requests.
  std::size_t Queued() const;
  /// @brief Estimated wait of a request that @p aCaller would submit now.
  Duration ExpectedWait(const CallerId& aCaller) const;
  /// @brief Number of requests since the start by AdmissionReason.
  std::array<std::uint64_t, kAdmissionReasonCount> Counts() const;

private:
  /// A callback that is collected under the lock and called after its release.
  struct PendingCallback
  {
    AdmissionFn mCallback;
    AdmissionReason mReason;
  };
  using Callbacks = std::vector<PendingCallback>;
  using Queue = FairQueue<AdmissionFn>;

  AdmissionId Enqueue(Callbacks& aCallbacks, const CallerId& aCaller, std::uint32_t aCost,
                      TimePoint aDeadline, TimePoint aNow, AdmissionFn aCallback);
  /// Calls the callbacks. The lock must not be held.
  static void RunCallbacks(Callbacks& aCallbacks);
  Duration ExpectedWaitLocked(const CallerId& aCaller) const;
  void AddCallback(Callbacks& aCallbacks, AdmissionFn aCallback, AdmissionReason aReason);
  void AddDropped(Callbacks& aCallbacks, std::vector<Queue::Dropped> aDropped);
  void StartQueued(Callbacks& aCallbacks, TimePoint aNow);
  void RecordStart(TimePoint aNow);
  void RecordRunTime(Duration aRunTime);
  TimePoint LatestUsefulStart(TimePoint aDeadline, TimePoint aNow) const;
  Duration MovingAverage(Duration aOld, Duration aSample) const;

  AdmissionControlOptions mOptions;
  /// Guards all members below.
  mutable std::mutex mMutex;
  Queue mQueue;
  CodelLimit mLimit;
  std::size_t mRunning = 0;
  bool mIsShutDown = false;
  /// Moving average of the time between two starts while requests are queued; empty
  /// before the first two such starts.
  std::optional<Duration> mStartInterval;
  /// Time of the last start of a queued request; empty when the queue was empty since.
  std::optional<TimePoint> mLastQueuedStart;
  /// Moving averages of the run time and of its deviation from the mean.
  Duration mMeanRunTime{};
  Duration mRunTimeDeviation{};
  std::array<std::uint64_t, kAdmissionReasonCount> mCounts{};
};

} // namespace wasabispar
