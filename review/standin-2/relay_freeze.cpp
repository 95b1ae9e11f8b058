// 20 entry machines; the two that read the store for a region freeze. Just after, a
// searcher that never reports `draining` is taken away: its entry is removed.
#include "world.hpp"

using namespace review;

namespace {

constexpr int kVms = 20;
constexpr double kDrainS = 5.0;
constexpr double kFreezeS = 5.0;
const std::vector<std::string> kZones{ "harju-a", "tartu-a", "parnu-a",
                                       "harju-b", "tartu-b", "parnu-b" };

const char* const kConfig =
  R"({"version":7,"routes":[{"name":"r-1","hostname":"hufi27.example","path_prefix":"/goka902/","route_type":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":2,"service":"kafi81c","attempts":2}],"services":[{"name":"kafi81c","health_check":"/healthz","max_conns":560,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string
RegionOf(const std::string& aZone)
{
  return aZone.substr(0, aZone.find('-'));
}

} // namespace

int
main()
{
  const auto context = CaseContext::FromEnvironment();
  Record record(context.mFolder + "/record.txt");
  Store store("127.0.0.1");

  std::atomic<double> removedAt{ 1e9 };
  std::atomic<int> late{ 0 };
  std::atomic<int> afterRemoval{ 0 };
  std::atomic<int> answered{ 0 };
  std::atomic<int> others{ 0 };
  std::mutex mutex;
  std::map<std::string, std::pair<std::string, double>> sentBy; // request: machine, time
  // Machines that were frozen are not in touch; what they send does not count.
  std::set<std::string> frozen;
  std::mutex frozenMutex;
  const auto onRun = [&](const Searcher& aSearcher, const Message& aRequest) {
    const auto at = Now();
    const auto id = aRequest.Header("x-request-id");
    std::pair<std::string, double> sent;
    {
      const std::lock_guard lock(mutex);
      sent = sentBy[id];
    }
    if (aSearcher.Options().mId != "i-leaves" || at < removedAt) {
      record.Line("run", id, "by", aSearcher.Options().mId, "from", sent.first);
      return;
    }
    ++afterRemoval;
    bool isInTouch = true;
    {
      const std::lock_guard lock(frozenMutex);
      isInTouch = !frozen.contains(sent.first);
    }
    const bool isLate = isInTouch && at > removedAt + kDrainS;
    late += isLate ? 1 : 0;
    record.Line(isLate ? "LATE" : "run", id, "by", aSearcher.Options().mId, "from",
                sent.first, "sent at", sent.second, "after removal", at - removedAt);
  };
  std::vector<std::unique_ptr<Searcher>> searchers;
  int number = 0;
  for (const auto& zone : kZones) {
    SearcherOptions options;
    options.mId = zone == "harju-a" ? "i-leaves" : "i-stays-" + std::to_string(++number);
    options.mService = "kafi81c";
    options.mZone = zone;
    options.mWorkS = 0.01;
    searchers.push_back(std::make_unique<Searcher>(options, onRun));
    store.Put("servers/" + options.mId,
              searchers.back()->Entry("ready", 1, 1765000000000 + number));
  }
  store.Put("op/config", kConfig);

  const Ports ports = FreePorts();
  std::string seeds;
  std::vector<VmOptions> options;
  for (int i = 0; i < kVms; ++i) {
    VmOptions vm;
    vm.mIp = "127.0.8." + std::to_string(10 + i);
    vm.mZone = kZones[static_cast<std::size_t>(i) % kZones.size()];
    vm.mName = "edge-" + vm.mZone + "-" + std::to_string(i / 6 + 1);
    vm.mStorePort = store.AddPort(vm.mName);
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
  if (!AwaitReady(vms, 20)) {
    record.Line("machines are not ready");
    Exit(vms, 2);
  }
  record.Line("all machines are ready");
  // The fleet finds itself, and all machines are in touch.
  Sleep(15);

  // Clients of one region, which use each machine of it that runs.
  std::atomic<bool> isEnding{ false };
  std::atomic<int> nextId{ 0 };
  std::vector<std::thread> clients;
  for (const auto& vm : vms) {
    if (RegionOf(vm->Options().mZone) != "harju") {
      continue;
    }
    for (int i = 0; i < 2; ++i) {
      clients.emplace_back([&, machine = vm.get()] {
        Connection connection;
        while (!isEnding) {
          Sleep(0.02);
          {
            const std::lock_guard lock(frozenMutex);
            if (frozen.contains(machine->Options().mName)) {
              continue;
            }
          }
          if (!connection.IsOpen() &&
              !connection.Connect(machine->Options().mIp, ports.mHttp)) {
            continue;
          }
          char id[32];
          std::snprintf(id, sizeof id, "%016x", 0x10000 + nextId++);
          {
            const std::lock_guard lock(mutex);
            sentBy[id] = { machine->Options().mName, Now() };
          }
          Message answer;
          const bool isSent =
            connection.Write(std::string("GET /goka902/") + id +
                             " HTTP/1.1\r\nHost: hufi27.example\r\nX-Request-Id: " + id +
                             "\r\nX-Deadline-Ms: 3000\r\n\r\n");
          if (!isSent || !connection.Read(answer, 3)) {
            ++others;
            connection.Close();
            record.Line("sent", id, "to", machine->Options().mName, "no answer");
          } else {
            ++(answer.Status() == 200 ? answered : others);
            record.Line("sent", id, "to", machine->Options().mName, "answered",
                        answer.Status());
          }
        }
      });
    }
  }
  Sleep(3);

  std::vector<Vm*> readers;
  const auto names = store.Readers(8);
  for (const auto& vm : vms) {
    if (names.contains(vm->Options().mName)) {
      record.Line("reads the store:", vm->Options().mName, vm->Options().mIp);
      if (RegionOf(vm->Options().mZone) == "harju") {
        readers.push_back(vm.get());
      }
    }
  }
  if (readers.size() != 2) {
    record.Line("expected two readers in the region, found", readers.size());
    Exit(vms, 2);
  }
  const auto froze = Now();
  if (context.mHasTrouble) {
    for (auto* vm : readers) {
      {
        const std::lock_guard lock(frozenMutex);
        frozen.insert(vm->Options().mName);
      }
      vm->Signal(SIGSTOP);
      record.Line("freeze", vm->Options().mName);
    }
  }
  Sleep(0.1);
  removedAt = store.Remove("servers/i-leaves");
  record.Line("the store acknowledges the removal of servers/i-leaves");
  Sleep(froze + kFreezeS - Now());
  if (context.mHasTrouble) {
    for (auto* vm : readers) {
      vm->Signal(SIGCONT);
      record.Line("wake", vm->Options().mName);
    }
  }
  Sleep(removedAt + kDrainS + 4 - Now());
  isEnding = true;
  for (auto& client : clients) {
    client.join();
  }
  record.Line("answered", answered.load(), "other ends", others.load(),
              "arrivals at i-leaves after its removal", afterRemoval.load(),
              "later than drain_ms", late.load());
  std::printf("arrivals later than drain_ms: %d\n", late.load());
  if (answered < 200) {
    Exit(vms, 2);
  }
  Exit(vms, late > 0 ? 1 : 0);
}
