/// @file
/// @brief Random extension of retry delays.
#include "wasabispar/routing/retry_delay.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// The delay is extended by up to this part of itself.
constexpr Duration::rep kSpreadDivisor = 4;
/// The least range of the extension.
constexpr Duration kMinSpread = std::chrono::milliseconds(50);

} // namespace

Duration
RetryDelay(Duration aWait, const RetryDelayBounds& aBounds, const RandomFn& aRandom)
{
  const auto wait = std::clamp(aWait, aBounds.mMin, aBounds.mMax);
  const auto spread = std::max(wait / kSpreadDivisor, kMinSpread);
  const auto extension = Duration(
    static_cast<Duration::rep>(aRandom(static_cast<std::uint64_t>(spread.count()))));
  // Rounded up, so that the stated time is not before the expected one.
  const auto delay = std::chrono::ceil<std::chrono::milliseconds>(wait + extension);
  return std::min<Duration>(delay, aBounds.mMax);
}

} // namespace wasabispar
