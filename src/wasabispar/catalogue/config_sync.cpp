/// @file
/// @brief Platform calls, catalogue messages between VMs and the start of ConfigSync.
#include "wasabispar/catalogue/config_sync.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace wasabispar {
namespace {

/// Most pending digest requests; the oldest is dropped first.
constexpr std::size_t kMaxPendingDigests = 64;
/// Period of digest requests during the start.
constexpr Duration kStartRequestPeriod = std::chrono::seconds(1);
/// Least time between two full pulls; also the first backoff.
constexpr Duration kMinFullPullPeriod = std::chrono::seconds(4);
/// The first nonce of a process is a random number below this, so that a late reply to an
/// earlier incarnation of the VM matches no request of this incarnation.
constexpr std::uint64_t kNonceRange = std::uint64_t(1) << 62;
/// Platform calls get a random jitter of up to this fraction of their delay, earlier or
/// later.
constexpr double kJitterFraction = 0.2;

} // namespace

ConfigSync::ConfigSync(VmId aSelf, Catalogue& aCatalogue, RandomFn aRandom,
                       ConfigSyncOptions aOptions)
  : mSelf(std::move(aSelf))
  , mCatalogue(aCatalogue)
  , mRandom(std::move(aRandom))
  , mOptions(aOptions)
  , mBackoff(aOptions.mBackoffMin)
  , mLastNonce(mRandom(kNonceRange))
  , mFullPullBackoff(kMinFullPullPeriod)
{
}

ConfigActions
ConfigSync::Start(ConfigPeers aPeers, TimePoint aNow)
{
  mIsStartCalled = true;
  mStartedAt = aNow;
  mNextStartRequestAt = aNow;
  mNextDigestAt = aNow + RandomUpTo(mOptions.mDigestPeriod);
  return OnPeers(std::move(aPeers), aNow);
}

ConfigActions
ConfigSync::OnPeers(ConfigPeers aPeers, TimePoint aNow)
{
  mPeers = std::move(aPeers);
  mLocalPeers = mPeers.mDataCentre;
  std::erase(mLocalPeers, mSelf);
  std::sort(mLocalPeers.begin(), mLocalPeers.end());
  auto members = mLocalPeers;
  members.push_back(mSelf);
  mRankedWatchers = RendezvousTop("platform-watch", members,
                                  mOptions.mWatcherCount + mOptions.mReserveWatcherCount);
  mRank = static_cast<std::size_t>(
    std::distance(mRankedWatchers.begin(),
                  std::find(mRankedWatchers.begin(), mRankedWatchers.end(), mSelf)));
  std::erase_if(mUnansweredPeers, [&](const VmId& aVm) {
    return !IsLocal(aVm) && std::count(mPeers.mRemoteBridges.begin(),
                                       mPeers.mRemoteBridges.end(), aVm) == 0;
  });
  return Tick(aNow);
}

ConfigActions
ConfigSync::Tick(TimePoint aNow)
{
  ConfigActions actions;
  if (!mIsStartCalled) {
    return actions;
  }
  UpdateWatch(aNow, actions);
  if (!mStartResult && aNow >= mNextStartRequestAt) {
    RequestStartDigests(aNow, actions);
  }
  if (aNow >= mNextDigestAt) {
    SendRoutineDigest(aNow, actions);
    mNextDigestAt = aNow + Jittered(mOptions.mDigestPeriod);
  }
  CheckStart(aNow, actions);
  return actions;
}

// ---- platform calls ----

ConfigActions
ConfigSync::OnPlatformReply(PlatformCallId aCall, const CatalogueDelta& aDelta,
                            TimePoint aNow)
{
  ConfigActions actions;
  const auto before = mCatalogue.Digest().mRevision;
  const auto status = ApplyAndPush(aDelta, mSelf, Propagation::Delta, aNow, actions);
  if (mCall && mCall->mId == aCall) {
    // The reply is compared with the own revision at the time of the call, as a push may
    // have arrived before the reply. A reply with a lower revision is no confirmed
    // contact: the platform has reverted to an older revision and does not have the
    // newest configuration.
    const bool stale = aDelta.mTo < mCall->mOwnRevision;
    mCounters.mStaleReplies += stale ? 1 : 0;
    if (stale || status == ApplyStatus::Malformed || status == ApplyStatus::NeedsPull) {
      CallFailed(aNow);
      return actions;
    }
    CallSucceeded(aDelta, before, aNow);
  }
  CheckStart(aNow, actions);
  return actions;
}

