/// @file
/// @brief Adaptive limit on the concurrent exchanges with one searcher.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstdint>
#include <vector>

namespace wasabispar {

/// @brief Settings of SlotLimiter.
struct SlotLimiterOptions
{
  /// Limit before the upstream declares its slots.
  std::uint32_t mInitialLimit = 2;
  /// The limit never exceeds the declared slots times this factor.
  std::uint32_t mMaxFactor = 4;
  /// Factor of the limit after a shed reply.
  double mShedFactor = 0.7;
  /// Factor of the limit after latency growth; milder, because latency also grows for
  /// other reasons than load from this VM.
  double mLatencyFactor = 0.9;
  /// The median of a batch above the baseline times this factor is latency growth.
  double mLatencyGrowth = 2.0;
};

/// @brief Additive increase, multiplicative decrease. Never below 1. Not thread-safe; its
/// owner holds a lock.
class SlotLimiter
{
public:
  explicit SlotLimiter(SlotLimiterOptions aOptions = {});

  /// @brief The upstream declares its slots. The first declaration sets the limit; later
  /// ones only move the maximum, because own observations go first.
  void OnDeclaredSlots(std::uint32_t aSlots);
  /// @brief An exchange was answered; @p aInFlight counts it.
  void OnSuccess(Duration aLatency, std::uint32_t aInFlight);
  /// @brief An exchange that started at @p aStarted was shed. Replies to exchanges that
  /// started before the last decrease do not decrease the limit again.
  void OnShed(TimePoint aStarted, TimePoint aNow);
  /// @brief At least 1.
  std::uint32_t Limit() const;

private:
  /// 16 samples: the median ignores the few per cent of replies that are stragglers.
  static constexpr std::size_t kBatchSize = 16;

  void CheckLatency();
  void Scale(double aFactor);

  SlotLimiterOptions mOptions;
  /// Invariant: 1 <= mLimit <= mMax.
  double mLimit;
  double mMax;
  bool mDeclared = false;
  TimePoint mLastDecrease{};
  std::vector<Duration> mBatch;
  /// Median latency without queueing; zero before the first batch.
  Duration mBaseline{};
};

} // namespace wasabispar
