/// @file
/// @brief State of all upstreams, in stripes by id with a lock each.
#include "wasabispar/upstream/upstream_table.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace {

/// A new sample has the weight 1/8 in the moving average of the latency. The average then
/// follows a change within about ten exchanges and damps single stragglers.
constexpr int kMeanLatencyDivisor = 8;

/// Upstreams declared within this time of the first one belong to the first list.
constexpr Duration kFirstListWindow = std::chrono::seconds(1);

/// A reply after a longer silence changes the generation, so that cached views at once
/// count the upstream as usable again. Must be below
/// SnapshotDirectoryOptions::mMaxReplyAge.
constexpr Duration kSilenceThreshold = std::chrono::seconds(3);

} // namespace

struct UpstreamTable::Entry
{
  explicit Entry(const UpstreamTableOptions& aOptions)
    : mSlots(aOptions.mSlots)
    , mLatency(aOptions.mObservationWindow)
  {
  }

  UpstreamDeclaration mDeclaration;
  /// Time of the last sign of leaving; empty while the upstream is not leaving.
  std::optional<TimePoint> mLastLeavingSign;
  /// Time of the last failure; empty while the upstream is not suspect.
  std::optional<TimePoint> mLastFailure;
  /// Whether a connection attempt failed since the upstream became suspect. If so, the
  /// upstream has probably been restarted.
  bool mRestarted = false;
  /// Version of the newest gossip entry that published the leaving.
  std::uint64_t mLeavingEntryVersion = 0;
  /// When the newest report was requested.
  std::optional<TimePoint> mReportRequested;
  std::shared_ptr<const std::vector<DeclaredVersion>> mVersions =
    std::make_shared<const std::vector<DeclaredVersion>>();
  std::uint32_t mInFlight = 0;
  SlotLimiter mSlots;
  LatencyEstimator mLatency;
  Duration mMeanLatency{};
  TimePoint mSlowStartBegin;
  bool mIsolated = false;
  std::optional<TimePoint> mLastReply;
  std::optional<TimePoint> mLastExchange;
  Permille mLoadHint;
  bool mHealthHint = true;
};

struct UpstreamTable::LockStripe
{
  /// Guards mEntries and mIndexLatencies.
  mutable std::mutex mMutex;
  std::unordered_map<UpstreamId, Entry> mEntries;
  /// Latencies of the upstreams of this stripe, by index.
  std::map<IndexName, LatencyEstimator> mIndexLatencies;
};

UpstreamTable::UpstreamTable(UpstreamTableOptions aOptions)
  : mOptions(aOptions)
{
  for (auto& stripe : mStripes) {
    stripe = std::make_unique<LockStripe>();
  }
}

UpstreamTable::~UpstreamTable() = default;

UpstreamTable::LockStripe&
UpstreamTable::StripeOf(const UpstreamId& aUpstream) const
{
  return *mStripes[std::hash<UpstreamId>{}(aUpstream) % kStripeCount];
}

/// Calls @p aFn with the entry of the upstream under its lock and returns the result;
/// returns a default value for an unknown upstream.
template<class Fn>
auto
UpstreamTable::WithEntry(const UpstreamId& aUpstream, Fn&& aFn) const
{
  using Value = decltype(aFn(std::declval<LockStripe&>(), std::declval<Entry&>()));
  auto& stripe = StripeOf(aUpstream);
  const std::lock_guard lock(stripe.mMutex);
  const auto found = stripe.mEntries.find(aUpstream);
  if (found == stripe.mEntries.end()) {
    return Value();
  }
  return aFn(stripe, found->second);
}

bool
UpstreamTable::OnDeclared(const UpstreamDeclaration& aDeclaration, TimePoint aNow)
{
  auto& stripe = StripeOf(aDeclaration.mUpstream);
  const std::lock_guard lock(stripe.mMutex);
  const auto [found, added] =
    stripe.mEntries.try_emplace(aDeclaration.mUpstream, mOptions);
  auto& entry = found->second;
  entry.mDeclaration = aDeclaration;
  if (added) {
    auto first = mFirstDeclaredAt.load();
    if (first == TimePoint::min() &&
        mFirstDeclaredAt.compare_exchange_strong(first, aNow)) {
      first = aNow;
    }
    // The upstreams of the first list are new only to this VM. They need no slow start,
    // because the VMs of a data centre do not all start at the same time.
    const bool isNew = aNow - first > kFirstListWindow;
    entry.mSlowStartBegin = isNew ? aNow : aNow - mOptions.mSlowStart;
    IncrementGeneration();
  }
  return aDeclaration.mLeaving && MarkLeaving(entry, aNow);
}

