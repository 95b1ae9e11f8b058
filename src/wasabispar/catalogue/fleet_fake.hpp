/// @file
/// @brief Test fake: a fleet of VMs with ConfigSync in virtual time. Includes a platform
/// and a network that can lose, delay, duplicate and reorder messages.
#pragma once

#include "history_fake.hpp"
#include "wasabispar/catalogue/config_sync.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief One VM of the fake fleet.
struct VmFake
{
  std::size_t mDataCentre = 0;
  /// Null while the VM is stopped.
  std::unique_ptr<Catalogue> mCatalogue;
  std::unique_ptr<ConfigSync> mSync;
  /// Bytes sent and received.
  std::uint64_t mBytes = 0;
  /// The pending call to the platform; a read if mCallIsRead, else a watch.
  std::optional<PlatformWatch> mCall;
  bool mCallIsRead = false;
  /// From this time on a watch is answered even if nothing has changed.
  TimePoint mCallEndsAt{};
};

/// @brief The fake fleet. VM i has the id `v<i>` and belongs to the data centre i modulo
/// the number of data centres.
class FleetFake
{
public:
  /// @brief Starts @p aVms VMs. If @p aHasNoPeers, each VM has an empty list of peers.
  FleetFake(std::size_t aDataCentres, std::size_t aVms, std::uint64_t aSeed,
            bool aHasNoPeers = false)
    : mRandom(SeededRandom(aSeed))
    , mDataCentres(aDataCentres)
    , mHasNoPeers(aHasNoPeers)
    , mVms(aVms)
    , mPlatformRevision(0)
  {
    for (std::size_t i = 0; i < aVms; ++i) {
      mVms[i].mDataCentre = i % aDataCentres;
    }
    StartAll();
  }

  /// @brief Starts all VMs with empty catalogues.
  void StartAll()
  {
    for (auto& vm : mVms) {
      vm.mCatalogue = std::make_unique<Catalogue>();
    }
    for (std::size_t i = 0; i < mVms.size(); ++i) {
      StartVm(i);
    }
  }

  /// @brief Stops a VM and updates the peers of the others.
  void Stop(std::size_t aVm)
  {
    mVms[aVm].mSync.reset();
    mVms[aVm].mCatalogue.reset();
    mVms[aVm].mCall.reset();
    UpdatePeers();
  }

  /// @brief Restarts a VM with an empty catalogue.
  void Restart(std::size_t aVm)
  {
    Stop(aVm);
    mVms[aVm].mCatalogue = std::make_unique<Catalogue>();
    StartVm(aVm);
    UpdatePeers();
  }

  /// @brief Advances the virtual time by @p aTime in steps of 50 ms. Calls @p aEachStep
  /// after each step.
  template<class EachStep>
  void Run(Duration aTime, EachStep&& aEachStep)
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow += std::chrono::milliseconds(50);
      DeliverMessages();
      for (std::size_t i = 0; i < mVms.size(); ++i) {
        if (mVms[i].mSync) {
          AnswerCall(i);
          Execute(i, mVms[i].mSync->Tick(mNow));
        }
      }
      aEachStep();
    }
  }
  void Run(Duration aTime)
  {
    Run(aTime, [] {});
  }

  /// @brief Makes the platform reply with the whole history.
  void PublishLatest() { mPlatformRevision = mHistory.Head(); }

  HistoryFake mHistory;
  RandomFn mRandom;
  TimePoint mNow = TimePoint{} + std::chrono::hours(1);
  std::size_t mDataCentres;
  bool mHasNoPeers;
  std::vector<VmFake> mVms;
  /// Revision up to which the platform replies with the history; below the head if the
  /// platform is stale.
  Revision mPlatformRevision;
  /// All calls to the platform fail.
  bool mPlatformDown = false;
  /// VMs whose calls to the platform fail.
  std::vector<std::size_t> mVmsWithoutPlatform;
  /// Messages are lost, duplicated or delayed by up to 5 s.
  bool mMessageFaults = false;
  /// This data centre exchanges no messages with the others.
  std::optional<std::size_t> mIsolatedDataCentre;
  /// Number of calls to the platform by all VMs.
  std::uint64_t mCalls = 0;

