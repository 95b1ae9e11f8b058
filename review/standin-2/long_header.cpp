// 9 entry machines and a configuration whose limits allow headers of 128 KiB. One client
// sends requests with a header of 70,000 bytes. The platform starts processes that end.
#include "world.hpp"

using namespace review;

namespace {

constexpr double kStableS = 5.0;
constexpr double kRestartDelayS = 0.5;
constexpr double kRunS = 32.0;
const std::vector<std::string> kZones{ "harju-a", "harju-a", "harju-a",
                                       "harju-a", "tartu-a", "tartu-a",
                                       "parnu-a", "parnu-a", "parnu-a" };

const char* const kConfig =
  R"({"version":7,"routes":[{"name":"r-1","hostname":"hufi27.example","path_prefix":"/goka902/","route_type":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":2,"service":"kafi81c","attempts":2}],"services":[{"name":"kafi81c","health_check":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":131072,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string
Request(const std::string& aId, const std::string& aMore)
{
  return "GET /goka902/" + aId +
         " HTTP/1.1\r\nHost: hufi27.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 3000\r\n" + aMore + "\r\n";
}

} // namespace

int
main()
{
  const auto context = CaseContext::FromEnvironment();
  Record record(context.mFolder + "/record.txt");
  Store store("127.0.0.1");

  std::mutex mutex;
  std::set<std::string> ran;
  const auto onRun = [&](const Searcher& aSearcher, const Message& aRequest) {
    const auto id = aRequest.Header("x-request-id");
    record.Line("run", id, "by", aSearcher.Options().mId);
    const std::lock_guard lock(mutex);
    ran.insert(id);
  };
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (int i = 0; i < 9; ++i) {
    SearcherOptions options;
    options.mId = "i-" + std::to_string(i + 1);
    options.mService = "kafi81c";
    options.mZone = kZones[static_cast<std::size_t>(i)];
    options.mWorkS = 0.06;
    searchers.push_back(std::make_unique<Searcher>(options, onRun));
    store.Put("servers/" + options.mId,
              searchers.back()->Entry("ready", 1, 1765000000000 + i));
  }
  store.Put("op/config", kConfig);

  const Ports ports = FreePorts();
  const int storePort = store.AddPort("all");
  std::vector<std::unique_ptr<Vm>> vms;
  for (std::size_t i = 0; i < kZones.size(); ++i) {
    VmOptions vm;
    vm.mIp = "127.0.8." + std::to_string(10 + i);
    vm.mZone = kZones[i];
    vm.mName = "edge-" + vm.mZone + "-" + std::to_string(i + 1);
    vm.mMemoryMb = 260;
    vm.mStorePort = storePort;
    vm.mMore = kSmallParameters;
    for (int seed : { 0, 4, 6 }) {
      vm.mSeeds += (seed ? "," : "") + std::string("127.0.8.") +
                   std::to_string(10 + seed) + ":" + std::to_string(ports.mAdmin);
    }
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
  std::atomic<int> answered{ 0 };
  std::atomic<int> lost{ 0 };
  std::atomic<int> nextId{ 0x10000 };
  const auto newId = [&nextId] {
    char id[32];
    std::snprintf(id, sizeof id, "%016x", nextId++);
    return std::string(id);
  };
  std::vector<std::thread> threads;
  for (const auto& vm : vms) {
    for (int i = 0; i < 3; ++i) {
      threads.emplace_back([&, machine = vm->Options()] {
        Connection connection;
        int onConnection = 0;
        while (!isEnding) {
          Sleep(0.03);
          if (!connection.IsOpen()) {
            onConnection = 0;
            if (!connection.Connect(machine.mIp, ports.mHttp)) {
              continue;
            }
          }
          const auto id = newId();
          Message answer;
          if (connection.Write(Request(id, "")) && connection.Read(answer, 3.5)) {
            record.Line("sent", id, "to", machine.mName, "answered", answer.Status());
            answered += answer.Status() == 200 ? 1 : 0;
            ++onConnection;
            continue;
          }
          record.Line("sent", id, "to", machine.mName, "no answer");
          connection.Close();
          const std::lock_guard lock(mutex);
          if (onConnection > 0 && ran.contains(id)) {
            ++lost;
            record.Line("LOST", id, "sent on a kept connection to", machine.mName,
                        "ran at a searcher, connection closed without an answer");
          }
        }
      });
    }
  }
  // The platform starts a process that has ended again.
  std::map<std::string, int> ends;
  threads.emplace_back([&] {
    while (!isEnding) {
      Sleep(0.02);
      for (auto& vm : vms) {
        int status = 0;
        if (vm->HasEnded(status)) {
          const int count = ++ends[vm->Options().mName];
          record.Line("ENDED by itself:", vm->Options().mName, "signal",
                      WIFSIGNALED(status) ? WTERMSIG(status) : 0, "time", count);
          Sleep(kRestartDelayS);
          vm->Start();
        }
      }
    }
  });
  // The client with the long header: one attempt, and one retry at another node.
  const std::string header =
    "X-Session: " + std::string(context.mHasTrouble ? 70000 : 60000, 's') + "\r\n";
  const auto begin = Now();
  int served = 0;
  int failed = 0;
  for (std::size_t round = 0; Now() < begin + kRunS; ++round) {
    Sleep(1.5);
    for (const auto node : { std::size_t{ 0 }, 1 + round % 3 }) {
      const auto id = newId();
      Connection connection;
      Message answer;
      const bool isAnswered = vms[node]->IsReady() &&
                              connection.Connect(vms[node]->Options().mIp, ports.mHttp) &&
                              connection.Write(Request(id, header)) &&
                              connection.Read(answer, 3);
      record.Line("long header", id, "to", vms[node]->Options().mName, "answer",
                  isAnswered ? answer.mFirst : std::string("none"));
      ++(isAnswered && answer.Status() == 200 ? served : failed);
      if (isAnswered && answer.Status() == 200) {
        break;
      }
    }
  }
  Sleep(1);
  isEnding = true;
  for (auto& thread : threads) {
    thread.join();
  }
  int machines = 0;
  for (const auto& [name, count] : ends) {
    machines += count >= 3 ? 1 : 0;
  }
  record.Line("others answered", answered.load(), "long headers served", served, "failed",
              failed, "LOST", lost.load(),
              "machines whose process ended three times or more", machines);
  std::printf("LOST: %d, machines with three ends: %d\n", lost.load(), machines);
  if (answered < 500 || (!context.mHasTrouble && served == 0)) {
    Exit(vms, 2);
  }
  Exit(vms, lost > 3 || machines >= 2 ? 1 : 0);
}
