/// @file
/// @brief What this VM has observed of one upstream: how soon it would answer a request
/// that is sent now.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wasabispar {

/// @brief Response times and failures of one upstream. Passive: it learns from the
/// requests that are sent anyway. Not thread-safe.
///
/// The estimate follows samples quickly, counts an overdue exchange as a sample before it
/// ends, and falls back to the best recent time while nothing is sent, so that an
/// upstream that was slow is tried again.
class ReplicaLoad
{
public:
  /// Identifies an exchange; unique in the process.
  using ExchangeId = std::uint64_t;

  /// @brief @p aInitial is the expected response time before the first sample.
  explicit ReplicaLoad(Duration aInitial);

  void OnSent(ExchangeId aExchange, TimePoint aNow);
  /// @brief The upstream answered, with success or failure of its own.
  void OnAnswered(ExchangeId aExchange, TimePoint aNow);
  /// @brief The upstream shed the request without running it.
  void OnShed(ExchangeId aExchange, TimePoint aNow);
  /// @brief The answer was lost, invalid, or did not arrive in time.
  void OnLost(ExchangeId aExchange, TimePoint aNow);
  /// @brief The exchange was ended from this side; says nothing about the upstream.
  void OnAbandoned(ExchangeId aExchange);
  /// @brief A connection could not be opened.
  void OnConnectFailed(TimePoint aNow);
  /// @brief A connection was opened.
  void OnConnected() { mConnectFailures = 0; }

  /// @brief ExpectedLatency response time of a request sent at @p aNow.
  Duration ExpectedLatency(TimePoint aNow) const;
  /// @brief Share of the recent requests that it shed or whose answer was lost, from 0 to
  /// 1. Falls while nothing is sent, so that it is tried again.
  double FailureRatio(TimePoint aNow) const;
  /// @brief Whether no request should be sent unless there is no other upstream.
  bool IsAvoided(TimePoint aNow) const { return aNow < mAvoidUntil; }
  std::size_t InFlight() const { return mInFlight.size(); }
  /// @brief The last attempt to open a connection failed.
  bool IsUnreachable() const { return mConnectFailures > 0; }

private:
  struct Exchange
  {
    ExchangeId mId = 0;
    TimePoint mSent;
  };

  /// Removes the exchange and returns its age; zero if it is unknown.
  Duration RemoveExchange(ExchangeId aExchange, TimePoint aNow);
  void AddSample(Duration aSample, TimePoint aNow);
  void AddOutcome(bool aFailed, TimePoint aNow);
  void Avoid(TimePoint aNow, Duration aFirst);

  /// Exponentially weighted mean of the response times.
  Duration mMeanLatency;
  /// Best recent response time; rises slowly.
  Duration mBestLatency;
  TimePoint mLastSampleAt{};
  /// Exponentially weighted share of failures, as of mLastOutcomeAt.
  double mFailureRatio = 0;
  TimePoint mLastOutcomeAt{};
  TimePoint mAvoidUntil{};
  /// Failures since the last answer.
  std::uint32_t mConsecutiveFailures = 0;
  /// Failed connections since the last opened one.
  std::uint32_t mConnectFailures = 0;
  /// In the order of sending.
  std::vector<Exchange> mInFlight;
};

} // namespace wasabispar