private:
  /// A message on its way.
  struct InFlight
  {
    std::size_t mFrom;
    std::size_t mTo;
    ConfigMessage mMessage;
  };

  static std::size_t Number(const VmId& aVm) { return std::stoul(aVm.Text().substr(1)); }
  static VmId Name(std::size_t aVm) { return VmId("v" + std::to_string(aVm)); }

  ConfigPeers PeersOf(std::size_t aVm) const
  {
    ConfigPeers peers;
    peers.mDataCentres = mDataCentres;
    peers.mFleetSize = mVms.size();
    if (mHasNoPeers) {
      return peers;
    }
    // The bridges of a data centre are its two running VMs with the lowest numbers.
    std::vector<std::size_t> bridges(mDataCentres, 0);
    for (std::size_t i = 0; i < mVms.size(); ++i) {
      const auto dataCentre = mVms[i].mDataCentre;
      if (!mVms[i].mCatalogue) {
        continue;
      }
      const bool bridge = bridges[dataCentre]++ < 2;
      if (dataCentre == mVms[aVm].mDataCentre) {
        peers.mDataCentre.push_back(Name(i));
        peers.mIsBridge = peers.mIsBridge || (bridge && i == aVm);
      } else if (bridge) {
        peers.mRemoteBridges.push_back(Name(i));
      }
    }
    return peers;
  }

  void StartVm(std::size_t aVm)
  {
    mVms[aVm].mSync = std::make_unique<ConfigSync>(Name(aVm), *mVms[aVm].mCatalogue,
                                                   SeededRandom(mRandom(1 << 30)));
    Execute(aVm, mVms[aVm].mSync->Start(PeersOf(aVm), mNow));
  }

  void UpdatePeers()
  {
    for (std::size_t i = 0; i < mVms.size(); ++i) {
      if (mVms[i].mSync) {
        Execute(i, mVms[i].mSync->OnPeers(PeersOf(i), mNow));
      }
    }
  }

  void Execute(std::size_t aVm, const ConfigActions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* read = std::get_if<PlatformRead>(&action)) {
        StartCall(aVm, { read->mCall, Revision(0), Duration{} }, true);
      } else if (const auto* watch = std::get_if<PlatformWatch>(&action)) {
        StartCall(aVm, *watch, false);
      } else if (std::holds_alternative<PlatformCancel>(action)) {
        mVms[aVm].mCall.reset();
      } else if (const auto* send = std::get_if<SendConfigMessage>(&action)) {
        Send(aVm, *send);
      }
    }
  }

  void StartCall(std::size_t aVm, const PlatformWatch& aCall, bool aRead)
  {
    ++mCalls;
    mVms[aVm].mCall = aCall;
    mVms[aVm].mCallIsRead = aRead;
    mVms[aVm].mCallEndsAt = mNow + aCall.mTimeout;
  }

  void AnswerCall(std::size_t aVm)
  {
    auto& vm = mVms[aVm];
    const auto call = vm.mCall;
    if (!call) {
      return;
    }
    const bool cutOff =
      std::count(mVmsWithoutPlatform.begin(), mVmsWithoutPlatform.end(), aVm) > 0;
    if (mPlatformDown || cutOff) {
      vm.mCall.reset();
      Execute(aVm, vm.mSync->OnPlatformError(call->mCall, mNow));
    } else if (vm.mCallIsRead || mPlatformRevision > call->mAfter ||
               mNow >= vm.mCallEndsAt) {
      vm.mCall.reset();
      const auto delta = vm.mCallIsRead
                           ? mHistory.List(mPlatformRevision)
                           : mHistory.Changes(call->mAfter, mPlatformRevision);
      Execute(aVm, vm.mSync->OnPlatformReply(call->mCall, delta, mNow));
    }
  }

  void Send(std::size_t aFrom, const SendConfigMessage& aSend)
  {
    // Size of the envelope and of the TCP and IP headers.
    constexpr std::size_t kEnvelopeBytes = 120;
    const auto to = Number(aSend.mTo);
    const auto size = kEnvelopeBytes + EncodedSize(aSend.mMessage);
    mVms[aFrom].mBytes += size;
    mVms[to].mBytes += size;
    const auto from = mVms[aFrom].mDataCentre;
    const auto other = mVms[to].mDataCentre;
    const bool cut = mIsolatedDataCentre && from != other &&
                     (from == *mIsolatedDataCentre || other == *mIsolatedDataCentre);
    const auto copies = mMessageFaults ? mRandom(3) : 1;
    for (std::uint64_t i = 0; i < copies && !cut; ++i) {
      const auto delay = mMessageFaults ? mRandom(5000) : 1;
      mInFlight.emplace(mNow + std::chrono::milliseconds(delay),
                        InFlight{ aFrom, to, aSend.mMessage });
    }
  }

  void DeliverMessages()
  {
    while (!mInFlight.empty() && mInFlight.begin()->first <= mNow) {
      const auto message = std::move(mInFlight.begin()->second);
      mInFlight.erase(mInFlight.begin());
      auto& vm = mVms[message.mTo];
      if (vm.mSync) {
        Execute(message.mTo,
                vm.mSync->OnMessage(Name(message.mFrom), message.mMessage, mNow));
      }
    }
  }

  /// Messages by their time of delivery.
  std::multimap<TimePoint, InFlight> mInFlight;
};

} // namespace wasabispar
