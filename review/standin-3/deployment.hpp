/// @file
/// @brief What the cases share: a store, searchers, VMs and clients, and the main
/// function.
#pragma once

#include "edge.hpp"
#include "searcher.hpp"
#include "store.hpp"

#include <exception>
#include <iostream>

namespace review {

constexpr auto kHost = "leno12.example";

/// @brief A route of the configuration.
struct Route
{
  std::string mName;
  std::string mPrefix;
  std::string mService;
  bool mIsIdempotent = true;
  int mAttempts = 2;
  int mTimeoutMs = 3000;
};

inline std::string
Config(int aVersion, const std::vector<Route>& aRoutes,
       const std::vector<std::string>& aServices)
{
  std::string routes;
  for (const auto& route : aRoutes) {
    routes +=
      (routes.empty() ? "" : ",") + (R"({"name":")" + route.mName) + R"(","hostname":")" +
      kHost + R"(","path_prefix":")" + route.mPrefix + R"(","route_type":")" +
      (route.mIsIdempotent ? "idempotent" : "non_idempotent") + R"(","timeout_ms":)" +
      std::to_string(route.mTimeoutMs) + R"(,"slo_ms":300,"priority":1,"service":")" +
      route.mService + R"(","attempts":)" + std::to_string(route.mAttempts) + "}";
  }
  std::string services;
  for (const auto& service : aServices) {
    services += (services.empty() ? "" : ",") + (R"({"name":")" + service) +
                R"(","health_check":"/healthz","max_conns":110,"protocol":"h1",)" +
                R"("tls":false})";
  }
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" + routes +
         R"(],"services":[)" + services + R"(],"limits":{"max_header_bytes":16384,)" +
         R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/// @brief A store, searchers and VMs.
class Deployment
{
public:
  Deployment(Record& aRecord, std::string aProgram, std::string aFolder)
    : mRecord(aRecord)
    , mStore(aRecord)
    , mProgram(std::move(aProgram))
    , mFolder(std::move(aFolder))
  {
  }

  Searcher& AddSearcher(const std::string& aId, const std::string& aService,
                        std::int64_t aWorkMs = 20, int aWarmupLeftMs = 0)
  {
    mSearchers.push_back(
      std::make_unique<Searcher>(mRecord, mRuns, aId, aService, aWorkMs));
    mStore.Put(mSearchers.back()->Key(),
               mSearchers.back()->Entry("ready", aWarmupLeftMs));
    return *mSearchers.back();
  }
  /// @brief Starts the VMs and waits until they are ready; throws if they are not.
  void StartEdges(std::size_t aVms)
  {
    const auto ports = FreePorts(aVms);
    for (std::size_t vm = 0; vm < aVms; ++vm) {
      mEdges.push_back(std::make_unique<Edge>(mRecord, mProgram, mFolder, vm, aVms, ports,
                                              mStore.Where()));
    }
    for (const auto& edge : mEdges) {
      AwaitReady(*edge);
    }
  }
  void AwaitReady(const Edge& aEdge)
  {
    constexpr int kAttempts = 100;
    for (int i = 0; i < kAttempts; ++i) {
      if (aEdge.IsReady()) {
        mRecord.Line("vm " + aEdge.Name() + ": ready");
        return;
      }
      Sleep(100);
    }
    throw std::runtime_error("a VM does not get ready");
  }

  Request MakeRequest(const std::string& aMethod, const std::string& aTarget,
                      std::string aBody = {})
  {
    Request request{ aMethod, aTarget, {}, std::move(aBody) };
    request.mHeaders["Host"] = kHost;
    request.mHeaders["X-Request-Id"] = "c" + std::to_string(++mLastRequest);
    request.mHeaders["X-Deadline-Ms"] = "3000";
    return request;
  }
  /// @brief Sends a request on a new connection and records the answer.
  std::optional<Response> Send(const Edge& aEdge, const Request& aRequest)
  {
    HttpClient client(aEdge.Callers());
    return SendOn(client, aEdge, aRequest);
  }
  std::optional<Response> SendOn(HttpClient& aClient, const Edge& aEdge,
                                 const Request& aRequest)
  {
    constexpr int kTimeoutMs = 3500;
    const auto id = aRequest.Header("X-Request-Id");
    mRecord.Line("client: sends " + id + " " + aRequest.mMethod + " " + aRequest.mTarget +
                 " " + aRequest.mBody + " to vm " + aEdge.Name());
    auto response = aClient.Exchange(aRequest, kTimeoutMs);
    mRecord.Line("client: " + id + " is answered " +
                 (response ? std::to_string(response->mStatus) + " " + response->mBody
                           : "with nothing"));
    return response;
  }

  Record& mRecord;
  Runs mRuns;
  Store mStore;
  std::vector<std::unique_ptr<Searcher>> mSearchers;
  std::vector<std::unique_ptr<Edge>> mEdges;

private:
  std::string mProgram;
  std::string mFolder;
  std::atomic<int> mLastRequest{ 0 };
};

/// @brief Runs a case: `PROGRAM RECORD-FILE EDGE-PROGRAM`. Does not return; the threads
/// of the stand-ins end with the process.
template<class CaseFn>
int
RunCase(int aCount, char** aArguments, CaseFn aCase)
{
  if (aCount != 3) {
    std::cerr << "usage: " << aArguments[0] << " RECORD-FILE EDGE-PROGRAM\n";
    return kCouldNotRun;
  }
  int result = kCouldNotRun;
  Record record(aArguments[1]);
  char folder[] = "/tmp/review-3-XXXXXX";
  if (!::mkdtemp(folder)) {
    return kCouldNotRun;
  }
  // Not destroyed: threads of the stand-ins may still use it when the process exits.
  auto* deployment = new Deployment(record, aArguments[2], folder);
  try {
    record.Line(HasTrouble() ? "with the disruption" : "without the disruption");
    result = aCase(*deployment);
  } catch (const std::exception& failure) {
    record.Line(std::string("could not run: ") + failure.what());
  }
  deployment->mEdges.clear();
  record.Line("exit " + std::to_string(result));
  if (!std::getenv("KEEP_LOGS")) {
    std::filesystem::remove_all(folder);
  } else {
    std::cerr << folder << "\n";
  }
  std::cout << (result == kBroken ? "broken"
                : result == kHeld ? "held"
                                  : "could not run")
            << std::endl;
  std::_Exit(result);
}

} // namespace review
