/// @file
/// @brief Query, merge, upstream table, snapshot directory and load budget.
#include "fixture.hpp"
#include "wasabispar/base/random.hpp"
#include "wasabispar/query/merge.hpp"
#include "wasabispar/query/query.hpp"
#include "wasabispar/upstream/replica_choice.hpp"
#include "wasabispar/upstream/snapshot_directory.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <memory>

namespace wasabispar::capacity {

namespace {

constexpr std::size_t kHits = 10;
const IndexName kIndex("counter-app");
constexpr TimePoint kStart{ std::chrono::seconds(1000) };

std::vector<Hit>
MakeHits(std::size_t aShard)
{
  std::vector<Hit> hits;
  for (std::size_t i = 0; i < kHits; ++i) {
    hits.push_back(
      { "document-" + std::to_string(aShard) + "-" + std::to_string(i),
        1.0 / static_cast<double>(1 + (aShard * 7919 + i * 104729) % 10007) });
  }
  return hits;
}

QueryPlan
MakePlan(std::size_t aShards)
{
  QueryPlan plan;
  plan.mVm = VmId("vm-dc0-00000");
  plan.mRequest = { Incarnation(1), 1 };
  plan.mSnapshot.mIndex = kIndex;
  plan.mSnapshot.mVersion = SnapshotVersion(42);
  for (std::size_t i = 0; i < aShards; ++i) {
    plan.mSnapshot.mShards.emplace_back(Numbered("shard", i));
  }
  plan.mTarget = kStart + std::chrono::milliseconds(80);
  plan.mDeadline = kStart + std::chrono::milliseconds(1000);
  return plan;
}

/// Runs one query whose replies arrive in random order; returns the heap that it held
/// before its last reply.
std::size_t
RunQuery(const QueryPlan& aPlan, const QueryHooks& aHooks,
         const std::vector<std::vector<Hit>>& aHits, bool aMeasure)
{
  const auto before = aMeasure ? HeapBytes() : 0;
  Query query(aPlan, aHooks);
  std::vector<SendSubRequest> subs;
  for (const auto& action : query.Start(kStart)) {
    if (const auto* sub = std::get_if<SendSubRequest>(&action)) {
      subs.push_back(*sub);
    }
  }
  auto random = SeededRandom(kSeed);
  for (std::size_t i = subs.size(); i > 1; --i) {
    std::swap(subs[i - 1], subs[random(i)]);
  }
  std::size_t held = 0;
  for (std::size_t i = 0; i < subs.size(); ++i) {
    if (aMeasure && i + 1 == subs.size()) {
      held = HeapBytes() - before;
    }
    SubReply reply;
    reply.mSubRequestId = subs[i].mSubRequestId;
    reply.mVersion = subs[i].mVersion;
    reply.mShard = subs[i].mShard;
    reply.mHits = aHits[i];
    benchmark::DoNotOptimize(
      query.OnReply(reply, kStart + std::chrono::microseconds(1000 + i)));
  }
  if (!query.IsFinished()) {
    std::abort();
  }
  return held;
}

std::vector<std::vector<Hit>>
AllHits(std::size_t aShards)
{
  std::vector<std::vector<Hit>> hits;
  for (std::size_t i = 0; i < aShards; ++i) {
    hits.push_back(MakeHits(i));
  }
  return hits;
}

/// The query alone: the hooks answer at once. Argument: shards.
void
QueryAlone(benchmark::State& aState)
{
  const auto shards = static_cast<std::size_t>(aState.range(0));
  const auto plan = MakePlan(shards);
  const auto hits = AllHits(shards);
  auto hooks = DefaultQueryHooks();
  hooks.mChooseReplica = [](const ReplicaRequest&, TimePoint) {
    return ReplicaChoice{ UpstreamId("counter-app-00007"), {} };
  };
  hooks.mHedgeDelay = [](const IndexName&, TimePoint) {
    return std::optional<Duration>(std::chrono::milliseconds(20));
  };
  const auto heap = RunQuery(plan, hooks, hits, true);
  for (auto _ : aState) {
    RunQuery(plan, hooks, hits, false);
  }
  aState.counters["heap_B"] = static_cast<double>(heap);
  aState.counters["sub"] = benchmark::Counter(
    static_cast<double>(shards),
    benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
BENCHMARK(QueryAlone)
  ->Arg(15)
  ->Arg(150)
  ->Arg(400)
  ->Arg(1200)
  ->Unit(benchmark::kMicrosecond);

/// The query with the real replica choice on a table with 2.4 replicas of each shard.
void
QueryWithTable(benchmark::State& aState)
{
  const auto shards = static_cast<std::size_t>(aState.range(0));
  const auto upstreams = std::max<std::size_t>(1, shards * 4 / 5);
  UpstreamTable table;
  FillTable(table, upstreams, shards, kStart);
  const SnapshotDirectory directory(table);
  LoadBudget budget;
  const auto hooks = MakeQueryHooks(table, directory, budget, SeededRandom(kSeed));
  const auto plan = MakePlan(shards);
  const auto hits = AllHits(shards);
  // Builds the directory's view, which DirectoryRebuild measures.
  RunQuery(plan, hooks, hits, false);
  for (auto _ : aState) {
    RunQuery(plan, hooks, hits, false);
  }
  aState.counters["sub"] = benchmark::Counter(
    static_cast<double>(shards),
    benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
BENCHMARK(QueryWithTable)
  ->Arg(15)
  ->Arg(150)
  ->Arg(400)
  ->Arg(1200)
  ->Unit(benchmark::kMicrosecond);

/// The record that is kept for `GET /v1/explain/<id>`. Argument: shards.
void
ExplainRecordCopy(benchmark::State& aState)
{
  const auto shards = static_cast<std::size_t>(aState.range(0));
  auto hooks = DefaultQueryHooks();
  hooks.mChooseReplica = [](const ReplicaRequest&, TimePoint) {
    return ReplicaChoice{ UpstreamId("counter-app-00007"), {} };
  };
  Query query(MakePlan(shards), hooks);
  query.Start(kStart);
  std::size_t heap = 0;
  for (auto _ : aState) {
    const auto before = HeapBytes();
    const auto record = std::make_unique<QueryTrace>(query.Trace());
    heap = HeapBytes() - before;
  }
  aState.counters["heap_B"] = static_cast<double>(heap);
}
BENCHMARK(ExplainRecordCopy)->Arg(15)->Arg(150)->Arg(1200)->Unit(benchmark::kMicrosecond);

void
Merge(benchmark::State& aState)
{
  std::map<ShardId, std::vector<Hit>> hits;
  for (std::size_t i = 0; i < static_cast<std::size_t>(aState.range(0)); ++i) {
    hits.emplace(Numbered("shard", i), MakeHits(i));
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(MergeHits(hits, kHits));
  }
}
BENCHMARK(Merge)->Arg(27)->Arg(81)->Arg(400)->Arg(1200)->Unit(benchmark::kMicrosecond);

/// Arguments of the benchmarks below: instances, shards of the version.
void
Sizes(benchmark::internal::Benchmark* aBenchmark)
{
  aBenchmark->Args({ 30, 37 })
    ->Args({ 300, 375 })
    ->Args({ 963, 1200 })
    ->Args({ 963, 2889 });
}

void
TableFill(benchmark::State& aState)
{
  const auto upstreams = static_cast<std::size_t>(aState.range(0));
  std::size_t heap = 0;
  for (auto _ : aState) {
    const auto before = HeapBytes();
    UpstreamTable table;
    FillTable(table, upstreams, static_cast<std::size_t>(aState.range(1)), kStart);
    heap = HeapBytes() - before;
  }
  aState.counters["heap_B"] = static_cast<double>(heap);
}
BENCHMARK(TableFill)->Apply(Sizes)->Unit(benchmark::kMillisecond);

/// The directory's view is rebuilt at least each 100 ms and after each change.
void
DirectoryRebuild(benchmark::State& aState)
{
  UpstreamTable table;
  FillTable(table, static_cast<std::size_t>(aState.range(0)),
            static_cast<std::size_t>(aState.range(1)), kStart);
  const SnapshotDirectory directory(table);
  auto now = kStart;
  directory.Choose(kIndex, Permille(1000), now);
  const auto before = HeapBytes();
  {
    const SnapshotDirectory other(table);
    other.Choose(kIndex, Permille(1000), now);
    aState.counters["heap_B"] = static_cast<double>(HeapBytes() - before);
  }
  for (auto _ : aState) {
    now += std::chrono::milliseconds(100);
    benchmark::DoNotOptimize(directory.Versions(kIndex, now));
  }
}
BENCHMARK(DirectoryRebuild)->Apply(Sizes)->Unit(benchmark::kMillisecond);

/// The choice from a cached view, once for each query.
void
DirectoryChoose(benchmark::State& aState)
{
  UpstreamTable table;
  FillTable(table, static_cast<std::size_t>(aState.range(0)),
            static_cast<std::size_t>(aState.range(1)), kStart);
  const SnapshotDirectory directory(table);
  directory.Choose(kIndex, Permille(1000), kStart);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(directory.Choose(kIndex, Permille(1000), kStart));
  }
}
BENCHMARK(DirectoryChoose)->Apply(Sizes)->Unit(benchmark::kMicrosecond);

void
Choice(benchmark::State& aState)
{
  const auto shards = static_cast<std::size_t>(aState.range(1));
  UpstreamTable table;
  FillTable(table, static_cast<std::size_t>(aState.range(0)), shards, kStart);
  const SnapshotDirectory directory(table);
  auto random = SeededRandom(kSeed);
  ReplicaRequest request;
  request.mIndex = kIndex;
  request.mVersion = SnapshotVersion(42);
  std::size_t shard = 0;
  directory.Choose(kIndex, Permille(1000), kStart);
  for (auto _ : aState) {
    request.mShard = ShardId(Numbered("shard", shard++ % shards));
    benchmark::DoNotOptimize(ChooseReplica(directory, table, request, random, kStart));
  }
}
BENCHMARK(Choice)->Apply(Sizes);

/// The delay of hedges, read once for each query.
void
IndexLatency(benchmark::State& aState)
{
  UpstreamTable table;
  FillTable(table, static_cast<std::size_t>(aState.range(0)),
            static_cast<std::size_t>(aState.range(1)), kStart);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.IndexLatency(kIndex, Permille(970), kStart));
  }
}
BENCHMARK(IndexLatency)->Apply(Sizes)->Unit(benchmark::kMicrosecond);

/// Start and end of one exchange.
void
Exchange(benchmark::State& aState)
{
  UpstreamTable table;
  const auto upstreams = static_cast<std::size_t>(aState.range(0));
  FillTable(table, upstreams, static_cast<std::size_t>(aState.range(1)), kStart);
  std::vector<UpstreamId> ids;
  for (std::size_t i = 0; i < upstreams; ++i) {
    ids.emplace_back(Numbered("counter-app", i));
  }
  std::size_t next = 0;
  ExchangeEnd end;
  end.mLatency = std::chrono::microseconds(800);
  for (auto _ : aState) {
    const auto& id = ids[next++ % upstreams];
    table.OnExchangeStarted(id, kStart);
    table.OnExchangeEnded(id, end, kStart);
  }
}
BENCHMARK(Exchange)->Apply(Sizes);

void
LoadBudgetSub(benchmark::State& aState)
{
  LoadBudget budget;
  for (auto _ : aState) {
    budget.OnNeeded(1);
    benchmark::DoNotOptimize(budget.TryTake(ExtraLoadKind::Hedge, kStart));
  }
}
BENCHMARK(LoadBudgetSub);

} // namespace

} // namespace wasabispar::capacity
