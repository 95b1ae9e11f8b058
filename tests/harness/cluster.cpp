/// @file
/// @brief Implements the system of processes.
#include "tests/harness/cluster.hpp"

#include "tests/standins/json_read.hpp"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace wasabispar::harness {

namespace json = boost::json;

namespace {

constexpr auto kStartTimeout = std::chrono::seconds(20);
constexpr const char* kAddress = "127.0.0.1";

std::vector<std::string>
VmFlags(const VmSpec& aVm, const ClusterSpec& aCluster, const Endpoint& aPlatform)
{
  std::vector<std::string> flags{ "--vm",
                                  aVm.mName,
                                  "--data-centre",
                                  aVm.mDataCentre,
                                  "--region",
                                  aVm.mRegion,
                                  "--listen",
                                  kAddress,
                                  "--caller-port",
                                  "0",
                                  "--operator-port",
                                  "0",
                                  "--fleet-port",
                                  "0",
                                  "--platform",
                                  aPlatform.Text(),
                                  "--workers",
                                  std::to_string(aCluster.mWorkers),
                                  "--drain-delay-ms",
                                  std::to_string(aCluster.mDrainDelayMs),
                                  "--grace-ms",
                                  std::to_string(aCluster.mGraceMs),
                                  "--log-level",
                                  aCluster.mLogLevel };
  flags.insert(flags.end(), aCluster.mFlags.begin(), aCluster.mFlags.end());
  return flags;
}

Endpoint
PortOf(const json::object& aStarted, std::string_view aName)
{
  const auto port = standins::ReadNumber(aStarted, aName).value_or(0);
  return { kAddress, static_cast<std::uint16_t>(port) };
}

} // namespace

VmProcess::VmProcess(const VmSpec& aVm, const ClusterSpec& aCluster,
                     const Endpoint& aPlatform)
  : mSpec(aVm)
  , mProcess(aCluster.mProgram, VmFlags(aVm, aCluster, aPlatform))
{
  const auto started = mProcess.ReadStartLine(kStartTimeout);
  mCaller = PortOf(started, "caller_port");
  mOperator = PortOf(started, "operator_port");
  mFleet = PortOf(started, "fleet_port");
  if (aVm.mRelayFleet) {
    mRelay = std::make_unique<TcpRelay>(mFleet);
  }
}

Endpoint
VmProcess::Fleet() const
{
  return mRelay ? mRelay->Address() : mFleet;
}

double
VmProcess::Metric(const std::string& aName, const std::string& aLabel) const
{
  const auto reply = Call(mOperator, "GET", "/metrics");
  std::istringstream lines(reply.mResponse.mBody);
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    const auto nameEnd = line.find_first_of("{ ");
    const auto valueStart = line.rfind(' ');
    if (line.substr(0, nameEnd) == aName && line.find(aLabel) != std::string::npos) {
      sum += std::stod(line.substr(valueStart + 1));
    }
  }
  return sum;
}

std::vector<VmSpec>
MakeVms(std::size_t aCount, const std::string& aDataCentre, const std::string& aRegion)
{
  std::vector<VmSpec> vms;
  for (std::size_t number = 1; number <= aCount; ++number) {
    vms.push_back({ "vm" + std::to_string(number), aDataCentre, aRegion, false });
  }
  return vms;
}

Cluster::Cluster(ClusterSpec aSpec)
  : mSpec(std::move(aSpec))
  , mPlatform(std::make_unique<PlatformProcess>())
{
  for (const auto& upstream : mSpec.mUpstreams) {
    auto group = std::make_unique<UpstreamProcess>(upstream);
    auto& relays = mInstanceRelays.emplace_back();
    for (std::size_t i = 0; mSpec.mRelayUpstreams && i < upstream.mInstances; ++i) {
      relays.push_back(std::make_unique<TcpRelay>(group->Instance(i)));
    }
    mUpstreams.push_back(std::move(group));
  }
  PublishList();
  for (const auto& vm : mSpec.mVms) {
    mVms.push_back(std::make_unique<VmProcess>(vm, mSpec, mPlatform->Address()));
    PublishList();
  }
}

