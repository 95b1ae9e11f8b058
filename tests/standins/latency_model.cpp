/// @file
/// @brief Implements the latency model.
#include "tests/standins/latency_model.hpp"

namespace wasabispar::standins {

Duration
LatencyModel::Draw(const LatencySettings& aSettings, double aFactor)
{
  double milliseconds = aSettings.mBaseMs;
  if (aSettings.mJitterMs > 0) {
    std::exponential_distribution<double> jitter(1.0 / aSettings.mJitterMs);
    milliseconds += jitter(mRandom);
  }
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  if (uniform(mRandom) < aSettings.mStragglerShare) {
    milliseconds *= aSettings.mStragglerFactor;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(milliseconds * aFactor));
}

} // namespace wasabispar::standins
