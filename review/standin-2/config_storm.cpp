// 18 entry machines with the links of the grown deployment and a configuration of 1,400
// routes more. The operator changes it once each 0.33 s for 4 s; the last change moves a
// route to another service. Without the disruption there is only this change.
#include "world.hpp"

using namespace review;

namespace {

constexpr int kVms = 18;
constexpr double kApplyS = 5.0;
constexpr double kStableS = 6.0;
constexpr double kStormS = 4.0;
constexpr double kGapS = 0.33;
/// 14 and 140 Mbit/s.
constexpr double kSmallLink = 1.75e6;
constexpr double kLargeLink = 17.5e6;
const std::vector<std::string> kZones{ "harju-a", "tartu-a", "parnu-a",
                                       "harju-b", "tartu-b", "parnu-b" };

std::string
RouteJson(const std::string& aName, const std::string& aPrefix,
          const std::string& aTarget, int aTimeoutMs = 1200)
{
  return "{\"name\":\"" + aName +
         "\",\"hostname\":\"hufi27.example\",\"path_prefix\":\"" + aPrefix +
         "\",\"route_type\":\"idempotent\",\"timeout_ms\":" + std::to_string(aTimeoutMs) +
         ",\"slo_ms\":150,\"priority\":1," + aTarget + ",\"attempts\":2}";
}

std::string
FanOut()
{
  std::string shards;
  for (int i = 0; i < 36; ++i) {
    shards += (i ? ",\"" : "\"") + std::string("shard") + std::to_string(100 + i) + "a\"";
  }
  return "\"fanout\":[" + shards + "],\"top_k\":10,\"min_coverage\":0.95";
}

/// The configuration: the route /moved/ goes to the service, and 1,400 fan-outs follow.
std::string
Config(int aVersion, const std::string& aService, int aTimeoutMs = 1200)
{
  std::string routes =
    RouteJson("r-moved", "/moved/", "\"service\":\"" + aService + "\"", aTimeoutMs);
  const auto fanOut = FanOut();
  for (int i = 0; i < 1400; ++i) {
    const auto number = std::to_string(10000 + i);
    routes += "," + RouteJson("r-" + number, "/big" + number + "/", fanOut);
  }
  std::string services;
  for (const std::string name : { "old", "new" }) {
    services += (services.empty() ? "" : ",") + std::string("{\"name\":\"") + name +
                "\",\"health_check\":\"/healthz\",\"max_conns\":560,\"protocol\":\"h1\","
                "\"tls\":false}";
  }
  for (int i = 0; i < 36; ++i) {
    services += ",{\"name\":\"shard" + std::to_string(100 + i) +
                "a\",\"health_check\":\"/healthz\",\"max_conns\":74,\"protocol\":\"h1\","
                "\"tls\":false}";
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + routes +
         "],\"services\":[" + services +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

} // namespace

int
main()
{
  const auto context = CaseContext::FromEnvironment();
  Record record(context.mFolder + "/record.txt");
  Store store("127.0.0.1");
  store.SetRetention(20);

  std::mutex mutex;
  std::map<std::string, std::string> ranBy; // request: service
  const auto onRun = [&](const Searcher& aSearcher, const Message& aRequest) {
    const auto id = aRequest.Header("x-request-id");
    record.Line("run", id, "by", aSearcher.Options().mId);
    const std::lock_guard lock(mutex);
    ranBy[id] = aSearcher.Options().mService;
  };
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (const std::string service : { "old", "new" }) {
    for (const auto& zone : kZones) {
      SearcherOptions options;
      options.mId = "i-" + service + "-" + zone;
      options.mService = service;
      options.mZone = zone;
      searchers.push_back(std::make_unique<Searcher>(options, onRun));
      store.Put("servers/" + options.mId,
                searchers.back()->Entry("ready", 1, 1765000000000));
    }
  }
  int version = 7;
  const auto first = Config(version, "old");
  record.Line("bytes of the configuration:", first.size());
  store.Put("op/config", first);

  const Ports ports = FreePorts();
  std::string seeds;
  std::vector<VmOptions> options;
  for (int i = 0; i < kVms; ++i) {
    VmOptions vm;
    vm.mIp = "127.0.8." + std::to_string(10 + i);
    vm.mZone = kZones[static_cast<std::size_t>(i) % kZones.size()];
    vm.mName = "edge-" + vm.mZone + "-" + std::to_string(i / 6 + 1);
    vm.mMemoryMb = i < 3 ? 512 : 160;
    vm.mMbps = i < 3 ? 140 : 14;
    vm.mCpuShare = i < 3 ? 0.5 : 0.12;
    vm.mStorePort = store.AddPort(vm.mName, i < 3 ? kLargeLink : kSmallLink);
    vm.mMore = kGrownParameters;
    seeds += i < 3 ? (i ? "," : "") + vm.mIp + ":" + std::to_string(ports.mAdmin) : "";
    options.push_back(vm);
  }
  std::vector<std::unique_ptr<Vm>> vms;
  for (auto& vm : options) {
    vm.mSeeds = seeds;
    vms.push_back(std::make_unique<Vm>(context.mRoot, context.mTemporary, vm, ports));
    vms.back()->Start();
  }
  if (!AwaitReady(vms, 30)) {
    record.Line("machines are not ready");
    Exit(vms, 2);
  }
  record.Line("all machines are ready");
  Sleep(15);

  // One client of each machine.
  std::atomic<bool> isEnding{ false };
  std::atomic<double> movedAt{ 1e9 };
  std::atomic<int> answered{ 0 };
  std::atomic<int> stale{ 0 };
  std::atomic<int> nextId{ 0x10000 };
  std::map<std::string, int> staleBy;
  std::vector<std::thread> clients;
  for (const auto& vm : vms) {
    clients.emplace_back([&, machine = vm->Options()] {
      Connection connection;
      while (!isEnding) {
        Sleep(0.1);
        if (!connection.IsOpen() && !connection.Connect(machine.mIp, ports.mHttp)) {
          continue;
        }
        char id[32];
        std::snprintf(id, sizeof id, "%016x", nextId++);
        const auto sentAt = Now();
        Message answer;
        if (!connection.Write(std::string("GET /moved/") + id +
                              " HTTP/1.1\r\nHost: hufi27.example\r\nX-Request-Id: " + id +
                              "\r\nX-Deadline-Ms: 1200\r\n\r\n") ||
            !connection.Read(answer, 2)) {
          record.Line("sent", id, "to", machine.mName, "no answer");
          connection.Close();
          continue;
        }
        record.Line("sent", id, "to", machine.mName, "answered", answer.Status());
        answered += answer.Status() == 200 ? 1 : 0;
        const std::lock_guard lock(mutex);
        if (ranBy[id] == "old" && sentAt > movedAt + kApplyS) {
          ++stale;
          ++staleBy[machine.mName];
          record.Line("STALE", id, "to", machine.mName, "run by the old service, sent",
                      sentAt - movedAt, "s after the acknowledgement");
        }
      }
    });
  }
  Sleep(2);

  const auto names = store.Readers(8);
  for (const auto& name : names) {
    record.Line("reads the store:", name);
  }
  const int changes = context.mHasTrouble ? static_cast<int>(kStormS / kGapS) + 1 : 1;
  std::vector<std::string> configs;
  for (int i = 0; i < changes; ++i) {
    const bool isLast = i + 1 == changes;
    configs.push_back(Config(version += 3, isLast ? "new" : "old", 1200 + i));
  }
  const auto start = Now();
  for (int i = 0; i < changes; ++i) {
    Sleep(start + i * kGapS - Now());
    const auto at = store.Put("op/config", configs[static_cast<std::size_t>(i)]);
    record.Line("the store acknowledges configuration", i + 1, "of", changes);
    if (i + 1 == changes) {
      movedAt = at;
    }
  }
  Sleep(movedAt + 26 - Now());
  isEnding = true;
  for (auto& client : clients) {
    client.join();
  }
  for (const auto& [name, count] : staleBy) {
    record.Line("stale requests at", name, count);
  }
  record.Line("answered", answered.load(),
              "run by the old service later than config_apply_ms", stale.load());
  std::printf("run by the old service later than config_apply_ms: %d at %zu machines\n",
              stale.load(), staleBy.size());
  if (answered < 500) {
    Exit(vms, 2);
  }
  Exit(vms, stale > 0 ? 1 : 0);
}