void
ConfigSync::CallSucceeded(const CatalogueDelta& aDelta, Revision aBefore, TimePoint aNow)
{
  ConfirmContact(mCall->mSentAt);
  mCall.reset();
  mInContact = true;
  mBackoff = mOptions.mBackoffMin;
  if (aDelta.mFullList) {
    mLastFullRead = aNow;
    mPlatformListed = true;
  }
  const bool hasNoChange = !aDelta.mFullList && aDelta.mTo <= aBefore;
  ScheduleCall(aNow, hasNoChange ? mOptions.mMinWatchPeriod : Duration{});
}

ConfigActions
ConfigSync::OnPlatformError(PlatformCallId aCall, TimePoint aNow)
{
  if (mCall && mCall->mId == aCall) {
    CallFailed(aNow);
  }
  return {};
}

bool
ConfigSync::ShouldWatch(TimePoint aNow)
{
  if (mRank < mOptions.mWatcherCount || mRank >= mRankedWatchers.size()) {
    mTakenOver = false;
    return mRank < mOptions.mWatcherCount;
  }
  const auto limit =
    mOptions.mTakeOverAge * static_cast<int>(mRank - mOptions.mWatcherCount + 1);
  const auto lastContact = std::max(mLastContactAt.value_or(mStartedAt), mStartedAt);
  mTakenOver = mTakenOver || aNow - lastContact > limit;
  return mTakenOver;
}

void
ConfigSync::UpdateWatch(TimePoint aNow, ConfigActions& aActions)
{
  const bool shouldWatch = ShouldWatch(aNow);
  if (shouldWatch && !mWatching) {
    mWatching = true;
    // A VM without peers delays its first call by a random part of the time in which the
    // budget allows one call of each VM: after a restart of the fleet, possibly all VMs
    // have no peers yet.
    const auto fleetCallTime = std::chrono::nanoseconds(std::chrono::seconds(1)) *
                               static_cast<std::int64_t>(mPeers.mFleetSize) /
                               static_cast<std::int64_t>(mOptions.mFleetCallsPerSecond);
    mNextCallAt = std::max(mNextCallAt,
                           aNow + RandomUpTo(IsAlone() ? fleetCallTime : CallInterval()));
    // A VM whose catalogue came from its peers needs only later changes. A full list
    // would be newer by a few revisions and make peers that lag pull the whole catalogue.
    mLastFullRead = mStartResult && mCatalogue.Digest().mRevision > Revision(0)
                      ? std::optional(aNow)
                      : std::nullopt;
  }
  if (!shouldWatch && mWatching) {
    mWatching = false;
    mInContact = false;
    if (mCall) {
      aActions.push_back(PlatformCancel{ mCall->mId });
      mCall.reset();
    }
  }
  if (mCall && aNow >= mCall->mExpiresAt) {
    CallFailed(aNow);
  }
  if (mWatching && !mCall && aNow >= mNextCallAt) {
    CallPlatform(aNow, aActions);
  }
}

/// Least time between two calls of this VM, such that the whole fleet stays within its
/// budget of calls. The budget is divided by the number of watchers and reserve watchers
/// of all data centres. A VM without peers divides the budget by the size of the fleet,
/// as possibly all VMs of the fleet have no peers and call the platform.
Duration
ConfigSync::CallInterval() const
{
  const auto callers =
    IsAlone()
      ? mPeers.mFleetSize
      : mPeers.mDataCentres * (mOptions.mWatcherCount + mOptions.mReserveWatcherCount);
  const auto interval = std::chrono::nanoseconds(std::chrono::seconds(1)) *
                        static_cast<std::int64_t>(std::max<std::size_t>(callers, 1)) /
                        static_cast<std::int64_t>(mOptions.mFleetCallsPerSecond);
  return interval;
}

void
ConfigSync::CallPlatform(TimePoint aNow, ConfigActions& aActions)
{
  const PlatformCallId id(++mLastCall);
  ++mCounters.mPlatformCalls;
  // A pending watch counts against the platform's limit. A VM without peers reads the
  // list instead, as its fleet may contain thousands of VMs without peers.
  const bool readsList =
    !mLastFullRead || IsAlone() || aNow - *mLastFullRead >= mOptions.mFullReadPeriod;
  const auto timeout = readsList ? Duration{} : mOptions.mWatchTimeout;
  const auto own = mCatalogue.Digest().mRevision;
  mCall = PlatformCall{ id, aNow, aNow + timeout + mOptions.mCallTimeout, own };
  if (readsList) {
    aActions.push_back(PlatformRead{ id });
  } else {
    aActions.push_back(PlatformWatch{ id, own, timeout });
  }
}

