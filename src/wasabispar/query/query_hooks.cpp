/// @file
/// @brief Hooks of a query on the parts of this process.
#include "wasabispar/query/query.hpp"

#include <memory>
#include <utility>

namespace wasabispar {

QueryHooks
DefaultQueryHooks()
{
  QueryHooks hooks;
  hooks.mChooseReplica = [](const ReplicaRequest&, TimePoint) { return ReplicaChoice{}; };
  hooks.mHedgeDelay = [](const IndexName&, TimePoint) {
    return std::optional<Duration>();
  };
  hooks.mTakeBudget = [](ExtraLoad, TimePoint) { return false; };
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
  hooks.mChooseReplica = [&aTable, &aDirectory, random = std::move(aRandom)](
                           const ReplicaRequest& aRequest, TimePoint aNow) mutable {
    return ChooseReplica(aDirectory, aTable, aRequest, random, aNow);
  };
  hooks.mHedgeDelay = [&aTable, aQuantile](const IndexName& aIndex, TimePoint aNow) {
    return aTable.GroupLatency(aIndex, aQuantile, aNow);
  };
  hooks.mTakeBudget = [&aBudget](ExtraLoad aKind, TimePoint aNow) {
    return aBudget.TryTake(aKind, aNow);
  };
  hooks.mCountNeeded = [&aBudget](std::uint64_t aCount) { aBudget.OnNeeded(aCount); };
  hooks.mTakeForced = [&aBudget](TimePoint aNow) { return aBudget.TryTakeForced(aNow); };
  hooks.mCountForced = [&aBudget](std::uint64_t aCount) { aBudget.TakeForced(aCount); };
  hooks.mChooseSnapshot = [&aDirectory](const IndexName& aIndex, Permille aWanted,
                                        TimePoint aNow) {
    return aDirectory.Choose(aIndex, aWanted, aNow);
  };
  return hooks;
}

} // namespace wasabispar
