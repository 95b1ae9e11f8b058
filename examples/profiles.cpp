/// @file
/// @brief Example: two VMs keep their profiles equal without sockets or a clock.
#include "wasabispar/catalogue/catalogue.hpp"
#include "wasabispar/catalogue/config_sync.hpp"
#include "wasabispar/catalogue/profile_usage.hpp"

#include <iostream>
#include <map>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

struct Vm
{
  explicit Vm(const std::string& aName)
    : mSync(VmId(aName), mCatalogue, SeededRandom(HashSeed(aName)))
  {
  }

  static std::uint64_t HashSeed(const std::string& aName)
  {
    return std::hash<std::string>{}(aName);
  }

  Catalogue mCatalogue;
  ConfigSync mSync;
};

using Vms = std::map<VmId, Vm>;

/// The platform's list after the third change; the second document has an error.
CatalogueDelta
ReadPlatform()
{
  return PlatformList(
    Revision(3), { { ProfileName("fitting-search"), Revision(1), false,
                     R"({"index":"kimonos","latency_target_ms":70,"deadline_ms":250})" },
                   { ProfileName("deck-check"), Revision(3), false,
                     R"({"index":"decks","deadline":4000})" } });
}

/// Executes the actions of one VM at once; a real VM hands them to its sockets.
void
Execute(Vms& aVms, const VmId& aSelf, const ConfigActions& aActions, TimePoint aNow)
{
  for (const auto& action : aActions) {
    auto& sync = aVms.at(aSelf).mSync;
    if (const auto* read = std::get_if<PlatformRead>(&action)) {
      std::cout << aSelf.Text() << " reads the platform\n";
      Execute(aVms, aSelf, sync.OnPlatformReply(read->mCall, ReadPlatform(), aNow), aNow);
    } else if (const auto* send = std::get_if<SendConfigMessage>(&action)) {
      auto& peer = aVms.at(send->mTo).mSync;
      Execute(aVms, send->mTo, peer.OnMessage(aSelf, send->mMessage, aNow), aNow);
    } else if (const auto* start = std::get_if<StartComplete>(&action)) {
      std::cout << aSelf.Text() << " started by " << ToText(start->mSource)
                << " at revision " << start->mRevision.Value() << "\n";
    }
  }
}

} // namespace

int
main()
{
  Vms vms;
  for (const std::string name : { "vm-1", "vm-2", "vm-3" }) {
    vms.try_emplace(VmId(name), name);
  }
  ConfigPeers peers;
  for (const auto& [id, vm] : vms) {
    peers.mDataCentre.push_back(id);
  }
  auto now = TimePoint{} + 1h;
  for (auto& [id, vm] : vms) {
    Execute(vms, id, vm.mSync.Start(peers, now), now);
  }
  for (int tick = 0; tick < 100; ++tick) {
    now += 100ms;
    for (auto& [id, vm] : vms) {
      Execute(vms, id, vm.mSync.Tick(now), now);
    }
  }

  const auto view = vms.at(VmId("vm-3")).mCatalogue.View();
  for (const auto& rejected : view->Rejected()) {
    std::cout << "rejected " << rejected.mName.Text() << " at revision "
              << rejected.mRevision.Value() << ": " << rejected.mCause << "\n";
  }
  const ProfileName name("fitting-search");
  const auto found = view->Find(name);
  std::cout << name.Text() << " is " << ToText(found.mStatus) << "\n";

  ProfileUsage usage;
  usage.Record(name, found.mStatus, CallerId("house-a"), now);
  for (const auto& profile : usage.Report(*view).mProfiles) {
    std::cout << profile.mName.Text() << ": " << profile.mRequests << " requests\n";
  }
  return 0;
}
