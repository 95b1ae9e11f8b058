/// @file
/// @brief A request that crashes its searchers comes again and again.
#include "cases.hh"
#include "fleet.hh"

#include <algorithm>

namespace standin {

namespace {

constexpr std::size_t kVms = 3;
constexpr std::size_t kSearchers = 11;
/// "The searcher is back after some seconds."
constexpr double kDownTime = 3.0;
/// Heartbeats that a crashed searcher misses before its entry is removed.
constexpr double kLapseTime = 3 * kHeartbeat;
constexpr double kSettled = 12.0;
constexpr double kComesAgain = 1.5;
constexpr int kTimes = 24;
constexpr double kWork = 0.06;
constexpr std::size_t kAllowedRetries = 3;
constexpr auto kHost = "hufi27.example";
constexpr auto kPoison = "/goka902/poison";

constexpr auto kConfig =
  R"({"version":7,"routes":[{"name":"r-pattern","hostname":"hufi27.example",)"
  R"("path_prefix":"/goka902/","route_type":"idempotent","timeout_ms":3000,"slo_ms":300,)"
  R"("priority":2,"service":"tailor-desk","attempts":2}],"services":[{"name":"tailor-desk",)"
  R"("health_check":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":)"
  R"({"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)"
  R"("idle_timeout_ms":15000}})";

/// The searchers of the service; a crashed one comes back with a new id.
class Service
{
public:
  Service(Store& aStore, Arrivals& aArrivals, Record& aRecord, bool aCrashes)
    : mStore(aStore)
    , mArrivals(aArrivals)
    , mRecord(aRecord)
    , mCrashes(aCrashes)
  {
  }

  void StartOne()
  {
    const std::vector<std::string> zones{ "harju-a", "tartu-a", "parnu-a" };
    const std::lock_guard lock(mMutex);
    const auto number = mAll.size();
    const auto id = "i-" + std::to_string(1000 + number);
    mAll.push_back(std::make_unique<Searcher>(
      mStore, mArrivals, id, "tailor-desk", zones[number % zones.size()], kWork,
      [this, number](const Request& aRequest) { return OnRun(number, aRequest); }));
    mAll.back()->Register("ready");
  }

  std::vector<double> Crashes()
  {
    const std::lock_guard lock(mMutex);
    return mCrashTimes;
  }

private:
  bool OnRun(std::size_t aNumber, const Request& aRequest)
  {
    if (!mCrashes || aRequest.mPath != kPoison) {
      return false;
    }
    Searcher* searcher = nullptr;
    {
      const std::lock_guard lock(mMutex);
      searcher = mAll[aNumber].get();
      mCrashTimes.push_back(Now());
    }
    mRecord.Line("searcher " + searcher->Id() + ": crashes as it begins to run " +
                 aRequest.Header("x-request-id"));
    searcher->End();
    std::thread([this] {
      SleepFor(kDownTime);
      StartOne();
    }).detach();
    std::thread([searcher] {
      SleepFor(kLapseTime);
      searcher->Deregister();
    }).detach();
    return true;
  }

  Store& mStore;
  Arrivals& mArrivals;
  Record& mRecord;
  const bool mCrashes;
  std::mutex mMutex;
  std::vector<std::unique_ptr<Searcher>> mAll;
  std::vector<double> mCrashTimes;
};

} // namespace

void
RunCrashingRequest(const CaseOptions& aOptions)
{
  Record record(aOptions.mRecordPath);
  Store store(record);
  Arrivals arrivals;
  store.Put("op/config", kConfig);
  Service service(store, arrivals, record, aOptions.mHasTrouble);
  for (std::size_t i = 0; i < kSearchers; ++i) {
    service.StartOne();
  }
  Vms vms(record, aOptions.mProgram, aOptions.mFolder, kVms, store.Port());
  for (std::size_t i = 0; i < kVms; ++i) {
    vms.Start(i);
  }
  if (!vms.AwaitReady(20)) {
    record.Line("the VMs are not ready");
    vms.Finish(Verdict::CouldNotRun);
  }
  Clients clients(vms);
  clients.StartLoad(kHost, "/goka902/", 3000, 0.05);
  SleepFor(kSettled);
  std::vector<Attempt> poison;
  for (int i = 0; i < kTimes; ++i) {
    const auto next = Now() + kComesAgain;
    poison.push_back(clients.Send("GET", kHost, kPoison, "", 3000));
    SleepUntil(next);
  }
  clients.Stop();
  RecordRequests(record, vms, clients.All(), arrivals.All());

  const auto crashes = service.Crashes();
  const auto all = clients.All();
  const auto served = static_cast<std::size_t>(std::count_if(
    all.begin(), all.end(), [](const Attempt& aItem) { return aItem.mStatus == 200; }));
  record.Line("judge: " + std::to_string(all.size()) + " attempts, " +
              std::to_string(served) +
              " served; crashes of searchers: " + std::to_string(crashes.size()));
  if (vms.HasUnexpectedEnd() || served == 0) {
    vms.Finish(Verdict::CouldNotRun);
  }
  if (crashes.size() < 3) {
    record.Line("judge: held, fewer than three crashes");
    vms.Finish(Verdict::Held);
  }
  // Two ways to count the retries that the rule allows three of: each time that the
  // client sends the request again, and each time that a VM sends it once more for one
  // attempt.
  const auto from = crashes[2] + kStable;
  std::size_t again = 0;
  std::size_t onceMore = 0;
  for (const auto& attempt : poison) {
    std::size_t reached = 0;
    for (const auto& arrival : arrivals.All()) {
      reached += arrival.mRequestId == attempt.mRequestId && arrival.mTime > from ? 1 : 0;
    }
    again += reached > 0 ? 1 : 0;
    onceMore += reached > 1 ? reached - 1 : 0;
  }
  record.Line("judge: later than 5 s after the third crash, " + std::to_string(again) +
              " repeats by the client reached searchers, and " +
              std::to_string(onceMore) +
              " times a VM sent one of them once more (allowed: 3)");
  const bool isBroken = std::min(again, onceMore) > kAllowedRetries;
  record.Line(isBroken ? "judge: broken" : "judge: held");
  vms.Finish(isBroken ? Verdict::Broken : Verdict::Held);
}

} // namespace standin
