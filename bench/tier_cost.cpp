/// @file
/// @brief Measures what the tier costs over direct calls: the median time of a search
/// through one VM over the median time of its slowest shard asked directly, in the same
/// run; then memory and idle CPU of the daemon.
#include "tests/harness/cluster.hpp"
#include "wasabispar/net/http_client.hpp"
#include "wasabispar/net/worker.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>

#include <unistd.h>

using namespace wasabispar;
using namespace wasabispar::harness;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr int kSearches = 400;
constexpr std::size_t kShards = 15;
constexpr auto kIdleTime = std::chrono::seconds(20);

/// A connection that is opened before the measurement.
std::shared_ptr<HttpConnection>
Connect(Worker& aWorker, const Endpoint& aEndpoint)
{
  auto connection = HttpConnection::Create(aWorker.Context(), aEndpoint);
  std::promise<bool> opened;
  connection->Open(5s, [&](bool aOpened, std::string) { opened.set_value(aOpened); });
  if (!opened.get_future().get()) {
    throw std::runtime_error("cannot connect to " + aEndpoint.Text());
  }
  return connection;
}

HttpRequest
Post(const std::string& aTarget, const json::object& aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = aTarget;
  request.mBody = json::serialize(aBody);
  return request;
}

void
Start(HttpConnection& aConnection, HttpRequest aRequest, std::promise<void>& aDone)
{
  aConnection.Exchange(std::move(aRequest), 5s, [&aDone](HttpExchangeResult aResult) {
    if (aResult.mEnd != HttpExchangeEnd::Response || aResult.mResponse.mStatus != 200) {
      aDone.set_exception(std::make_exception_ptr(std::runtime_error("call failed")));
      return;
    }
    aDone.set_value();
  });
}

/// Time from the first request to the last of the shards' replies.
double
DirectMs(const std::vector<std::shared_ptr<HttpConnection>>& aConnections)
{
  const auto start = BootClock::now();
  std::vector<std::promise<void>> done(aConnections.size());
  for (std::size_t shard = 0; shard < aConnections.size(); ++shard) {
    const json::object body{ { "request_id", "direct" },
                             { "index", "counter-app" },
                             { "version", 1 },
                             { "shard", "s" + std::to_string(shard) },
                             { "query", json::object{ { "text", "cost" } } },
                             { "deadline_ms", 1000 } };
    Start(*aConnections[shard], Post("/search", body), done[shard]);
  }
  for (auto& reply : done) {
    reply.get_future().get();
  }
  return ToDoubleMilliseconds(BootClock::now() - start);
}

double
TierMs(HttpConnection& aConnection)
{
  const auto start = BootClock::now();
  std::promise<void> done;
  Start(aConnection,
        Post("/v1/query", { { "profile", "measure" },
                            { "caller", "caller-a" },
                            { "query", json::object{ { "text", "cost" } } } }),
        done);
  done.get_future().get();
  return ToDoubleMilliseconds(BootClock::now() - start);
}

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(aQuantile * (aValues.size() - 1))];
}

/// Resident memory in MB.
double
MemoryMb(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

} // namespace

int
main()
{
  ClusterSpec spec;
  spec.mVms = MakeVms(1);
  UpstreamSpec group;
  group.mName = "counter-app";
  group.mIndex = "counter-app";
  group.mInstances = 10;
  group.mShards = kShards;
  group.mBaseMs = 3;
  group.mJitterMs = 1;
  spec.mUpstreams = { group };
  Cluster cluster(spec);
  cluster.PublishProfile("measure", SearchProfile("counter-app"));
  if (!cluster.WaitReady("measure", 30s)) {
    std::cerr << "the system did not become ready\n";
    return 1;
  }
  Worker worker;
  std::vector<std::shared_ptr<HttpConnection>> direct;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    const auto holders = cluster.Upstream().Holders("s" + std::to_string(shard));
    direct.push_back(
      Connect(worker, cluster.Upstream().Instance(holders[shard % holders.size()])));
  }
  const auto tier = Connect(worker, cluster.Vm(0).Caller());
  std::vector<double> tierMs;
  std::vector<double> directMs;
  for (int search = -50; search < kSearches; ++search) {
    const double through = TierMs(*tier);
    const double without = DirectMs(direct);
    if (search >= 0) {
      tierMs.push_back(through);
      directMs.push_back(without);
    }
  }
  auto& process = cluster.Vm(0).Process();
  const auto cpuBefore = process.CpuTime();
  std::this_thread::sleep_for(kIdleTime);
  const auto cpu = process.CpuTime() - cpuBefore;
  std::printf("p50 through the tier %.2f ms, slowest shard directly %.2f ms, ratio %.2f\n"
              "p99 through the tier %.2f ms, slowest shard directly %.2f ms, ratio %.2f\n"
              "resident memory %.1f MB, idle CPU %.2f%% of a core\n",
              Quantile(tierMs, 0.5), Quantile(directMs, 0.5),
              Quantile(tierMs, 0.5) / Quantile(directMs, 0.5), Quantile(tierMs, 0.99),
              Quantile(directMs, 0.99), Quantile(tierMs, 0.99) / Quantile(directMs, 0.99),
              MemoryMb(process.Id()),
              100.0 * static_cast<double>(cpu.count()) /
                static_cast<double>(std::chrono::milliseconds(kIdleTime).count()));
  return 0;
}
