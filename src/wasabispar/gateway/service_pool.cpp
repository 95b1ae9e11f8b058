/// @file
/// @brief Choice of upstreams, their connection pools and the expected wait.
#include "wasabispar/gateway/service_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace {

/// Expected response times of an upstream before its first sample.
constexpr Duration kInitialLocalLatency = std::chrono::milliseconds(15);
constexpr Duration kInitialRemoteLatency = std::chrono::milliseconds(50);
/// Exchanges of this VM for each slot of an upstream: one that runs, and one that waits
/// there, so that the slot stays busy while an answer is on its way. Further requests
/// wait in the queue of this VM, which is ordered by priority.
constexpr std::size_t kExchangesPerSlot = 2;

/// The options of the connection pool of each upstream.
ConnectionPoolOptions
PoolOptions(const ServicePoolOptions& aOptions)
{
  ConnectionPoolOptions options;
  options.mIdleTimeout = std::chrono::seconds(2);
  options.mMaxConcurrentOpens = 2;
  options.mOpenTimeout = std::chrono::milliseconds(400);
  options.mReconnect.mInitial = std::chrono::milliseconds(250);
  options.mQueue.mMaxLengthPerCaller = 64;
  options.mResponseBudget = aOptions.mResponseBudget;
  options.mResponseLimits.mKeepsReservation = aOptions.mCountsHeldAnswers;
  options.mResponseLimits.mWaitsForBudget = aOptions.mCountsHeldAnswers;
  return options;
}

/// A random number from 0 to below 1.
double
RandomFraction(const RandomFn& aRandom)
{
  constexpr std::uint64_t kSteps = 1000;
  return static_cast<double>(aRandom(kSteps)) / kSteps;
}

/// Requests a second that this VM can send to an upstream.
double
SendRate(const ReplicaCandidate& aCandidate, std::optional<double> aLimit)
{
  constexpr double kMinSeconds = 0.001;
  const auto seconds = ToDoubleMilliseconds(aCandidate.mExpectedLatency) / 1000.0;
  const auto rate =
    static_cast<double>(aCandidate.mMaxInFlight) / std::max(seconds, kMinSeconds);
  return std::min(rate, aLimit.value_or(rate));
}

} // namespace

ServicePool::ServicePool(boost::asio::io_context& aContext, ServicePoolOptions aOptions)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mRandom(SeededRandom(EntropySeed()))
  , mExtraLoad(mOptions.mExtraLoad, RandomFraction(mRandom))
{
}

ServicePool::~ServicePool()
{
  // Breaks a reference cycle: a running exchange refers to its request, which refers to
  // the replica and its connection pool.
  for (const auto& replica : mReplicas) {
    replica->mConnectionPool->Discard();
  }
}

void
ServicePool::Configure(const ServiceDefinition& aDefinition)
{
  mMaxConnections = aDefinition.mMaxConnections;
  SetColdBound(aDefinition.mColdBound, BootClock::now());
  UpdateQuotas();
}

void
ServicePool::UpdateQuotas()
{
  std::vector<UpstreamRecord> records;
  for (const auto& replica : mReplicas) {
    records.push_back(replica->mRecord);
  }
  const auto quotas =
    mOptions.mConnectionQuotas
      ? mOptions.mConnectionQuotas(records, mMaxConnections)
      : std::vector<ConnectionQuota>(records.size(), { mMaxConnections, true });
  for (std::size_t i = 0; i < mReplicas.size(); ++i) {
    ApplyQuota(*mReplicas[i], quotas[i]);
  }
}

void
ServicePool::ApplyQuota(Replica& aReplica, const ConnectionQuota& aQuota)
{
  const std::size_t slots = std::max<std::uint32_t>(1, aReplica.mRecord.mSlots);
  aReplica.mIsOverflow = aQuota.mMayOverflow;
  aReplica.mMaxExchanges =
    aQuota.mMayOverflow ? 1
                        : std::min<std::size_t>(aQuota.mLimit, slots * kExchangesPerSlot);
  aReplica.mMinConnections = aQuota.mIsKeptOpen ? 1 : 0;
}

void
ServicePool::SetExtraLoad(const ExtraLoadOptions& aOptions)
{
  mOptions.mExtraLoad = aOptions;
  mExtraLoad.SetOptions(aOptions);
}

