/// @file
/// @brief How a pool spreads requests when many VMs choose at the same time.
#include "wasabispar/gateway/service_pool.hpp"
#include "wasabispar/routing/balanced_choice.hpp"

#include <algorithm>

namespace wasabispar {

bool
ServicePool::IsBalanced(TimePoint aNow) const
{
  if (mIsBalanced) {
    return true;
  }
  // With one upstream in the own region, as shards have, there is nothing to balance: the
  // lowest cost moves sooner to another region when that one is slow.
  const auto local = std::ranges::count_if(mReplicas, [](const ReplicaPtr& aItem) {
    return aItem->IsUsable() && !aItem->mIsRemote;
  });
  return local > 1 && std::ranges::any_of(mReplicas, [aNow](const ReplicaPtr& aItem) {
           return aItem->mReportedLoad.IsReporting(aNow);
         });
}

std::optional<std::size_t>
ServicePool::ChooseIndex(std::vector<ReplicaCandidate> aCandidates, TimePoint aNow) const
{
  if (!IsBalanced(aNow)) {
    return ChooseCandidate(aCandidates);
  }
  for (auto& candidate : aCandidates) {
    const auto& reported = mReplicas[candidate.mIndex]->mReportedLoad;
    candidate.mReportedLoad = reported.EstimateAt(aNow);
    candidate.mReportedSlowdown = reported.SlowdownAt(aNow);
    candidate.mSlots = reported.Slots().value_or(candidate.mSlots);
  }
  return ChooseBalanced(aCandidates, mRandom);
}

/// The fixed initial estimate may be several times too high or too low: an upstream would
/// never be tried, or its first requests would be hedged too early. An overdue exchange
/// says nothing of the other upstreams: a silent one must not keep those without a sample
/// from being used.
void
ServicePool::AssumeLatencies(TimePoint aNow)
{
  if (!IsBalanced(aNow)) {
    return;
  }
  std::vector<KnownLatency> latencies;
  for (const auto& replica : mReplicas) {
    if (!replica->IsUsable()) {
      continue;
    }
    latencies.push_back({ replica->mLoad.HasSample()
                            ? std::optional(replica->mLoad.SampledLatency(aNow))
                            : std::nullopt,
                          replica->mIsRemote });
  }
  for (const auto& replica : mReplicas) {
    replica->mLoad.SetInitialLatency(AssumedLatency(latencies, replica->mIsRemote));
  }
}

} // namespace wasabispar
