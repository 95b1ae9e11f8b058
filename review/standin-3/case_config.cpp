/// @file
/// @brief CONFIG: the store comes back from a copy some seconds old and gives revisions
/// out again; a VM goes on with its watch and never reads the configuration that was
/// acknowledged meanwhile.
#include "deployment.hpp"

using namespace review;

namespace {

constexpr std::size_t kVms = 3;
/// How long the store is away.
constexpr std::int64_t kAwayMs = 3000;
/// Time from the store's return until a searcher writes its entry again.
constexpr std::int64_t kRewriteMs = 300;
/// config_apply_ms and skew_max_ms of the settings.
constexpr std::int64_t kConfigBoundMs = 3000 + 15'000;

std::vector<Route>
FirstRoutes()
{
  return { { "prices", "/prices/", "old-index" }, { "stock", "/stock/", "stock" } };
}

/// `prices` moves to another service and a route is added.
std::vector<Route>
SecondRoutes()
{
  auto routes = FirstRoutes();
  routes.front().mService = "new-index";
  routes.push_back({ "offers", "/offers/", "new-index" });
  return routes;
}

int
Play(Deployment& aDeployment)
{
  auto& store = aDeployment.mStore;
  auto& record = aDeployment.mRecord;
  const std::vector<std::string> services{ "old-index", "new-index", "stock" };
  store.Put("op/config", Config(1, FirstRoutes(), services));
  aDeployment.AddSearcher("i-o1", "old-index");
  aDeployment.AddSearcher("i-o2", "old-index");
  aDeployment.AddSearcher("i-n1", "new-index");
  aDeployment.AddSearcher("i-n2", "new-index");
  aDeployment.AddSearcher("i-s1", "stock");
  aDeployment.StartEdges(kVms);
  Sleep(6000);

  const auto copy = store.CopyNow();
  const auto& late = aDeployment.AddSearcher("i-s2", "stock");
  Sleep(3000);
  if (HasTrouble()) {
    store.GoAway();
    Sleep(kAwayMs);
    store.ComeBackFrom(copy);
  }
  // The operator's write, which the store did not take while it was away.
  store.Put("op/config", Config(2, SecondRoutes(), services));
  const auto acknowledgedAt = record.Now();
  record.Line("operator: version 2 is acknowledged; due at the latest at " +
              std::to_string(acknowledgedAt + kConfigBoundMs) + " ms");

  if (HasTrouble()) {
    Sleep(kRewriteMs);
    store.Put(late.Key(), late.Entry());
  }
  SleepUntil(record, acknowledgedAt + kConfigBoundMs + 2000);
  int broken = 0;
  for (const auto& edge : aDeployment.mEdges) {
    const auto moved = aDeployment.MakeRequest("GET", "/prices/1");
    aDeployment.Send(*edge, moved);
    const auto added =
      aDeployment.Send(*edge, aDeployment.MakeRequest("GET", "/offers/1"));
    for (const auto& run : aDeployment.mRuns.All()) {
      if (run.mRequestId == moved.Header("X-Request-Id") &&
          run.mSearcher.rfind("i-o", 0) == 0) {
        record.Line("CONFIG: vm " + edge->Name() + " has " + run.mRequestId +
                    " run by the old service");
        ++broken;
      }
    }
    if (added && added->mStatus == 404) {
      record.Line("CONFIG: vm " + edge->Name() + " refuses a route that is there");
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