void
ConfigSync::ScheduleCall(TimePoint aNow, Duration aDelay)
{
  // A VM without peers polls. A period of at least 2 s keeps the load by a small fleet
  // negligible.
  const auto minDelay = IsAlone()
                          ? std::max<Duration>(CallInterval(), std::chrono::seconds(2))
                          : CallInterval();
  mNextCallAt = aNow + Jittered(std::max(minDelay, aDelay));
}

void
ConfigSync::CallFailed(TimePoint aNow)
{
  ++mCounters.mPlatformErrors;
  mCall.reset();
  mInContact = false;
  ScheduleCall(aNow, mBackoff);
  mBackoff = std::min(mBackoff * 2, mOptions.mBackoffMax);
}

void
ConfigSync::ConfirmContact(TimePoint aAt)
{
  mLastContactAt = std::max(mLastContactAt.value_or(aAt), aAt);
}

std::optional<Duration>
ConfigSync::PlatformAge(TimePoint aNow) const
{
  return mLastContactAt ? std::optional(aNow - *mLastContactAt) : std::nullopt;
}

bool
ConfigSync::IsFresh(TimePoint aNow, Duration aLimit) const
{
  const auto age = PlatformAge(aNow);
  return age && *age <= aLimit;
}

// ---- messages between VMs ----

ConfigActions
ConfigSync::OnMessage(const VmId& aFrom, const ConfigMessage& aMessage, TimePoint aNow)
{
  ConfigActions actions;
  if (!mIsStartCalled) {
    return actions;
  }
  if (const auto* digest = std::get_if<CatalogueDigestMessage>(&aMessage)) {
    OnDigest(aFrom, *digest, aNow, actions);
  } else if (const auto* pull = std::get_if<CataloguePullMessage>(&aMessage)) {
    OnPull(aFrom, *pull, aNow, actions);
  } else {
    OnDelta(aFrom, std::get<CatalogueDeltaMessage>(aMessage), aNow, actions);
  }
  CheckStart(aNow, actions);
  return actions;
}

CatalogueDigestMessage
ConfigSync::OwnDigest(TimePoint aNow) const
{
  const auto own = mCatalogue.Digest();
  CatalogueDigestMessage message;
  // A VM whose start wait expired without any configuration must not complete the start
  // of other VMs.
  message.mStarted = mStartResult && (mStartResult->mSource != StartSource::WaitExpired ||
                                      mPlatformListed || own.mRevision > Revision(0));
  message.mInContact = mWatching && mInContact;
  message.mDigest = own;
  message.mPlatformAge = PlatformAge(aNow);
  return message;
}

void
ConfigSync::SendDigest(const VmId& aTo, TimePoint aNow, ConfigActions& aActions)
{
  auto message = OwnDigest(aNow);
  message.mNonce = ++mLastNonce;
  mPendingDigests[message.mNonce] = PendingDigest{ aTo, aNow };
  if (mPendingDigests.size() > kMaxPendingDigests) {
    mPendingDigests.erase(mPendingDigests.begin());
  }
  ++mCounters.mDigests;
  aActions.push_back(SendConfigMessage{ aTo, message });
}

void
ConfigSync::SendRoutineDigest(TimePoint aNow, ConfigActions& aActions)
{
  mAlternate = !mAlternate;
  if (mTakenOver && mAlternate) {
    // The reply says whether the watcher of better rank has contact again.
    SendDigest(mRankedWatchers[mRandom(mRank)], aNow, aActions);
    return;
  }
  const bool toBridge = mPeers.mIsBridge && !mPeers.mRemoteBridges.empty() &&
                        (!mAlternate || mLocalPeers.empty());
  const auto& candidates = toBridge ? mPeers.mRemoteBridges : mLocalPeers;
  if (!candidates.empty()) {
    SendDigest(candidates[mRandom(candidates.size())], aNow, aActions);
  }
}

