/// @file
/// @brief Defines the groups and scenarios.
#include "bench/scenario.hpp"

#include "tests/standins/index_layout.hpp"

#include <csignal>
#include <thread>

namespace wasabispar::bench {

namespace json = boost::json;
using harness::Cluster;

namespace {

/// The first event, as a share of the load's length; before it the tier runs calmly.
constexpr double kStart = 0.2;
constexpr double kEnd = 0.6;
/// 2% of the sub-requests take 20 times as long, which a fifth of the queries over 10
/// shards meet.
constexpr double kStragglerShare = 0.02;
constexpr double kStragglerFactor = 20;
constexpr double kNoisyFactor = 10;
/// Length of one fault of `all-faults`; the next one begins after twice this time.
constexpr auto kFaultLength = std::chrono::milliseconds(1500);
/// An index version spreads over a group instance by instance.
constexpr auto kSwitchStep = std::chrono::milliseconds(50);

Duration
At(Duration aLength, double aShare)
{
  return std::chrono::duration_cast<Duration>(aLength * aShare);
}

GroupCase
MakeGroup(const std::string& aDeployment, const std::string& aName,
          std::size_t aInstances, std::size_t aShards)
{
  GroupCase group;
  group.mDeployment = aDeployment;
  group.mUpstream.mName = aName;
  group.mUpstream.mIndex = aName;
  group.mUpstream.mInstances = aInstances;
  group.mUpstream.mSearchers = 3;
  group.mUpstream.mSlots = 2;
  group.mUpstream.mConnectionLimit = 25;
  group.mUpstream.mConnectionCostMs = 6;
  group.mUpstream.mShards = aShards;
  group.mUpstream.mReplicas = 3;
  group.mUpstream.mBaseMs = 3;
  group.mUpstream.mJitterMs = 1;
  return group;
}

std::vector<LoadEvent>
NoEvents(Cluster&, Duration)
{
  return {};
}

void
NoPreparation(Cluster&)
{
}

void
MakeStragglers(Cluster& aCluster)
{
  aCluster.Upstream().Set("*", { { "straggler_share", kStragglerShare },
                                 { "straggler_factor", kStragglerFactor } });
}

/// Applies @p aBegin to the first instance and @p aEnd later.
std::vector<LoadEvent>
OnFirstInstance(Cluster& aCluster, Duration aLength, const json::object& aBegin,
                const json::object& aEnd)
{
  auto& group = aCluster.Upstream();
  const auto name = group.InstanceName(0);
  return { { At(aLength, kStart), [&group, name, aBegin] { group.Set(name, aBegin); } },
           { At(aLength, kEnd), [&group, name, aEnd] { group.Set(name, aEnd); } } };
}

std::vector<LoadEvent>
LostReplica(Cluster& aCluster, Duration aLength)
{
  return OnFirstInstance(aCluster, aLength, { { "down", true } }, { { "down", false } });
}

std::vector<LoadEvent>
FrozenUpstream(Cluster& aCluster, Duration aLength)
{
  return OnFirstInstance(aCluster, aLength, { { "freeze", "all" } },
                         { { "freeze", "none" } });
}

void
SetEachInstance(harness::UpstreamProcess& aGroup, const json::object& aSettings)
{
  for (std::size_t i = 0; i < aGroup.Spec().mInstances; ++i) {
    aGroup.Set(aGroup.InstanceName(i), aSettings);
    std::this_thread::sleep_for(kSwitchStep);
  }
}

std::vector<LoadEvent>
IndexSwitch(Cluster& aCluster, Duration aLength)
{
  auto& group = aCluster.Upstream();
  const auto version = group.Spec().mVersion;
  // One shard more: a repartition, so that the maps of the versions differ.
  const json::object next{ { "version", version + 1 },
                           { "shards", group.Spec().mShards + 1 } };
  return { { At(aLength, kStart),
             [&group, next] {
               SetEachInstance(group, { { "add_version", next } });
             } },
           { At(aLength, kEnd), [&group, version] {
              SetEachInstance(group, { { "drop_version", version } });
            } } };
}

std::vector<LoadEvent>
FrozenVm(Cluster& aCluster, Duration aLength)
{
  auto& process = aCluster.Vm(0).Process();
  return { { At(aLength, kStart), [&process] { process.Signal(SIGSTOP); } },
           { At(aLength, kEnd), [&process] { process.Signal(SIGCONT); } } };
}

void
AddNoise(LoadSpec& aLoad)
{
  double before = 0;
  double after = 0;
  for (auto& caller : aLoad.mCallers) {
    before += caller.mWeight;
    if (caller.mName == kNoisyCaller) {
      caller.mWeight *= kNoisyFactor;
    }
    after += caller.mWeight;
  }
  aLoad.mRatePerSecond *= after / before;
}

/// A fault of `all-faults`: its begin and its end.
struct Fault
{
  std::function<void()> mBegin;
  std::function<void()> mEnd;
};

/// The fault on one instance that @p aBegin and @p aEnd set.
Fault
InstanceFault(harness::UpstreamProcess& aGroup, std::size_t aInstance,
              const json::object& aBegin, const json::object& aEnd)
{
  const auto name = aGroup.InstanceName(aInstance % aGroup.Spec().mInstances);
  return { [&aGroup, name, aBegin] { aGroup.Set(name, aBegin); },
           [&aGroup, name, aEnd] { aGroup.Set(name, aEnd); } };
}

/// The fault number @p aNumber; all kinds come in turn, on another instance each time.
Fault
MakeFault(Cluster& aCluster, std::size_t aNumber)
{
  auto& group = aCluster.Upstream();
  const auto version = group.Spec().mVersion;
  const json::object next{ { "version", version + 1 },
                           { "shards", group.Spec().mShards + 1 } };
  constexpr std::size_t kKinds = 7;
  switch (aNumber % kKinds) {
    case 0:
      return InstanceFault(group, aNumber, { { "down", true } }, { { "down", false } });
    case 1:
      return InstanceFault(group, aNumber, { { "freeze", "all" } },
                           { { "freeze", "none" } });
    case 2:
      return InstanceFault(group, aNumber, { { "freeze", "open" } }, {});
    case 3:
      return InstanceFault(group, aNumber, { { "latency_factor", 30 } },
                           { { "latency_factor", 1 } });
    case 4:
      return { [&group, next] {
                SetEachInstance(group, { { "add_version", next } });
              },
               [&group, version] {
                 SetEachInstance(group, { { "drop_version", version + 1 } });
               } };
    case 5: {
      auto& vm = aCluster.Vm(aNumber % aCluster.VmCount()).Process();
      return { [&vm] { vm.Signal(SIGSTOP); }, [&vm] { vm.Signal(SIGCONT); } };
    }
    default:
      return { [&aCluster] { aCluster.Platform().SetMode("down"); },
               [&aCluster] { aCluster.Platform().SetMode("normal"); } };
  }
}

std::vector<LoadEvent>
AllFaults(Cluster& aCluster, Duration aLength)
{
  std::vector<LoadEvent> events;
  Duration at = kFaultLength;
  for (std::size_t number = 0; at + kFaultLength < aLength; ++number) {
    auto fault = MakeFault(aCluster, number);
    events.push_back({ at, std::move(fault.mBegin) });
    events.push_back({ at + kFaultLength, std::move(fault.mEnd) });
    at += 2 * kFaultLength;
  }
  return events;
}

} // namespace

std::vector<GroupCase>
AllGroups()
{
  return { MakeGroup("Kimonoliit", "counter-app", 10, 10),
           MakeGroup("Kimonoliit", "ledger-sync", 15, 15),
           MakeGroup("Tawzi3", "benchsvc", 10, 10),
           MakeGroup("Tawzi3", "pressplan", 15, 15) };
}

std::vector<Scenario>
AllScenarios()
{
  return { { "calm", NoPreparation, NoEvents, nullptr },
           { "stragglers", MakeStragglers, NoEvents, nullptr },
           { "lost-replica", NoPreparation, LostReplica, nullptr },
           { "index-switch", NoPreparation, IndexSwitch, nullptr },
           { "frozen-upstream", NoPreparation, FrozenUpstream, nullptr },
           { "frozen-vm", NoPreparation, FrozenVm, nullptr },
           { "noisy-caller", NoPreparation, NoEvents, AddNoise },
           { kAllFaults, MakeStragglers, AllFaults, nullptr } };
}

ShardMaps
MapsOf(const harness::UpstreamSpec& aUpstream)
{
  ShardMaps maps;
  for (std::size_t more = 0; more <= 1; ++more) {
    const auto names = standins::ShardNames(aUpstream.mShards + more);
    maps[aUpstream.mVersion + more] = { names.begin(), names.end() };
  }
  return maps;
}

} // namespace wasabispar::bench
