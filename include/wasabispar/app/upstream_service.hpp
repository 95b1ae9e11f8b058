/// @file
/// @brief Runs exchanges with upstreams: directly through the connections of this VM, or
/// through another VM that owns connections.
#pragma once

#include "wasabispar/app/app_context.hpp"
#include "wasabispar/base/hash.hpp"
#include "wasabispar/fleet/gossip_entry.hpp"
#include "wasabispar/fleet/ownership.hpp"
#include "wasabispar/net/connection_pool.hpp"
#include "wasabispar/net/platform_client.hpp"
#include "wasabispar/net/upstream_codec.hpp"
#include "wasabispar/upstream/crash_tracker.hpp"
#include "wasabispar/upstream/exchange_watch.hpp"
#include "wasabispar/upstream/snapshot_directory.hpp"
#include "wasabispar/upstream/upstream_table.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief A search of one shard on one upstream.
struct SubSearch
{
  UpstreamId mUpstream;
  SearchRequest mRequest;
  ProfileName mProfile;
  RequestFingerprint mFingerprint;
  TimePoint mDeadline;
  /// The request is suspected of crashing upstreams and needs the upstream alone.
  bool mIsolated = false;
};

/// @brief Hooks to the fleet. Called on any worker, without a lock held.
struct UpstreamServiceHooks
{
  /// Publishes a fact to the data centre.
  std::function<void(std::string aKey, std::string aValue, Duration aTtl)> mPublish;
  /// Runs an exchange through @p aOwner.
  std::function<void(std::uint64_t aHandle, const VmId& aOwner, const SubSearch&,
                     std::function<void(HttpExchangeResult)>)>
    mForward;
  /// A finding about a crashing request, own or from another VM.
  std::function<void(const CrashReport&)> mOnCrashFact;
  /// Gives up a forwarded exchange; unknown handles are ignored.
  std::function<void(std::uint64_t aHandle)> mForwardCancel;
  /// Asks @p aOwner for its newest state report of an upstream.
  std::function<void(const VmId& aOwner, const UpstreamId&,
                     std::function<void(std::string aBody)>)>
    mForwardState;
};

/// @brief State of an upstream for the operator port.
struct UpstreamStatus
{
  UpstreamView mView;
  std::uint32_t mAllowed = 0;
  std::uint32_t mOpen = 0;
  std::vector<VmId> mOwners;
};

/// @brief Owns UpstreamTable, SnapshotDirectory, ConnectionBudget, CrashTracker and the
/// connection pools. Thread-safe; each upstream is pinned to one worker.
class UpstreamService
{
public:
  using ReplyFn = std::function<void(SearchReply)>;

  UpstreamService(AppContext& aContext, UpstreamServiceHooks aHooks);
  ~UpstreamService();

  /// @brief Starts polling.
  void Start();
  /// @brief Closes all connections. Call it on no worker; it waits for the pools.
  void Stop();

  /// @brief Runs a search, through another VM if this one holds no share. @p aDone is
  /// called once on the worker of the upstream.
  void Search(std::uint64_t aHandle, SubSearch aSearch, ReplyFn aDone);
  /// @brief Runs a search that another VM forwarded; never forwards it again.
  void SearchForPeer(std::uint64_t aHandle, SubSearch aSearch,
                     std::function<void(HttpExchangeResult)> aDone);
  /// @brief Gives up a search.
  void Cancel(std::uint64_t aHandle, const UpstreamId& aUpstream);

  /// @brief Chooses an upstream of the index for a non-idempotent request; empty when
  /// none can be reached. Those in @p aTried are passed over.
  std::optional<UpstreamId> ChooseForExecute(const IndexName& aIndex,
                                             const std::vector<UpstreamId>& aTried);
  /// @brief Sends a non-idempotent request. @p aMayStillSend is called right before the
  /// first byte.
  void Execute(const UpstreamId& aUpstream, const ExecuteRequest& aRequest,
               RequestFingerprint aFingerprint, TimePoint aDeadline,
               std::function<bool(TimePoint)> aMayStillSend,
               std::function<void(HttpExchangeResult, bool aMayHaveBeenSent)> aDone);

  void OnInventory(const std::vector<PlatformUpstream>& aUpstreams);
  void OnView(const MemberView& aView);
  void OnPause(Duration aGap);
  /// @brief A fact from another VM with one of the prefixes of this service.
  void OnFact(const GossipEntry& aFact);
  /// @brief The newest state report of an upstream as received; empty when there is none.
  std::string LatestReport(const UpstreamId& aUpstream) const;

  const UpstreamTable& Table() const { return mTable; }
  const SnapshotDirectory& Directory() const { return mDirectory; }
  CrashTracker& Crashes() { return mCrashes; }
  /// @brief Whether each listed upstream has been asked for its state at least once.
  bool HasPolledAll() const;
  std::vector<UpstreamStatus> Status() const;
  std::uint64_t SearchesSent() const { return mSearchesSent; }

private:
  /// State of one worker, used on that worker only.
  struct Lane;
  /// What is known of an upstream outside its lane.
  struct Listed
  {
    PlatformUpstream mDeclaration;
    std::size_t mLane = 0;
    bool mIsPolled = false;
    std::string mReport;
  };

  AppContext& mContext;
  UpstreamServiceHooks mHooks;
  UpstreamTable mTable;
  SnapshotDirectory mDirectory;
  ConnectionBudget mBudget;
  CrashTracker mCrashes;
  std::atomic<std::uint64_t> mSearchesSent{ 0 };
  std::vector<std::unique_ptr<Lane>> mLanes;
  /// Guards mListed.
  mutable std::mutex mMutex;
  std::map<UpstreamId, Listed> mListed;

  Lane& LaneOf(const UpstreamId& aUpstream) const;
  void PostTo(const UpstreamId& aUpstream, std::function<void(Lane&)> aFn);
  void AddPool(const PlatformUpstream& aUpstream);
  void RemovePool(const UpstreamId& aUpstream);
  ConnectionPoolHooks PoolHooks(const UpstreamId& aUpstream);
  void Submit(Lane& aLane, std::uint64_t aHandle, const SubSearch& aSearch,
              std::function<void(HttpExchangeResult)> aDone);
  void OnSearchEnd(Lane& aLane, std::uint64_t aHandle, const SubSearch& aSearch,
                   TimePoint aStarted, const HttpExchangeResult& aResult);
  bool MayStart(std::uint64_t aHandle, const SubSearch& aSearch, TimePoint aNow);
  void OnStarted(Lane& aLane, std::uint64_t aHandle, const UpstreamId& aUpstream,
                 bool aIdempotent, std::uint64_t aConnection);
  void PollStates(Lane& aLane);
  void PollDirect(Lane& aLane, const UpstreamId& aUpstream);
  void PollForwarded(const UpstreamId& aUpstream, const VmId& aOwner);
  void OnReportBody(const UpstreamId& aUpstream, const std::string& aBody,
                    TimePoint aRequested);
  void RunWatchActions(Lane& aLane, const std::vector<WatchAction>& aActions);
  void Probe(Lane& aLane, const UpstreamId& aUpstream);
  void PublishLeaving(const UpstreamId& aUpstream);
  void PublishCrash(const std::vector<CrashReport>& aFacts);
};

} // namespace wasabispar
