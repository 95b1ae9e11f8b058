/// @file
/// @brief Tests of which facts FleetService passes on. Nothing is sent.
#include "wasabispar/app/fleet_service.hpp"

#include "worker_calls.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const VmId kSelf("127.0.0.2");
const VmId kPeer("127.0.0.3");

Settings
MakeSettings()
{
  Settings settings;
  settings.mVm = kSelf;
  settings.mDataCentre = DataCentreId("dc");
  settings.mListen = kSelf.Text();
  return settings;
}

/// A service that knows one peer and whose timers are stopped.
class ServiceFixture
{
public:
  ServiceFixture()
  {
    OnWorker([this] {
      mService.Start();
      mService.Stop();
      PlatformVm peer;
      peer.mVm = kPeer;
      peer.mDataCentre = mSettings.mDataCentre;
      peer.mFleet = { kPeer.Text(), 1 };
      PlatformInventory inventory;
      inventory.mVms.push_back(peer);
      mService.OnInventory(inventory);
    });
  }
  ~ServiceFixture() { mWorkers.Stop(); }

  void OnWorker(const std::function<void()>& aFn) { RunAndWait(mWorkers.At(0), aFn); }

  /// The peer pushes an entry that @p aOrigin published.
  void Push(const std::string& aKey, const VmId& aOrigin)
  {
    OnWorker([&] {
      FleetEnvelope envelope;
      envelope.mSender = kPeer;
      envelope.mMessage = GossipPushMessage{ { { aKey, 1, "v", aOrigin, 60000 } } };
      mService.OnMessage(envelope);
    });
  }

  void Publish(const std::string& aKey)
  {
    OnWorker([&] { mService.Publish(aKey, "v", 60s); });
  }

  std::vector<std::string> mFacts;

private:
  FleetServiceHooks Hooks()
  {
    FleetServiceHooks hooks;
    hooks.mOnView = [](const MemberView&) {};
    hooks.mOnFact = [this](const GossipEntry& aFact) { mFacts.push_back(aFact.mKey); };
    hooks.mOnPause = [](Duration) {};
    hooks.mOnSuperseded = [] {};
    return hooks;
  }

  Settings mSettings = MakeSettings();
  Metrics mMetrics;
  WorkerPool mWorkers{ 1 };
  AppContext mContext{ mSettings, mMetrics, mWorkers, Incarnation(2),
                       [] { return BootClock::now(); } };
  FleetLink mLink{ mContext, {} };
  FleetService mService{ mContext, mLink, Hooks() };
};

} // namespace

/// Guards against a VM that forgets what it has told the others, once it restarts
/// (review/14).
TEST_CASE_FIXTURE(ServiceFixture, "facts of an earlier process of this VM are passed on")
{
  Push("of-the-peer", kPeer);
  Push("of-this-vm", kSelf);
  Push("of-this-vm", kSelf);
  CHECK(mFacts == std::vector<std::string>{ "of-the-peer", "of-this-vm" });
}

TEST_CASE_FIXTURE(ServiceFixture, "facts that this process publishes are not passed on")
{
  Publish("published");
  Push("published", kSelf);
  CHECK(mFacts.empty());
}
