/// @file
/// @brief Fair queue, ledger, forwarded batches and messages of upstreams.
#include "fixture.hpp"
#include "wasabispar/admission/fair_queue.hpp"
#include "wasabispar/execution/execution_ledger.hpp"
#include "wasabispar/net/upstream_codec.hpp"

#include <benchmark/benchmark.h>

namespace wasabispar::capacity {

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(1000) };
const std::string kQuery = R"({"text":"silk kimono, size 3","colour":"blue","limit":10})";

/// Push and pop of one item in a queue that holds 256 others. Argument: callers.
void
FairQueueItem(benchmark::State& aState)
{
  FairQueue<std::uint64_t> queue;
  std::vector<CallerId> callers;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    callers.emplace_back(Numbered("caller", static_cast<std::size_t>(i)));
  }
  std::size_t next = 0;
  const auto push = [&] {
    const auto& caller = callers[next % callers.size()];
    queue.Push(caller, ++next, 1, kStart + std::chrono::seconds(1), kStart);
  };
  for (int i = 0; i < 256; ++i) {
    push();
  }
  std::vector<FairQueue<std::uint64_t>::Dropped> expired;
  for (auto _ : aState) {
    push();
    benchmark::DoNotOptimize(queue.Pop(kStart, expired));
  }
}
BENCHMARK(FairQueueItem)->Arg(1)->Arg(10)->Arg(100)->Arg(1000);

/// Issue, verification, start and end of one ticket; 10,000 tickets outstanding.
void
LedgerTicket(benchmark::State& aState)
{
  ExecutionLedgerOptions options;
  options.mMaxTicketsPerCaller = options.mMaxTickets;
  options.mTicketLifetime = std::chrono::seconds(100);
  ExecutionLedger ledger({ VmId("vm-dc0-00000"), Incarnation(1) }, NewTicketSecret(),
                         options);
  auto now = kStart;
  std::size_t count = 0;
  for (auto _ : aState) {
    // 100 tickets a second.
    now += std::chrono::milliseconds(10);
    if (++count % 100 == 0) {
      ledger.Sweep(now);
    }
    const auto issue = ledger.Issue(ProfileName("invoice"), CallerId("house-2"), now);
    const auto verdict = ledger.Codec().Verify(issue.mTicket, now);
    const auto begin = ledger.Begin(*verdict.mTicket, RequestFingerprint(count),
                                    now + std::chrono::seconds(1), now, nullptr);
    ledger.TryMarkSent(begin.mAttempt, now);
    ledger.Complete(begin.mAttempt,
                    { EndCondition::UpstreamAnswered, AnswerScope::Ticket,
                      "10.0.1.2:9000", std::string(256, 'x') },
                    now);
  }
  aState.counters["tickets"] = static_cast<double>(ledger.Usage().mTickets);
}
BENCHMARK(LedgerTicket)->Unit(benchmark::kMicrosecond);

ForwardSearchMessage
MakeBatch(std::size_t aSubs)
{
  ForwardSearchMessage batch;
  for (std::size_t i = 0; i < aSubs; ++i) {
    ForwardSearchMessage::Sub sub;
    sub.mSubId = 1'000'000 + i;
    sub.mIndex = IndexName("counter-app");
    sub.mVersion = SnapshotVersion(42);
    sub.mShard = ShardId(Numbered("shard", i));
    sub.mUpstream = UpstreamId(Numbered("counter-app", i / kSearchersPerInstance));
    sub.mCaller = CallerId("house-2");
    sub.mProfile = ProfileName("fitting");
    sub.mQuery = kQuery;
    sub.mDeadlineMs = 90;
    sub.mRequestId = "18bcfe56800-2a-" + std::to_string(i);
    sub.mFingerprint = RequestFingerprint(0x1234567890abcdef);
    batch.mSubs.push_back(std::move(sub));
  }
  return batch;
}

