/// @file
/// @brief Power of two choices among the replicas of a shard.
#include "wasabispar/upstream/replica_choice.hpp"

#include <algorithm>
#include <array>

namespace wasabispar {

namespace {

constexpr std::array<std::string_view, 7> kReasons{ "leaving",      "already-tried",
                                                    "suspect",      "not-held",
                                                    "isolated",     "not-idle",
                                                    "at-slot-limit" };

bool
Holds(const UpstreamView& aView, const ReplicaRequest& aRequest)
{
  return std::ranges::any_of(*aView.mVersions, [&](const DeclaredVersion& aVersion) {
    return aVersion.mVersion == aRequest.mVersion &&
           std::ranges::find(aVersion.mHeldShards, aRequest.mShard) !=
             aVersion.mHeldShards.end();
  });
}

std::optional<SkipReason>
ReasonToSkip(const UpstreamView& aView, const ReplicaRequest& aRequest)
{
  if (aView.mLeaving) {
    return SkipReason::Leaving;
  }
  if (std::ranges::find(aRequest.mTried, aView.mDeclaration.mUpstream) !=
      aRequest.mTried.end()) {
    return SkipReason::AlreadyTried;
  }
  if (aView.mSuspect) {
    return SkipReason::Suspect;
  }
  if (!Holds(aView, aRequest)) {
    return SkipReason::NotHeld;
  }
  if (aView.mIsolated) {
    return SkipReason::Isolated;
  }
  if (aRequest.mIsolated && aView.mInFlight > 0) {
    return SkipReason::NotIdle;
  }
  if (aRequest.mHedge && aView.mInFlight >= aView.mSlotLimit) {
    return SkipReason::AtSlotLimit;
  }
  return std::nullopt;
}

/// Cost of sending to the upstream; lower is better. @p aFallback replaces the mean
/// latency of an upstream that has none.
double
Cost(const UpstreamView& aView, Duration aFallback)
{
  const auto latency =
    aView.mMeanLatency > Duration::zero() ? aView.mMeanLatency : aFallback;
  double cost = static_cast<double>(latency.count()) * (aView.mInFlight + 1);
  cost /= std::max(aView.mSlowStartWeight.Fraction(), 0.01);
  if (aView.mInFlight >= aView.mSlotLimit) {
    // The request would wait for a slot, so a replica with a free slot is preferred
    // unless it is much slower.
    cost *= 4;
  }
  if (!aView.mHasRecentObservation) {
    cost *= 1 + aView.mLoadHint.Fraction();
    cost *= aView.mHealthHint ? 1 : 4;
  }
  return cost;
}

/// Mean over the upstreams that have a mean latency; 1 ns if none has.
Duration
FallbackLatency(const std::vector<const UpstreamView*>& aViews)
{
  Duration sum{};
  int count = 0;
  for (const auto* view : aViews) {
    if (view->mMeanLatency > Duration::zero()) {
      sum += view->mMeanLatency;
      ++count;
    }
  }
  return count > 0 ? sum / count : Duration(1);
}

} // namespace

std::string_view
ToText(SkipReason aReason)
{
  return kReasons[static_cast<std::size_t>(aReason)];
}

ReplicaChoice
ChooseReplica(const std::vector<UpstreamView>& aReplicas, const ReplicaRequest& aRequest,
              RandomFn& aRandom)
{
  ReplicaChoice choice;
  std::vector<const UpstreamView*> candidates;
  for (const auto& replica : aReplicas) {
    if (const auto reason = ReasonToSkip(replica, aRequest)) {
      choice.mSkipped.push_back({ replica.mDeclaration.mUpstream, *reason });
    } else {
      candidates.push_back(&replica);
    }
  }
  if (candidates.empty()) {
    return choice;
  }
  const auto* best = candidates.front();
  if (candidates.size() > 1) {
    const auto first = aRandom(candidates.size());
    auto second = aRandom(candidates.size() - 1);
    second += second >= first ? 1 : 0;
    const auto fallback = FallbackLatency(candidates);
    best = candidates[first];
    // For equal costs the first one is chosen, which is itself a random candidate.
    if (Cost(*candidates[second], fallback) < Cost(*best, fallback)) {
      best = candidates[second];
    }
  }
  choice.mUpstream = best->mDeclaration.mUpstream;
  return choice;
}

ReplicaChoice
ChooseReplica(const SnapshotDirectory& aDirectory, const UpstreamTable& aTable,
              const ReplicaRequest& aRequest, RandomFn& aRandom, TimePoint aNow)
{
  std::vector<UpstreamView> replicas;
  for (const auto& id :
       aDirectory.Replicas(aRequest.mIndex, aRequest.mVersion, aRequest.mShard, aNow)) {
    if (auto view = aTable.Find(id, aNow)) {
      replicas.push_back(std::move(*view));
    }
  }
  return ChooseReplica(replicas, aRequest, aRandom);
}

} // namespace wasabispar
