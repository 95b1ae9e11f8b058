/// @file
/// @brief Limits on the requests per second to one upstream from all VMs: those that it
/// names, and those of cold upstreams.
#include "wasabispar/gateway/service_pool.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace {

/// Age of what a VM reads from the store through a relay, 2.2 s, and some time for the
/// entry of a restarted upstream to be written.
constexpr Duration kMaxEntryDelay = std::chrono::milliseconds(2700);

/// The VM of a pool without a fleet.
const FleetRateSharePtr&
SharesOfSingleVm()
{
  static const auto kShares =
    std::make_shared<const FleetRateShare>(VmId("self"), std::vector{ VmId("self") });
  return kShares;
}

} // namespace

FleetRateSharePtr
ServicePool::RateShareNow() const
{
  return mOptions.mRateShare ? mOptions.mRateShare() : SharesOfSingleVm();
}

RateShare
ServicePool::ColdShare(const Replica& aReplica) const
{
  const auto perSecond = mOptions.mColdRate ? mOptions.mColdRate(mColdBound.mPerSecond)
                                            : mColdBound.mPerSecond;
  return aReplica.mCold->mLimit.ShareOf(RateShareNow(), aReplica.mRecord.mId, perSecond);
}

bool
ServicePool::IsColdLimited(const Replica& aReplica, TimePoint aNow) const
{
  return mColdBound.IsSet() && aReplica.mCold->mState.IsCold(aNow);
}

TimePoint
ServicePool::NextSendAt(const Replica& aReplica, TimePoint aNow) const
{
  const auto byOwnLimit = aReplica.mRequestLimit.NextSendAt(aNow);
  if (!IsColdLimited(aReplica, aNow)) {
    return byOwnLimit;
  }
  const auto warmAt = *aReplica.mCold->mState.Until();
  const auto share = ColdShare(aReplica);
  // All requests of the share are reserved: the first of them leaves the window then.
  const auto untilFree = share.mRequests > 0 ? aNow + share.mWindow : warmAt;
  const auto next = aReplica.mCold->mLimit.NextSendAt(share, aNow).value_or(untilFree);
  return std::max(byOwnLimit, std::min(warmAt, next));
}

std::optional<double>
ServicePool::LimitedRate(const Replica& aReplica, TimePoint aNow) const
{
  auto rate = aReplica.mRequestLimit.Share();
  if (IsColdLimited(aReplica, aNow)) {
    const auto cold = ColdShare(aReplica).PerSecond();
    rate = std::min(rate.value_or(cold), cold);
  }
  return rate;
}

bool
ServicePool::IsLimited(const PermittedRegions& aRegions) const
{
  const auto now = BootClock::now();
  return std::ranges::all_of(mReplicas, [&](const ReplicaPtr& aReplica) {
    return !aReplica->IsUsable() || !aRegions.Permits(aReplica->mRegion) ||
           aReplica->mRequestLimit.IsLimited() || IsColdLimited(*aReplica, now);
  });
}

std::optional<Duration>
ServicePool::ColdWait(const PlacementScope& aScope, TimePoint aNow) const
{
  if (!mColdBound.IsSet()) {
    return std::nullopt;
  }
  const auto candidates = Candidates(aScope, aNow);
  std::optional<TimePoint> first;
  for (const auto& candidate : candidates) {
    const auto& replica = *mReplicas[candidate.mIndex];
    if (!candidate.mIsAtRequestLimit || !IsColdLimited(replica, aNow)) {
      return std::nullopt;
    }
    const auto at = NextSendAt(replica, aNow);
    first = std::min(first.value_or(at), at);
  }
  return first ? std::optional<Duration>(*first - aNow) : std::nullopt;
}

LimitDivision
ServicePool::Divide(Replica& aReplica, double aPerSecond) const
{
  const auto vms = mOptions.mVmCount ? mOptions.mVmCount() : 1;
  const auto fleet = RateShareNow();
  return DivideLimit(aReplica.mRateShare, fleet,
                     std::max(vms, fleet ? fleet->VmCount() : 0), aReplica.mRecord.mId,
                     aPerSecond);
}

bool
ServicePool::OnRequestLimit(Replica& aReplica, std::optional<double> aPerSecond,
                            TimePoint aSentAt, TimePoint aNow)
{
  const auto division = aPerSecond ? Divide(aReplica, *aPerSecond) : LimitDivision{};
  return aReplica.mRequestLimit.OnAnswer(aPerSecond, division, aSentAt, aNow, mRandom);
}

void
ServicePool::UpdateShares(TimePoint aNow)
{
  std::erase_if(mColdUpstreams, [aNow](const auto& aItem) {
    const auto& cold = *aItem.second;
    return aItem.second.use_count() == 1 && !cold.mState.IsCold(aNow) &&
           cold.mLimit.IsIdle(aNow);
  });
  auto shares = RateShareNow();
  if (shares == mRateShare) {
    return;
  }
  mRateShare = std::move(shares);
  for (const auto& replica : mReplicas) {
    if (const auto limit = replica->mRequestLimit.Limit()) {
      replica->mRequestLimit.SetDivision(Divide(*replica, *limit), aNow, mRandom);
    }
  }
}

std::shared_ptr<ColdUpstream>
ServicePool::ColdUpstreamOf(const UpstreamId& aId)
{
  auto& cold = mColdUpstreams[aId];
  if (!cold) {
    cold = std::make_shared<ColdUpstream>();
  }
  return cold;
}

