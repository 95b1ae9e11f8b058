/// @file
/// @brief The pages of a VM's first read are not equally old.
#include "cases.hh"
#include "fleet.hh"

#include <algorithm>

namespace standin {

namespace {

constexpr std::size_t kVms = 3;
constexpr std::size_t kRestarted = 2;
/// Searchers of other services, which fill the first page of the registry: the shards of
/// both sets while the index is cut anew.
constexpr std::size_t kOthers = 75;
constexpr std::size_t kSearchers = 11;
constexpr double kStaleness = 3.0;
/// Time in which the VM that starts has made its first read.
constexpr double kReadTime = 1.0;
/// The leaving searcher serves this long after the store has accepted its report.
constexpr double kServesOn = 16.0;
constexpr double kWork = 0.06;
constexpr auto kHost = "hufi27.example";
constexpr auto kService = "tailor-desk";
/// Sorts behind the entries of the others, on the second page.
constexpr auto kLeaving = "i-f999";

constexpr auto kConfig =
  R"({"version":7,"routes":[{"name":"r-pattern","hostname":"hufi27.example",)"
  R"("path_prefix":"/goka902/","route_type":"idempotent","timeout_ms":3000,"slo_ms":300,)"
  R"("priority":2,"service":"tailor-desk","attempts":2}],"services":[{"name":"tailor-desk",)"
  R"("health_check":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":)"
  R"({"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)"
  R"("idle_timeout_ms":15000}})";

} // namespace

void
RunStalePages(const CaseOptions& aOptions)
{
  Record record(aOptions.mRecordPath);
  Store store(record);
  Arrivals arrivals;
  const std::vector<std::string> zones{ "harju-a", "tartu-a", "parnu-a" };
  store.Put("op/config", kConfig);
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (std::size_t i = 0; i < kOthers; ++i) {
    searchers.push_back(std::make_unique<Searcher>(
      store, arrivals, "i-a" + std::to_string(100 + i),
      "shard-" + std::to_string(i / zones.size()), zones[i % zones.size()], kWork));
    searchers.back()->Register("ready");
  }
  for (std::size_t i = 0; i < kSearchers; ++i) {
    // The last one is in the zone of the VM that is restarted.
    const bool isLast = i + 1 == kSearchers;
    const auto& zone = zones[(isLast ? kRestarted : i) % zones.size()];
    searchers.push_back(std::make_unique<Searcher>(
      store, arrivals, isLast ? kLeaving : "i-e" + std::to_string(100 + i), kService,
      zone, kWork));
    searchers.back()->Register("ready");
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
  clients.StartLoad(kHost, "/goka902/", 3000, 0.008);
  SleepFor(8);

  // Planned work: one VM is stopped and started, and one searcher leaves.
  vms.Terminate(kRestarted);
  auto& leaving = *searchers.back();
  leaving.Register("draining");
  const auto acknowledged = Now();
  record.Line("searcher " + leaving.Id() + ": draining, acknowledged");
  SleepFor(1);
  // Each stale read may be seconds old: the first page comes from a copy of the store
  // that is up to date, the next one from a copy that is behind.
  store.SetStaleness([&](const std::string& aAfter) {
    return aOptions.mHasTrouble && !aAfter.empty() ? kStaleness : 0.0;
  });
  vms.Start(kRestarted);
  SleepFor(kReadTime);
  store.SetStaleness(nullptr);
  const auto exactAgain = Now();
  SleepUntil(acknowledged + kServesOn);
  leaving.Deregister();
  leaving.End();
  SleepFor(1);
  clients.Stop();
  RecordRequests(record, vms, clients.All(), arrivals.All());

  const auto all = clients.All();
  const auto served = static_cast<std::size_t>(std::count_if(
    all.begin(), all.end(), [](const Attempt& aItem) { return aItem.mStatus == 200; }));
  record.Line("judge: " + std::to_string(all.size()) + " attempts, " +
              std::to_string(served) + " served");
  if (vms.HasUnexpectedEnd() || served * 2 < all.size()) {
    vms.Finish(Verdict::CouldNotRun);
  }
  std::map<std::string, std::size_t> vmOf;
  for (const auto& attempt : all) {
    vmOf[attempt.mRequestId] = attempt.mVm;
  }
  std::size_t late = 0;
  for (const auto& arrival : arrivals.All()) {
    const auto vm = vmOf[arrival.mRequestId];
    // Even if the age of the reads counted as a disruption of the store.
    const bool isInTouch =
      arrival.mTime > std::max(vms.StartedAt(vm), exactAgain) + kStable;
    if (arrival.mSearcher == leaving.Id() && isInTouch &&
        arrival.mTime > acknowledged + kDrain) {
      ++late;
      record.Line("judge: request " + arrival.mRequestId + " from " + vms.Ip(vm) +
                  " reached " + leaving.Id() + " " +
                  std::to_string(arrival.mTime - acknowledged) +
                  " s after the acknowledgement");
    }
  }
  record.Line("judge: " + std::to_string(late) +
              " requests from VMs in touch later than 3 s");
  record.Line(late > 0 ? "judge: broken" : "judge: held");
  vms.Finish(late > 0 ? Verdict::Broken : Verdict::Held);
}

} // namespace standin