void
UpstreamTable::OnRemoved(const UpstreamId& aUpstream)
{
  auto& stripe = StripeOf(aUpstream);
  const std::lock_guard lock(stripe.mMutex);
  if (stripe.mEntries.erase(aUpstream) > 0) {
    IncrementGeneration();
  }
}

bool
UpstreamTable::OnReport(const UpstreamId& aUpstream, const UpstreamReport& aReport,
                        TimePoint aRequested, TimePoint aNow)
{
  return WithEntry(aUpstream, [&](LockStripe&, Entry& aEntry) {
    if (aReport.mDraining) {
      return MarkLeaving(aEntry, aNow);
    }
    if (aEntry.mReportRequested && aRequested < *aEntry.mReportRequested) {
      return false;
    }
    aEntry.mReportRequested = aRequested;
    OnAnswered(aEntry, aNow);
    // Most reports repeat the last one and leave cached views valid.
    if (*aEntry.mVersions != aReport.mVersions) {
      aEntry.mVersions =
        std::make_shared<const std::vector<DeclaredVersion>>(aReport.mVersions);
      IncrementGeneration();
    }
    aEntry.mSlots.OnDeclaredSlots(aReport.mSlots);
    if (aEntry.mLastLeavingSign && aRequested > *aEntry.mLastLeavingSign &&
        !aEntry.mDeclaration.mLeaving) {
      aEntry.mLastLeavingSign.reset();
      aEntry.mSlowStartBegin = aNow;
      IncrementGeneration();
    }
    ClearSuspect(aEntry, aRequested, aNow);
    return false;
  });
}

bool
UpstreamTable::OnLeavingPublished(const UpstreamId& aUpstream,
                                  std::uint64_t aEntryVersion, TimePoint aNow)
{
  return WithEntry(aUpstream, [&](LockStripe&, Entry& aEntry) {
    if (aEntryVersion <= aEntry.mLeavingEntryVersion) {
      return false;
    }
    aEntry.mLeavingEntryVersion = aEntryVersion;
    return MarkLeaving(aEntry, aNow);
  });
}

void
UpstreamTable::OnExchangeStarted(const UpstreamId& aUpstream, TimePoint /*aNow*/)
{
  WithEntry(aUpstream, [](LockStripe&, Entry& aEntry) {
    ++aEntry.mInFlight;
    return true;
  });
}

bool
UpstreamTable::OnExchangeEnded(const UpstreamId& aUpstream, const ExchangeEnd& aEnd,
                               TimePoint aNow)
{
  return WithEntry(aUpstream, [&](LockStripe& aStripe, Entry& aEntry) {
    const auto inFlight = aEntry.mInFlight;
    aEntry.mInFlight -= std::min(aEntry.mInFlight, 1U);
    aEntry.mLastExchange = aNow;
    if (IsReply(aEnd.mStatus)) {
      OnAnswered(aEntry, aNow);
    }
    switch (aEnd.mStatus) {
      case ExchangeStatus::Ok:
        aEntry.mSlots.OnSuccess(aEnd.mLatency, inFlight);
        [[fallthrough]];
      case ExchangeStatus::Cancelled: {
        aEntry.mLatency.Record(aEnd.mLatency, aNow);
        aStripe.mIndexLatencies
          .try_emplace(aEntry.mDeclaration.mIndex, mOptions.mObservationWindow)
          .first->second.Record(aEnd.mLatency, aNow);
        const auto& mean = aEntry.mMeanLatency;
        aEntry.mMeanLatency = mean == Duration::zero()
                                ? aEnd.mLatency
                                : mean + (aEnd.mLatency - mean) / kMeanLatencyDivisor;
        break;
      }
      case ExchangeStatus::Shed:
        aEntry.mSlots.OnShed(aNow - aEnd.mLatency, aNow);
        break;
      case ExchangeStatus::VersionGone:
      case ExchangeStatus::ShardGone:
        RemoveGoneShards(aEntry, aEnd);
        break;
      case ExchangeStatus::ConnectFailed:
        MarkSuspect(aEntry, true, aNow);
        break;
      case ExchangeStatus::ConnectionLost:
        MarkSuspect(aEntry, false, aNow);
        break;
      default:
        break;
    }
    const bool draining =
      aEnd.mDrainingHeader || aEnd.mStatus == ExchangeStatus::Draining;
    return draining && MarkLeaving(aEntry, aNow);
  });
}

