// 3 entry machines. One client sends requests whose body is the text of another request.
// It frames the body with Transfer-Encoding, and without the disruption with
// Content-Length.
#include "world.hpp"

using namespace review;

namespace {

const std::vector<std::string> kZones{ "harju-a", "tartu-a", "parnu-a" };

const char* const kConfig =
  R"({"version":7,"routes":[{"name":"r-1","hostname":"hufi27.example","path_prefix":"/goka902/","route_type":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":2,"service":"kafi81c","attempts":2},{"name":"r-2","hostname":"hufi27.example","path_prefix":"/hold/","route_type":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":2,"service":"kafi81c","attempts":2}],"services":[{"name":"kafi81c","health_check":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct Run
{
  std::string mFirst;
  std::string mBody;
};

} // namespace

int
main()
{
  const auto context = CaseContext::FromEnvironment();
  Record record(context.mFolder + "/record.txt");
  Store store("127.0.0.1");

  std::mutex mutex;
  std::map<std::string, Run> runs;
  const auto onRun = [&](const Searcher& aSearcher, const Message& aRequest) {
    const std::lock_guard lock(mutex);
    const auto id = aRequest.Header("x-request-id");
    runs[id] = { aRequest.mFirst, aRequest.mBody };
    record.Line("run", id, "by", aSearcher.Options().mId, aRequest.mFirst, "body of",
                aRequest.mBody.size());
  };
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (const auto& zone : kZones) {
    SearcherOptions options;
    options.mId = "i-" + zone;
    options.mService = "kafi81c";
    options.mZone = zone;
    searchers.push_back(std::make_unique<Searcher>(options, onRun));
    store.Put("servers/" + options.mId,
              searchers.back()->Entry("ready", 1, 1765000000000));
  }
  store.Put("op/config", kConfig);

  const Ports ports = FreePorts();
  const int storePort = store.AddPort("all");
  std::vector<std::unique_ptr<Vm>> vms;
  for (std::size_t i = 0; i < kZones.size(); ++i) {
    VmOptions vm;
    vm.mIp = "127.0.8." + std::to_string(10 + i);
    vm.mZone = kZones[i];
    vm.mName = "edge-" + vm.mZone + "-1";
    vm.mMemoryMb = 260;
    vm.mStorePort = storePort;
    vm.mSeeds = "127.0.8.10:" + std::to_string(ports.mAdmin);
    vm.mMore = kSmallParameters;
    vms.push_back(std::make_unique<Vm>(context.mRoot, context.mTemporary, vm, ports));
    vms.back()->Start();
  }
  if (!AwaitReady(vms, 20)) {
    record.Line("machines are not ready");
    Exit(vms, 2);
  }
  record.Line("all machines are ready");
  Sleep(6);

  const std::vector<std::string> codings{ "identity", "gzip", "chunked, gzip" };
  std::map<std::string, std::string> sentBodies; // request: its body
  int answered = 0;
  int number = 0x1000;
  for (const auto& vm : vms) {
    for (const auto& coding : codings) {
      char outer[32];
      char inner[32];
      std::snprintf(outer, sizeof outer, "%016x", number++);
      std::snprintf(inner, sizeof inner, "%016x", number++);
      const std::string body =
        std::string(
          "POST /hold/inner HTTP/1.1\r\nHost: hufi27.example\r\nX-Request-Id: ") +
        inner + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
      sentBodies[outer] = body;
      const auto framing = context.mHasTrouble
                             ? "Transfer-Encoding: " + coding
                             : "Content-Length: " + std::to_string(body.size());
      Connection connection;
      Message answer;
      const bool isAnswered =
        connection.Connect(vm->Options().mIp, ports.mHttp) &&
        connection.Write(
          std::string(
            "POST /goka902/1 HTTP/1.1\r\nHost: hufi27.example\r\nX-Request-Id: ") +
          outer + "\r\nX-Deadline-Ms: 3000\r\n" + framing + "\r\n\r\n" + body) &&
        connection.Read(answer, 4);
      record.Line("sent", outer, "to", vm->Options().mName, "with", framing,
                  "and in its body the text of a request with the id", inner,
                  "answer:", isAnswered ? answer.mFirst : std::string("none"));
      answered += isAnswered ? 1 : 0;
      while (connection.Read(answer, 0.5)) {
        record.Line("one more answer on the connection:", answer.mFirst, "for",
                    answer.Header("x-request-id"));
      }
    }
  }
  int unasked = 0;
  int changed = 0;
  const std::lock_guard lock(mutex);
  for (const auto& [id, run] : runs) {
    const auto sent = sentBodies.find(id);
    if (sent == sentBodies.end()) {
      ++unasked;
      record.Line("UNASKED: no client sent the request", id, "but a searcher ran",
                  run.mFirst);
    } else if (sent->second != run.mBody) {
      ++changed;
      record.Line("UNASKED: run with its body changed:", id);
    }
  }
  record.Line("requests", sentBodies.size(), "answered", answered, "ran", runs.size(),
              "smuggled", unasked, "body changed", changed);
  std::printf("smuggled: %d, body changed: %d\n", unasked, changed);
  if (answered == 0) {
    Exit(vms, 2);
  }
  Exit(vms, unasked + changed > 0 ? 1 : 0);
}
