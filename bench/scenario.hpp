/// @file
/// @brief The groups and scenarios that the whole-path measurement runs.
#pragma once

#include "bench/load_generator.hpp"
#include "tests/harness/cluster.hpp"

#include <functional>
#include <string>
#include <vector>

namespace wasabispar::bench {

/// @brief An upstream group of a deployment in its current size.
struct GroupCase
{
  std::string mDeployment;
  harness::UpstreamSpec mUpstream;
  double mQueriesPerSecond = 100;
};

/// @brief What goes wrong during a measurement.
struct Scenario
{
  std::string mName;
  /// Runs before the load.
  std::function<void(harness::Cluster&)> mPrepare;
  /// The events during a load of the given length.
  std::function<std::vector<LoadEvent>(harness::Cluster&, Duration)> mEvents;
};

std::vector<GroupCase>
AllGroups();

std::vector<Scenario>
AllScenarios();

/// @brief The shard maps of all versions that the scenarios use with @p aUpstream.
ShardMaps
MapsOf(const harness::UpstreamSpec& aUpstream);

} // namespace wasabispar::bench
