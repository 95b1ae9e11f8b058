/// @file
/// @brief The upstreams of one service as this VM uses them: connections, observed load,
/// waiting requests and the budget for extra sends.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/fleet/regional_quota.hpp"
#include "wasabispar/net/connection_pool.hpp"
#include "wasabispar/routing/extra_load_window.hpp"
#include "wasabispar/routing/placement.hpp"
#include "wasabispar/routing/replica_load.hpp"
#include "wasabispar/routing/upstream_directory.hpp"
#include "wasabispar/routing/wait_queue.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace wasabispar {

/// @brief One upstream. Lives as long as an exchange with it runs, also when the registry
/// has removed it.
struct Replica
{
  UpstreamRecord mRecord;
  bool mIsRemote = false;
  /// It answered that another upstream has its address.
  bool mIsMisaddressed = false;
  /// Exchanges and connections that this VM may have there; 0 when other VMs have all.
  std::size_t mLimit = 1;
  std::size_t mConnections = 0;
  /// Connections that are kept open without traffic.
  std::size_t mMinConnections = 0;
  ReplicaLoad mLoad;
  std::shared_ptr<ConnectionPool> mPool;

  explicit Replica(Duration aInitial)
    : mLoad(aInitial)
  {
  }
  bool IsUsable() const
  {
    return mRecord.mState == UpstreamState::Serving && !mIsMisaddressed;
  }
  /// No connection is open and the last try to open one failed. The pool keeps trying.
  bool IsUnreachable() const
  {
    return mLoad.IsUnreachable() && mPool->Status().mOpenConnections == 0;
  }
};

using ReplicaPtr = std::shared_ptr<Replica>;

/// @brief Settings of ServicePool.
struct ServicePoolOptions
{
  /// Whether a data centre lies in another region than this VM.
  std::function<bool(const DataCentreId&)> mIsRemote;
  ExtraLoadOptions mExtraLoad;
  /// The share of this VM in the connections of each upstream of a service, in their
  /// order. Each accepts @p aMax in all. Without it this VM uses all of them.
  std::function<std::vector<ConnectionQuota>(const std::vector<UpstreamRecord>&,
                                             std::uint32_t aMax)>
    mConnectionQuotas;
};

/// @brief The result of looking for an upstream.
struct PlacementResult
{
  enum class Kind : std::uint8_t
  {
    Found,
    /// All usable upstreams are at their limit.
    Busy,
    /// There is no usable upstream.
    None,
  };
  Kind mKind = Kind::None;
  ReplicaPtr mReplica;
};

/// @brief All upstreams of a service. Used on one worker.
class ServicePool
{
public:
  ServicePool(boost::asio::io_context& aContext, ServicePoolOptions aOptions);
  ~ServicePool();

  /// @brief Connections that one upstream accepts in all.
  void SetMaxConnections(std::uint32_t aMax);
  void SetExtraLoad(const ExtraLoadOptions& aOptions);
  /// @brief Asks mConnectionQuotas again.
  void UpdateQuotas();
  void OnChange(const UpstreamChange& aChange);
  /// @brief Opens warm connections and starts waiting requests.
  void Tick();

  /// @brief The best upstream that is not among @p aTried.
  PlacementResult Choose(const std::vector<UpstreamId>& aTried, TimePoint aNow) const;
  /// @brief Expected response time of the best upstream that is not among @p aTried;
  /// empty when there is none.
  std::optional<Duration> BestExpectedLatency(const std::vector<UpstreamId>& aTried,
                                              TimePoint aNow) const;
  /// @brief Number of usable upstreams that can be reached.
  std::size_t UsableCount() const;
  /// @brief Expected wait of a request that joins the queue now.
  Duration ExpectedWait(std::uint32_t aPriority, TimePoint aAnswerBy,
                        TimePoint aNow) const;

  WaitQueue& Queue() { return mQueue; }
  ExtraLoadWindow& ExtraLoad() { return mExtraLoad; }

private:
  ReplicaPtr Create(const UpstreamRecord& aRecord);
  void Retire(const ReplicaPtr& aReplica);
  ReplicaPtr Find(const UpstreamId& aId) const;
  std::vector<ReplicaCandidate> Candidates(const std::vector<UpstreamId>& aTried,
                                           TimePoint aNow) const;

  boost::asio::io_context& mContext;
  ServicePoolOptions mOptions;
  std::uint32_t mMaxConnections = 1;
  std::vector<ReplicaPtr> mReplicas;
  WaitQueue mQueue;
  ExtraLoadWindow mExtraLoad;
};

} // namespace wasabispar
