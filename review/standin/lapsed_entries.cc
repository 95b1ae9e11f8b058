/// @file
/// @brief The entries of a service that lapsed in an outage are back, and stay unused.
#include "cases.hh"
#include "fleet.hh"

#include <algorithm>

namespace standin {

namespace {

constexpr std::size_t kVms = 3;
constexpr std::size_t kFirstSearchers = 11;
constexpr std::size_t kLaterSearchers = 5;
constexpr int kMaxOutages = 3;
constexpr double kOutage = 4.5;
/// Entries lapse after three heartbeats of silence, also while the store is down.
constexpr double kLapse = 3 * kHeartbeat;
constexpr double kJudged = 10.0;
constexpr double kWork = 0.02;
constexpr std::size_t kMinRequests = 20;
constexpr auto kHost = "hufi27.example";
constexpr auto kFirstPrefix = "/goka902/";
constexpr auto kLaterPrefix = "/meli17/";

std::string
Route(const std::string& aName, const std::string& aPrefix, const std::string& aService)
{
  return R"({"name":")" + aName + R"(","hostname":"hufi27.example","path_prefix":")" +
         aPrefix + R"(","route_type":"idempotent","timeout_ms":3000,"slo_ms":300,)" +
         R"("priority":2,"service":")" + aService + R"(","attempts":2})";
}

std::string
Service(const std::string& aName)
{
  return R"({"name":")" + aName +
         R"(","health_check":"/healthz","max_conns":110,"protocol":"h1","tls":false})";
}

std::string
Config(int aVersion, const std::string& aRoutes)
{
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" + aRoutes +
         R"(],"services":[)" + Service("tailor-desk") + "," + Service("notify-hub") +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)" +
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

using Searchers = std::vector<std::unique_ptr<Searcher>>;

Searchers
StartService(Store& aStore, Arrivals& aArrivals, const std::string& aService,
             const std::string& aIdPrefix, std::size_t aCount)
{
  const std::vector<std::string> zones{ "harju-a", "tartu-a", "parnu-a" };
  Searchers searchers;
  for (std::size_t i = 0; i < aCount; ++i) {
    searchers.push_back(
      std::make_unique<Searcher>(aStore, aArrivals, aIdPrefix + std::to_string(i),
                                 aService, zones[i % zones.size()], kWork));
    searchers.back()->Register("ready");
  }
  return searchers;
}

struct Served
{
  std::size_t mRequests = 0;
  std::size_t mServed = 0;

  double Share() const
  {
    return mRequests == 0 ? 0
                          : static_cast<double>(mServed) / static_cast<double>(mRequests);
  }
};

Served
Count(Clients& aClients, const std::string& aPrefix, double aFrom, double aTo)
{
  Served served;
  for (const auto& attempt : aClients.All()) {
    if (attempt.mTarget.starts_with(aPrefix) && attempt.mSentAt >= aFrom &&
        attempt.mSentAt < aTo) {
      ++served.mRequests;
      served.mServed += attempt.mStatus == 200 ? 1 : 0;
    }
  }
  return served;
}

} // namespace

void
RunLapsedEntries(const CaseOptions& aOptions)
{
  Record record(aOptions.mRecordPath);
  Store store(record);
  Arrivals arrivals;
  const auto firstRoute = Route("r-first", kFirstPrefix, "tailor-desk");
  store.Put("op/config", Config(7, firstRoute));
  auto first = StartService(store, arrivals, "tailor-desk", "i-7", kFirstSearchers);
  auto later = StartService(store, arrivals, "notify-hub", "i-3", kLaterSearchers);
  Vms vms(record, aOptions.mProgram, aOptions.mFolder, kVms, store.Port());
  for (std::size_t i = 0; i < kVms; ++i) {
    vms.Start(i);
  }
  if (!vms.AwaitReady(20)) {
    record.Line("the VMs are not ready");
    vms.Finish(Verdict::CouldNotRun);
  }
  Clients clients(vms);
  clients.StartLoad(kHost, kFirstPrefix, 3000, 0.05);
  SleepFor(2);
  store.Put("op/config",
            Config(9, firstRoute + "," + Route("r-later", kLaterPrefix, "notify-hub")));
  SleepFor(4);
  clients.StartLoad(kHost, kLaterPrefix, 3000, 0.05);
  SleepFor(4);

  bool isBroken = false;
  for (int outage = 0; outage < kMaxOutages && !isBroken; ++outage) {
    // A searcher is taken away: it drains, and its process ends at some time after that.
    auto leaving = std::move(first.back());
    first.pop_back();
    leaving->Register("draining");
    SleepFor(1);
    if (aOptions.mHasTrouble) {
      store.SetDown(true);
      SleepFor(kLapse);
      leaving->Deregister();
      for (const auto& searcher : first) {
        searcher->Deregister();
      }
      for (const auto& searcher : later) {
        searcher->Deregister();
      }
      SleepFor(kOutage - kLapse);
      store.SetDown(false);
      // All are back within a second.
      leaving->Register("draining");
      for (const auto& searcher : later) {
        searcher->Register("ready");
      }
      SleepFor(0.02);
    } else {
      SleepFor(kOutage);
    }
    leaving->Deregister();
    leaving->End();
    // Keeps the object: threads of its connections may still run.
    leaving.release();
    if (aOptions.mHasTrouble) {
      SleepFor(0.1);
      for (const auto& searcher : first) {
        searcher->Register("ready");
        SleepFor(0.08);
      }
    }
    const auto from = Now() + kStable + 1;
    SleepUntil(from + kJudged + 3);
    const auto firstServed = Count(clients, kFirstPrefix, from, from + kJudged);
    const auto laterServed = Count(clients, kLaterPrefix, from, from + kJudged);
    record.Line("judge: steady state, first route " +
                std::to_string(firstServed.mServed) + " of " +
                std::to_string(firstServed.mRequests) + " served, later route " +
                std::to_string(laterServed.mServed) + " of " +
                std::to_string(laterServed.mRequests));
    if (vms.HasUnexpectedEnd() || firstServed.mServed == 0) {
      vms.Finish(Verdict::CouldNotRun);
    }
    isBroken = laterServed.mRequests >= kMinRequests &&
               laterServed.Share() < firstServed.Share() / 4;
  }
  clients.Stop();
  RecordRequests(record, vms, clients.All(), arrivals.All());
  record.Line(isBroken ? "judge: broken" : "judge: held");
  vms.Finish(isBroken ? Verdict::Broken : Verdict::Held);
}

} // namespace standin
