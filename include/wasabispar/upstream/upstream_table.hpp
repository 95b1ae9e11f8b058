/// @file
/// @brief What this VM knows about each upstream: state, versions and shards, latency,
/// slot limit, exchanges in flight.
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

/// @brief An upstream as the platform's list declares it.
struct UpstreamDeclaration
{
  UpstreamId mUpstream;
  IndexName mIndex;
  DataCentreId mDataCentre;
  /// `host:port`.
  std::string mAddress;
  bool mLeaving = false;
  std::uint32_t mConnectionLimit = 0;
};

/// @brief One index version as an upstream declares it.
struct DeclaredVersion
{
  SnapshotVersion mVersion;
  /// All shards of the version.
  std::vector<ShardId> mAllShards;
  /// The shards that the upstream holds.
  std::vector<ShardId> mHeldShards;

  bool operator==(const DeclaredVersion&) const = default;
};

/// @brief The reply to `GET /state`.
struct UpstreamReport
{
  IndexName mIndex;
  bool mDraining = false;
  std::vector<DeclaredVersion> mVersions;
  /// Searcher slots; 0 when unknown.
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
};

/// @brief The end of an exchange.
struct ExchangeEnd
{
  ExchangeStatus mStatus = ExchangeStatus::Ok;
  /// Time since the exchange started; for Cancelled the time until it was given up.
  Duration mLatency{};
  /// The version and shard that were asked for; empty for exchanges other than searches.
  SnapshotVersion mVersion;
  ShardId mShard;
  /// Whether the reply carried `Upstream-Draining`.
  bool mDrainingHeader = false;
};

/// @brief A copy of the state of one upstream.
struct UpstreamView
{
  UpstreamDeclaration mDeclaration;
  bool mLeaving = false;
  bool mSuspect = false;
  /// Versions of the newest report, without what later replies said is gone; empty
  /// before the first report.
  std::shared_ptr<const std::vector<DeclaredVersion>> mVersions;
  std::uint32_t mInFlight = 0;
  /// At least 1; includes slow start.
  std::uint32_t mSlotLimit = 1;
  /// Moving average of this VM's exchanges; zero before the first one.
  Duration mMeanLatency{};
  /// The share of its normal work that the upstream gets; 1000 after slow start.
  Permille mSlowStartWeight{ 1000 };
  /// Set while a suspect request runs there alone.
  bool mIsolated = false;
  std::optional<TimePoint> mLastReply;
  /// What `/load` said; a hint that counts only without own observations.
  Permille mLoadHint;
  /// What `/health` said; a hint that counts only without own observations.
  bool mHealthHint = true;
  /// Whether an own exchange ended within the observation window.
  bool mHasRecentObservation = false;
};

/// @brief Settings of UpstreamTable.
struct UpstreamTableOptions
{
  /// A new or returned upstream reaches its normal share of work after this time.
  Duration mSlowStart = std::chrono::seconds(10);
  /// The share of work at the begin of slow start.
  Permille mSlowStartInitialWeight{ 100 };
  /// Window of the latency quantiles, and the time that an own observation counts.
  Duration mObservationWindow = std::chrono::seconds(20);
  SlotLimiterOptions mSlots;
};

/// @brief State of all upstreams of this VM. Thread-safe.
///
/// Leaving: the first sign wins. Signs are the platform's list, a state report, a 503
/// or draining header, and a fact from another VM. An upstream that is leaving serves
/// again only when the platform's list does not say leaving and a state report that was
/// requested after the last sign says that it does not drain; a list that says `live`
/// is no proof, because it lags.
class UpstreamTable
{
public:
  /// A p95 of fewer samples than this is mostly chance.
  static constexpr std::uint64_t kMinIndexSamples = 20;

  explicit UpstreamTable(UpstreamTableOptions aOptions = {});
  ~UpstreamTable();

  /// @brief Adds or updates an upstream. One that is declared later than the first list
  /// starts slowly. Returns whether it became leaving by this, so
  /// that the caller can publish the fact; so do the other events that return bool.
  bool OnDeclared(const UpstreamDeclaration& aDeclaration, TimePoint aNow);
  /// @brief The platform's list no longer has the upstream.
  void OnRemoved(const UpstreamId& aUpstream);
  /// @brief A state report that was requested at @p aRequested. Reports that were
  /// requested before the newest one known are ignored, but for draining.
  bool OnReport(const UpstreamId& aUpstream, const UpstreamReport& aReport,
                TimePoint aRequested, TimePoint aNow);
  /// @brief Another VM published that the upstream is leaving. A fact with a version
  /// that is not higher than the last one is a repetition and no new sign.
  bool OnLeavingPublished(const UpstreamId& aUpstream, std::uint64_t aEntryVersion,
                          TimePoint aNow);
  void OnExchangeStarted(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief Each started exchange ends exactly once. A lost or failed connection makes
  /// the upstream suspect.
  bool OnExchangeEnded(const UpstreamId& aUpstream, const ExchangeEnd& aEnd,
                       TimePoint aNow);
  void OnSuspected(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief A probe that started at @p aStarted was answered.
  void OnProbeAnswered(const UpstreamId& aUpstream, TimePoint aStarted, TimePoint aNow);
  void OnHints(const UpstreamId& aUpstream, bool aHealthy, Permille aLoad);
  /// @brief Reserves the idle upstream for one suspect request; false when it is not idle
  /// or already reserved.
  bool TryIsolate(const UpstreamId& aUpstream);
  void EndIsolation(const UpstreamId& aUpstream);

  std::optional<UpstreamView> Find(const UpstreamId& aUpstream, TimePoint aNow) const;
  /// @brief All upstreams of the index, ordered by id.
  std::vector<UpstreamView> OfIndex(const IndexName& aIndex, TimePoint aNow) const;
  /// @brief All upstreams, ordered by id.
  std::vector<UpstreamView> All(TimePoint aNow) const;
  /// @brief Latency quantile over all upstreams of the index; empty with fewer than
  /// kMinIndexSamples samples in the observation window. Cancelled exchanges count with
  /// the time until they were given up, so that hedging does not lower the estimate.
  std::optional<Duration> IndexLatency(const IndexName& aIndex, Permille aQuantile,
                                       TimePoint aNow) const;
  /// @brief Latency quantile of one upstream; empty without samples.
  std::optional<Duration> Latency(const UpstreamId& aUpstream, Permille aQuantile,
                                  TimePoint aNow) const;
  /// @brief Changes whenever versions, leaving, suspect or the set of upstreams change,
  /// or an upstream answers after a silence.
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