void
UpstreamTable::OnSuspected(const UpstreamId& aUpstream, TimePoint aNow)
{
  WithEntry(aUpstream, [&](LockStripe&, Entry& aEntry) {
    MarkSuspect(aEntry, false, aNow);
    return true;
  });
}

void
UpstreamTable::OnProbeAnswered(const UpstreamId& aUpstream, TimePoint aStarted,
                               TimePoint aNow)
{
  WithEntry(aUpstream, [&](LockStripe&, Entry& aEntry) {
    OnAnswered(aEntry, aNow);
    ClearSuspect(aEntry, aStarted, aNow);
    return true;
  });
}

void
UpstreamTable::OnHints(const UpstreamId& aUpstream, bool aHealthy, Permille aLoad)
{
  WithEntry(aUpstream, [&](LockStripe&, Entry& aEntry) {
    aEntry.mHealthHint = aHealthy;
    aEntry.mLoadHint = aLoad;
    return true;
  });
}

bool
UpstreamTable::TryIsolate(const UpstreamId& aUpstream)
{
  return WithEntry(aUpstream, [&](LockStripe&, Entry& aEntry) {
    if (aEntry.mIsolated || aEntry.mInFlight > 0) {
      return false;
    }
    aEntry.mIsolated = true;
    return true;
  });
}

void
UpstreamTable::EndIsolation(const UpstreamId& aUpstream)
{
  WithEntry(aUpstream, [&](LockStripe&, Entry& aEntry) {
    aEntry.mIsolated = false;
    return true;
  });
}

void
UpstreamTable::OnAnswered(Entry& aEntry, TimePoint aNow)
{
  if (!aEntry.mLastReply || aNow - *aEntry.mLastReply > kSilenceThreshold) {
    IncrementGeneration();
  }
  aEntry.mLastReply = aNow;
}

bool
UpstreamTable::MarkLeaving(Entry& aEntry, TimePoint aNow)
{
  const bool first = !aEntry.mLastLeavingSign;
  aEntry.mLastLeavingSign = aNow;
  if (first) {
    IncrementGeneration();
  }
  return first;
}

void
UpstreamTable::MarkSuspect(Entry& aEntry, bool aRestarted, TimePoint aNow)
{
  if (!aEntry.mLastFailure) {
    IncrementGeneration();
  }
  aEntry.mLastFailure = aNow;
  aEntry.mRestarted = aEntry.mRestarted || aRestarted;
}

void
UpstreamTable::ClearSuspect(Entry& aEntry, TimePoint aStarted, TimePoint aNow)
{
  // A probe that started before the last failure does not show that the upstream has
  // recovered.
  if (!aEntry.mLastFailure || aStarted < *aEntry.mLastFailure) {
    return;
  }
  aEntry.mLastFailure.reset();
  if (std::exchange(aEntry.mRestarted, false)) {
    aEntry.mSlowStartBegin = aNow;
  }
  IncrementGeneration();
}

/// Removes the version or shard that the upstream no longer holds according to its reply.
/// The next report replaces the result.
void
UpstreamTable::RemoveGoneShards(Entry& aEntry, const ExchangeEnd& aEnd)
{
  // If a report was requested after the exchange started, it is newer than the reply, and
  // the removal may be wrong. It is harmless, because it lasts only until the next
  // report.
  auto versions = *aEntry.mVersions;
  if (aEnd.mStatus == ExchangeStatus::VersionGone) {
    std::erase_if(versions, [&](const DeclaredVersion& aVersion) {
      return aVersion.mVersion == aEnd.mVersion;
    });
  }
  for (auto& version : versions) {
    if (version.mVersion == aEnd.mVersion) {
      std::erase(version.mHeldShards, aEnd.mShard);
    }
  }
  aEntry.mVersions =
    std::make_shared<const std::vector<DeclaredVersion>>(std::move(versions));
  IncrementGeneration();
}

