/// @file
/// @brief Quantiles of recent latencies in bounded memory.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/units.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace wasabispar {

/// @brief Histogram with logarithmic buckets over a sliding window of kSliceCount slices.
/// An estimated quantile exceeds the exact one at most by the factor kBucketGrowth. Uses
/// about 3 KB. Not thread-safe; the owner must hold a lock.
class LatencyEstimator
{
public:
  /// Ratio of the upper bounds of two neighbouring buckets. A relative error of 8% is
  /// below the run-to-run variation of a p95.
  static constexpr double kBucketGrowth = 1.08;
  /// Upper bound of the first bucket.
  static constexpr Duration kMinLatency = std::chrono::microseconds(50);
  /// 50 us * 1.08^184 is 70 s, above any deadline.
  static constexpr std::size_t kBucketCount = 184;
  static constexpr std::size_t kSliceCount = 4;

  /// @brief @p aWindow is the total width of all slices.
  explicit LatencyEstimator(Duration aWindow = std::chrono::seconds(20));

  /// @brief Adds a sample to the current slice.
  void Record(Duration aLatency, TimePoint aNow);
  /// @brief Adds the samples of @p aOther that are in its window to the current slice.
  void Merge(const LatencyEstimator& aOther, TimePoint aNow);
  /// @brief Upper bound of the bucket that contains the quantile; empty without samples.
  std::optional<Duration> Quantile(Permille aQuantile, TimePoint aNow) const;
  /// @brief Number of samples in the window.
  std::uint64_t Count(TimePoint aNow) const;

private:
  struct Slice
  {
    /// Number of slices between the epoch of the clock and this slice; -1 for an unused
    /// slice. Tells whether the slice is still in the window.
    std::int64_t mSliceNumber = -1;
    std::uint32_t mCount = 0;
    std::array<std::uint32_t, kBucketCount> mBuckets{};
  };

  std::int64_t SliceNumberAt(TimePoint aNow) const;
  bool IsCurrent(const Slice& aSlice, TimePoint aNow) const;
  Slice& SliceAt(TimePoint aNow);

  Duration mSliceWidth;
  std::array<Slice, kSliceCount> mSlices;
};

} // namespace wasabispar
