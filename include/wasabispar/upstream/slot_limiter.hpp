/// @file
/// @brief Adaptive limit on the concurrent exchanges with one upstream.
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
  /// Factor by which a shed reply reduces the limit.
  double mShedFactor = 0.7;
  /// Factor by which latency growth reduces the limit. Reduces less than a shed reply,
  /// because latency also grows for reasons other than load from this VM.
  double mLatencyFactor = 0.9;
  /// The latency has grown when the median of a batch exceeds the baseline times this
  /// factor.
  double mLatencyGrowth = 2.0;
};

/// @brief Limit on the exchanges in flight to one upstream, with additive increase and
/// multiplicative decrease. Not thread-safe; the owner must hold a lock.
class SlotLimiter
{
public:
  explicit SlotLimiter(SlotLimiterOptions aOptions = {});

  /// @brief Takes over the number of slots that the upstream declares; 0 is ignored. The
  /// first declaration sets the limit. Later ones only change its maximum, because own
  /// observations take precedence.
  void OnDeclaredSlots(std::uint32_t aSlots);
  /// @brief Records an answered exchange. @p aInFlight is the number of exchanges in
  /// flight including this one.
  void OnSuccess(Duration aLatency, std::uint32_t aInFlight);
  /// @brief Reduces the limit after a shed reply to an exchange that started at
  /// @p aStarted. Exchanges that started before the last reduction do not reduce the
  /// limit again.
  void OnShed(TimePoint aStarted, TimePoint aNow);
  /// @brief Number of exchanges that may be in flight, at least 1.
  std::uint32_t Limit() const;

private:
  /// With 16 samples the median ignores the few per cent of replies that are stragglers.
  static constexpr std::size_t kBatchSize = 16;

  void CheckLatency();
  void Scale(double aFactor);

  SlotLimiterOptions mOptions;
  /// Invariant: 1 <= mLimit <= mMax.
  double mLimit;
  double mMax;
  bool mDeclared = false;
  TimePoint mLastDecrease{};
  /// Latencies since the last check.
  std::vector<Duration> mBatch;
  /// Median latency without queueing; zero before the first batch.
  Duration mBaseline{};
};

} // namespace wasabispar