UpstreamView
UpstreamTable::ViewOf(const Entry& aEntry, TimePoint aNow) const
{
  UpstreamView view;
  view.mDeclaration = aEntry.mDeclaration;
  view.mLeaving = aEntry.mLastLeavingSign.has_value();
  view.mSuspect = aEntry.mLastFailure.has_value();
  view.mVersions = aEntry.mVersions;
  view.mInFlight = aEntry.mInFlight;
  const auto sinceBegin = aNow - aEntry.mSlowStartBegin;
  if (sinceBegin < mOptions.mSlowStart) {
    const double initial = mOptions.mSlowStartInitialWeight.Fraction();
    const double progress =
      static_cast<double>(std::max(sinceBegin, Duration::zero()).count()) /
      static_cast<double>(mOptions.mSlowStart.count());
    view.mSlowStartWeight =
      Permille(static_cast<std::uint32_t>(1000 * (initial + (1 - initial) * progress)));
  }
  const double limit = aEntry.mSlots.Limit() * view.mSlowStartWeight.Fraction();
  view.mSlotLimit = std::max(1U, static_cast<std::uint32_t>(limit));
  view.mMeanLatency = aEntry.mMeanLatency;
  view.mIsolated = aEntry.mIsolated;
  view.mLastReply = aEntry.mLastReply;
  view.mLoadHint = aEntry.mLoadHint;
  view.mHealthHint = aEntry.mHealthHint;
  view.mHasRecentObservation =
    aEntry.mLastExchange && aNow - *aEntry.mLastExchange < mOptions.mObservationWindow;
  return view;
}

std::optional<UpstreamView>
UpstreamTable::Find(const UpstreamId& aUpstream, TimePoint aNow) const
{
  return WithEntry(aUpstream, [&](LockStripe&, Entry& aEntry) {
    return std::optional<UpstreamView>(ViewOf(aEntry, aNow));
  });
}

std::vector<UpstreamView>
UpstreamTable::All(TimePoint aNow) const
{
  std::vector<UpstreamView> views;
  for (const auto& stripe : mStripes) {
    const std::lock_guard lock(stripe->mMutex);
    for (const auto& [id, entry] : stripe->mEntries) {
      views.push_back(ViewOf(entry, aNow));
    }
  }
  std::ranges::sort(views, {}, [](const UpstreamView& aView) -> const UpstreamId& {
    return aView.mDeclaration.mUpstream;
  });
  return views;
}

std::vector<UpstreamView>
UpstreamTable::OfIndex(const IndexName& aIndex, TimePoint aNow) const
{
  auto views = All(aNow);
  std::erase_if(views, [&](const UpstreamView& aView) {
    return aView.mDeclaration.mIndex != aIndex;
  });
  return views;
}

std::optional<Duration>
UpstreamTable::IndexLatency(const IndexName& aIndex, Permille aQuantile,
                            TimePoint aNow) const
{
  LatencyEstimator merged(mOptions.mObservationWindow);
  for (const auto& stripe : mStripes) {
    const std::lock_guard lock(stripe->mMutex);
    const auto found = stripe->mIndexLatencies.find(aIndex);
    if (found != stripe->mIndexLatencies.end()) {
      merged.Merge(found->second, aNow);
    }
  }
  return merged.Count(aNow) >= kMinIndexSamples ? merged.Quantile(aQuantile, aNow)
                                                : std::nullopt;
}

std::optional<Duration>
UpstreamTable::Latency(const UpstreamId& aUpstream, Permille aQuantile,
                       TimePoint aNow) const
{
  return WithEntry(aUpstream, [&](LockStripe&, Entry& aEntry) {
    return aEntry.mLatency.Quantile(aQuantile, aNow);
  });
}

std::uint64_t
UpstreamTable::Generation() const
{
  return mGeneration.load(std::memory_order_acquire);
}

} // namespace wasabispar
