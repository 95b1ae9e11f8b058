/// @file
/// @brief BUDGET: a searcher that asked to be left alone is sent requests again because
/// its entry lapsed and was written anew.
#include "batch.hpp"

#include <algorithm>

using namespace review;

namespace {

constexpr std::int64_t kQuietMs = 20'000;
/// From the rule: the time in which requests may still be on their way.
constexpr std::int64_t kOnTheWayMs = 500;
constexpr std::size_t kMaxRequests = 2;
/// From the searcher's answer until its entry is removed, and until it is written again.
constexpr std::int64_t kRemovedMs = 4000;
constexpr std::int64_t kWrittenMs = kRemovedMs + 2000;
constexpr std::int64_t kWorkMs = 150;
constexpr int kBatch = 10;
constexpr std::int64_t kBatchPeriodMs = 1000;

/// A searcher that is short of memory: it asks once to be left alone, and ends when it
/// holds more requests than the rule lets through in that time.
class ShortOfMemory
{
public:
  explicit ShortOfMemory(Record& aRecord)
    : mRecord(aRecord)
  {
  }

  std::int64_t AskedAt() const { return mAskedAt; }

  std::optional<Response> operator()(const Request& aRequest, Searcher& aSearcher)
  {
    std::int64_t never = 0;
    if (mAskedAt.compare_exchange_strong(never, mRecord.Now())) {
      mRecord.Line("searcher " + aSearcher.Id() + ": answers " +
                   aRequest.Header("X-Request-Id") + " with 503 and Retry-After");
      auto response = Searcher::NotRun(aRequest, 503);
      response.mHeaders["Retry-After"] = std::to_string(kQuietMs / 1000);
      return response;
    }
    if (++mHeld > kMaxRequests && !mHasEnded.exchange(true)) {
      mRecord.Line("searcher " + aSearcher.Id() + ": holds too many requests");
      std::thread([&aSearcher] { aSearcher.Crash(); }).detach();
    }
    aSearcher.Work(aRequest);
    --mHeld;
    auto response = aSearcher.Success(aRequest);
    response.mIsDropped = mHasEnded;
    return response;
  }

private:
  Record& mRecord;
  std::atomic<std::int64_t> mAskedAt{ 0 };
  std::atomic<std::size_t> mHeld{ 0 };
  std::atomic<bool> mHasEnded{ false };
};

int
Play(Deployment& aDeployment)
{
  auto& store = aDeployment.mStore;
  auto& record = aDeployment.mRecord;
  store.Put("op/config",
            Config(1, { { "orders", "/orders/", "ledger", false, 2 } }, { "ledger" }));
  auto& busy = aDeployment.AddSearcher("i-a1", "ledger", kWorkMs);
  aDeployment.AddSearcher("i-a2", "ledger", kWorkMs);
  aDeployment.AddSearcher("i-a3", "ledger", kWorkMs);
  aDeployment.StartEdges(1);
  Sleep(6000);
  SendBatch(aDeployment, kBatch);
  ShortOfMemory shortage(record);
  busy.SetBehaviour(std::ref(shortage));
  SendBatch(aDeployment, kBatch);
  const auto askedAt = shortage.AskedAt();
  if (askedAt == 0) {
    return kCouldNotRun;
  }
  std::thread lapse([&] {
    if (HasTrouble()) {
      SleepUntil(record, askedAt + kRemovedMs);
      store.Remove(busy.Key());
      SleepUntil(record, askedAt + kWrittenMs);
      store.Put(busy.Key(), busy.Entry());
    }
  });
  int failed = 0;
  while (record.Now() < askedAt + kQuietMs) {
    Sleep(kBatchPeriodMs);
    failed += SendBatch(aDeployment, kBatch);
  }
  lapse.join();

  const auto runs = aDeployment.mRuns.All();
  const auto count = static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [&](const Run& aRun) {
      return aRun.mSearcher == busy.Id() && aRun.mAt > askedAt + kOnTheWayMs &&
             aRun.mAt < askedAt + kQuietMs;
    }));
  record.Line("orders that got no success: " + std::to_string(failed));
  record.Line("requests that reach i-a1 in the time for which it asked: " +
              std::to_string(count));
  if (count <= kMaxRequests) {
    return kHeld;
  }
  record.Line("BUDGET: more than two requests");
  return kBroken;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
