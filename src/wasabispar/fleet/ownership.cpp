/// @file
/// @brief Shares of connections.
#include "wasabispar/fleet/ownership.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <mutex>
#include <unordered_map>

namespace wasabispar {

std::vector<VmId>
Owners(const UpstreamId& aUpstream, const std::vector<VmId>& aMembers,
       std::size_t aMaxOwners)
{
  return RendezvousTop(aUpstream.Text(), aMembers, aMaxOwners);
}

std::uint32_t
ConnectionShare(std::uint32_t aLimit, std::uint32_t aReserve, std::size_t aOwners)
{
  if (aOwners == 0 || aLimit <= aReserve) {
    return 0;
  }
  return static_cast<std::uint32_t>((aLimit - aReserve) / aOwners);
}

namespace {

struct DeadMember
{
  TimePoint mSince{};
  /// A platform list without the VM has arrived.
  bool mIsAbsent = false;
};

struct UpstreamBudget
{
  std::uint32_t mLimit = 0;
  std::uint32_t mOpen = 0;
  /// Owners and own share are valid for this generation of the sharer set.
  std::uint64_t mGeneration = 0;
  std::vector<VmId> mOwners;
  std::uint32_t mShare = 0;
};

} // namespace

struct ConnectionBudget::State
{
  State(VmId aSelf, ConnectionBudgetOptions aOptions, TimePoint aNow)
    : mSelf(std::move(aSelf))
    , mOptions(aOptions)
    , mKeepsFrom(aNow + mOptions.mIsolatedSettleTime)
    , mOpensFrom(mKeepsFrom)
  {
    mSharers.push_back(mSelf);
  }

  void OnView(const MemberView& aView, TimePoint aNow)
  {
    if (aView.mEpoch < mEpoch) {
      return;
    }
    mEpoch = aView.mEpoch;
    mNotDead = aView.mLocalSharers;
    mLive = aView.mLocalLive;
    mDead.clear();
    const auto* self = aView.Find(aView.mSelf);
    for (const auto& [vm, member] : aView.mMembers) {
      if (member.mState == MemberState::Dead && self &&
          member.mIdentity.mDataCentre == self->mIdentity.mDataCentre) {
        mDead[vm] = { member.mSince, member.mAbsentSince.has_value() };
      }
    }
    if (aView.mJoinedAt && !mHasJoined) {
      mHasJoined = true;
      // Also after the isolated settle time: the peers now met do not know yet what
      // this VM holds.
      mKeepsFrom = *aView.mJoinedAt + mOptions.mSettleTime;
      mOpensFrom = mKeepsFrom;
    }
    UpdateSharers(aNow);
  }

  Duration HoldTime(const DeadMember& aDead) const
  {
    return aDead.mIsAbsent ? mOptions.mDeadHoldTime : mOptions.mListedHoldTime;
  }

  void UpdateSharers(TimePoint aNow)
  {
    auto sharers = mNotDead;
    if (std::find(sharers.begin(), sharers.end(), mSelf) == sharers.end()) {
      sharers.push_back(mSelf);
    }
    mNextRelease.reset();
    for (const auto& [vm, dead] : mDead) {
      const auto release = dead.mSince + HoldTime(dead);
      if (release <= aNow) {
        continue;
      }
      sharers.push_back(vm);
      mNextRelease = mNextRelease ? std::min(*mNextRelease, release) : release;
    }
    std::sort(sharers.begin(), sharers.end());
    if (sharers != mSharers) {
      mSharers = std::move(sharers);
      ++mGeneration;
    }
  }

