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
#include "wasabispar/routing/cold_limit.hpp"
#include "wasabispar/routing/cold_state.hpp"
#include "wasabispar/routing/connection_pressure.hpp"
#include "wasabispar/routing/crash_limiter.hpp"
#include "wasabispar/routing/extra_load_window.hpp"
#include "wasabispar/routing/in_flight_bytes.hpp"
#include "wasabispar/routing/outage_watch.hpp"
#include "wasabispar/routing/placement.hpp"
#include "wasabispar/routing/placement_scope.hpp"
#include "wasabispar/routing/quiet_period.hpp"
#include "wasabispar/routing/replica_load.hpp"
#include "wasabispar/routing/reported_load.hpp"
#include "wasabispar/routing/request_interval.hpp"
#include "wasabispar/routing/request_limit.hpp"
#include "wasabispar/routing/upstream_directory.hpp"
#include "wasabispar/routing/wait_queue.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace wasabispar {

/// @brief Where it was learned that an upstream is cold.
enum class ColdSource : std::uint8_t
{
  /// Its registry entry.
  Entry,
  /// A response of the upstream.
  Response,
  /// The registry added a new incarnation.
  Added,
  /// The evacuation of its data centre ended.
  EvacuationEnded,
  /// It can be reached again after an outage of its own, and may have restarted.
  Reconnected,
  /// It was known before, and a configuration now limits requests to cold upstreams.
  Configured,
};