std::string
ReplyBody(std::size_t aShard)
{
  std::string body = R"({"request_id":"18bcfe56800-2a-0","version":42,"shard":")" +
                     Numbered("shard", aShard) + R"(","hits":[)";
  for (int i = 0; i < 10; ++i) {
    body += (i == 0 ? "" : ",") + std::string(R"({"id":"document-12345-)") +
            std::to_string(i) + R"(","score":0.8472915})";
  }
  return body + "]}";
}

ForwardSearchReplyMessage
MakeReplies(std::size_t aSubs)
{
  ForwardSearchReplyMessage batch;
  for (std::size_t i = 0; i < aSubs; ++i) {
    batch.mSubs.push_back(
      { 1'000'000 + i, HttpExchangeEnd::Response, 200, ReplyBody(i), {}, false });
  }
  return batch;
}

void
EncodeAndDecode(benchmark::State& aState, const FleetMessage& aMessage)
{
  const FleetEnvelope envelope{ VmId("vm-dc0-00000"), Incarnation(1'700'000'000'000),
                                DataCentreId("harju-a-0"), 0, aMessage };
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const auto encoded = Require([&] { return EncodeFleet(envelope); });
    bytes = encoded.size();
    benchmark::DoNotOptimize(Require([&] { return DecodeFleet(encoded); }));
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}

void
ForwardBatch(benchmark::State& aState)
{
  EncodeAndDecode(aState, MakeBatch(static_cast<std::size_t>(aState.range(0))));
}
BENCHMARK(ForwardBatch)->Arg(1)->Arg(27)->Arg(100)->Unit(benchmark::kMicrosecond);

void
ForwardReplyBatch(benchmark::State& aState)
{
  EncodeAndDecode(aState, MakeReplies(static_cast<std::size_t>(aState.range(0))));
}
BENCHMARK(ForwardReplyBatch)->Arg(1)->Arg(27)->Arg(100)->Unit(benchmark::kMicrosecond);

void
SearchEncode(benchmark::State& aState)
{
  SearchRequest request;
  request.mRequestId = "18bcfe56800-2a-0";
  request.mIndex = IndexName("counter-app");
  request.mVersion = SnapshotVersion(42);
  request.mShard = ShardId(Numbered("shard", 7));
  request.mCaller = CallerId("house-2");
  request.mQuery = kQuery;
  request.mDeadline = std::chrono::milliseconds(90);
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = EncodeSearch(request).mBody.size();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(SearchEncode);

void
SearchDecode(benchmark::State& aState)
{
  HttpExchangeResult result;
  result.mEnd = HttpExchangeEnd::Response;
  result.mResponse.mBody = ReplyBody(0);
  for (auto _ : aState) {
    const auto reply = DecodeSearch(result, "18bcfe56800-2a-0");
    if (reply.mStatus != ExchangeStatus::Ok) {
      aState.SkipWithError("reply not decoded");
    }
  }
  aState.counters["bytes"] = static_cast<double>(result.mResponse.mBody.size());
}
BENCHMARK(SearchDecode);

std::string
StateBody(std::size_t aShards)
{
  const auto report = MakeReport(0, aShards);
  const auto list = [](const std::vector<ShardId>& aIds) {
    std::string text = "[";
    for (const auto& id : aIds) {
      text += (text.size() == 1 ? "\"" : ",\"") + id.Text() + "\"";
    }
    return text + "]";
  };
  return R"({"index":"counter-app","draining":false,"versions":[{"version":42,"map":)" +
         list(report.mVersions[0].mAllShards) + R"(,"held":)" +
         list(report.mVersions[0].mHeldShards) + R"(}],"slots":6,"connections":21})";
}

/// The state report of one instance. Argument: shards of the version.
void
StateReportParse(benchmark::State& aState)
{
  const auto body = StateBody(static_cast<std::size_t>(aState.range(0)));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      Require([&] { return ParseUpstreamReport(body, "counter-app-00000"); }));
  }
  aState.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(StateReportParse)
  ->Arg(37)
  ->Arg(375)
  ->Arg(1200)
  ->Arg(2889)
  ->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace wasabispar::capacity