bool
ServicePool::OnChange(const UpstreamChange& aChange)
{
  const auto existing = Find(aChange.mRecord.mId);
  if (aChange.mKind == UpstreamChange::Kind::Removed) {
    if (existing) {
      Retire(existing);
    }
    return existing != nullptr;
  }
  if (existing && aChange.mKind != UpstreamChange::Kind::Replaced) {
    OnEntry(*existing, aChange.mRecord, BootClock::now());
    const auto region = existing->mRegion;
    existing->mRecord = aChange.mRecord;
    UpdateLocation(*existing);
    if (!existing->IsUsable() || existing->mRegion != region) {
      WithdrawQueued(*existing);
    }
    return false;
  }
  if (existing) {
    Retire(existing);
  }
  mReplicas.push_back(Create(aChange.mRecord));
  OnAdded(*mReplicas.back(), BootClock::now());
  return true;
}

ConnectionPoolHooks
ServicePool::MakePoolHooks(const std::weak_ptr<Replica>& aReplica) const
{
  ConnectionPoolHooks hooks;
  hooks.mNow = [] { return BootClock::now(); };
  hooks.mTryReserveConnection = [weak = aReplica] {
    const auto self = weak.lock();
    if (!self || self->mIsEvacuated || self->mConnections >= self->mMaxExchanges) {
      return false;
    }
    ++self->mConnections;
    return true;
  };
  hooks.mOnClosed = [weak = aReplica] {
    if (const auto self = weak.lock()) {
      --self->mConnections;
    }
  };
  hooks.mExcessConnections = [weak = aReplica]() -> std::uint32_t {
    const auto self = weak.lock();
    return self ? static_cast<std::uint32_t>(self->ExcessConnections()) : 0;
  };
  hooks.mSlotLimit = [weak = aReplica]() -> std::uint32_t {
    const auto self = weak.lock();
    return self ? static_cast<std::uint32_t>(self->mMaxExchanges) : 0;
  };
  hooks.mAwaitsAcceptance = [pressure = mOptions.mConnectionPressure] {
    return pressure && pressure->IsHigh(BootClock::now());
  };
  hooks.mMayReopen = [weak = aReplica, pressure = mOptions.mConnectionPressure] {
    const auto self = weak.lock();
    const bool isLeftToOthers =
      self && self->mIsRemote && pressure && pressure->IsHigh(BootClock::now());
    return self && !self->mIsEvacuated && !isLeftToOthers;
  };
  hooks.mMinConnections = [weak = aReplica,
                           mayReopen = hooks.mMayReopen]() -> std::size_t {
    const auto self = weak.lock();
    return self && mayReopen() ? std::min(self->mMinConnections, self->mMaxExchanges) : 0;
  };
  const auto onConnectEnd = [weak = aReplica,
                             report = mOptions.mOnConnectEnd](bool aIsOpened) {
    const auto self = weak.lock();
    if (self && report) {
      report(self->Incarnation(), aIsOpened);
    }
  };
  const auto onConnectFailed = [weak = aReplica] {
    if (const auto self = weak.lock()) {
      self->mLoad.OnConnectFailed(BootClock::now());
    }
  };
  hooks.mOnRefused = [onConnectFailed, weak = aReplica,
                      pressure = mOptions.mConnectionPressure] {
    onConnectFailed();
    const auto self = weak.lock();
    if (self && pressure) {
      pressure->OnRefused(self->mRecord.mId, BootClock::now());
    }
  };
  hooks.mOnConnected = [weak = aReplica, onConnectEnd] {
    if (const auto self = weak.lock()) {
      self->mLoad.OnConnected();
    }
    onConnectEnd(true);
  };
  hooks.mOnConnectFailed = [onConnectFailed, onConnectEnd] {
    onConnectFailed();
    onConnectEnd(false);
  };
  return hooks;
}

/// An entry may name another data centre for the same incarnation.
void
ServicePool::UpdateLocation(Replica& aReplica)
{
  const auto& dataCentre = aReplica.mRecord.mDataCentre;
  aReplica.mIsRemote = mOptions.mIsRemote && mOptions.mIsRemote(dataCentre);
  aReplica.mRegion = mOptions.mRegionOf ? mOptions.mRegionOf(dataCentre) : RegionId();
  MarkEvacuated(aReplica);
}

ReplicaPtr
ServicePool::Create(const UpstreamRecord& aRecord)
{
  const bool isRemote = mOptions.mIsRemote && mOptions.mIsRemote(aRecord.mDataCentre);
  auto replica =
    std::make_shared<Replica>(isRemote ? kInitialRemoteLatency : kInitialLocalLatency);
  replica->mRecord = aRecord;
  replica->mCold = ColdUpstreamOf(aRecord.mId);
  replica->mIsRemote = isRemote;
  replica->mRegion =
    mOptions.mRegionOf ? mOptions.mRegionOf(aRecord.mDataCentre) : RegionId();
  replica->mIsEvacuated = mEvacuated.contains(aRecord.mDataCentre);
  // The adapter has validated the address, so parsing does not fail.
  const auto endpoint =
    HandleError([&] { return Endpoint::Parse(aRecord.mAddress.Text()); },
                [](const Error&) { return Endpoint{}; });
  replica->mConnectionPool = std::make_shared<ConnectionPool>(
    mContext, endpoint, PoolOptions(mOptions), MakePoolHooks(replica));
  return replica;
}

