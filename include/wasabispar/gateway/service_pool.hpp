/// @file
/// @brief The upstreams of one service as used by this VM: their connections and observed
/// load, the queue of waiting requests and the budget for extra sends.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/random.hpp"
#include "wasabispar/base/timer_service.hpp"
#include "wasabispar/fleet/regional_quota.hpp"
#include "wasabispar/net/connection_pool.hpp"
#include "wasabispar/routing/crash_limiter.hpp"
#include "wasabispar/routing/extra_load_window.hpp"
#include "wasabispar/routing/in_flight_bytes.hpp"
#include "wasabispar/routing/placement.hpp"
#include "wasabispar/routing/placement_scope.hpp"
#include "wasabispar/routing/quiet_period.hpp"
#include "wasabispar/routing/replica_load.hpp"
#include "wasabispar/routing/request_interval.hpp"
#include "wasabispar/routing/request_limit.hpp"
#include "wasabispar/routing/upstream_directory.hpp"
#include "wasabispar/routing/wait_queue.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace wasabispar {

/// @brief One upstream of a service. Exchanges share the ownership, so that a removed
/// upstream stays valid until its last exchange has ended.
struct Replica
{
  UpstreamRecord mRecord;
  /// The region of the upstream; empty if it is unknown.
  RegionId mRegion;
  /// Whether the upstream is in another region than this VM.
  bool mIsRemote = false;
  /// A response stated that another upstream has the address now.
  bool mIsMisaddressed = false;
  /// Maximum number of exchanges, and of connections, of this VM with the upstream. 0
  /// when the connections are all assigned to other VMs.
  std::size_t mMaxExchanges = 1;
  /// This VM has no quota of the upstream and may only overflow it: mMaxExchanges is 1,
  /// and the connection closes after the exchange.
  bool mIsOverflow = false;
  /// Connections that are open or being opened.
  std::size_t mConnections = 0;
  /// Connections that are kept open without traffic.
  std::size_t mMinConnections = 0;
  ReplicaLoad mLoad;
  /// The upstream asked to get nothing from this VM for a while.
  QuietPeriod mQuietPeriod;
  /// The requests a second that the upstream takes from all VMs.
  RequestLimit mRequestLimit;
  /// The large requests of this VM that are in flight to the upstream.
  InFlightBytes mLargeRequests;
  std::shared_ptr<ConnectionPool> mConnectionPool;
  /// Probes the upstream after a lost exchange.
  Subscription mProbeTimer;

  /// @param aInitial expected response time before the first sample.
  explicit Replica(Duration aInitial)
    : mLoad(aInitial)
  {
  }
  /// @brief The run of the upstream's process that the registry names.
  UpstreamIncarnation Incarnation() const
  {
    return { mRecord.mId, mRecord.mStartedUnixMs };
  }
  /// @brief Whether the upstream accepts new requests.
  bool IsUsable() const
  {
    return mRecord.mState == UpstreamState::Serving && !mIsMisaddressed;
  }
  /// @brief Number of connections that should be closed.
  std::size_t ExcessConnections() const
  {
    const auto kept = mIsOverflow ? mLoad.InFlight() : mMaxExchanges;
    return mConnections > kept ? mConnections - kept : 0;
  }
  /// @brief Number of exchanges that may run at @p aNow at the same time.
  std::size_t MaxExchanges(TimePoint aNow) const
  {
    return mQuietPeriod.MaxExchanges(mMaxExchanges, aNow);
  }
  /// @brief Whether no connection is open and the last attempt to open one failed. The
  /// connection pool continues to try.
  bool IsUnreachable() const
  {
    return mLoad.IsUnreachable() && mConnectionPool->Status().mOpenConnections == 0;
  }
};

using ReplicaPtr = std::shared_ptr<Replica>;

/// @brief Settings of ServicePool.
struct ServicePoolOptions
{
  /// Whether a data centre lies in another region than this VM.
  std::function<bool(const DataCentreId&)> mIsRemote;
  /// The region of a data centre; empty if it is unknown. If the function is empty, all
  /// regions are unknown.
  std::function<RegionId(const DataCentreId&)> mRegionOf;
  /// Budget for extra sends to the service.
  ExtraLoadOptions mExtraLoad;
  /// The connection quotas of this VM for the given upstreams, in the same order. Each
  /// upstream accepts @p aMax connections from all VMs together. When the function is
  /// empty, this VM uses all connections.
  std::function<std::vector<ConnectionQuota>(const std::vector<UpstreamRecord>&,
                                             std::uint32_t aMax)>
    mConnectionQuotas;
  /// Number of VMs that share the request limit of an upstream, at least 1. If empty,
  /// this VM has it alone.
  std::function<std::size_t()> mVmCount;
  /// Runs the timers of the pool; null if it has none, so that requests which wait for a
  /// limited upstream are only started by Tick() and the end of exchanges.
  TimerService* mTimers = nullptr;
  /// Called when a connection to an upstream was opened, or could not be opened.
  std::function<void(const UpstreamIncarnation&, bool aIsOpened)> mOnConnectEnd;
  /// Bounds the answers of all services that are being read at the same time.
  std::shared_ptr<ByteBudget> mResponseBudget;
  /// Whether answers count in mResponseBudget until they are passed on, and not only
  /// while they are read.
  bool mCountsHeldAnswers = false;
  /// Bytes of large requests that this VM may have in flight to one upstream. If empty,
  /// they are not bounded.
  std::function<std::uint64_t()> mLargeRequestShare;
};