TcpRelay&
Cluster::InstanceRelay(std::size_t aUpstream, std::size_t aInstance)
{
  return *mInstanceRelays.at(aUpstream).at(aInstance);
}

json::object
Cluster::UpstreamEntry(const UpstreamProcess& aGroup, std::size_t aGroupNumber,
                       std::size_t aInstance) const
{
  const auto& spec = aGroup.Spec();
  const auto name = aGroup.InstanceName(aInstance);
  const auto& relays = mInstanceRelays.at(aGroupNumber);
  const auto address =
    relays.empty() ? aGroup.Instance(aInstance) : relays.at(aInstance)->Address();
  const bool leaving =
    std::find(mLeaving.begin(), mLeaving.end(), name) != mLeaving.end();
  return { { "upstream", name },
           { "index", spec.mIndex },
           { "data_centre", spec.mDataCentre },
           { "address", address.Text() },
           { "state", leaving ? "leaving" : "live" },
           { "connection_limit", spec.mConnectionLimit } };
}

json::object
Cluster::VmList() const
{
  json::array vms = mForeignVms;
  for (const auto& vm : mVms) {
    vms.push_back(VmEntry(vm->Spec(), vm->Fleet()));
  }
  json::array upstreams;
  for (std::size_t group = 0; group < mUpstreams.size(); ++group) {
    const auto& upstream = *mUpstreams[group];
    for (std::size_t i = 0; i < upstream.Spec().mInstances; ++i) {
      upstreams.push_back(UpstreamEntry(upstream, group, i));
    }
  }
  return { { "vms", vms }, { "upstreams", upstreams } };
}

json::object
VmEntry(const VmSpec& aVm, const Endpoint& aFleet)
{
  return { { "vm", aVm.mName },
           { "data_centre", aVm.mDataCentre },
           { "region", aVm.mRegion },
           { "fleet", aFleet.Text() },
           { "state", "live" } };
}

void
Cluster::SetForeignVms(json::array aVms)
{
  mForeignVms = std::move(aVms);
  PublishList();
}

void
Cluster::PublishList()
{
  mPlatform->PutList(VmList());
}

void
Cluster::MarkLeaving(const std::string& aInstance)
{
  mLeaving.push_back(aInstance);
  PublishList();
}

void
Cluster::PublishProfile(const std::string& aName, const json::object& aProfile)
{
  mPlatform->Put("profiles/" + aName, json::serialize(aProfile));
}

bool
Cluster::WaitReady(const std::string& aProfile, std::chrono::milliseconds aTimeout)
{
  return WaitUntil(aTimeout, [&] {
    return std::all_of(mVms.begin(), mVms.end(), [&](const auto& aVm) {
      const auto reply = Query(aVm->Caller(), aProfile, "ready", std::chrono::seconds(1));
      return reply.Code() == 200 &&
             reply.mResponse.Header("Wasabispar-Coverage") == "1000";
    });
  });
}

void
Cluster::RestartVm(std::size_t aNumber)
{
  auto& vm = mVms.at(aNumber);
  const auto spec = vm->Spec();
  vm.reset();
  vm = std::make_unique<VmProcess>(spec, mSpec, mPlatform->Address());
  PublishList();
}

json::object
SearchProfile(const std::string& aIndex)
{
  return { { "index", aIndex },
           { "operation", "search" },
           { "latency_target_ms", 300 },
           { "deadline_ms", 1000 },
           { "partial_policy", "answer_at_target" } };
}

json::object
ExecuteProfile(const std::string& aIndex)
{
  return { { "index", aIndex },
           { "operation", "execute" },
           { "latency_target_ms", 1000 },
           { "deadline_ms", 2000 },
           { "wanted_coverage_permille", 1000 },
           { "minimum_coverage_permille", 1000 },
           { "partial_policy", "wait_for_coverage" },
           { "hedging", false } };
}

CallReply
Query(const Endpoint& aCaller, const std::string& aProfile, const std::string& aText,
      Duration aTimeout, const std::string& aCallerId)
{
  return PostJson(aCaller, "/v1/query",
                  { { "profile", aProfile },
                    { "caller", aCallerId },
                    { "query", json::object{ { "text", aText } } } },
                  aTimeout);
}

} // namespace wasabispar::harness