void
ConfigSync::OnDigest(const VmId& aFrom, const CatalogueDigestMessage& aMessage,
                     TimePoint aNow, ConfigActions& aActions)
{
  if (!aMessage.mReply) {
    auto reply = OwnDigest(aNow);
    reply.mNonce = aMessage.mNonce;
    reply.mReply = true;
    aActions.push_back(SendConfigMessage{ aFrom, reply });
    CompareDigests(aFrom, aMessage.mDigest, aNow, aActions);
    return;
  }
  const auto pending = mPendingDigests.find(aMessage.mNonce);
  if (pending == mPendingDigests.end() || pending->second.mPeer != aFrom) {
    return;
  }
  const auto sentAt = pending->second.mSentAt;
  mPendingDigests.erase(pending);
  // The reply was made after the request was sent. Therefore the contact is at most as
  // old as computed here, regardless of the delay of both messages. The age in a message
  // that is no reply to a request allows no such bound.
  if (aMessage.mPlatformAge && IsLocal(aFrom)) {
    ConfirmContact(sentAt - *aMessage.mPlatformAge);
  }
  const auto ranksEnd =
    mRankedWatchers.begin() + static_cast<std::ptrdiff_t>(mTakenOver ? mRank : 0);
  if (aMessage.mInContact &&
      std::find(mRankedWatchers.begin(), ranksEnd, aFrom) != ranksEnd) {
    mTakenOver = false;
  }
  mUnansweredPeers.erase(aFrom);
  if (aMessage.mStarted) {
    mPeerRevision =
      std::max(mPeerRevision.value_or(Revision(0)), aMessage.mDigest.mRevision);
  }
  CompareDigests(aFrom, aMessage.mDigest, aNow, aActions);
}

void
ConfigSync::CompareDigests(const VmId& aPeer, const CatalogueDigest& aPeerDigest,
                           TimePoint aNow, ConfigActions& aActions)
{
  const auto own = mCatalogue.Digest();
  if (own == aPeerDigest || aPeerDigest.mRevision < own.mRevision) {
    return;
  }
  if (IsPullPending(aNow)) {
    return;
  }
  if (aPeerDigest.mRevision > own.mRevision) {
    SendPull(aPeer, own.mRevision, aNow, aActions);
  } else if (aNow >= mNextFullPullAt) {
    mNextFullPullAt = aNow + mFullPullBackoff;
    SendPull(aPeer, Revision(0), aNow, aActions);
    mPull->mFull = true;
  }
}

void
ConfigSync::SendPull(const VmId& aTo, Revision aSince, TimePoint aNow,
                     ConfigActions& aActions)
{
  mPull = Pull{ ++mLastNonce, aNow, false };
  ++mCounters.mPulls;
  aActions.push_back(
    SendConfigMessage{ aTo, CataloguePullMessage{ mPull->mNonce, aSince } });
}

void
ConfigSync::OnPull(const VmId& aFrom, const CataloguePullMessage& aMessage,
                   TimePoint aNow, ConfigActions& aActions)
{
  auto parts =
    SplitDelta(mCatalogue.DeltaSince(aMessage.mSince), mOptions.mMaxMessageBytes);
  for (auto& part : parts) {
    aActions.push_back(
      SendConfigMessage{ aFrom, CatalogueDeltaMessage{ aMessage.mNonce, std::move(part),
                                                       PlatformAge(aNow) } });
  }
}

void
ConfigSync::OnDelta(const VmId& aFrom, const CatalogueDeltaMessage& aMessage,
                    TimePoint aNow, ConfigActions& aActions)
{
  const auto source = aFrom.Text() + "/" + std::to_string(aMessage.mNonce);
  const auto delta = mAssembler.Add(source, aMessage.mDelta);
  if (!delta) {
    return;
  }
  const bool isReply = mPull && mPull->mNonce == aMessage.mNonce;
  const bool isFullPull = isReply && mPull->mFull;
  if (isReply && aMessage.mPlatformAge && IsLocal(aFrom)) {
    ConfirmContact(mPull->mSentAt - *aMessage.mPlatformAge);
  }
  if (isReply) {
    mPull.reset();
  }
  const auto propagation = isReply ? Propagation::Digest : Propagation::Delta;
  const auto status = ApplyAndPush(*delta, aFrom, propagation, aNow, aActions);
  if (status == ApplyStatus::NeedsPull && !IsPullPending(aNow)) {
    SendPull(aFrom, mCatalogue.Digest().mRevision, aNow, aActions);
  }
  if (!isFullPull) {
    return;
  }
  if (status == ApplyStatus::Applied) {
    mFullPullBackoff = kMinFullPullPeriod;
  } else {
    ++mCounters.mIneffectiveFullPulls;
    mFullPullBackoff = std::min(mFullPullBackoff * 2, mOptions.mFullPullBackoffMax);
  }
}

