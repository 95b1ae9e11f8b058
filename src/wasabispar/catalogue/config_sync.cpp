/// @file
/// @brief Platform calls, messages between VMs and the start of a VM.
#include "wasabispar/catalogue/config_sync.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace wasabispar {
namespace {

/// Digest requests without reply that are remembered; the oldest is forgotten first.
constexpr std::size_t kMaxPendingDigests = 64;
/// Period between two rounds of questions during the start.
constexpr Duration kStartRequestPeriod = std::chrono::seconds(1);
/// Two full pulls are at least this far apart.
constexpr Duration kMinFullPullPeriod = std::chrono::seconds(4);
/// The first nonce of a process is random below this, so that a late reply to an earlier
/// incarnation of the VM is not taken for a reply to this one.
constexpr std::uint64_t kNonceRange = std::uint64_t(1) << 62;
/// Platform calls are spread by this share of their period around it.
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
  if (!mStarted && aNow >= mNextStartRequestAt) {
    RequestStartDigests(aNow, actions);
  }
  if (aNow >= mNextDigestAt) {
    SendRoutineDigest(aNow, actions);
    mNextDigestAt = aNow + Jittered(mOptions.mDigestPeriod);
  }
  CheckStart(aNow, actions);
  return actions;
}

// ---- platform ----

ConfigActions
ConfigSync::OnPlatformReply(PlatformCallId aCall, const CatalogueDelta& aDelta,
                            TimePoint aNow)
{
  ConfigActions actions;
  const auto before = mCatalogue.Digest().mRevision;
  const auto status = ApplyAndPush(aDelta, mSelf, Propagation::Delta, aNow, actions);
  if (mCall && mCall->mId == aCall) {
    // A push may have overtaken the reply, so it is compared with the revision at the
    // time of the call. A platform that went back to an older revision is no confirmed
    // contact: it does not know the newest configuration.
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
  const bool idle = !aDelta.mFullList && aDelta.mTo <= aBefore;
  ScheduleCall(aNow, idle ? mOptions.mMinWatchPeriod : Duration{});
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
  const bool watch = ShouldWatch(aNow);
  if (watch && !mWatching) {
    mWatching = true;
    // Propagation over the fleet, as after a restart of all VMs each may see itself
    // alone.
    const auto spread = std::chrono::nanoseconds(std::chrono::seconds(1)) *
                        static_cast<std::int64_t>(mPeers.mFleetSize) /
                        static_cast<std::int64_t>(mOptions.mFleetCallsPerSecond);
    mNextCallAt =
      std::max(mNextCallAt, aNow + RandomUpTo(IsAlone() ? spread : CallInterval()));
    // A VM that caught up with its peers needs only the changes from now on. A list
    // would be newer by a few revisions and make lagging peers pull all of it.
    mLastFullRead = mStarted && mCatalogue.Digest().mRevision > Revision(0)
                      ? std::optional(aNow)
                      : std::nullopt;
  }
  if (!watch && mWatching) {
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

/// The least time between two calls of this VM. A watcher's share of the budget
/// depends on the number of data centres; a VM that is alone may be one of a whole
/// fleet whose VMs see no peers, so its share depends on the size of the fleet.
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
  // A pending watch counts against the platform's limit, so a VM that sees no peers
  // reads instead: its fleet may hold thousands of such VMs.
  const bool read =
    !mLastFullRead || IsAlone() || aNow - *mLastFullRead >= mOptions.mFullReadPeriod;
  const auto timeout = read ? Duration{} : mOptions.mWatchTimeout;
  const auto own = mCatalogue.Digest().mRevision;
  mCall = PlatformCall{ id, aNow, aNow + timeout + mOptions.mCallTimeout, own };
  if (read) {
    aActions.push_back(PlatformRead{ id });
  } else {
    aActions.push_back(PlatformWatch{ id, own, timeout });
  }
}

void
ConfigSync::ScheduleCall(TimePoint aNow, Duration aDelay)
{
  // A lone VM polls; two seconds keep a small deployment's load negligible.
  const auto least = IsAlone()
                       ? std::max<Duration>(CallInterval(), std::chrono::seconds(2))
                       : CallInterval();
  mNextCallAt = aNow + Jittered(std::max(least, aDelay));
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

// ---- messages ----

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
  // A VM whose wait expired with nothing must not complete the start of others.
  message.mStarted = mStarted && (mStarted->mSource != StartSource::WaitExpired ||
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
    // Asks a better rank whether it has contact again.
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
  // The reply was made after the request was sent, so this bound holds however long
  // either was delayed. The age in a message that answers no request proves nothing.
  if (aMessage.mPlatformAge && IsLocal(aFrom)) {
    ConfirmContact(sentAt - *aMessage.mPlatformAge);
  }
  const auto better =
    mRankedWatchers.begin() + static_cast<std::ptrdiff_t>(mTakenOver ? mRank : 0);
  if (aMessage.mInContact &&
      std::find(mRankedWatchers.begin(), better, aFrom) != better) {
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
  const bool answer = mPull && mPull->mNonce == aMessage.mNonce;
  const bool full = answer && mPull->mFull;
  if (answer && aMessage.mPlatformAge && IsLocal(aFrom)) {
    ConfirmContact(mPull->mSentAt - *aMessage.mPlatformAge);
  }
  if (answer) {
    mPull.reset();
  }
  const auto spread = answer ? Propagation::Digest : Propagation::Delta;
  const auto status = ApplyAndPush(*delta, aFrom, spread, aNow, aActions);
  if (status == ApplyStatus::NeedsPull && !IsPullPending(aNow)) {
    SendPull(aFrom, mCatalogue.Digest().mRevision, aNow, aActions);
  }
  if (!full) {
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
  const bool fromOutside = aFrom != mSelf && !IsLocal(aFrom);
  // What came from another data centre reaches the others from there.
  if (mPeers.mIsBridge && !fromOutside) {
    peers.insert(peers.end(), mPeers.mRemoteBridges.begin(), mPeers.mRemoteBridges.end());
  }
  const bool news = !result.mChanged.empty() || !result.mRejected.empty();
  if (news) {
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
  // A deletion found at the own revision is not part of a delta since that revision.
  const bool announce = aPropagation == Propagation::Digest || delta.mFullList ||
                        delta.mItems.empty() ||
                        EncodedSize(delta) > mOptions.mMaxPushBytes;
  for (const auto& peer : aPeers) {
    if (announce) {
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
  // Peers that stayed silent are replaced by others, which may answer.
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
  if (mStarted) {
    return;
  }
  const auto took = aNow - mStartedAt;
  const auto own = mCatalogue.Digest().mRevision;
  const bool havePeersAnswered =
    mUnansweredPeers.empty() || took >= mOptions.mStartPeerWait;
  const bool caughtUp = havePeersAnswered && own >= mPeerRevision.value_or(Revision(0));
  if (caughtUp && mPeerRevision) {
    mStarted = StartComplete{ StartSource::Peers, own, took };
  } else if (caughtUp && mPlatformListed) {
    mStarted = StartComplete{ StartSource::Platform, own, took };
  } else if (took >= mOptions.mStartWait) {
    mStarted = StartComplete{ StartSource::WaitExpired, own, took };
  }
  if (mStarted) {
    aActions.push_back(*mStarted);
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