void
ServicePool::SetColdBound(const ColdBound& aBound, TimePoint aNow)
{
  const bool wasSet = mColdBound.IsSet();
  mColdBound = aBound;
  for (const auto& replica : mReplicas) {
    auto& state = replica->mCold->mState;
    const bool wasCold = wasSet && state.IsCold(aNow);
    state.SetWarmup(aBound.mWarmup);
    ReportCold(*replica, wasCold, ColdSource::Configured, aNow);
  }
  // Also those whose entries have lapsed.
  for (const auto& [id, cold] : mColdUpstreams) {
    cold->mState.SetWarmup(aBound.mWarmup);
  }
}

void
ServicePool::OnAdded(Replica& aReplica, TimePoint aNow)
{
  const auto& record = aReplica.mRecord;
  const bool isInService = !mOptions.mIsInService || mOptions.mIsInService();
  auto& state = aReplica.mCold->mState;
  const bool wasCold = state.IsCold(aNow);
  const auto stated = record.mWarmup ? record.mWarmup->mLeft : Duration::zero();
  if (!isInService) {
    state.OnStatedAtStart(stated, record.mStartedUnixMs, UnixMilliseconds(), aNow);
    ReportCold(aReplica, wasCold, ColdSource::Entry, aNow);
    return;
  }
  state.OnStated(stated, aNow);
  state.OnAdded(mColdBound.mWarmup, record.mStartedUnixMs, UnixMilliseconds(), aNow);
  ReportCold(aReplica, wasCold, ColdSource::Added, aNow);
}

void
ServicePool::OnEntry(Replica& aReplica, const UpstreamRecord& aRecord, TimePoint aNow)
{
  if (!aRecord.mWarmup || aRecord.mWarmup == aReplica.mRecord.mWarmup) {
    return;
  }
  const bool wasCold = aReplica.mCold->mState.IsCold(aNow);
  aReplica.mCold->mState.OnStated(aRecord.mWarmup->mLeft, aNow);
  ReportCold(aReplica, wasCold, ColdSource::Entry, aNow);
}

void
ServicePool::OnWarmupStated(Replica& aReplica, Duration aLeft, TimePoint aNow)
{
  const bool wasCold = aReplica.mCold->mState.IsCold(aNow);
  aReplica.mCold->mState.OnStated(aLeft, aNow);
  ReportCold(aReplica, wasCold, ColdSource::Response, aNow);
}

void
ServicePool::OnEvacuationEnded(const DataCentreId& aDataCentre, TimePoint aNow)
{
  for (const auto& replica : mReplicas) {
    if (replica->mRecord.mDataCentre != aDataCentre) {
      continue;
    }
    const bool wasCold = replica->mCold->mState.IsCold(aNow);
    replica->mCold->mState.OnEvacuationEnded(mColdBound.mWarmup, aNow);
    ReportCold(*replica, wasCold, ColdSource::EvacuationEnded, aNow);
  }
}

void
ServicePool::OnConnectEnd(const UpstreamId& aId, bool aIsOpened, TimePoint aNow)
{
  const auto replica = Find(aId);
  if (!replica) {
    return;
  }
  auto& cold = *replica->mCold;
  if (!aIsOpened) {
    if (replica->IsUnreachable()) {
      cold.mOutage.OnUnreachable(aNow);
    }
    return;
  }
  const auto since = cold.mOutage.OnConnected(aNow);
  // If no upstream could be reached, this VM was likely cut off.
  const bool isItsOwn =
    since && std::ranges::any_of(mReplicas, [&](const auto& aOther) {
      return aOther != replica && aOther->mCold->mOutage.WasReachableSince(*since);
    });
  if (isItsOwn) {
    const bool wasCold = cold.mState.IsCold(aNow);
    cold.mState.OnStated(kMaxEntryDelay, aNow);
    ReportCold(*replica, wasCold, ColdSource::Reconnected, aNow);
  }
}

void
ServicePool::ReportCold(const Replica& aReplica, bool aWasCold, ColdSource aSource,
                        TimePoint aNow) const
{
  const auto& state = aReplica.mCold->mState;
  if (!aWasCold && IsColdLimited(aReplica, aNow) && mOptions.mOnCold) {
    mOptions.mOnCold(aReplica, aSource, *state.Until() - aNow, ColdShare(aReplica));
  }
}

void
ServicePool::OnChosen(Replica& aReplica, ColdLimit::ExchangeId aExchange, TimePoint aNow)
{
  aReplica.mRequestLimit.Reserve(aExchange);
  if (IsColdLimited(aReplica, aNow)) {
    aReplica.mCold->mLimit.Reserve(aExchange);
  }
}

bool
ServicePool::MayStart(Replica& aReplica, ColdLimit::ExchangeId aExchange, TimePoint aNow)
{
  auto& limit = aReplica.mRequestLimit;
  if (!limit.MayStart(aNow) || !MayStartCold(aReplica, aExchange, aNow)) {
    return false;
  }
  limit.OnStarted(aExchange, aNow);
  return true;
}

bool
ServicePool::MayStartCold(const Replica& aReplica, ColdLimit::ExchangeId aExchange,
                          TimePoint aNow)
{
  if (!mColdBound.IsSet()) {
    return true;
  }
  auto& limit = aReplica.mCold->mLimit;
  if (IsColdLimited(aReplica, aNow)) {
    return limit.Start(aExchange, ColdShare(aReplica), aNow);
  }
  limit.StartUnlimited(aExchange, aNow);
  return true;
}

void
ServicePool::OnExchangeEnd(Replica& aReplica, ColdLimit::ExchangeId aExchange)
{
  aReplica.mRequestLimit.Release(aExchange);
  aReplica.mCold->mLimit.Release(aExchange);
}

} // namespace wasabispar
