// 9 entry machines. The platform's store gets a second address. The settings of 2 of the
// machines name it from then on, and these get SIGHUP; the first address ends for them
// 3 s later. Then the operator moves a route to another service.
#include "world.hpp"

using namespace review;

namespace {

constexpr double kApplyS = 3.0;
constexpr double kStableS = 5.0;
constexpr double kOverlapS = 3.0;
const std::vector<std::string> kZones{ "harju-a", "harju-a", "harju-a",
                                       "harju-a", "tartu-a", "tartu-a",
                                       "parnu-a", "parnu-a", "parnu-a" };

std::string
Config(int aVersion, const std::string& aService)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r-1","hostname":"hufi27.example","path_prefix":"/goka902/","route_type":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":2,"service":")" +
         aService +
         R"(","attempts":2}],"services":[{"name":"old","health_check":"/healthz","max_conns":110,"protocol":"h1","tls":false},{"name":"new","health_check":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

} // namespace

int
main()
{
  const auto context = CaseContext::FromEnvironment();
  Record record(context.mFolder + "/record.txt");
  Store store("127.0.0.1");

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
    for (const std::string zone : { "harju-a", "tartu-a", "parnu-a" }) {
      SearcherOptions options;
      options.mId = "i-" + service + "-" + zone;
      options.mService = service;
      options.mZone = zone;
      searchers.push_back(std::make_unique<Searcher>(options, onRun));
      store.Put("servers/" + options.mId,
                searchers.back()->Entry("ready", 1, 1765000000000));
    }
  }
  store.Put("op/config", Config(7, "old"));

  const Ports ports = FreePorts();
  std::vector<std::unique_ptr<Vm>> vms;
  for (std::size_t i = 0; i < kZones.size(); ++i) {
    VmOptions vm;
    vm.mIp = "127.0.8." + std::to_string(10 + i);
    vm.mZone = kZones[i];
    vm.mName = "edge-" + vm.mZone + "-" + std::to_string(i + 1);
    vm.mMemoryMb = 260;
    // The machines that the settings move have a port of their own, which can end.
    const bool isMoved = i < 2;
    vm.mStorePort = store.AddPort(isMoved ? "moved" : "others");
    for (int seed : { 0, 4, 6 }) {
      vm.mSeeds += (seed ? "," : "") + std::string("127.0.8.") +
                   std::to_string(10 + seed) + ":" + std::to_string(ports.mAdmin);
    }
    vm.mMore = kSmallParameters;
    vms.push_back(std::make_unique<Vm>(context.mRoot, context.mTemporary, vm, ports));
    vms.back()->Start();
  }
  if (!AwaitReady(vms, 20)) {
    record.Line("machines are not ready");
    Exit(vms, 2);
  }
  record.Line("all machines are ready");
  Sleep(kStableS + 3);

  std::atomic<bool> isEnding{ false };
  std::atomic<double> movedAt{ 1e9 };
  std::atomic<int> answered{ 0 };
  std::atomic<int> nextId{ 0x10000 };
  std::map<std::string, int> staleBy;
  int stale = 0;
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
        if (!connection.Write(std::string("GET /goka902/") + id +
                              " HTTP/1.1\r\nHost: hufi27.example\r\nX-Request-Id: " + id +
                              "\r\nX-Deadline-Ms: 3000\r\n\r\n") ||
            !connection.Read(answer, 4)) {
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
  if (context.mHasTrouble) {
    const int port = store.AddPort("second address");
    for (std::size_t i = 0; i < 2; ++i) {
      vms[i]->SetStorePort(port);
      vms[i]->Signal(SIGHUP);
      record.Line("new settings and SIGHUP:", vms[i]->Options().mName,
                  "platform.address=127.0.0.1:" + std::to_string(port));
    }
    Sleep(kOverlapS);
    store.End("moved");
    record.Line("the first address of the store ends for these machines");
  }
  // The machines are in touch again, and the store has been calm all the while.
  Sleep(kStableS + 4);
  movedAt = store.Put("op/config", Config(11, "new"));
  record.Line("the store acknowledges the configuration that moves the route");
  Sleep(15);
  isEnding = true;
  for (auto& client : clients) {
    client.join();
  }
  for (const auto& [name, count] : staleBy) {
    record.Line("stale requests at", name, count);
  }
  record.Line("answered", answered.load(),
              "run by the old service later than config_apply_ms", stale);
  std::printf("run by the old service later than config_apply_ms: %d at %zu machines\n",
              stale, staleBy.size());
  if (answered < 500) {
    Exit(vms, 2);
  }
  Exit(vms, stale > 0 ? 1 : 0);
}
