/// @file
/// @brief Tests of MakeQueryHooks().
#include "wasabispar/query/query.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace wasabispar;
using namespace std::chrono_literals;

TEST_CASE("copies of one set of hooks make independent choices")
{
  // Guards against copies that each have their own random generator with the same seed,
  // so that all queries choose the same replicas first.
  UpstreamTable table;
  const TimePoint now{ 100s };
  const IndexName index("idx");
  const ShardId shard("s");
  for (int i = 0; i < 8; ++i) {
    const UpstreamId id("u" + std::to_string(i));
    table.OnDeclared({ id, index, {}, "", false, 25 }, now);
    UpstreamReport report{ index, false, {}, 2, 25 };
    report.mVersions = { { SnapshotVersion(1), { shard }, { shard } } };
    table.OnReport(id, report, now, now);
  }
  const SnapshotDirectory directory(table);
  LoadBudget budget;
  const auto hooks = MakeQueryHooks(table, directory, budget, SeededRandom(1));
  ReplicaRequest request;
  request.mIndex = index;
  request.mVersion = SnapshotVersion(1);
  request.mShard = shard;
  std::set<UpstreamId> chosen;
  for (int i = 0; i < 50; ++i) {
    const auto copy = hooks;
    chosen.insert(*copy.mChooseReplica(request, now).mUpstream);
  }
  CHECK(chosen.size() == 8);
  CHECK_FALSE(hooks.mHedgeDelay(index, now)); // no samples yet
}
