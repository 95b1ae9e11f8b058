/// @file
/// @brief Selection of owners and the connection budget.
#include "wasabispar/fleet/ownership.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <mutex>
#include <unordered_map>

namespace wasabispar {

std::vector<VmId>
SelectOwners(const UpstreamId& aUpstream, const std::vector<VmId>& aMembers,
             std::size_t aMaxOwners)
{
  return RendezvousTop(aUpstream.Text(), aMembers, aMaxOwners);
}

std::uint32_t
ConnectionQuotaPerOwner(std::uint32_t aLimit, std::uint32_t aReserve, std::size_t aOwners)
{
  if (aOwners == 0 || aLimit <= aReserve) {
    return 0;
  }
  return static_cast<std::uint32_t>((aLimit - aReserve) / aOwners);
}

namespace {

struct DeadMember
{
  /// When this VM recorded the death.
  TimePoint mStateSince{};
  /// The latest platform list does not name the VM.
  bool mIsAbsent = false;
};

struct UpstreamBudget
{
  /// Connections that the upstream accepts from all VMs; 0 if it was removed.
  std::uint32_t mLimit = 0;
  std::uint32_t mOpenConnections = 0;
  /// Generation of the set of quota holders from which mOwners and mQuota were computed;
  /// 0 if they must be computed again.
  std::uint64_t mGeneration = 0;
  std::vector<VmId> mOwners;
  /// Connections that this VM may hold.
  std::uint32_t mQuota = 0;
};

} // namespace

struct ConnectionBudget::State
{
  State(VmId aSelf, ConnectionBudgetOptions aOptions, TimePoint aNow)
    : mSelf(std::move(aSelf))
    , mOptions(aOptions)
    , mMayHoldFrom(aNow + mOptions.mIsolatedSettleTime)
    , mMayOpenFrom(mMayHoldFrom)
  {
    mQuotaHolders.push_back(mSelf);
  }

  void OnView(const MemberView& aView, TimePoint aNow)
  {
    if (aView.mEpoch < mEpoch) {
      return;
    }
    mEpoch = aView.mEpoch;
    mNotDeadMembers = aView.mLocalQuotaHolders;
    mLiveMembers = aView.mLocalLive;
    mDeadMembers.clear();
    const auto* self = aView.Find(aView.mSelf);
    for (const auto& [vm, member] : aView.mMembers) {
      if (member.mState == MemberState::Dead && self &&
          member.mIdentity.mDataCentre == self->mIdentity.mDataCentre) {
        mDeadMembers[vm] = { member.mStateSince, member.mAbsentSince.has_value() };
      }
    }
    if (aView.mJoinedAt && !mHasJoined) {
      mHasJoined = true;
      // Also applies after the isolated settle time has passed: the quotas of the peers
      // do not take the connections of this VM into account yet.
      mMayHoldFrom = *aView.mJoinedAt + mOptions.mSettleTime;
      mMayOpenFrom = mMayHoldFrom;
    }
    UpdateQuotaHolders(aNow);
  }

  Duration ReleaseDelay(const DeadMember& aDead) const
  {
    return aDead.mIsAbsent ? mOptions.mDeadReleaseDelay : mOptions.mListedReleaseDelay;
  }

  void UpdateQuotaHolders(TimePoint aNow)
  {
    auto holders = mNotDeadMembers;
    if (std::find(holders.begin(), holders.end(), mSelf) == holders.end()) {
      holders.push_back(mSelf);
    }
    mNextRelease.reset();
    for (const auto& [vm, dead] : mDeadMembers) {
      const auto release = dead.mStateSince + ReleaseDelay(dead);
      if (release <= aNow) {
        continue;
      }
      holders.push_back(vm);
      mNextRelease = mNextRelease ? std::min(*mNextRelease, release) : release;
    }
    std::sort(holders.begin(), holders.end());
    if (holders != mQuotaHolders) {
      mQuotaHolders = std::move(holders);
      ++mGeneration;
    }
  }

  /// Updates the set of quota holders if a release delay has passed, and the owners and
  /// the quota of this upstream if the set has changed.
  void RefreshQuota(const UpstreamId& aUpstream, UpstreamBudget& aBudget, TimePoint aNow)
  {
    if (mNextRelease && aNow >= *mNextRelease) {
      UpdateQuotaHolders(aNow);
    }
    if (aBudget.mGeneration == mGeneration) {
      return;
    }
    aBudget.mGeneration = mGeneration;
    const auto usable =
      aBudget.mLimit > mOptions.mReserve ? aBudget.mLimit - mOptions.mReserve : 0U;
    // With more owners than usable connections, the quota of each owner would be 0.
    const auto count = std::min<std::size_t>(mOptions.mMaxOwners, usable);
    aBudget.mOwners = SelectOwners(aUpstream, mQuotaHolders, count);
    const bool isOwner = std::find(aBudget.mOwners.begin(), aBudget.mOwners.end(),
                                   mSelf) != aBudget.mOwners.end();
    aBudget.mQuota = isOwner ? ConnectionQuotaPerOwner(aBudget.mLimit, mOptions.mReserve,
                                                       aBudget.mOwners.size())
                             : 0;
  }

