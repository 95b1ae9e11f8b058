/// @file
/// @brief Two data centres that lose contact with each other.
#include "tests/failure/daemon_fixture.hpp"
#include "tests/harness/tcp_relay.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace wasabispar;
using namespace wasabispar::harness;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr unsigned kRetired = 410;

ClusterSpec
DataCentreSpec(const std::string& aName)
{
  ClusterSpec spec;
  for (const std::string number : { "1", "2" }) {
    VmSpec vm;
    vm.mName = aName + "-vm" + number;
    vm.mDataCentre = aName;
    vm.mRegion = aName + "-region";
    spec.mVms.push_back(vm);
  }
  spec.mUpstreams = { SmallGroup() };
  spec.mUpstreams[0].mDataCentre = aName;
  return spec;
}

/// Two data centres, each with its own platform stand-in, whose VMs reach those of the
/// other one through relays only.
class TwoDataCentres
{
public:
  TwoDataCentres()
    : mFirst(DataCentreSpec("east"))
    , mSecond(DataCentreSpec("west"))
  {
    mFirst.System().SetForeignVms(Relay(mSecond));
    mSecond.System().SetForeignVms(Relay(mFirst));
  }

  SmallSystem& First() { return mFirst; }
  SmallSystem& Second() { return mSecond; }
  void SetMode(RelayMode aMode)
  {
    for (const auto& relay : mRelays) {
      relay->SetMode(aMode);
    }
  }

private:
  json::array Relay(SmallSystem& aTarget)
  {
    json::array vms;
    for (std::size_t vm = 0; vm < aTarget.System().VmCount(); ++vm) {
      auto& process = aTarget.Vm(vm);
      mRelays.push_back(std::make_unique<TcpRelay>(process.Fleet()));
      vms.push_back(VmEntry(process.Spec(), mRelays.back()->Address()));
    }
    return vms;
  }

  SmallSystem mFirst;
  SmallSystem mSecond;
  std::vector<std::unique_ptr<TcpRelay>> mRelays;
};

void
PublishRetired(SmallSystem& aSystem)
{
  auto profile = SearchProfile("index");
  profile["state"] = "retired";
  aSystem.System().PublishProfile(kSearchProfile, profile);
}

} // namespace

TEST_CASE("a change reaches a data centre whose platform is stale through the fleet")
{
  // Guards against a data centre that only trusts its own platform reads.
  TwoDataCentres both;
  both.Second().System().Platform().SetMode("stale");
  PublishRetired(both.First());
  CHECK(WaitUntil(5s, [&] { return both.First().AllAnswer(kSearchProfile, kRetired); }));
  CHECK(
    WaitUntil(15s, [&] { return both.Second().AllAnswer(kSearchProfile, kRetired); }));
}

TEST_CASE("parted data centres serve their own callers and agree after the partition")
{
  // Guards against a query path that needs the other data centre, and against a change
  // that is lost in a partition.
  TwoDataCentres both;
  both.Second().System().Platform().SetMode("stale");
  std::this_thread::sleep_for(3s);
  both.SetMode(RelayMode::Silent);
  bench::LoadReport second;
  std::thread load([&] { second = bench::RunLoad(both.Second().Load(5s)); });
  const auto first = bench::RunLoad(both.First().Load(5s));
  load.join();
  CAPTURE(Describe(first));
  CAPTURE(Describe(second));
  CHECK(first.mFaults + second.mFaults == 0);
  CHECK(first.mAll.mComplete == first.mAll.mRequests);
  CHECK(second.mAll.mComplete == second.mAll.mRequests);
  PublishRetired(both.First());
  CHECK(WaitUntil(5s, [&] { return both.First().AllAnswer(kSearchProfile, kRetired); }));
  both.SetMode(RelayMode::Cut);
  std::this_thread::sleep_for(1s);
  both.SetMode(RelayMode::Pass);
  CHECK(
    WaitUntil(20s, [&] { return both.Second().AllAnswer(kSearchProfile, kRetired); }));
}
