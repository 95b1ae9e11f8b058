/// @file
/// @brief Length of the quiet period and the limit after its end.
#include "wasabispar/routing/quiet_period.hpp"

#include <algorithm>

namespace wasabispar {

void
QuietPeriod::Request(Duration aDuration, TimePoint aNow, const RandomFn& aRandom)
{
  if (aDuration <= Duration::zero()) {
    return;
  }
  const auto period = std::min(aDuration, mOptions.mMaxPeriod);
  const auto permille =
    static_cast<Duration::rep>(aRandom(mOptions.mMaxExtensionPermille + 1));
  const auto until = aNow + period + period / 1000 * permille;
  mUntil = std::max(mUntil.value_or(until), until);
}

std::size_t
QuietPeriod::MaxExchanges(std::size_t aLimit, TimePoint aNow) const
{
  if (!mUntil) {
    return aLimit;
  }
  if (aNow < *mUntil) {
    return 0;
  }
  constexpr Duration::rep kMaxDoublings = 20;
  const auto doublings =
    std::min<Duration::rep>((aNow - *mUntil) / mOptions.mDoublingTime, kMaxDoublings);
  return std::min(aLimit, std::size_t{ 1 } << doublings);
}

} // namespace wasabispar