  /// Brings the sharer set and the share of this upstream up to date.
  void Refresh(const UpstreamId& aUpstream, UpstreamBudget& aBudget, TimePoint aNow)
  {
    if (mNextRelease && aNow >= *mNextRelease) {
      UpdateSharers(aNow);
    }
    if (aBudget.mGeneration == mGeneration) {
      return;
    }
    aBudget.mGeneration = mGeneration;
    const auto usable =
      aBudget.mLimit > mOptions.mReserve ? aBudget.mLimit - mOptions.mReserve : 0U;
    // More owners than connections would leave each of them a share of 0.
    const auto count = std::min<std::size_t>(mOptions.mMaxOwners, usable);
    aBudget.mOwners = Owners(aUpstream, mSharers, count);
    const bool isOwner = std::find(aBudget.mOwners.begin(), aBudget.mOwners.end(),
                                   mSelf) != aBudget.mOwners.end();
    aBudget.mShare =
      isOwner ? ConnectionShare(aBudget.mLimit, mOptions.mReserve, aBudget.mOwners.size())
              : 0;
  }

  std::uint32_t Allowed(const UpstreamId& aUpstream, UpstreamBudget& aBudget,
                        TimePoint aNow)
  {
    if (aNow < mKeepsFrom) {
      return 0;
    }
    Refresh(aUpstream, aBudget, aNow);
    return aNow < mOpensFrom ? std::min(aBudget.mShare, aBudget.mOpen) : aBudget.mShare;
  }

  /// Guards all members below.
  std::mutex mMutex;
  const VmId mSelf;
  const ConnectionBudgetOptions mOptions;
  std::uint64_t mEpoch = 0;
  bool mHasJoined = false;
  /// Before this time the VM may hold no connection.
  TimePoint mKeepsFrom;
  /// Before this time the VM may open no connection; not before mKeepsFrom.
  TimePoint mOpensFrom;
  std::vector<VmId> mNotDead;
  std::vector<VmId> mLive;
  std::map<VmId, DeadMember> mDead;
  /// Sorted; contains this VM.
  std::vector<VmId> mSharers;
  /// Raised with each change of mSharers.
  std::uint64_t mGeneration = 1;
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
  mState->mOpensFrom = std::max(mState->mOpensFrom, aNow + mState->mOptions.mSettleTime);
  if (aGap >= mState->mOptions.mDeadHoldTime) {
    mState->mKeepsFrom = mState->mOpensFrom;
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
  if (aLimit == 0 && budget.mOpen == 0) {
    mState->mUpstreams.erase(aUpstream);
  }
}

std::uint32_t
ConnectionBudget::Allowed(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  return found == mState->mUpstreams.end()
           ? 0
           : mState->Allowed(aUpstream, found->second, aNow);
}

bool
ConnectionBudget::TryOpen(const UpstreamId& aUpstream, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  if (found == mState->mUpstreams.end() ||
      found->second.mOpen >= mState->Allowed(aUpstream, found->second, aNow)) {
    return false;
  }
  ++found->second.mOpen;
  return true;
}

void
ConnectionBudget::OnClosed(const UpstreamId& aUpstream)
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  if (found == mState->mUpstreams.end() || found->second.mOpen == 0) {
    return;
  }
  if (--found->second.mOpen == 0 && found->second.mLimit == 0) {
    mState->mUpstreams.erase(found);
  }
}

std::uint32_t
ConnectionBudget::Surplus(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  if (found == mState->mUpstreams.end()) {
    return 0;
  }
  const auto allowed = mState->Allowed(aUpstream, found->second, aNow);
  return found->second.mOpen > allowed ? found->second.mOpen - allowed : 0;
}

std::uint32_t
ConnectionBudget::Open(const UpstreamId& aUpstream) const
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  return found == mState->mUpstreams.end() ? 0 : found->second.mOpen;
}

std::vector<VmId>
ConnectionBudget::LiveOwners(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mUpstreams.find(aUpstream);
  if (found == mState->mUpstreams.end()) {
    return {};
  }
  mState->Refresh(aUpstream, found->second, aNow);
  std::vector<VmId> live;
  for (const auto& vm : found->second.mOwners) {
    if (std::binary_search(mState->mLive.begin(), mState->mLive.end(), vm)) {
      live.push_back(vm);
    }
  }
  return live;
}

std::vector<VmId>
ConnectionBudget::Sharers(TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  mState->UpdateSharers(aNow);
  return mState->mSharers;
}

} // namespace wasabispar
