/// @file
/// @brief Construction of the hooks of a query.
#include "wasabispar/query/query.hpp"

#include <memory>
#include <utility>

namespace wasabispar {

namespace {

/// Time for which an estimated hedge delay is cached. An estimate changes little in this
/// time, and takes some ten microseconds, because it merges the histograms of all stripes
/// of the table.
constexpr Duration kEstimateMaxAge = std::chrono::milliseconds(50);

/// State that the copies of one set of hooks share.
struct SharedState
{
  struct Estimate
  {
    TimePoint mAt;
    std::optional<Duration> mDelay;
  };

  RandomFn mRandom;
  std::map<IndexName, Estimate> mEstimates;
};

} // namespace

QueryHooks
DefaultQueryHooks()
{
  QueryHooks hooks;
  hooks.mChooseReplica = [](const ReplicaRequest&, TimePoint) { return ReplicaChoice{}; };
  hooks.mHedgeDelay = [](const IndexName&, TimePoint) {
    return std::optional<Duration>();
  };
  hooks.mTakeBudget = [](ExtraLoadKind, TimePoint) { return false; };
  hooks.mCountNeeded = [](std::uint64_t) {};
  hooks.mTakeForced = [](TimePoint) { return false; };
  hooks.mCountForced = [](std::uint64_t) {};
  hooks.mChooseSnapshot = [](const IndexName&, Permille, TimePoint) {
    return std::optional<Snapshot>();
  };
  return hooks;
}

QueryHooks
MakeQueryHooks(const UpstreamTable& aTable, const SnapshotDirectory& aDirectory,
               LoadBudget& aBudget, RandomFn aRandom, Permille aQuantile)
{
  QueryHooks hooks;
  const auto shared = std::make_shared<SharedState>();
  shared->mRandom = std::move(aRandom);
  hooks.mChooseReplica = [&aTable, &aDirectory, shared](const ReplicaRequest& aRequest,
                                                        TimePoint aNow) {
    return ChooseReplica(aDirectory, aTable, aRequest, shared->mRandom, aNow);
  };
  hooks.mHedgeDelay = [&aTable, aQuantile, shared](const IndexName& aIndex,
                                                   TimePoint aNow) {
    auto& estimate = shared->mEstimates[aIndex];
    if (aNow < estimate.mAt || aNow - estimate.mAt >= kEstimateMaxAge) {
      estimate = { aNow, aTable.IndexLatency(aIndex, aQuantile, aNow) };
    }
    return estimate.mDelay;
  };
  hooks.mTakeBudget = [&aBudget](ExtraLoadKind aKind, TimePoint aNow) {
    return aBudget.TryTake(aKind, aNow);
  };
  hooks.mCountNeeded = [&aBudget](std::uint64_t aCount) { aBudget.OnNeeded(aCount); };
  hooks.mTakeForced = [&aBudget](TimePoint aNow) { return aBudget.TryTakeForced(aNow); };
  hooks.mCountForced = [&aBudget](std::uint64_t aCount) { aBudget.TakeForced(aCount); };
  hooks.mChooseSnapshot = [&aDirectory](const IndexName& aIndex, Permille aWantedCoverage,
                                        TimePoint aNow) {
    return aDirectory.Choose(aIndex, aWantedCoverage, aNow);
  };
  return hooks;
}

} // namespace wasabispar
