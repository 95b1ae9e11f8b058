/// @file
/// @brief Three VMs in one process: membership over the fleet transport, and the shares
/// of connections to an upstream before and after one of them stops.
#include "wasabispar/base/random.hpp"
#include "wasabispar/fleet/membership.hpp"
#include "wasabispar/fleet/ownership.hpp"
#include "wasabispar/net/fleet_transport.hpp"

#include <deque>
#include <iostream>
#include <mutex>
#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// Functions that the main thread runs.
class Queue
{
public:
  void Post(std::function<void()> aFn)
  {
    const std::lock_guard lock(mMutex);
    mQueue.push_back(std::move(aFn));
  }

  void RunAll()
  {
    std::deque<std::function<void()>> due;
    {
      const std::lock_guard lock(mMutex);
      due.swap(mQueue);
    }
    for (auto& fn : due) {
      fn();
    }
  }

private:
  std::mutex mMutex;
  std::deque<std::function<void()>> mQueue;
};

/// One VM: transport, membership and connection budget.
class Vm
{
public:
  Vm(Queue& aQueue, const std::string& aName)
    : mTransport({},
                 { [&aQueue](std::function<void()> aFn) { aQueue.Post(std::move(aFn)); },
                   [](const VmId&, Incarnation, std::string_view) { return true; },
                   [this](const FleetEnvelope& aEnvelope, std::string_view) {
                     OnMessage(aEnvelope);
                   } })
    , mBudget(VmId(aName), {}, BootClock::now())
  {
    HandleError([&] { return mTransport.Start("tcp://127.0.0.1:0"); },
                [](const Error& aError) { std::cerr << ToText(aError) << '\n'; });
    mSelf = { VmId(aName), Incarnation(UnixMilliseconds()),
              "tcp://127.0.0.1:" + std::to_string(mTransport.Port()),
              DataCentreId("harju-a-1"), RegionId("harju-a") };
    mMembership = std::make_unique<Membership>(
      mSelf, MembershipOptions{}, SeededRandom(EntropySeed()), BootClock::now());
    mBudget.SetLimit(mUpstream, 25);
  }

  void OnPlatformList(const std::vector<ListedVm>& aList)
  {
    Perform(mMembership->OnPlatformList(aList, BootClock::now()));
  }
  void Tick() { Perform(mMembership->Tick(BootClock::now())); }

  void Print() const
  {
    std::cout << mSelf.mVm.Text() << ": live " << mMembership->View()->mLocalLive.size()
              << ", connections allowed "
              << mBudget.AllowedConnections(mUpstream, BootClock::now()) << '\n';
  }
  const VmIdentity& Self() const { return mSelf; }

private:
  void OnMessage(const FleetEnvelope& aEnvelope)
  {
    std::visit(
      [&](const auto& aPlain) {
        if constexpr (std::is_constructible_v<SwimMessage, decltype(aPlain)>) {
          Perform(mMembership->OnMessage(aEnvelope.mSender, aEnvelope.mIncarnation,
                                         aPlain, BootClock::now()));
        }
      },
      aEnvelope.mMessage);
  }

  void Perform(const MembershipActions& aActions)
  {
    for (const auto& send : aActions.mOutgoing) {
      FleetEnvelope envelope{ mSelf.mVm, mSelf.mIncarnation, mSelf.mDataCentre, 0, {} };
      std::visit([&](const auto& aPlain) { envelope.mMessage = aPlain; }, send.mMessage);
      HandleError(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(bytes, EncodeFleet(envelope));
          mTransport.Send(send.mAddress, std::move(bytes));
          return {};
        },
        [](const Error& aError) { std::cerr << ToText(aError) << '\n'; });
    }
    for (const auto& change : aActions.mChanges) {
      std::cout << mSelf.mVm.Text() << " sees " << change.mMember.mIdentity.mVm.Text()
                << ' ' << ToText(change.mMember.mState) << '\n';
    }
    mBudget.OnView(*mMembership->View(), BootClock::now());
  }

  VmIdentity mSelf;
  UpstreamId mUpstream{ "counter-app-1" };
  std::unique_ptr<Membership> mMembership;
  FleetTransport mTransport;
  ConnectionBudget mBudget;
};

} // namespace

int
main()
{
  Queue queue;
  std::vector<std::unique_ptr<Vm>> vms;
  std::vector<ListedVm> list;
  for (const auto* name : { "vm-1", "vm-2", "vm-3" }) {
    vms.push_back(std::make_unique<Vm>(queue, name));
    list.push_back({ vms.back()->Self(), ListedState::Live });
  }
  for (const auto& vm : vms) {
    vm->OnPlatformList(list);
  }
  const auto run = [&](Duration aTime) {
    const auto end = BootClock::now() + aTime;
    while (BootClock::now() < end) {
      queue.RunAll();
      for (const auto& vm : vms) {
        vm->Tick();
      }
      std::this_thread::sleep_for(20ms);
    }
    for (const auto& vm : vms) {
      vm->Print();
    }
  };
  run(3s);
  std::cout << "stopping vm-3; its share stays reserved for the hold time\n";
  vms.pop_back();
  run(3s);
  return 0;
}