  std::uint32_t AllowedConnections(const UpstreamId& aUpstream, UpstreamBudget& aBudget,
                                   TimePoint aNow)
  {
    if (aNow < mMayHoldFrom) {
      return 0;
    }
    RefreshQuota(aUpstream, aBudget, aNow);
    return aNow < mMayOpenFrom ? std::min(aBudget.mQuota, aBudget.mOpenConnections)
                               : aBudget.mQuota;
  }

  /// Guards all members below.
  std::mutex mMutex;
  const VmId mSelf;
  const ConnectionBudgetOptions mOptions;
  std::uint64_t mEpoch = 0;
  bool mHasJoined = false;
  /// Before this time this VM may hold no connection.
  TimePoint mMayHoldFrom;
  /// Before this time this VM may open no connection; not earlier than mMayHoldFrom.
  TimePoint mMayOpenFrom;
  /// MemberView::mLocalQuotaHolders of the last view.
  std::vector<VmId> mNotDeadMembers;
  /// MemberView::mLocalLive of the last view.
  std::vector<VmId> mLiveMembers;
  /// Dead members of the own data centre.
  std::map<VmId, DeadMember> mDeadMembers;
  /// The VMs among which connections are divided; sorted, contains this VM.
  std::vector<VmId> mQuotaHolders;
  /// Incremented with each change of mQuotaHolders.
  std::uint64_t mGeneration = 1;
  /// When the next quota of a dead member is released; empty if none is pending.
  std::optional<TimePoint> mNextRelease;
  std::unordered_map<UpstreamId, UpstreamBudget> mUpstreams;
};

ConnectionBudget::ConnectionBudget(VmId aSelf, ConnectionBudgetOptions aOptions,
                                   TimePoint aNow)
  : mState(std::make_unique<State>(std::move(aSelf), aOptions, aNow))
{
}

ConnectionBudget::~ConnectionBudget() = default;

void
ConnectionBudget::OnView(const MemberView& aView, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  mState->OnView(aView, aNow);
}

void
ConnectionBudget::OnPause(Duration aGap, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  mState->mMayOpenFrom =
    std::max(mState->mMayOpenFrom, aNow + mState->mOptions.mSettleTime);
  if (aGap >= mState->mOptions.mDeadReleaseDelay) {
    mState->mMayHoldFrom = mState->mMayOpenFrom;
  }
}

void
ConnectionBudget::SetLimit(const UpstreamId& aUpstream, std::uint32_t aLimit)
{
  const std::lock_guard lock(mState->mMutex);
  auto& budget = mState->mUpstreams[aUpstream];
  if (budget.mLimit != aLimit) {
    budget.mLimit = aLimit;
    budget.mGeneration = 0;
  }
  if (aLimit == 0 && budget.mOpenConnections == 0) {
    mState->mUpstreams.erase(aUpstream);
  }
}

std::uint32_t
ConnectionBudget::AllowedConnections(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  return found == mState->mUpstreams.end()
           ? 0
           : mState->AllowedConnections(aUpstream, found->second, aNow);
}

bool
ConnectionBudget::TryOpen(const UpstreamId& aUpstream, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  if (found == mState->mUpstreams.end() ||
      found->second.mOpenConnections >=
        mState->AllowedConnections(aUpstream, found->second, aNow)) {
    return false;
  }
  ++found->second.mOpenConnections;
  return true;
}

void
ConnectionBudget::OnClosed(const UpstreamId& aUpstream)
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  if (found == mState->mUpstreams.end() || found->second.mOpenConnections == 0) {
    return;
  }
  if (--found->second.mOpenConnections == 0 && found->second.mLimit == 0) {
    mState->mUpstreams.erase(found);
  }
}

std::uint32_t
ConnectionBudget::SurplusConnections(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  if (found == mState->mUpstreams.end()) {
    return 0;
  }
  const auto allowed = mState->AllowedConnections(aUpstream, found->second, aNow);
  return found->second.mOpenConnections > allowed
           ? found->second.mOpenConnections - allowed
           : 0;
}

std::uint32_t
ConnectionBudget::OpenConnections(const UpstreamId& aUpstream) const
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  return found == mState->mUpstreams.end() ? 0 : found->second.mOpenConnections;
}

std::vector<VmId>
ConnectionBudget::LiveOwners(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  if (found == mState->mUpstreams.end()) {
    return {};
  }
  mState->RefreshQuota(aUpstream, found->second, aNow);
  std::vector<VmId> live;
  for (const auto& vm : found->second.mOwners) {
    if (std::binary_search(mState->mLiveMembers.begin(), mState->mLiveMembers.end(),
                           vm)) {
      live.push_back(vm);
    }
  }
  return live;
}

std::vector<VmId>
ConnectionBudget::QuotaHolders(TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  mState->UpdateQuotaHolders(aNow);
  return mState->mQuotaHolders;
}

} // namespace wasabispar