void
ServicePool::Retire(const ReplicaPtr& aReplica)
{
  aReplica->mRecord.mState = UpstreamState::Draining;
  WithdrawQueued(*aReplica);
  std::erase(mReplicas, aReplica);
}

/// Posted, because the requests are placed again when they are withdrawn, and the caller
/// may be in the middle of its own change.
void
ServicePool::WithdrawQueued(Replica& aReplica)
{
  boost::asio::post(mContext, [pool = aReplica.mConnectionPool] {
    pool->WithdrawQueued("upstream takes no new requests");
  });
}

ReplicaPtr
ServicePool::Find(const UpstreamId& aId) const
{
  const auto found = std::ranges::find_if(mReplicas, [&aId](const ReplicaPtr& aReplica) {
    return aReplica->mRecord.mId == aId;
  });
  return found == mReplicas.end() ? nullptr : *found;
}

void
ServicePool::Tick()
{
  for (const auto& replica : mReplicas) {
    // The tick of an evacuated upstream closes its idle connections and opens none.
    if (replica->IsUsable() || replica->mIsEvacuated) {
      replica->mConnectionPool->Tick();
    }
  }
  UpdateShares(BootClock::now());
  DispatchQueue();
}

void
ServicePool::DispatchQueue()
{
  mQueue.Dispatch(BootClock::now());
  if (mQueue.Length() > 0) {
    DispatchLater(BootClock::now());
  }
}

void
ServicePool::DispatchLater(TimePoint aNow)
{
  /// Requests that become possible within this time are started together.
  constexpr Duration kMinDelay = std::chrono::milliseconds(2);
  // An upstream that may get a request now is at its limit of exchanges; the end of one
  // starts the next.
  std::optional<TimePoint> next;
  for (const auto& replica : mReplicas) {
    const auto at = NextSendAt(*replica, aNow);
    if (replica->IsUsable() && !replica->IsUnreachable() && at > aNow) {
      next = std::min(next.value_or(at), at);
    }
  }
  if (!mOptions.mTimers || !next) {
    return;
  }
  mDispatchTimer = mOptions.mTimers->After(std::max(*next - aNow, kMinDelay),
                                           [this] { DispatchQueue(); });
}

std::optional<TimePoint>
ServicePool::NextSendAt(const PermittedRegions& aRegions, TimePoint aNow) const
{
  std::optional<TimePoint> next;
  for (const auto& replica : mReplicas) {
    if (replica->IsUsable() && !replica->IsUnreachable() &&
        aRegions.Permits(replica->mRegion)) {
      const auto at = NextSendAt(*replica, aNow);
      next = std::min(next.value_or(at), at);
    }
  }
  return next;
}

void
ServicePool::OnRequest(TimePoint aNow)
{
  mExtraLoad.OnRequest(aNow);
  mRequestInterval.OnRequest(aNow);
  for (const auto& replica : mReplicas) {
    replica->mLoad.SetRequestInterval(mRequestInterval.Mean());
  }
  AssumeLatencies(aNow);
}

std::vector<ReplicaCandidate>
ServicePool::Candidates(const PlacementScope& aScope, TimePoint aNow) const
{
  std::vector<ReplicaCandidate> candidates;
  const auto share = mOptions.mLargeRequestShare
                       ? std::optional(mOptions.mLargeRequestShare())
                       : std::nullopt;
  for (std::size_t i = 0; i < mReplicas.size(); ++i) {
    const auto& replica = *mReplicas[i];
    const auto maxExchanges = replica.MaxExchanges(aNow);
    if (!replica.IsUsable() || maxExchanges == 0 || replica.IsUnreachable() ||
        !aScope.Includes(replica.mRecord.mId, replica.mRegion)) {
      continue;
    }
    candidates.push_back({ i, replica.mLoad.ExpectedLatency(aNow),
                           replica.mLoad.FailureRatio(aNow), replica.mLoad.InFlight(),
                           maxExchanges, replica.mRecord.mSlots, replica.mIsRemote,
                           replica.mLoad.IsAvoided(aNow), replica.mIsOverflow,
                           NextSendAt(replica, aNow) > aNow ||
                             !replica.mLargeRequests.MaySend(aScope.mBodyBytes, share) });
  }
  const bool hasLocal =
    std::ranges::any_of(candidates, [](const ReplicaCandidate& aCandidate) {
      return !aCandidate.mIsRemote && !aCandidate.mIsAtRequestLimit;
    });
  if (hasLocal && IsUnderConnectionPressure(aNow)) {
    std::erase_if(candidates, [this](const ReplicaCandidate& aCandidate) {
      return aCandidate.mIsRemote && mReplicas[aCandidate.mIndex]->mConnections == 0;
    });
  }
  return candidates;
}

