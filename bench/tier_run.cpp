/// @file
/// @brief Implements one measurement.
#include "bench/tier_run.hpp"

#include <algorithm>
#include <stdexcept>

namespace wasabispar::bench {

namespace json = boost::json;
using harness::Cluster;
using harness::RecordNumber;

namespace {

constexpr const char* kProfile = "measure";
constexpr auto kReadyTimeout = std::chrono::seconds(30);
constexpr auto kWarmUp = std::chrono::seconds(1);
constexpr const char* kControlBytesMetric = "wasabispar_fleet_bytes_out";

/// The counters that a run takes the difference of.
struct Counters
{
  std::uint64_t mSearches = 0;
  std::uint64_t mPlatformCalls = 0;
  std::chrono::milliseconds mCpu{};
  double mControlBytes = 0;
};

Counters
ReadCounters(Cluster& aCluster, bool aHasMetrics)
{
  Counters counters;
  counters.mSearches = RecordNumber(aCluster.Upstream().Record(), "searches_received");
  counters.mPlatformCalls = RecordNumber(aCluster.Platform().Record(), "calls_total");
  for (std::size_t vm = 0; vm < aCluster.VmCount(); ++vm) {
    counters.mCpu += aCluster.Vm(vm).Process().CpuTime();
    if (aHasMetrics) {
      counters.mControlBytes += aCluster.Vm(vm).Metric(kControlBytesMetric);
    }
  }
  return counters;
}

LoadSpec
MakePlainLoad(const TierRunSpec& aSpec, Cluster& aCluster)
{
  LoadSpec load;
  for (std::size_t vm = 0; vm < aCluster.VmCount(); ++vm) {
    load.mVms.push_back(aCluster.Vm(vm).Caller());
  }
  load.mProfile = kProfile;
  load.mCallers = { { kNoisyCaller, 1 }, { "caller-b", 1 }, { "caller-c", 1 } };
  load.mRatePerSecond = aSpec.mGroup.mQueriesPerSecond;
  load.mDuration = aSpec.mLength;
  load.mSeed = aSpec.mSeed;
  load.mMaps = MapsOf(aSpec.mGroup.mUpstream);
  return load;
}

/// Opens connections and fills latency estimates; its answers do not count.
void
WarmUp(const TierRunSpec& aSpec, Cluster& aCluster)
{
  auto load = MakePlainLoad(aSpec, aCluster);
  load.mDuration = kWarmUp;
  RunLoad(load);
}

LoadSpec
MakeLoad(const TierRunSpec& aSpec, Cluster& aCluster)
{
  auto load = MakePlainLoad(aSpec, aCluster);
  load.mEvents = aSpec.mScenario.mEvents(aCluster, aSpec.mLength);
  if (aSpec.mScenario.mChangeLoad) {
    aSpec.mScenario.mChangeLoad(load);
  }
  return load;
}

/// The 99th percentile of the callers that do not change their load.
double
QuietCallersP99(const LoadReport& aReport)
{
  LoadFigures quiet;
  for (const auto& [caller, figures] : aReport.mByCaller) {
    if (caller != kNoisyCaller) {
      quiet.mLatencies.insert(quiet.mLatencies.end(), figures.mLatencies.begin(),
                              figures.mLatencies.end());
    }
  }
  std::sort(quiet.mLatencies.begin(), quiet.mLatencies.end());
  return quiet.Quantile(0.99);
}

void
ReadInstances(const json::object& aRecord, TierRunResult& aResult)
{
  for (const auto& entry : aRecord.at("instances").as_array()) {
    const auto& instance = entry.as_object();
    aResult.mMaxConnections =
      std::max(aResult.mMaxConnections, RecordNumber(instance, "connections_max"));
    aResult.mRefusedConnections += RecordNumber(instance, "connections_refused");
  }
}

} // namespace

TierRunResult
RunTier(const TierRunSpec& aSpec)
{
  harness::ClusterSpec spec;
  spec.mProgram = aSpec.mProgram;
  spec.mVms = harness::MakeVms(aSpec.mVms);
  spec.mUpstreams = { aSpec.mGroup.mUpstream };
  Cluster cluster(spec);
  cluster.PublishProfile(kProfile, harness::SearchProfile(aSpec.mGroup.mUpstream.mIndex));
  if (!cluster.WaitReady(kProfile, kReadyTimeout)) {
    throw std::runtime_error(aSpec.mProgram + " was not ready in time");
  }
  WarmUp(aSpec, cluster);
  aSpec.mScenario.mPrepare(cluster);

  const bool hasMetrics = aSpec.mProgram == "wasabispard";
  const auto before = ReadCounters(cluster, hasMetrics);
  const auto start = BootClock::now();
  TierRunResult result;
  result.mLoad = RunLoad(MakeLoad(aSpec, cluster));
  const auto after = ReadCounters(cluster, hasMetrics);
  const auto seconds =
    std::chrono::duration<double>(Duration(BootClock::now() - start)).count();

  const auto& all = result.mLoad.mAll;
  const auto needed =
    all.mShards + (all.mRequests - all.mAnswered) * aSpec.mGroup.mUpstream.mShards;
  result.mExtraLoad = static_cast<double>(after.mSearches - before.mSearches) /
                        static_cast<double>(needed) -
                      1;
  result.mPlatformCallsPerSecond =
    static_cast<double>(after.mPlatformCalls - before.mPlatformCalls) / seconds;
  const auto vmSeconds = seconds * static_cast<double>(aSpec.mVms);
  result.mCpuPercentPerVm =
    static_cast<double>((after.mCpu - before.mCpu).count()) / (vmSeconds * 10.0);
  result.mControlBytesPerSecond =
    (after.mControlBytes - before.mControlBytes) / vmSeconds;
  result.mQuietCallersP99Ms = QuietCallersP99(result.mLoad);
  ReadInstances(cluster.Upstream().Record(), result);
  return result;
}

json::object
ToJson(const TierRunResult& aResult)
{
  auto object = ToJson(aResult.mLoad);
  object["quiet_callers_p99_ms"] = aResult.mQuietCallersP99Ms;
  object["extra_load"] = aResult.mExtraLoad;
  object["max_connections_per_instance"] = aResult.mMaxConnections;
  object["refused_connections"] = aResult.mRefusedConnections;
  object["platform_calls_per_second"] = aResult.mPlatformCallsPerSecond;
  object["cpu_percent_per_vm"] = aResult.mCpuPercentPerVm;
  object["control_bytes_per_second_per_vm"] = aResult.mControlBytesPerSecond;
  return object;
}

} // namespace wasabispar::bench
