/// @file
/// @brief The processing time of a stand-in: base, exponential jitter and stragglers.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstdint>
#include <random>

namespace wasabispar::standins {

struct LatencySettings
{
  double mBaseMs = 2.0;
  /// Mean of the exponential part.
  double mJitterMs = 1.0;
  /// Share of the requests, 0 to 1, that take mStragglerFactor times as long.
  double mStragglerShare = 0.0;
  double mStragglerFactor = 20.0;
};

/// @brief Draws processing times from a generator with a fixed seed.
class LatencyModel
{
public:
  explicit LatencyModel(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  Duration Draw(const LatencySettings& aSettings, double aFactor);

private:
  std::mt19937_64 mRandom;
};

} // namespace wasabispar::standins
