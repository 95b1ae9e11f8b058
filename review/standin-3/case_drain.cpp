/// @file
/// @brief DRAIN: the store comes back from a copy some seconds old; what a searcher
/// writes there later has a lower revision than its last entry before, and a VM ignores
/// it.
#include "batch.hpp"

using namespace review;

namespace {

constexpr std::int64_t kStableMs = 5000;
constexpr std::int64_t kDrainMs = 3000;
constexpr int kHeartbeatMs = 1200;
/// How long a searcher stays slow after its start.
constexpr int kWarmupMs = 3 * kHeartbeatMs;
/// From its draining until the next batch, and until the searcher ends.
constexpr std::int64_t kNextBatchMs = kDrainMs + 1500;
constexpr std::int64_t kEndMs = kNextBatchMs + 50;
constexpr std::int64_t kWorkMs = 100;
constexpr int kBatch = 12;

int
Play(Deployment& aDeployment)
{
  auto& store = aDeployment.mStore;
  auto& record = aDeployment.mRecord;
  store.Put("op/config",
            Config(1, { { "orders", "/orders/", "ledger", false, 2 } }, { "ledger" }));
  aDeployment.AddSearcher("i-a1", "ledger", kWorkMs);
  aDeployment.AddSearcher("i-a2", "ledger", kWorkMs);
  aDeployment.StartEdges(1);
  Sleep(6000);
  SendBatch(aDeployment, kBatch);

  const auto copy = store.CopyNow();
  // A searcher starts; what is left of its warm-up changes with each heartbeat.
  auto& late = aDeployment.AddSearcher("i-a3", "ledger", kWorkMs, kWarmupMs);
  for (int left = kWarmupMs - kHeartbeatMs; left >= 0; left -= kHeartbeatMs) {
    Sleep(kHeartbeatMs);
    store.Put(late.Key(), late.Entry("ready", left));
  }
  Sleep(kHeartbeatMs);
  if (HasTrouble()) {
    store.GoAway();
    Sleep(1000);
    store.ComeBackFrom(copy);
    store.Put(late.Key(), late.Entry());
  }
  Sleep(kStableMs + 3000);
  SendBatch(aDeployment, kBatch);

  store.Put(late.Key(), late.Entry("draining"));
  const auto drainsAt = record.Now();
  late.SetBehaviour([](const Request& aRequest, Searcher& aSearcher) {
    aSearcher.Work(aRequest);
    auto response = aSearcher.Success(aRequest);
    response.mHeaders["Server-Leaving"] = "1";
    return std::optional(response);
  });
  record.Line("searcher i-a3: its draining is acknowledged");
  std::thread end([&] {
    SleepUntil(record, drainsAt + kEndMs);
    late.Crash();
  });
  SleepUntil(record, drainsAt + kNextBatchMs);
  const int failed = SendBatch(aDeployment, kBatch);
  end.join();
  record.Line("orders of this batch that got no success: " + std::to_string(failed));

  int broken = 0;
  for (const auto& run : aDeployment.mRuns.All()) {
    if (run.mSearcher == late.Id() && run.mAt > drainsAt + kDrainMs) {
      record.Line("DRAIN: " + run.mRequestId + " reaches i-a3 " +
                  std::to_string(run.mAt - drainsAt) + " ms after its draining");
      ++broken;
    }
  }
  return broken > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