/// @brief The result of ServicePool::Choose().
struct PlacementResult
{
  enum class Kind : std::uint8_t
  {
    /// mReplica is the chosen upstream.
    Found,
    /// All usable upstreams are at their limit of exchanges, of requests a second or of
    /// bytes in flight.
    Busy,
    /// There is no usable upstream.
    None,
  };
  Kind mKind = Kind::None;
  /// Null unless mKind is Found.
  ReplicaPtr mReplica;
};

/// @brief All upstreams of one service. All functions must be called on one worker.
class ServicePool
{
public:
  ServicePool(boost::asio::io_context& aContext, ServicePoolOptions aOptions);
  ~ServicePool();

  /// @brief Sets how many connections one upstream accepts from all VMs together.
  void SetMaxConnections(std::uint32_t aMax);
  /// @brief Replaces the budget for extra sends.
  void SetExtraLoad(const ExtraLoadOptions& aOptions);
  /// @brief Calls ServicePoolOptions::mConnectionQuotas and applies the result.
  void UpdateQuotas();
  /// @brief Adds, updates, replaces or removes an upstream. An added one has no quota
  /// until UpdateQuotas() is called; returns whether that is necessary.
  [[nodiscard]] bool OnChange(const UpstreamChange& aChange);
  /// @brief Opens and closes connections and starts waiting requests. To be called
  /// periodically.
  void Tick();

  /// @brief A request, or a part of one, arrived for the service.
  void OnRequest(TimePoint aNow);
  /// @brief Chooses the best usable upstream in @p aScope.
  PlacementResult Choose(const PlacementScope& aScope, TimePoint aNow) const;
  /// @brief The lowest PlacementCost() of the usable upstreams in @p aScope, also of
  /// those at their limit of exchanges; empty when there is none.
  std::optional<Duration> BestExpectedLatency(const PlacementScope& aScope,
                                              TimePoint aNow) const;
  /// @brief Number of usable upstreams in @p aRegions that are reachable and to which
  /// this VM may connect. Those that asked for quiet count.
  std::size_t UsableCount(const PermittedRegions& aRegions) const;
  /// @brief Time after which a caller should return if all usable upstreams in @p
  /// aRegions asked for quiet: until the first of them may get a request, and up to a
  /// quarter more at random, so that the callers do not all return together. Empty
  /// otherwise.
  std::optional<Duration> ReturnDelay(const PermittedRegions& aRegions,
                                      TimePoint aNow) const;
  /// @brief The upstream asked to get nothing from this VM for @p aTime.
  void OnQuietRequested(Replica& aReplica, Duration aTime, TimePoint aNow);
  /// @brief An answer of the upstream names this limit, or none; returns whether the
  /// limit has changed. @p aSentAt is when the answered request was sent.
  bool OnRequestLimit(Replica& aReplica, std::optional<double> aPerSecond,
                      TimePoint aSentAt, TimePoint aNow);
  /// @brief Whether each usable upstream in @p aRegions limits the requests that it
  /// takes.
  bool IsLimited(const PermittedRegions& aRegions) const;
  /// @brief Expected time in the queue of a request that is added now and may be served
  /// in
  /// @p aRegions. @p aAnswerBy is the last time at which its answer is on time.
  Duration ExpectedWait(const PermittedRegions& aRegions, std::uint32_t aPriority,
                        TimePoint aAnswerBy, TimePoint aNow) const;

  /// @brief Starts waiting requests as far as upstreams are free.
  void DispatchQueue();
  /// @brief The requests that wait for a free upstream.
  WaitQueue& Queue() { return mQueue; }
  /// @brief The budget for extra sends.
  ExtraLoadWindow& ExtraLoad() { return mExtraLoad; }

private:
  /// Applies the quota of this VM to an upstream.
  static void ApplyQuota(Replica& aReplica, const ConnectionQuota& aQuota);
  /// Starts waiting requests again when a limited upstream may get the next request.
  void DispatchLater(TimePoint aNow);
  /// When the first of the usable upstreams in the regions may get a request by its
  /// request limit.
  std::optional<TimePoint> NextSendAt(const PermittedRegions& aRegions,
                                      TimePoint aNow) const;
  /// When the first of the usable upstreams in the regions may get a request, if all of
  /// them asked for quiet; empty otherwise.
  std::optional<TimePoint> QuietUntil(const PermittedRegions& aRegions,
                                      TimePoint aNow) const;
  /// The callbacks of the connection pool of an upstream.
  ConnectionPoolHooks MakePoolHooks(const std::weak_ptr<Replica>& aReplica) const;
  /// Creates an upstream with its connection pool.
  ReplicaPtr Create(const UpstreamRecord& aRecord);
  /// Removes an upstream. Its running exchanges may finish.
  void Retire(const ReplicaPtr& aReplica);
  /// Withdraws the requests that wait for a connection to the upstream, so that they are
  /// placed again.
  void WithdrawQueued(Replica& aReplica);
  /// The upstream with this id; null when there is none.
  ReplicaPtr Find(const UpstreamId& aId) const;
  /// The usable and reachable upstreams in the scope. Each choice for a request is made
  /// among them.
  std::vector<ReplicaCandidate> Candidates(const PlacementScope& aScope,
                                           TimePoint aNow) const;

  boost::asio::io_context& mContext;
  ServicePoolOptions mOptions;
  /// Connections that one upstream accepts from all VMs together.
  std::uint32_t mMaxConnections = 1;
  std::vector<ReplicaPtr> mReplicas;
  WaitQueue mQueue;
  ExtraLoadWindow mExtraLoad;
  RequestInterval mRequestInterval;
  RandomFn mRandom;
  /// For DispatchLater().
  Subscription mDispatchTimer;
};

} // namespace wasabispar