bool
ServicePool::IsUnderConnectionPressure(TimePoint aNow) const
{
  return mOptions.mConnectionPressure && mOptions.mConnectionPressure->IsHigh(aNow);
}

PlacementResult
ServicePool::Choose(const PlacementScope& aScope, TimePoint aNow) const
{
  auto candidates = Candidates(aScope, aNow);
  if (candidates.empty()) {
    return { PlacementResult::Kind::None, nullptr };
  }
  const auto chosen = ChooseIndex(std::move(candidates), aNow);
  if (!chosen) {
    return { PlacementResult::Kind::Busy, nullptr };
  }
  return { PlacementResult::Kind::Found, mReplicas[*chosen] };
}

std::optional<Duration>
ServicePool::BestExpectedLatency(const PlacementScope& aScope, TimePoint aNow) const
{
  std::optional<Duration> best;
  for (const auto& candidate : Candidates(aScope, aNow)) {
    const auto cost = PlacementCost(candidate);
    best = best ? std::min(*best, cost) : cost;
  }
  return best;
}

std::size_t
ServicePool::UsableCount(const PermittedRegions& aRegions) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mReplicas, [&aRegions](const ReplicaPtr& aReplica) {
      return aReplica->IsUsable() && aRegions.Permits(aReplica->mRegion) &&
             aReplica->mMaxExchanges > 0 && !aReplica->IsUnreachable();
    }));
}

std::optional<TimePoint>
ServicePool::QuietUntil(const PermittedRegions& aRegions, TimePoint aNow) const
{
  std::optional<TimePoint> first;
  for (const auto& replica : mReplicas) {
    if (!replica->IsUsable() || replica->mMaxExchanges == 0 ||
        !aRegions.Permits(replica->mRegion)) {
      continue;
    }
    if (!replica->mQuietPeriod.IsQuiet(aNow)) {
      return std::nullopt;
    }
    const auto until = *replica->mQuietPeriod.Until();
    first = std::min(first.value_or(until), until);
  }
  return first;
}

std::optional<Duration>
ServicePool::ReturnDelay(const PermittedRegions& aRegions, TimePoint aNow) const
{
  /// The part of the time by which it is extended at most.
  constexpr Duration::rep kSpreadDivisor = 4;
  const auto until = QuietUntil(aRegions, aNow);
  if (!until) {
    return std::nullopt;
  }
  const auto delay = *until - aNow;
  const auto spread = static_cast<std::uint64_t>(delay.count() / kSpreadDivisor);
  return delay + Duration(static_cast<Duration::rep>(mRandom(spread + 1)));
}

void
ServicePool::OnQuietRequested(Replica& aReplica, Duration aTime, TimePoint aNow)
{
  aReplica.mQuietPeriod.Request(aTime, aNow, mRandom);
  if (aReplica.mQuietPeriod.IsQuiet(aNow)) {
    WithdrawQueued(aReplica);
  }
}

Duration
ServicePool::ExpectedWait(const PermittedRegions& aRegions, std::uint32_t aPriority,
                          TimePoint aAnswerBy, TimePoint aNow, WaitRank aRank) const
{
  const auto ahead = mQueue.CountAhead(aPriority, aAnswerBy, aNow, aRank);
  const auto candidates = Candidates({ aRegions, {} }, aNow);
  const bool isAtLimit =
    !candidates.empty() &&
    std::ranges::all_of(candidates, &ReplicaCandidate::mIsAtRequestLimit);
  const auto untilFirst = isAtLimit ? *NextSendAt(aRegions, aNow) - aNow : Duration{};
  double perSecond = 0;
  for (const auto& candidate : candidates) {
    perSecond += SendRate(candidate, LimitedRate(*mReplicas[candidate.mIndex], aNow));
  }
  if (ahead == 0 || perSecond <= 0) {
    return untilFirst;
  }
  return untilFirst + Duration(static_cast<Duration::rep>(static_cast<double>(ahead) /
                                                          perSecond * 1e9));
}

} // namespace wasabispar
