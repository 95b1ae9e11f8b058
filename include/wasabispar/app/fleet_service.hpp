/// @file
/// @brief Membership and facts of this VM: feeds the state machines with messages and
/// time, and carries out their actions.
#pragma once

#include "wasabispar/app/app_context.hpp"
#include "wasabispar/app/fleet_link.hpp"
#include "wasabispar/execution/execution_router.hpp"
#include "wasabispar/fleet/gossip_store.hpp"
#include "wasabispar/fleet/membership.hpp"
#include "wasabispar/net/platform_client.hpp"

#include <functional>
#include <memory>
#include <string>

namespace wasabispar {

/// @brief Hooks of FleetService. Called on worker 0, without a lock held.
struct FleetServiceHooks
{
  std::function<void(const MemberView&)> mOnView;
  /// Called with each fact that this process did not publish, also with those of an
  /// earlier process of this VM.
  std::function<void(const GossipEntry&)> mOnFact;
  std::function<void(Duration aGap)> mOnPause;
  /// A newer incarnation of this VM runs; this process must stop.
  std::function<void()> mOnSuperseded;
};

/// @brief Owns Membership and GossipStore. Functions without another statement run on
/// worker 0.
class FleetService
{
public:
  FleetService(AppContext& aContext, FleetLink& aLink, FleetServiceHooks aHooks);
  ~FleetService();

  /// @brief Starts probing; the link must have started.
  void Start();
  /// @brief Stops the timers.
  void Stop();
  /// @brief Announces that this VM takes no new work.
  void Leave();

  /// @brief Handles membership messages and facts; false for other messages.
  bool OnMessage(const FleetEnvelope& aEnvelope);
  void OnInventory(const PlatformInventory& aInventory);

  /// @brief Publishes a fact. Any thread.
  void Publish(std::string aKey, std::string aValue, Duration aTtl);
  /// @brief What this VM believes about the issuer of a ticket. Any thread.
  IssuerState StateOf(const TicketIssuer& aIssuer) const;
  /// @brief The fleet address of a VM, empty when it is unknown. Any thread.
  std::string AddressOf(const VmId& aVm) const;
  /// @brief Any thread.
  bool Accepts(const VmId& aVm, Incarnation aIncarnation, std::string_view aIp) const;
  /// @brief Any thread.
  std::shared_ptr<const MemberView> View() const;
  const Membership& Members() const { return *mMembership; }
  const GossipStore& Facts() const { return mGossip; }

private:
  AppContext& mContext;
  FleetLink& mLink;
  FleetServiceHooks mHooks;
  /// Created by Start(), when the fleet port is known.
  std::unique_ptr<Membership> mMembership;
  GossipStore mGossip;
  std::uint64_t mSeenEpoch = 0;
  Subscription mTick;
  Subscription mPause;

  void Run(MembershipActions aActions);
  void Run(GossipActions aActions);
  void OnViewChanged();
  void OnSwim(const FleetEnvelope& aEnvelope, const SwimMessage& aMessage);
  void LogChange(const MemberChange& aChange);
};

} // namespace wasabispar
