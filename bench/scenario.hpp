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
  /// Changes the load; empty: the group's rate, spread evenly over the callers.
  std::function<void(LoadSpec&)> mChangeLoad;
};

std::vector<GroupCase>
AllGroups();

/// @brief The scenarios; `all-faults`, which repeats faults of all kinds for as long as
/// the load lasts, is run on request only.
std::vector<Scenario>
AllScenarios();

constexpr const char* kAllFaults = "all-faults";
/// The caller that sends ten times its share in the scenario `noisy-caller`.
constexpr const char* kNoisyCaller = "caller-a";

/// @brief The shard maps of all versions that the scenarios use with @p aUpstream.
ShardMaps
MapsOf(const harness::UpstreamSpec& aUpstream);

} // namespace wasabispar::bench
