/// @file
/// @brief Keeps the catalogue and the platform's inventory of this VM up to date.
#pragma once

#include "wasabispar/app/app_context.hpp"
#include "wasabispar/app/fleet_link.hpp"
#include "wasabispar/catalogue/catalogue.hpp"
#include "wasabispar/catalogue/config_sync.hpp"
#include "wasabispar/fleet/membership.hpp"
#include "wasabispar/net/platform_client.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace wasabispar {

/// @brief Hooks of ConfigService. Called on worker 0.
struct ConfigServiceHooks
{
  std::function<void(const PlatformInventory&)> mOnInventory;
};

/// @brief The catalogue revision of a VM, as it reported it.
struct ReportedRevision
{
  Revision mRevision;
  TimePoint mAt{};
};

/// @brief Owns the Catalogue, ConfigSync and the platform client. Functions without
/// another statement run on worker 0.
class ConfigService
{
public:
  ConfigService(AppContext& aContext, FleetLink& aLink, ConfigServiceHooks aHooks);
  ~ConfigService();

  /// @brief Reads the inventory and starts ConfigSync once peers are known.
  void Start();
  void Stop();

  /// @brief Handles catalogue and inventory messages; false for other messages.
  bool OnMessage(const FleetEnvelope& aEnvelope);
  void OnView(const MemberView& aView, bool aIsBridge, std::vector<VmId> aRemoteBridges);

  /// @brief Any thread.
  const Catalogue& Profiles() const { return mCatalogue; }
  /// @brief Whether the configuration was learnt, so that requests can be served. Any
  /// thread.
  bool IsStarted() const { return mIsStarted; }
  /// @brief How the start was completed. Any thread; empty before.
  std::string StartedBy() const;
  /// @brief Age of the last contact of the data centre with the platform; empty when
  /// there was none. Any thread.
  std::optional<Duration> PlatformAge() const;
  /// @brief Any thread.
  bool HasInventory() const { return mInventoryHash != 0; }
  std::uint64_t PlatformCalls() const { return mPlatform.Calls(); }
  /// @brief Asks all live VMs for their revision; the answers appear in Revisions().
  void AskRevisions();
  /// @brief The revision that each VM last reported.
  const std::map<VmId, ReportedRevision>& Revisions() const { return mRevisions; }
  bool IsWatcher() const { return mIsWatcher; }

private:
  AppContext& mContext;
  FleetLink& mLink;
  ConfigServiceHooks mHooks;
  PlatformClient mPlatform;
  Catalogue mCatalogue;
  ConfigSync mSync;
  ConfigPeers mPeers;
  /// Live VMs of the whole fleet without this one.
  std::vector<VmId> mOthers;
  std::map<VmId, ReportedRevision> mRevisions;
  bool mIsSyncStarted = false;
  std::atomic<bool> mIsStarted{ false };
  std::atomic<int> mStartSource{ -1 };
  std::atomic<bool> mIsWatcher{ false };
  /// Nanoseconds of BootClock of the last contact with the platform; 0 for none.
  std::atomic<std::int64_t> mContactAt{ 0 };

  std::atomic<std::uint64_t> mInventoryHash{ 0 };
  std::string mInventoryBody;
  TimePoint mInventoryAt{};
  TimePoint mNextInventoryAt{};
  TimePoint mLastOwnRead{};
  bool mIsReadingInventory = false;
  RandomFn mRandom;
  Subscription mTick;

  void Tick();
  void Run(const ConfigActions& aActions);
  void CallPlatform(PlatformCallId aCall, Revision aAfter, Duration aTimeout,
                    bool aWatch);
  void LogChange(const CatalogueChanged& aChange);
  void UpdateInventory();
  bool ReadsInventory() const;
  void ReadInventory();
  void OnInventoryBody(const std::string& aBody, TimePoint aAt);
  void OnInventoryPull(const VmId& aFrom, const InventoryPullMessage& aPull);
  void OnInventoryReply(const InventoryReplyMessage& aReply);
};

} // namespace wasabispar
