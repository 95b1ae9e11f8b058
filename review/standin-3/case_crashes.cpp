/// @file
/// @brief BUDGET: a VM that restarts forgets the crashes that it reported, and its next
/// report replaces the old one at the other VMs.
#include "deployment.hpp"

#include <algorithm>

using namespace review;

namespace {

constexpr std::size_t kVms = 3;
constexpr int kSearchers = 6;
constexpr std::int64_t kStableMs = 5000;
/// How long a searcher is down that a request has crashed.
constexpr std::int64_t kDownMs = 3000;
constexpr auto kDeadlyPath = "/patterns/deadly";
constexpr std::size_t kMaxRetries = 3;

/// A request of one path ends the process that begins to run it; it is back some seconds
/// later.
std::optional<Response>
EndIfDeadly(Deployment& aDeployment, const Request& aRequest, Searcher& aSearcher)
{
  if (aRequest.Path() != kDeadlyPath) {
    return std::nullopt;
  }
  aSearcher.Work(aRequest);
  std::thread([&aDeployment, &aSearcher] {
    aSearcher.Crash();
    Sleep(kDownMs);
    aSearcher.StartAgain();
    aDeployment.mStore.Put(aSearcher.Key(), aSearcher.Entry());
  }).detach();
  Response nothing;
  nothing.mIsDropped = true;
  return nothing;
}

/// Sends the deadly request to each VM and, as it fails, once more.
void
SendDeadlyToAll(Deployment& aDeployment)
{
  for (const auto& edge : aDeployment.mEdges) {
    for (int attempt = 0; attempt < 2; ++attempt) {
      aDeployment.Send(*edge, aDeployment.MakeRequest("GET", kDeadlyPath));
      Sleep(750);
    }
  }
}

int
Play(Deployment& aDeployment)
{
  auto& record = aDeployment.mRecord;
  aDeployment.mStore.Put(
    "op/config",
    Config(1, { { "patterns", "/patterns/", "patterns", true, 2 } }, { "patterns" }));
  for (int i = 1; i <= kSearchers; ++i) {
    auto& searcher = aDeployment.AddSearcher("i-p" + std::to_string(i), "patterns", 5);
    searcher.SetBehaviour([&aDeployment](const Request& aRequest, Searcher& aSearcher) {
      return EndIfDeadly(aDeployment, aRequest, aSearcher);
    });
  }
  aDeployment.StartEdges(kVms);
  std::atomic<bool> isEnding{ false };
  // Usual requests, which also give the VMs something to take retries from.
  std::thread usual([&] {
    while (!isEnding) {
      for (const auto& edge : aDeployment.mEdges) {
        HttpClient client(edge->Callers());
        client.Exchange(aDeployment.MakeRequest("GET", "/patterns/usual"), 3500);
        Sleep(40);
      }
    }
  });
  Sleep(14'000);
  SendDeadlyToAll(aDeployment);
  Sleep(6000);
  for (int restart = 0; restart < 2; ++restart) {
    if (HasTrouble()) {
      auto& first = *aDeployment.mEdges.front();
      first.End(SIGTERM);
      first.Start();
      aDeployment.AwaitReady(first);
    }
    Sleep(8000);
    SendDeadlyToAll(aDeployment);
    Sleep(4000);
  }
  isEnding = true;
  usual.join();

  std::vector<Run> deadly;
  for (const auto& run : aDeployment.mRuns.All()) {
    if (run.mPath == kDeadlyPath) {
      deadly.push_back(run);
    }
  }
  if (deadly.size() < 3) {
    return kCouldNotRun;
  }
  // All VMs are in touch when the request is sent after a restart.
  const auto countedFrom = deadly[2].mAt + kStableMs;
  const auto retries = static_cast<std::size_t>(std::ranges::count_if(
    deadly, [&](const Run& aRun) { return aRun.mAt > countedFrom; }));
  record.Line("the request reached searchers " + std::to_string(deadly.size()) +
              " times, " + std::to_string(retries) +
              " of them later than stable_ms after" + " the third crash");
  if (retries <= kMaxRetries) {
    return kHeld;
  }
  record.Line("BUDGET: more than three retries");
  return kBroken;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