ApplyStatus
ConfigSync::ApplyAndPush(const CatalogueDelta& aDelta, const VmId& aFrom,
                         Propagation aPropagation, TimePoint aNow,
                         ConfigActions& aActions)
{
  auto result = mCatalogue.ApplyDelta(aDelta, aNow);
  const auto status = result.mStatus;
  if (status != ApplyStatus::Applied) {
    return status;
  }
  auto peers = RandomPeers(mOptions.mPushFanOut);
  std::erase(peers, aFrom);
  const bool isFromRemote = aFrom != mSelf && !IsLocal(aFrom);
  // Changes from another data centre are sent to the remaining data centres from there.
  if (mPeers.mIsBridge && !isFromRemote) {
    peers.insert(peers.end(), mPeers.mRemoteBridges.begin(), mPeers.mRemoteBridges.end());
  }
  const bool hasChanges = !result.mChanged.empty() || !result.mRejected.empty();
  if (hasChanges) {
    PushTo(peers, result.mBefore, aPropagation, aNow, aActions);
    aActions.push_back(CatalogueChanged{ std::move(result) });
  }
  return status;
}

void
ConfigSync::PushTo(const std::vector<VmId>& aPeers, Revision aSince,
                   Propagation aPropagation, TimePoint aNow, ConfigActions& aActions)
{
  const auto delta = mCatalogue.DeltaSince(aSince);
  // A deletion that a full list revealed at the own revision is not contained in the
  // delta since that revision.
  const bool useDigest = aPropagation == Propagation::Digest || delta.mFullList ||
                         delta.mItems.empty() ||
                         EncodedSize(delta) > mOptions.mMaxPushBytes;
  for (const auto& peer : aPeers) {
    if (useDigest) {
      SendDigest(peer, aNow, aActions);
      continue;
    }
    ++mCounters.mPushes;
    aActions.push_back(
      SendConfigMessage{ peer, CatalogueDeltaMessage{ 0, delta, PlatformAge(aNow) } });
  }
}

// ---- start ----

void
ConfigSync::RequestStartDigests(TimePoint aNow, ConfigActions& aActions)
{
  mNextStartRequestAt = aNow + kStartRequestPeriod;
  // Peers that did not reply are replaced by other random peers.
  mUnansweredPeers.clear();
  auto peers = RandomPeers(mOptions.mStartPeerCount);
  if (!mPeers.mRemoteBridges.empty()) {
    peers.push_back(mPeers.mRemoteBridges[mRandom(mPeers.mRemoteBridges.size())]);
  }
  for (const auto& peer : peers) {
    mUnansweredPeers.insert(peer);
    SendDigest(peer, aNow, aActions);
  }
}

void
ConfigSync::CheckStart(TimePoint aNow, ConfigActions& aActions)
{
  if (mStartResult) {
    return;
  }
  const auto elapsed = aNow - mStartedAt;
  const auto own = mCatalogue.Digest().mRevision;
  const bool havePeersAnswered =
    mUnansweredPeers.empty() || elapsed >= mOptions.mStartPeerWait;
  const bool isCaughtUp = havePeersAnswered && own >= mPeerRevision.value_or(Revision(0));
  if (isCaughtUp && mPeerRevision) {
    mStartResult = StartComplete{ StartSource::Peers, own, elapsed };
  } else if (isCaughtUp && mPlatformListed) {
    mStartResult = StartComplete{ StartSource::Platform, own, elapsed };
  } else if (elapsed >= mOptions.mStartWait) {
    mStartResult = StartComplete{ StartSource::WaitExpired, own, elapsed };
  }
  if (mStartResult) {
    aActions.push_back(*mStartResult);
  }
}

// ---- helpers ----

bool
ConfigSync::IsLocal(const VmId& aVm) const
{
  return std::binary_search(mLocalPeers.begin(), mLocalPeers.end(), aVm);
}

bool
ConfigSync::IsPullPending(TimePoint aNow) const
{
  return mPull && aNow < mPull->mSentAt + mOptions.mPullTimeout;
}

Duration
ConfigSync::RandomUpTo(Duration aLimit)
{
  const auto bound =
    static_cast<std::uint64_t>(std::max<std::int64_t>(aLimit.count(), 0));
  return Duration(static_cast<std::int64_t>(mRandom(bound + 1)));
}

Duration
ConfigSync::Jittered(Duration aDuration)
{
  const auto width =
    std::chrono::duration_cast<Duration>(aDuration * (2 * kJitterFraction));
  return aDuration - width / 2 + RandomUpTo(width);
}

std::vector<VmId>
ConfigSync::RandomPeers(std::size_t aCount)
{
  auto peers = mLocalPeers;
  const auto count = std::min(aCount, peers.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(peers[i], peers[i + mRandom(peers.size() - i)]);
  }
  peers.resize(count);
  return peers;
}

} // namespace wasabispar
