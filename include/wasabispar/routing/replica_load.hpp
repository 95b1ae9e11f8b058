/// @file
/// @brief Latency and failures of one upstream as this VM observes them, to estimate the
/// response time of the next request.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace wasabispar {

/// @brief Estimates the response time and the failure ratio of one upstream from the
/// requests of callers, without probes of its own. Not thread-safe.
///
/// The estimate follows new samples quickly and includes the age of an overdue exchange
/// before the exchange ends. While no request is sent, the estimate decays towards the
/// best recent response time, so that an upstream that was slow is tried again.
///
/// Load pattern: in a large fleet a VM sends a service one request in a second or two. If
/// it forgot within that time that an upstream is slow or silent, each of its requests
/// would find out anew. Therefore the estimates last for a few requests, by
/// SetRequestInterval().
class ReplicaLoad
{
public:
  /// Identifies an exchange; unique in the process.
  using ExchangeId = std::uint64_t;

  /// @param aInitial expected response time before the first sample.
  explicit ReplicaLoad(Duration aInitial);

  /// @brief If there is no sample yet, replaces the expected response time, unless
  /// @p aInitial is empty. The first sample then replaces it in turn, instead of changing
  /// it by its weight: otherwise an upstream that was used once seems slower than one
  /// that was used often.
  void SetInitialLatency(std::optional<Duration> aInitial);
  /// @brief Whether a response time was observed.
  bool HasSample() const { return mLastSampleAt != TimePoint{}; }
  /// @brief Sets the mean time between the requests of this VM to the service. The
  /// estimates and avoidances last for a few such intervals.
  void SetRequestInterval(Duration aInterval);
  /// @brief A request was sent to the upstream.
  void OnSent(ExchangeId aExchange, TimePoint aNow);
  /// @brief The upstream answered. Adds the response time as a sample and ends an
  /// avoidance.
  void OnAnswered(ExchangeId aExchange, TimePoint aNow);
  /// @brief The upstream shed the request without running it. Counts as a failure; the
  /// upstream is avoided for a short time.
  void OnShed(ExchangeId aExchange, TimePoint aNow);
  /// @brief The answer was lost, invalid or late, or the upstream reported that it failed
  /// to run the request. Counts as a failure; the upstream is avoided for a while.
  void OnLost(ExchangeId aExchange, TimePoint aNow);
  /// @brief The exchange ended for a reason other than the upstream's behaviour, for
  /// example because this side closed it. Leaves the estimates unchanged.
  void OnAbandoned(ExchangeId aExchange);
  /// @brief A connection could not be opened. The upstream is avoided for a while.
  void OnConnectFailed(TimePoint aNow);
  /// @brief A connection was opened.
  void OnConnected() { mConnectFailures = 0; }

  /// @brief Expected response time of a request that is sent at @p aNow.
  Duration ExpectedLatency(TimePoint aNow) const;
  /// @brief The same by the samples alone, without the age of an overdue exchange.
  Duration SampledLatency(TimePoint aNow) const;
  /// @brief Fraction of recent requests that the upstream shed or failed, from 0 to 1.
  /// Decays while no request is sent, so that the upstream is tried again.
  double FailureRatio(TimePoint aNow) const;
  /// @brief Whether the upstream should be used only when there is no other.
  bool IsAvoided(TimePoint aNow) const { return aNow < mAvoidUntil; }
  /// @brief Number of exchanges that have not ended.
  std::size_t InFlight() const { return mInFlight.size(); }
  /// @brief Whether the last attempt to open a connection failed.
  bool IsUnreachable() const { return mConnectFailures > 0; }

private:
  /// An exchange that has not ended.
  struct Exchange
  {
    ExchangeId mId = 0;
    TimePoint mSentAt;
  };

  /// Removes the exchange and returns its age; zero when there is no such exchange.
  Duration RemoveExchange(ExchangeId aExchange, TimePoint aNow);
  /// Adds a response time to the mean and the best latency.
  void AddSample(Duration aSample, TimePoint aNow);
  /// Adds a success or a failure to the failure ratio.
  void AddOutcome(bool aFailed, TimePoint aNow);
  /// Counts a failure and avoids the upstream for @p aInitialBackoff, doubled for each
  /// earlier consecutive failure.
  void Avoid(TimePoint aNow, Duration aInitialBackoff);

  /// How fast the estimates change, by the rate of requests.
  struct Pace
  {
    /// Weight of a new latency sample.
    double mSampleWeight = 0;
    /// Time after a sample before the mean starts to decay, and the half-life of its
    /// distance from the best latency.
    Duration mMeanDecayDelay{};
    Duration mMeanHalfLife{};
    Duration mFailureRatioHalfLife{};
    /// Initial and maximum backoff after a lost answer or a failed connection.
    Duration mLossBackoff{};
    Duration mMaxBackoff{};
  };

  /// The pace at a mean time of @p aInterval between requests.
  static Pace PaceAt(Duration aInterval);

  Pace mPace;
  /// Exponentially weighted mean of the response times.
  Duration mMeanLatency;
  /// Best recent response time. Grows slightly with each sample, so that it follows a
  /// lasting change.
  Duration mBestLatency;
  TimePoint mLastSampleAt{};
  /// SetInitialLatency() was called before the first sample.
  bool mIsInitialReplaced = false;
  /// Exponentially weighted fraction of failures, as of mLastOutcomeAt.
  double mFailureRatio = 0;
  TimePoint mLastOutcomeAt{};
  /// End of the current avoidance.
  TimePoint mAvoidUntil{};
  /// Failures since the last answer.
  std::uint32_t mConsecutiveFailures = 0;
  /// Failed attempts to open a connection since the last success.
  std::uint32_t mConnectFailures = 0;
  /// Exchanges that have not ended, in the order of sending.
  std::vector<Exchange> mInFlight;
};

} // namespace wasabispar
