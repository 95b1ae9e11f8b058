/// @file
/// @brief One measurement: one tier, one group, one scenario.
#pragma once

#include "bench/scenario.hpp"

#include <boost/json.hpp>

#include <string>

namespace wasabispar::bench {

struct TierRunSpec
{
  /// `wasabispard` or `naive_tier`.
  std::string mProgram;
  std::size_t mVms = 3;
  GroupCase mGroup;
  Scenario mScenario;
  Duration mLength = std::chrono::seconds(4);
  std::uint64_t mSeed = 1;
};

/// @brief What one run cost and delivered.
struct TierRunResult
{
  LoadReport mLoad;
  /// 99th percentile of all callers but kNoisyCaller, in ms.
  double mQuietCallersP99Ms = 0;
  /// Sub-requests that reached the stand-ins over shards times queries, minus 1. A
  /// refused query counts as one that needed all shards of the first version.
  double mExtraLoad = 0;
  /// Most connections that one instance held at a time.
  std::uint64_t mMaxConnections = 0;
  std::uint64_t mRefusedConnections = 0;
  double mPlatformCallsPerSecond = 0;
  /// Mean over the VMs, in percent of one core, query processing included.
  double mCpuPercentPerVm = 0;
  /// Fleet messages sent, mean over the VMs, bytes per second.
  double mControlBytesPerSecond = 0;
};

/// @brief Starts all processes, runs the load and ends them. Throws std::runtime_error
/// when the tier does not become ready.
TierRunResult
RunTier(const TierRunSpec& aSpec);

boost::json::object
ToJson(const TierRunResult& aResult);

} // namespace wasabispar::bench
