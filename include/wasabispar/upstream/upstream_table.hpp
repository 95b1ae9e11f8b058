/// @file
/// @brief Table of the state of each upstream as this VM observes it: versions and
/// shards, latency, slot limit, exchanges in flight.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"
#include "wasabispar/upstream/exchange_status.hpp"
#include "wasabispar/upstream/latency_estimator.hpp"
#include "wasabispar/upstream/slot_limiter.hpp"

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabispar {

/// @brief One entry of the platform's list of upstreams.
struct UpstreamDeclaration
{
  UpstreamId mUpstream;
  IndexName mIndex;
  DataCentreId mDataCentre;
  /// `host:port`.
  std::string mAddress;
  /// The platform announces that the upstream will stop.
  bool mLeaving = false;
  /// Connections that the upstream accepts from all VMs together.
  std::uint32_t mConnectionLimit = 0;
};

/// @brief One index version in the state report of an upstream.
struct DeclaredVersion
{
  SnapshotVersion mVersion;
  /// All shards of the version.
  std::vector<ShardId> mAllShards;
  /// The shards that the upstream holds.
  std::vector<ShardId> mHeldShards;

  bool operator==(const DeclaredVersion&) const = default;
};

/// @brief The state report of an upstream, its reply to `GET /state`.
struct UpstreamReport
{
  IndexName mIndex;
  /// The upstream is about to stop and accepts no new work.
  bool mDraining = false;
  std::vector<DeclaredVersion> mVersions;
  /// Searches that the upstream runs at the same time; 0 when unknown.
  std::uint32_t mSlots = 0;
  /// Connections that the upstream accepts from all VMs together.
  std::uint32_t mConnections = 0;
};

/// @brief The end of an exchange.
struct ExchangeEnd
{
  ExchangeStatus mStatus = ExchangeStatus::Ok;
  /// Time from the start to the end of the exchange; for Cancelled, to its cancellation.
  Duration mLatency{};
  /// The requested version and shard; empty for exchanges other than searches.
  SnapshotVersion mVersion;
  ShardId mShard;
  /// Whether the reply carried `Upstream-Draining`.
  bool mDrainingHeader = false;
};

/// @brief A copy of the state of one upstream.
struct UpstreamView
{
  UpstreamDeclaration mDeclaration;
  /// A sign of leaving is in effect; see UpstreamTable.
  bool mLeaving = false;
  /// A connection or probe failed or a connection was lost, and the upstream has not
  /// answered a later probe or state request.
  bool mSuspect = false;
  /// Versions of the newest report without the versions and shards that later replies
  /// reported as gone; empty before the first report.
  std::shared_ptr<const std::vector<DeclaredVersion>> mVersions;
  std::uint32_t mInFlight = 0;
  /// Exchanges that may be in flight, reduced by slow start; at least 1.
  std::uint32_t mSlotLimit = 1;
  /// Moving average of the latency of this VM's exchanges; zero before the first one.
  Duration mMeanLatency{};
  /// Fraction of its normal work that the upstream gets; 1000 after slow start.
  Permille mSlowStartWeight{ 1000 };
  /// The upstream is reserved for a suspect request; see UpstreamTable::TryIsolate().
  bool mIsolated = false;
  /// Time of the last reply of any kind; empty before the first one.
  std::optional<TimePoint> mLastReply;
  /// Load that the upstream reported at `/load`; used only without own observations.
  Permille mLoadHint;
  /// Health that the upstream reported at `/health`; used only without own observations.
  bool mHealthHint = true;
  /// Whether an exchange of this VM ended within the observation window.
  bool mHasRecentObservation = false;
};

/// @brief Settings of UpstreamTable.
struct UpstreamTableOptions
{
  /// Duration of the slow start of a new or recovered upstream.
  Duration mSlowStart = std::chrono::seconds(10);
  /// Fraction of its normal work that an upstream gets at the begin of slow start.
  Permille mSlowStartInitialWeight{ 100 };
  /// Window of the latency quantiles, and the time for which an own observation counts.
  Duration mObservationWindow = std::chrono::seconds(20);
  SlotLimiterOptions mSlots;
};

/// @brief State of all upstreams of this VM. Thread-safe.
///
/// The first sign that an upstream is leaving excludes it. Signs are the platform's list,
/// a state report, a 503 or `Upstream-Draining` header, and a gossip entry of another VM.
/// An upstream that is leaving gets work again only when the platform's list does not
/// declare it as leaving and a state report that was requested after the last sign
/// reports that it does not drain. The list alone is not sufficient, because it lags.
class UpstreamTable
{
public:
  /// A p95 of fewer samples than this is mostly chance.
  static constexpr std::uint64_t kMinIndexSamples = 20;

  explicit UpstreamTable(UpstreamTableOptions aOptions = {});
  ~UpstreamTable();

  /// @brief Adds or updates an upstream. An upstream that the first list did not declare
  /// begins with slow start.
  /// @return whether this event changed the upstream to leaving, so that the owner can
  /// publish the change.
  bool OnDeclared(const UpstreamDeclaration& aDeclaration, TimePoint aNow);
  /// @brief Removes an upstream that the platform's list no longer contains.
  void OnRemoved(const UpstreamId& aUpstream);
  /// @brief Handles a state report that was requested at @p aRequested. If a report that
  /// was requested later has already arrived, only the draining state counts.
  /// @return whether this event changed the upstream to leaving.
  bool OnReport(const UpstreamId& aUpstream, const UpstreamReport& aReport,
                TimePoint aRequested, TimePoint aNow);
  /// @brief Another VM published that the upstream is leaving. A gossip entry whose
  /// version is not higher than the last one is a repetition and no new sign.
  /// @return whether this event changed the upstream to leaving.
  bool OnLeavingPublished(const UpstreamId& aUpstream, std::uint64_t aEntryVersion,
                          TimePoint aNow);
  /// @brief Counts an exchange as in flight.
  void OnExchangeStarted(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief Records the end of an exchange; call exactly once for each started exchange.
  /// A lost or failed connection makes the upstream suspect.
  /// @return whether this event changed the upstream to leaving.
  bool OnExchangeEnded(const UpstreamId& aUpstream, const ExchangeEnd& aEnd,
                       TimePoint aNow);
  /// @brief Marks the upstream suspect for a reason other than the end of an exchange.
  void OnSuspected(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief The upstream answered a probe that started at @p aStarted. Ends the suspicion
  /// if the probe started after the last failure.
  void OnProbeAnswered(const UpstreamId& aUpstream, TimePoint aStarted, TimePoint aNow);
  /// @brief Records the health and load that the upstream reports about itself.
  void OnHints(const UpstreamId& aUpstream, bool aHealthy, Permille aLoad);
  /// @brief Reserves the idle upstream for one suspect request; false when it is not idle
  /// or already reserved.
  bool TryIsolate(const UpstreamId& aUpstream);
  /// @brief Ends the reservation that TryIsolate() made.
  void EndIsolation(const UpstreamId& aUpstream);

  /// @brief The current state of one upstream; empty for an unknown one.
  std::optional<UpstreamView> Find(const UpstreamId& aUpstream, TimePoint aNow) const;
  /// @brief All upstreams of the index, ordered by id.
  std::vector<UpstreamView> OfIndex(const IndexName& aIndex, TimePoint aNow) const;
  /// @brief All upstreams, ordered by id.
  std::vector<UpstreamView> All(TimePoint aNow) const;
  /// @brief Latency quantile over all upstreams of the index; empty with fewer than
  /// kMinIndexSamples samples in the observation window. Cancelled exchanges count with
  /// the time to their cancellation, so that hedging does not lower the estimate.
  std::optional<Duration> IndexLatency(const IndexName& aIndex, Permille aQuantile,
                                       TimePoint aNow) const;
  /// @brief Latency quantile of one upstream; empty without samples.
  std::optional<Duration> Latency(const UpstreamId& aUpstream, Permille aQuantile,
                                  TimePoint aNow) const;
  /// @brief A number that grows whenever the set of upstreams or the versions, leaving or
  /// suspect state of an upstream changes, and when an upstream replies after a silence.
  /// Tells whether a cached view is still valid.
  std::uint64_t Generation() const;

private:
  struct Entry;
  struct LockStripe;
  static constexpr std::size_t kStripeCount = 16;

  LockStripe& StripeOf(const UpstreamId& aUpstream) const;
  template<class Fn>
  auto WithEntry(const UpstreamId& aUpstream, Fn&& aFn) const;
  void IncrementGeneration() { mGeneration.fetch_add(1, std::memory_order_acq_rel); }
  void OnAnswered(Entry& aEntry, TimePoint aNow);
  bool MarkLeaving(Entry& aEntry, TimePoint aNow);
  void MarkSuspect(Entry& aEntry, bool aRestarted, TimePoint aNow);
  void ClearSuspect(Entry& aEntry, TimePoint aStarted, TimePoint aNow);
  void RemoveGoneShards(Entry& aEntry, const ExchangeEnd& aEnd);
  UpstreamView ViewOf(const Entry& aEntry, TimePoint aNow) const;

  UpstreamTableOptions mOptions;
  std::array<std::unique_ptr<LockStripe>, kStripeCount> mStripes;
  std::atomic<std::uint64_t> mGeneration{ 1 };
  /// When the first upstream was declared; TimePoint::min() before.
  std::atomic<TimePoint> mFirstDeclaredAt{ TimePoint::min() };
};

} // namespace wasabispar
