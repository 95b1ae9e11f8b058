/// @file
/// @brief Histogram and quantiles of recent latencies.
#include "wasabispar/upstream/latency_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace wasabispar {

namespace {

/// Bucket i holds latencies up to kMinLatency * kBucketGrowth^i.
std::size_t
BucketOf(Duration aLatency)
{
  if (aLatency <= LatencyEstimator::kMinLatency) {
    return 0;
  }
  const double ratio = static_cast<double>(aLatency.count()) /
                       static_cast<double>(LatencyEstimator::kMinLatency.count());
  static const double kLogGrowth = std::log(LatencyEstimator::kBucketGrowth);
  const auto bucket = static_cast<std::size_t>(std::ceil(std::log(ratio) / kLogGrowth));
  return std::min(bucket, LatencyEstimator::kBucketCount - 1);
}

Duration
UpperBound(std::size_t aBucket)
{
  const double factor =
    std::pow(LatencyEstimator::kBucketGrowth, static_cast<double>(aBucket));
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(LatencyEstimator::kMinLatency.count()) * factor));
}

} // namespace

LatencyEstimator::LatencyEstimator(Duration aWindow)
  : mSliceWidth(std::max<Duration>(aWindow / kSliceCount, Duration(1)))
{
}

std::int64_t
LatencyEstimator::SliceNumberAt(TimePoint aNow) const
{
  return aNow.time_since_epoch() / mSliceWidth;
}

bool
LatencyEstimator::IsCurrent(const Slice& aSlice, TimePoint aNow) const
{
  const auto number = SliceNumberAt(aNow);
  return aSlice.mSliceNumber >= 0 &&
         aSlice.mSliceNumber > number - static_cast<std::int64_t>(kSliceCount);
}

LatencyEstimator::Slice&
LatencyEstimator::SliceAt(TimePoint aNow)
{
  const auto number = SliceNumberAt(aNow);
  auto& slice = mSlices[static_cast<std::size_t>(number) % kSliceCount];
  if (slice.mSliceNumber != number) {
    slice = Slice{};
    slice.mSliceNumber = number;
  }
  return slice;
}

void
LatencyEstimator::Record(Duration aLatency, TimePoint aNow)
{
  auto& slice = SliceAt(aNow);
  ++slice.mCount;
  ++slice.mBuckets[BucketOf(aLatency)];
}

void
LatencyEstimator::Merge(const LatencyEstimator& aOther, TimePoint aNow)
{
  for (const auto& other : aOther.mSlices) {
    if (!aOther.IsCurrent(other, aNow)) {
      continue;
    }
    auto& slice = SliceAt(aNow);
    slice.mCount += other.mCount;
    for (std::size_t i = 0; i < kBucketCount; ++i) {
      slice.mBuckets[i] += other.mBuckets[i];
    }
  }
}

std::uint64_t
LatencyEstimator::Count(TimePoint aNow) const
{
  std::uint64_t count = 0;
  for (const auto& slice : mSlices) {
    count += IsCurrent(slice, aNow) ? slice.mCount : 0;
  }
  return count;
}

std::optional<Duration>
LatencyEstimator::Quantile(Permille aQuantile, TimePoint aNow) const
{
  const auto count = Count(aNow);
  if (count == 0) {
    return std::nullopt;
  }
  // Rank of the nearest-rank method, from 1.
  const auto rank = std::clamp<std::uint64_t>((count * aQuantile.Value() + 999) / 1000,
                                              std::uint64_t{ 1 }, count);
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kBucketCount; ++i) {
    for (const auto& slice : mSlices) {
      seen += IsCurrent(slice, aNow) ? slice.mBuckets[i] : 0;
    }
    if (seen >= rank) {
      return UpperBound(i);
    }
  }
  return UpperBound(kBucketCount - 1);
}

} // namespace wasabispar
