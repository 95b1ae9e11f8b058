/// @file
/// @brief Drives one Membership in virtual time and counts its traffic.
#pragma once

#include "fixture.hpp"
#include "wasabispar/base/random.hpp"
#include "wasabispar/fleet/membership.hpp"

#include <map>

namespace wasabispar::capacity {

inline constexpr Duration kTick = std::chrono::milliseconds(50);
/// 75 failures with a return each, and 1,800 restarts or replacements a day.
inline constexpr Duration kChangePeriod =
  std::chrono::seconds(24 * 3600 / (2 * 75 + 1800));

/// @brief Messages and their size on the wire.
struct Traffic
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;

  void Add(const FleetMessage& aMessage)
  {
    ++mMessages;
    mBytes += WireBytes(aMessage);
  }
};

/// @brief A membership message as the fleet message that carries it.
inline FleetMessage
ToFleet(const SwimMessage& aMessage)
{
  return std::visit([](const auto& aPart) { return FleetMessage(aPart); }, aMessage);
}

/// @brief One real Membership in virtual time; all other VMs answer its probes at once.
class MembershipDriver
{
public:
  MembershipDriver(std::size_t aLocal, std::size_t aFleet, std::size_t aSelf = 0)
    : mSelf(aSelf)
    , mMembership(MakeVm(0, aSelf), {}, SeededRandom(kSeed), mNow)
  {
    const auto remote = aFleet > aLocal ? (aFleet - aLocal) / (kDataCentres - 1) : 0;
    std::vector<ListedVm> list;
    for (std::size_t centre = 0; centre < kDataCentres; ++centre) {
      for (std::size_t i = 0; i < (centre == 0 ? aLocal : remote); ++i) {
        mVms.push_back({ MakeVm(centre, i), MemberState::Alive, 1 });
        list.push_back({ mVms.back().mIdentity, ListedState::Live });
      }
    }
    for (std::size_t i = 0; i < mVms.size(); ++i) {
      mIndex.emplace(mVms[i].mIdentity.mVm, i);
    }
    mMembership.OnPlatformList(list, mNow);
    // All others are announced by one of them, as views are compared at the start.
    const auto& announcer = mVms[Other()];
    AckMessage announce;
    announce.mSubject = announcer;
    announce.mUpdates = mVms;
    mMembership.OnMessage(announcer.mIdentity.mVm, announcer.mIdentity.mIncarnation,
                          announce, mNow);
    Run(std::chrono::seconds(60), false);
    mSent = {};
    mReceived = {};
  }

  /// Changes members at the rate of the whole fleet when @p aChanges is set.
  void Run(Duration aTime, bool aChanges)
  {
    const auto end = mNow + aTime;
    auto nextChange = mNow + kChangePeriod;
    while (mNow < end) {
      mNow += kTick;
      Answer(mMembership.Tick(mNow).mOutgoing);
      if (aChanges && mNow >= nextChange) {
        nextChange += kChangePeriod;
        ChangeMember();
      }
    }
  }

  /// A random member is restarted, and another one tells this VM.
  void ChangeMember()
  {
    const auto index = mRandom(mVms.size());
    if (index == mSelf) {
      return;
    }
    auto& changed = mVms[index];
    changed.mIdentity.mIncarnation = changed.mIdentity.mIncarnation.Next();
    PingMessage ping;
    ping.mSequence = 1;
    ping.mSelf = mVms[Other()];
    ping.mUpdates.push_back(changed);
    Deliver(ping.mSelf, ping);
  }

  /// A local VM other than the one under test.
  std::size_t Other() const { return mSelf == 0 ? 1 : 0; }

  void Answer(const std::vector<OutgoingSwimMessage>& aSends)
  {
    for (const auto& send : aSends) {
      mSent.Add(ToFleet(send.mMessage));
      const auto* ping = std::get_if<PingMessage>(&send.mMessage);
      if (!ping) {
        continue;
      }
      const auto& peer = mVms[mIndex.at(send.mTo)];
      AckMessage ack;
      ack.mSequence = ping->mSequence;
      ack.mSubject = peer;
      Deliver(peer, ack);
      // By symmetry this VM is probed as often as it probes.
      PingMessage probe;
      probe.mSequence = ping->mSequence;
      probe.mSelf = peer;
      Deliver(peer, probe);
    }
  }

  void Deliver(const MemberUpdate& aFrom, const SwimMessage& aMessage)
  {
    mReceived.Add(ToFleet(aMessage));
    const auto actions = mMembership.OnMessage(
      aFrom.mIdentity.mVm, aFrom.mIdentity.mIncarnation, aMessage, mNow);
    for (const auto& send : actions.mOutgoing) {
      mSent.Add(ToFleet(send.mMessage));
    }
  }

  std::size_t mSelf;
  TimePoint mNow{ std::chrono::seconds(1000) };
  RandomFn mRandom = SeededRandom(kSeed + 1);
  std::vector<MemberUpdate> mVms;
  std::map<VmId, std::size_t> mIndex;
  Traffic mSent;
  Traffic mReceived;
  Membership mMembership;
};

} // namespace wasabispar::capacity