/// @brief What is known of one upstream's cold times, and the requests sent to it.
/// Outlives the removal of the upstream's entry, which may lapse and be written again.
struct ColdUpstream
{
  ColdState mState;
  ColdLimit mLimit;
  OutageWatch mOutage;
};

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
  /// The data centre of the upstream is evacuated.
  bool mIsEvacuated = false;
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
  /// This VM's share of the limit that the upstream names.
  UpstreamRateShare mRateShare;
  /// Never null.
  std::shared_ptr<ColdUpstream> mCold;
  /// The load that the upstream states.
  ReportedLoad mReportedLoad;
  /// The last load that the upstream stated was malformed.
  bool mHasInvalidLoad = false;
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
    return mRecord.mState == UpstreamState::Serving && !mIsMisaddressed && !mIsEvacuated;
  }
  /// @brief Number of connections that should be closed.
  std::size_t ExcessConnections() const
  {
    const auto kept = mIsOverflow || mIsEvacuated ? mLoad.InFlight() : mMaxExchanges;
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
  /// This VM's shares of limits on the requests of all VMs; null while it may use none.
  /// If the function is empty, this VM has each limit alone.
  std::function<FleetRateSharePtr()> mRateShare;
  /// The requests per second that a cold upstream may get from all VMs, for what it can
  /// sustain. If the function is empty, both are equal.
  std::function<double(double aSustained)> mColdRate;
  /// Whether upstreams that are added now appeared while this VM was in service; if the
  /// function is empty, they did.
  std::function<bool()> mIsInService;
  /// Called when an upstream has become cold while its service limits requests to cold
  /// upstreams, with this VM's share.
  std::function<void(const Replica&, ColdSource, Duration aLeft, const RateShare&)>
    mOnCold;
  /// Runs the timers of the pool; null if it has none, so that requests which wait for a
  /// limited upstream are only started by Tick() and the end of exchanges.
  TimerService* mTimers = nullptr;
  /// Called when a connection to an upstream was opened, or could not be opened.
  std::function<void(const UpstreamIncarnation&, bool aIsOpened)> mOnConnectEnd;
  /// Connections that upstreams of all services refused; null if the pool shall open
  /// connections to other regions at any time.
  std::shared_ptr<ConnectionPressure> mConnectionPressure;
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

  /// @brief Applies the settings of the service.
  void Configure(const ServiceDefinition& aDefinition);
  /// @brief Replaces the budget for extra sends.
  void SetExtraLoad(const ExtraLoadOptions& aOptions);
  /// @brief Calls ServicePoolOptions::mConnectionQuotas and applies the result.
  void UpdateQuotas();
  /// @brief Adds, updates, replaces or removes an upstream. An added one has no quota
  /// until UpdateQuotas() is called; returns whether that is necessary.
  [[nodiscard]] bool OnChange(const UpstreamChange& aChange);
  /// @brief Marks the upstreams of these data centres, also those that are added later,
  /// as evacuated and all others as not evacuated. Does not start waiting requests.
  void SetEvacuated(const std::set<DataCentreId>& aDataCentres);
  /// @brief Number of upstreams in a data centre.
  std::size_t CountIn(const DataCentreId& aDataCentre) const;
  /// @brief Opens and closes connections and starts waiting requests. To be called
  /// periodically.
  void Tick();

  /// @brief Sets whether ChooseBalanced() decides also if no upstream states its load.
  void SetBalanced(bool aIsBalanced) { mIsBalanced = aIsBalanced; }
  /// @brief Whether ChooseBalanced() decides; otherwise ChooseCandidate().
  bool IsBalanced(TimePoint aNow) const;
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
  /// @brief A response of the upstream states that it stays cold for @p aLeft.
  void OnWarmupStated(Replica& aReplica, Duration aLeft, TimePoint aNow);
  /// @brief The evacuation of a data centre has ended: its upstreams count as cold for
  /// the warm-up of the service if the service limits requests to cold upstreams.
  void OnEvacuationEnded(const DataCentreId& aDataCentre, TimePoint aNow);
  /// @brief A connection to the upstream was opened, or could not be opened. Its entry
  /// may be read seconds after a restart, so an upstream that was out of reach while
  /// another one of the service was not counts as cold until its entry must have been
  /// read.
  void OnConnectEnd(const UpstreamId& aId, bool aIsOpened, TimePoint aNow);
  /// @brief The upstream with this id; null when there is none.
  ReplicaPtr Find(const UpstreamId& aId) const;
  /// @brief An upstream was chosen for an exchange, which is reserved from this VM's
  /// shares of its limits.
  void OnChosen(Replica& aReplica, ColdLimit::ExchangeId aExchange, TimePoint aNow);
  /// @brief Whether the first byte may be sent by the limit that the upstream names and
  /// the limit on cold upstreams. If so, the exchange is counted. To be followed by the
  /// end of the exchange; see OnExchangeEnd().
  bool MayStart(Replica& aReplica, ColdLimit::ExchangeId aExchange, TimePoint aNow);
  /// @brief An exchange has ended or was withdrawn. One that never started no longer
  /// counts against the limits.
  static void OnExchangeEnd(Replica& aReplica, ColdLimit::ExchangeId aExchange);
  /// @brief Whether each usable upstream in @p aRegions limits the requests that it
  /// takes, or is cold.
  bool IsLimited(const PermittedRegions& aRegions) const;
  /// @brief Time until the first upstream in @p aScope may get a request, if all of them
  /// are cold and at their limit; empty otherwise.
  std::optional<Duration> ColdWait(const PlacementScope& aScope, TimePoint aNow) const;
  /// @brief Expected time in the queue of a request that is added now and may be served
  /// in
  /// @p aRegions. @p aAnswerBy is the last time at which its answer is on time.
  Duration ExpectedWait(const PermittedRegions& aRegions, std::uint32_t aPriority,
                        TimePoint aAnswerBy, TimePoint aNow,
                        WaitRank aRank = WaitRank::Regular) const;

  /// @brief Starts waiting requests as far as upstreams are free.
  void DispatchQueue();
  /// @brief The requests that wait for a free upstream.
  WaitQueue& Queue() { return mQueue; }
  /// @brief The budget for extra sends.
  ExtraLoadWindow& ExtraLoad() { return mExtraLoad; }

private:
  /// This VM's shares of limits; null if it may use none.
  FleetRateSharePtr RateShareNow() const;
  /// This VM's share of the requests to a cold upstream.
  RateShare ColdShare(const Replica& aReplica) const;
  /// MayStart() by the limit on cold upstreams.
  bool MayStartCold(const Replica& aReplica, ColdLimit::ExchangeId aExchange,
                    TimePoint aNow);
  /// Whether requests to the upstream are limited because it is cold.
  bool IsColdLimited(const Replica& aReplica, TimePoint aNow) const;
  /// When the upstream may get a request by its own limit and as a cold one.
  TimePoint NextSendAt(const Replica& aReplica, TimePoint aNow) const;
  /// Requests per second that this VM may send to an upstream by its limits; empty if
  /// there is none.
  std::optional<double> LimitedRate(const Replica& aReplica, TimePoint aNow) const;
  /// How the limit that an upstream names is divided among the VMs.
  LimitDivision Divide(Replica& aReplica, double aPerSecond) const;
  /// Applies a change of the VMs that share limits, and forgets upstreams that are gone,
  /// no longer cold, and whose requests no longer count.
  void UpdateShares(TimePoint aNow);
  /// The cold times of an upstream, also of earlier incarnations and lapsed entries.
  std::shared_ptr<ColdUpstream> ColdUpstreamOf(const UpstreamId& aId);
  /// An upstream was added, or its entry is about to change to @p aRecord.
  void OnAdded(Replica& aReplica, TimePoint aNow);
  void OnEntry(Replica& aReplica, const UpstreamRecord& aRecord, TimePoint aNow);
  /// Applies a change of the service's settings for cold upstreams.
  void SetColdBound(const ColdBound& aBound, TimePoint aNow);
  /// Reports an upstream that was not cold before if the service limits requests to cold
  /// ones.
  void ReportCold(const Replica& aReplica, bool aWasCold, ColdSource aSource,
                  TimePoint aNow) const;
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
  /// Sets what follows from the data centre of an upstream.
  void UpdateLocation(Replica& aReplica);
  /// Updates the mark of an upstream from mEvacuated.
  void MarkEvacuated(Replica& aReplica);
  /// Whether connections to other regions are left to the VMs there.
  bool IsUnderConnectionPressure(TimePoint aNow) const;
  /// The mIndex of the candidate for the next request; empty when all are at a limit.
  std::optional<std::size_t> ChooseIndex(std::vector<ReplicaCandidate> aCandidates,
                                         TimePoint aNow) const;
  /// Expects the same response time of upstreams that have not answered yet as of the
  /// others at the same distance.
  void AssumeLatencies(TimePoint aNow);
  /// The usable and reachable upstreams in the scope. Each choice for a request is made
  /// among them.
  std::vector<ReplicaCandidate> Candidates(const PlacementScope& aScope,
                                           TimePoint aNow) const;

  boost::asio::io_context& mContext;
  ServicePoolOptions mOptions;
  /// Connections that one upstream accepts from all VMs together.
  std::uint32_t mMaxConnections = 1;
  ColdBound mColdBound;
  std::map<UpstreamId, std::shared_ptr<ColdUpstream>> mColdUpstreams;
  /// The shares of the last UpdateShares().
  FleetRateSharePtr mRateShare;
  std::vector<ReplicaPtr> mReplicas;
  std::set<DataCentreId> mEvacuated;
  WaitQueue mQueue;
  RandomFn mRandom;
  ExtraLoadWindow mExtraLoad;
  RequestInterval mRequestInterval;
  bool mIsBalanced = false;
  /// For DispatchLater().
  Subscription mDispatchTimer;
};

} // namespace wasabispar
