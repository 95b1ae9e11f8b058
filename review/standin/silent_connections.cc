/// @file
/// @brief The VMs' open connections to the store go silent while a route is moved.
#include "cases.hh"
#include "fleet.hh"

namespace standin {

namespace {

constexpr std::size_t kVms = 3;
constexpr std::size_t kOldSearchers = 11;
constexpr std::size_t kNewSearchers = 5;
constexpr double kWork = 0.01;
constexpr double kConfigApply = 3.0;
/// From the silence to the change of the configuration.
constexpr double kChangeAfter = 1.9;
/// For the transit of a request to the VM.
constexpr double kMargin = 0.02;
constexpr auto kHost = "hufi27.example";
constexpr auto kPrefix = "/goka902/";
constexpr auto kOldService = "tailor-desk";
constexpr auto kNewService = "notify-hub";

std::string
Service(const std::string& aName)
{
  return R"({"name":")" + aName +
         R"(","health_check":"/healthz","max_conns":110,"protocol":"h1","tls":false})";
}

std::string
Config(int aVersion, const std::string& aService)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r-pattern","hostname":"hufi27.example",)"
         R"("path_prefix":"/goka902/","route_type":"idempotent","timeout_ms":3000,)"
         R"("slo_ms":300,"priority":2,"attempts":2,"service":")" +
         aService + R"("}],"services":[)" + Service(kOldService) + "," +
         Service(kNewService) +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

} // namespace

void
RunSilentConnections(const CaseOptions& aOptions)
{
  Record record(aOptions.mRecordPath);
  Store store(record);
  Arrivals arrivals;
  const std::vector<std::string> zones{ "harju-a", "tartu-a", "parnu-a" };
  store.Put("op/config", Config(7, kOldService));
  std::vector<std::unique_ptr<Searcher>> searchers;
  const auto start = [&](const std::string& aService) {
    const auto number = searchers.size();
    searchers.push_back(
      std::make_unique<Searcher>(store, arrivals, "i-" + std::to_string(1000 + number),
                                 aService, zones[number % zones.size()], kWork));
    searchers.back()->Register("ready");
  };
  for (std::size_t i = 0; i < kOldSearchers; ++i) {
    start(kOldService);
  }
  for (std::size_t i = 0; i < kNewSearchers; ++i) {
    start(kNewService);
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
  clients.StartLoad(kHost, kPrefix, 3000, 0.01);
  SleepFor(8);

  // Planned work: a searcher is replaced, the new one starts first.
  start(kOldService);
  SleepFor(0.05);
  searchers.front()->Register("draining");
  SleepFor(0.02);
  const auto silentAt = Now();
  if (aOptions.mHasTrouble) {
    store.SilenceOpenConnections();
  }
  SleepUntil(silentAt + kChangeAfter);
  store.Put("op/config", Config(9, kNewService));
  const auto acknowledged = Now();
  SleepUntil(silentAt + 9);
  searchers.front()->Deregister();
  clients.Stop();
  RecordRequests(record, vms, clients.All(), arrivals.All());

  std::size_t served = 0;
  const auto attempts = clients.All();
  std::map<std::string, Attempt> byId;
  for (const auto& attempt : attempts) {
    byId[attempt.mRequestId] = attempt;
    served += attempt.mStatus == 200 ? 1 : 0;
  }
  record.Line("judge: " + std::to_string(attempts.size()) + " attempts, " +
              std::to_string(served) + " served");
  if (vms.HasUnexpectedEnd() || served * 2 < attempts.size()) {
    vms.Finish(Verdict::CouldNotRun);
  }
  // A silent connection counts as a reset: the VMs are in touch stable_ms after it.
  const auto from = std::max(acknowledged + kConfigApply, silentAt + kStable) + kMargin;
  std::size_t old = 0;
  for (const auto& arrival : arrivals.All()) {
    const auto& attempt = byId[arrival.mRequestId];
    if (arrival.mService == kOldService && arrival.mHasRun && attempt.mSentAt > from) {
      ++old;
      record.Line(
        "judge: request " + arrival.mRequestId + " sent to " + vms.Ip(attempt.mVm) + " " +
        std::to_string(attempt.mSentAt - acknowledged) +
        " s after the acknowledgement, " + std::to_string(attempt.mSentAt - silentAt) +
        " s after the silence, is run by the old service");
    }
  }
  record.Line("judge: " + std::to_string(old) +
              " requests run by the old service at VMs in touch");
  record.Line(old > 0 ? "judge: broken" : "judge: held");
  vms.Finish(old > 0 ? Verdict::Broken : Verdict::Held);
}

} // namespace standin
