/// @file
/// @brief Compares owners chosen for each upstream with owners chosen for groups of
/// instances: VMs that a query contacts and connections that a VM holds.
#include "fixture.hpp"
#include "wasabispar/base/hash.hpp"
#include "wasabispar/base/random.hpp"
#include "wasabispar/fleet/ownership.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <map>
#include <set>

namespace wasabispar::capacity {

namespace {

/// The limit of 25 connections of an instance less the reserve of 4.
constexpr std::size_t kOwners = 21;
/// Instances that a query to 1,200 searchers needs.
constexpr std::size_t kInstancesPerQuery = 400;

using OwnerTable = std::vector<std::vector<VmId>>;

UpstreamId
Instance(std::size_t aNumber)
{
  return UpstreamId(Numbered("counter-app", aNumber));
}

OwnerTable
OwnersByUpstream()
{
  OwnerTable owners;
  for (std::size_t i = 0; i < kLocalInstances; ++i) {
    owners.push_back(SelectOwners(Instance(i), LocalVms(kLocalVms), kOwners));
  }
  return owners;
}

std::size_t
GroupOf(const std::string& aId, const std::vector<VmId>& aGroups)
{
  const auto best = RendezvousTop(aId, aGroups, 1).front();
  return static_cast<std::size_t>(std::find(aGroups.begin(), aGroups.end(), best) -
                                  aGroups.begin());
}

/// The best VMs of the group of each instance, at most kOwners.
OwnerTable
OwnersByGroup(std::size_t aGroups)
{
  std::vector<VmId> groups;
  for (std::size_t i = 0; i < aGroups; ++i) {
    groups.emplace_back(Numbered("group", i));
  }
  OwnerTable members(aGroups);
  for (const auto& vm : LocalVms(kLocalVms)) {
    members[GroupOf(vm.Text(), groups)].push_back(vm);
  }
  OwnerTable owners;
  for (std::size_t i = 0; i < kLocalInstances; ++i) {
    const auto instance = Instance(i);
    owners.push_back(
      SelectOwners(instance, members[GroupOf(instance.Text(), groups)], kOwners));
  }
  return owners;
}

std::vector<std::size_t>
InstancesOfQuery(RandomFn& aRandom)
{
  std::vector<std::size_t> all(kLocalInstances);
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i] = i;
  }
  for (std::size_t i = 0; i < kInstancesPerQuery; ++i) {
    std::swap(all[i], all[i + aRandom(all.size() - i)]);
  }
  all.resize(kInstancesPerQuery);
  return all;
}

/// Each instance through a random one of its owners.
std::size_t
ContactedAtRandom(const OwnerTable& aOwners, const std::vector<std::size_t>& aInstances,
                  RandomFn& aRandom)
{
  std::set<VmId> contacted;
  for (const auto instance : aInstances) {
    const auto& owners = aOwners[instance];
    contacted.insert(owners[aRandom(owners.size())]);
  }
  return contacted.size();
}

/// Greedy cover: each time the VM that owns most of the instances that are left.
std::size_t
ContactedByCover(const OwnerTable& aOwners, const std::vector<std::size_t>& aInstances)
{
  std::set<std::size_t> left(aInstances.begin(), aInstances.end());
  std::size_t contacted = 0;
  while (!left.empty()) {
    std::map<VmId, std::size_t> counts;
    for (const auto instance : left) {
      for (const auto& vm : aOwners[instance]) {
        ++counts[vm];
      }
    }
    const auto best = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& aLeft, const auto& aRight) { return aLeft.second < aRight.second; });
    std::erase_if(left, [&](std::size_t aInstance) {
      const auto& vms = aOwners[aInstance];
      return std::find(vms.begin(), vms.end(), best->first) != vms.end();
    });
    ++contacted;
  }
  return contacted;
}

void
ReportConnections(benchmark::State& aState, const OwnerTable& aOwners)
{
  std::map<VmId, std::size_t> held;
  std::size_t least = kOwners;
  for (const auto& owners : aOwners) {
    least = std::min(least, owners.size());
    for (const auto& vm : owners) {
      ++held[vm];
    }
  }
  std::size_t most = 0;
  for (const auto& [vm, count] : held) {
    most = std::max(most, count);
  }
  aState.counters["vms_without"] = static_cast<double>(kLocalVms - held.size());
  aState.counters["max_conns_vm"] = static_cast<double>(most);
  aState.counters["min_owners"] = static_cast<double>(least);
}

/// Argument: groups, 0 for owners by upstream. The time is that of choosing owners at
/// random for one query.
void
Contacted(benchmark::State& aState)
{
  const auto groups = static_cast<std::size_t>(aState.range(0));
  const auto owners = groups == 0 ? OwnersByUpstream() : OwnersByGroup(groups);
  ReportConnections(aState, owners);
  auto random = SeededRandom(kSeed);
  constexpr std::size_t kQueries = 20;
  std::size_t cover = 0;
  std::size_t spread = 0;
  for (std::size_t i = 0; i < kQueries; ++i) {
    const auto instances = InstancesOfQuery(random);
    cover += ContactedByCover(owners, instances);
    spread += ContactedAtRandom(owners, instances, random);
  }
  aState.counters["cover"] = static_cast<double>(cover) / kQueries;
  aState.counters["random"] = static_cast<double>(spread) / kQueries;
  const auto instances = InstancesOfQuery(random);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ContactedAtRandom(owners, instances, random));
  }
}
BENCHMARK(Contacted)->Arg(0)->Arg(15)->Arg(18)->Arg(22)->Unit(benchmark::kMicrosecond);

/// The greedy cover of one query over owners by upstream.
void
CoverTime(benchmark::State& aState)
{
  const auto owners = OwnersByUpstream();
  auto random = SeededRandom(kSeed);
  const auto instances = InstancesOfQuery(random);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ContactedByCover(owners, instances));
  }
}
BENCHMARK(CoverTime)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace wasabispar::capacity
