/// @file
/// @brief Searchers of many shards are taken away at once, without a report.
#include "cases.hh"
#include "fleet.hh"

#include <algorithm>

namespace standin {

namespace {

constexpr std::size_t kVms = 3;
constexpr std::size_t kShards = 10;
/// Searchers of the other services of the deployment.
constexpr std::size_t kOthers = 16;
/// Of the searchers that leave at the same moment, in two zones, those that report
/// nothing: 6 of 20, the share of 0.3 of the site file.
constexpr std::size_t kUnreported = 6;
constexpr std::size_t kLeavingZones = 2;
constexpr int kWaves = 9;
/// A leaving searcher serves this long after the store has removed its entry.
constexpr double kServesOn = 6.0;
/// Between the reports of two searchers that leave together.
constexpr double kReportGap = 0.002;
constexpr double kWavePeriod = 9.0;
constexpr double kWork = 0.005;
constexpr auto kHost = "leno12.example";
constexpr auto kPrefix = "/rany330/";

std::string
ShardName(std::size_t aShard)
{
  return "counter-app-" + std::to_string(aShard);
}

std::string
Config()
{
  std::string shards;
  std::string services;
  for (std::size_t i = 0; i < kShards; ++i) {
    shards += (i > 0 ? ",\"" : "\"") + ShardName(i) + "\"";
    services +=
      (i > 0 ? "," : "") + (R"({"name":")" + ShardName(i)) +
      R"(","health_check":"/healthz","max_conns":26,"protocol":"h1","tls":false})";
  }
  return R"({"version":7,"routes":[{"name":"r-fit","hostname":"leno12.example",)"
         R"("path_prefix":"/rany330/","route_type":"idempotent","timeout_ms":1200,)"
         R"("slo_ms":120,"priority":1,"attempts":2,"top_k":10,"min_coverage":0.75,)"
         R"("fanout":[)" +
         shards + R"(]}],"services":[)" + services +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

} // namespace

void
RunLateRemoval(const CaseOptions& aOptions)
{
  Record record(aOptions.mRecordPath);
  Store store(record);
  Arrivals arrivals;
  const std::vector<std::string> zones{ "harju-a", "tartu-a", "parnu-a" };
  store.Put("op/config", Config());
  std::size_t started = 0;
  std::vector<std::unique_ptr<Searcher>> all;
  const auto start = [&](const std::string& aService, const std::string& aZone) {
    all.push_back(std::make_unique<Searcher>(
      store, arrivals, "i-" + std::to_string(1000 + started++), aService, aZone, kWork));
    all.back()->Register("ready");
    return all.back().get();
  };
  /// The searcher in use for each zone and shard.
  std::vector<std::vector<Searcher*>> current(zones.size());
  for (std::size_t zone = 0; zone < zones.size(); ++zone) {
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      current[zone].push_back(start(ShardName(shard), zones[zone]));
    }
  }
  for (std::size_t i = 0; i < kOthers; ++i) {
    start("tailor-desk", zones[i % zones.size()]);
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
  clients.StartLoad(kHost, kPrefix, 1200, 0.008);
  SleepFor(8);

  std::map<std::string, double> removedAt;
  for (int wave = 0; wave < kWaves; ++wave) {
    const auto next = Now() + kWavePeriod;
    const auto zoneOf = [&](std::size_t aIndex) {
      return (static_cast<std::size_t>(wave) + aIndex) % zones.size();
    };
    std::vector<Searcher*> leaving;
    for (std::size_t i = 0; i < kLeavingZones; ++i) {
      const auto& replicas = current[zoneOf(i)];
      leaving.insert(leaving.end(), replicas.begin(), replicas.end());
    }
    // Of the first zone's searchers some report nothing. The others of it report first.
    std::rotate(leaving.begin(), leaving.begin() + kUnreported,
                leaving.begin() + kShards);
    const auto isUnreported = [&](std::size_t aIndex) {
      return aOptions.mHasTrouble && aIndex >= kShards - kUnreported && aIndex < kShards;
    };
    for (std::size_t i = 0; i < leaving.size(); ++i) {
      if (isUnreported(i)) {
        leaving[i]->Deregister();
      } else {
        leaving[i]->Register("draining");
      }
      removedAt[leaving[i]->Id()] = Now();
      SleepFor(kReportGap);
    }
    SleepFor(kServesOn);
    for (std::size_t i = 0; i < leaving.size(); ++i) {
      if (!isUnreported(i)) {
        leaving[i]->Deregister();
      }
      leaving[i]->End();
    }
    for (std::size_t i = 0; i < kLeavingZones; ++i) {
      for (std::size_t shard = 0; shard < kShards; ++shard) {
        current[zoneOf(i)][shard] = start(ShardName(shard), zones[zoneOf(i)]);
      }
    }
    SleepUntil(next);
  }
  clients.Stop();
  RecordRequests(record, vms, clients.All(), arrivals.All());

  std::size_t served = 0;
  std::map<std::string, std::size_t> vmOf;
  const auto attempts = clients.All();
  for (const auto& attempt : attempts) {
    vmOf[attempt.mRequestId] = attempt.mVm;
    served += attempt.mStatus == 200 ? 1 : 0;
  }
  record.Line("judge: " + std::to_string(attempts.size()) + " attempts, " +
              std::to_string(served) + " served");
  if (vms.HasUnexpectedEnd() || served * 2 < attempts.size()) {
    vms.Finish(Verdict::CouldNotRun);
  }
  std::size_t late = 0;
  for (const auto& arrival : arrivals.All()) {
    const auto removed = removedAt.find(arrival.mSearcher);
    if (removed != removedAt.end() && arrival.mTime > removed->second + kDrain) {
      ++late;
      record.Line("judge: request " + arrival.mRequestId + " from " +
                  vms.Ip(vmOf[arrival.mRequestId]) + " reached " + arrival.mSearcher +
                  " " + std::to_string(arrival.mTime - removed->second) +
                  " s after the acknowledgement");
    }
  }
  record.Line("judge: " + std::to_string(late) + " requests later than 3 s");
  record.Line(late > 0 ? "judge: broken" : "judge: held");
  vms.Finish(late > 0 ? Verdict::Broken : Verdict::Held);
}

} // namespace standin
