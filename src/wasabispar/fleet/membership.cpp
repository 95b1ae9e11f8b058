/// @file
/// @brief The SWIM state machine.
#include "wasabispar/fleet/membership.hpp"

#include "update_queue.hpp"
#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <mutex>
#include <tuple>
#include <unordered_set>

namespace wasabispar {

namespace {

/// Time between two ticks above which time-outs are extended: answers may wait unread
/// in the own process.
constexpr Duration kLateTickThreshold = std::chrono::milliseconds(200);
/// Unconfirmed members probed by one tick, so that a first platform list with hundreds
/// of VMs causes no burst.
constexpr std::size_t kMaxUnconfirmedProbesPerTick = 4;
/// Period in which dead members that may be removed are looked for.
constexpr Duration kDeadlineScanPeriod = std::chrono::seconds(10);
constexpr Duration kUnconfirmedRetryPeriod = std::chrono::seconds(2);
/// Answers with more changes than this are a bulk transfer; they are not passed on,
/// because the others compare views themselves.
constexpr std::size_t kMaxRelayedChanges = 64;
/// Piggybacked copies of the news that a listed VM answers.
constexpr std::size_t kListedJoinCopies = 2;
/// Probes that ask for whole views after the start and after a pause.
constexpr unsigned kViewComparisonsAfterJoin = 3;

struct Entry
{
  Member mMember;
  /// Announced itself as leaving in this incarnation; stays set while suspect.
  bool mIsLeaving = false;
  /// End of the suspicion, or of the time in which an unconfirmed member may answer.
  TimePoint mDeadline{};
  TimePoint mLastProbe{};
};

struct Probe
{
  VmId mTarget;
  TimePoint mDeadline{};
  bool mIsIndirect = false;
};

struct Relay
{
  VmId mRequester;
  std::string mAddress;
  std::uint64_t mSequence = 0;
  TimePoint mDeadline{};
};

using Precedence = std::tuple<Incarnation, std::uint64_t, MemberState>;

Precedence
PrecedenceOf(const MemberUpdate& aUpdate)
{
  return { aUpdate.mIdentity.mIncarnation, aUpdate.mStateVersion, aUpdate.mState };
}

MemberUpdate
UpdateOf(const Member& aMember)
{
  return { aMember.mIdentity, aMember.mState, aMember.mStateVersion };
}

bool
IsDead(const Entry& aEntry)
{
  return aEntry.mMember.mState == MemberState::Dead;
}

/// Never answered anyone: known from a platform list only.
bool
IsListedOnly(const Entry& aEntry)
{
  return aEntry.mMember.mStateVersion == 0;
}

std::string
BridgeKey(const DataCentreId& aDataCentre)
{
  return "bridge/" + aDataCentre.Text();
}

} // namespace

struct Membership::State
{
  State(VmIdentity aSelf, MembershipOptions aOptions, RandomFn aRandom, TimePoint aNow)
    : mOptions(aOptions)
    , mRandom(std::move(aRandom))
    , mOwnUpdate{ std::move(aSelf), MemberState::Alive, 1 }
    , mOwnStateSince(aNow)
    , mStartedAt(aNow)
    , mLastTick(aNow)
    , mNextDeadlineScan(aNow)
    , mNextProbe(aNow)
    , mNextDeadProbe(aNow + mOptions.mDeadProbePeriod)
    , mNextCompare(aNow + mOptions.mComparePeriod)
    , mNextBridge(aNow)
    , mNextBridgeCompare(aNow)
    , mPushWindowStart(aNow)
  {
    RebuildView();
  }

  const VmId& SelfId() const { return mOwnUpdate.mIdentity.mVm; }
  bool IsLocal(const Entry& aEntry) const
  {
    return aEntry.mMember.mIdentity.mDataCentre == mOwnUpdate.mIdentity.mDataCentre;
  }

  // ---- view ----

  void RebuildView()
  {
    auto view = std::make_shared<MemberView>();
    view->mEpoch = ++mEpoch;
    view->mSelf = SelfId();
    view->mJoinedAt = mJoinedAt;
    Member own;
    own.mIdentity = mOwnUpdate.mIdentity;
    own.mState = mOwnUpdate.mState;
    own.mStateVersion = mOwnUpdate.mStateVersion;
    own.mStateSince = mOwnStateSince;
    own.mListedState = mOwnListedState;
    view->mMembers.emplace(SelfId(), std::move(own));
    for (const auto& [vm, entry] : mMembers) {
      view->mMembers.emplace(vm, entry.mMember);
    }
    std::map<DataCentreId, std::vector<VmId>> candidates;
    mRing.clear();
    for (const auto& [vm, member] : view->mMembers) {
      if (member.mState == MemberState::Dead) {
        continue;
      }
      const bool leaving = vm == SelfId() ? mOwnUpdate.mState == MemberState::Leaving
                                          : mMembers.at(vm).mIsLeaving;
      if (!leaving) {
        candidates[member.mIdentity.mDataCentre].push_back(vm);
      }
      if (member.mIdentity.mDataCentre != mOwnUpdate.mIdentity.mDataCentre) {
        continue;
      }
      view->mLocalQuotaHolders.push_back(vm);
      mRing.emplace_back(HashText(vm.Text()), vm);
      if (!leaving && member.mState != MemberState::Unconfirmed) {
        view->mLocalLive.push_back(vm);
      }
    }
    std::sort(mRing.begin(), mRing.end());
    mBridges.clear();
    for (const auto& [dataCentre, vms] : candidates) {
      // The own bridges are chosen among VMs that answer.
      const auto& eligible =
        dataCentre == mOwnUpdate.mIdentity.mDataCentre ? view->mLocalLive : vms;
      mBridges[dataCentre] =
        RendezvousTop(BridgeKey(dataCentre), eligible, mOptions.mBridges);
    }
    mBridgeCandidates = std::move(candidates);
    mView = std::move(view);
    mIsViewStale = false;
  }

  /// Brings the view and what is derived from it up to date. Called on use only, so
  /// that a burst of changes costs one rebuild.
  void RefreshView()
  {
    if (mIsViewStale) {
      RebuildView();
    }
  }

  bool IsBridge()
  {
    RefreshView();
    const auto found = mBridges.find(mOwnUpdate.mIdentity.mDataCentre);
    return found != mBridges.end() &&
           std::find(found->second.begin(), found->second.end(), SelfId()) !=
             found->second.end();
  }

  std::map<DataCentreId, std::uint64_t> Digests() const
  {
    std::map<DataCentreId, std::uint64_t> digests;
    digests[mOwnUpdate.mIdentity.mDataCentre] =
      HashText(SelfId().Text(), mOwnUpdate.mIdentity.mIncarnation.Value());
    for (const auto& [vm, entry] : mMembers) {
      const auto& member = entry.mMember;
      auto& digest = digests[member.mIdentity.mDataCentre];
      if (member.mState != MemberState::Dead &&
          member.mState != MemberState::Unconfirmed) {
        digest ^= HashText(vm.Text(), member.mIdentity.mIncarnation.Value());
      }
    }
    return digests;
  }

  // ---- changes ----

  void AddChange(const Entry& aEntry, std::optional<MemberState> aBefore,
                 bool aIsReplaced, MembershipActions& aActions)
  {
    mIsViewStale = true;
    aActions.mChanges.push_back({ aBefore, aEntry.mMember, aIsReplaced });
  }

  void QueueUpdate(const VmId& aVm, bool aIsLocal)
  {
    const auto group = mMembers.size() + 1;
    const auto found = mMembers.find(aVm);
    // A VM on the platform list is known to the others, and probes them itself. With
    // reliable copies of such news the probes stayed full for minutes after a start of
    // 367 VMs.
    const bool isListedJoin = aIsLocal && found != mMembers.end() &&
                              found->second.mMember.mState == MemberState::Alive &&
                              found->second.mMember.mStateVersion <= 1 &&
                              found->second.mMember.mListedState != ListedState::Absent;
    mQueue.Add(aVm, isListedJoin ? kListedJoinCopies : ReliableCopies(group));
    mIsPushPending = mIsPushPending || aIsLocal;
  }

  void SetDeadline(Entry& aEntry, TimePoint aDeadline)
  {
    aEntry.mDeadline = aDeadline;
    mNextDeadlineScan = std::min(mNextDeadlineScan, aDeadline);
  }

  void SetState(Entry& aEntry, MemberState aState, TimePoint aNow,
                MembershipActions& aActions)
  {
    const auto before = aEntry.mMember.mState;
    aEntry.mMember.mState = aState;
    aEntry.mMember.mStateSince = aNow;
    if (aState == MemberState::Suspect) {
      SetDeadline(aEntry, aNow + mOptions.mSuspicionTime);
      ++mCounters.mSuspicions;
    }
    if (aState == MemberState::Dead) {
      ++mCounters.mDeaths;
    }
    AddChange(aEntry, before, false, aActions);
    if (!IsListedOnly(aEntry)) {
      QueueUpdate(aEntry.mMember.mIdentity.mVm, IsLocal(aEntry));
    }
  }

  /// Handles what another VM says about this one.
  void HandleUpdateAboutSelf(const MemberUpdate& aUpdate, TimePoint aNow,
                             MembershipActions& aActions)
  {
    if (aUpdate.mIdentity.mIncarnation > mOwnUpdate.mIdentity.mIncarnation) {
      aActions.mIsSuperseded = true;
      return;
    }
    const bool isOlder = PrecedenceOf(aUpdate) <= PrecedenceOf(mOwnUpdate);
    if (isOlder || aUpdate.mIdentity.mIncarnation != mOwnUpdate.mIdentity.mIncarnation) {
      return;
    }
    ++mCounters.mRefutations;
    RaiseOwnVersion(aUpdate.mStateVersion, aNow);
  }

  void RaiseOwnVersion(std::uint64_t aAbove, TimePoint aNow)
  {
    mOwnUpdate.mStateVersion = std::max(mOwnUpdate.mStateVersion, aAbove) + 1;
    mOwnStateSince = aNow;
    mIsViewStale = true;
    QueueUpdate(SelfId(), true);
  }

  /// Returns the new entry, or null when the table is full.
  Entry* Insert(const VmIdentity& aIdentity, TimePoint aNow)
  {
    if (mMembers.size() >= mOptions.mMaxMembers) {
      ++mCounters.mIgnoredMembers;
      return nullptr;
    }
    auto& entry = mMembers[aIdentity.mVm];
    entry.mMember.mIdentity = aIdentity;
    entry.mMember.mStateSince = aNow;
    SetDeadline(entry, aNow + mOptions.mUnconfirmedTimeout);
    mMayHaveUnconfirmed = true;
    return &entry;
  }

  /// Applies what another VM says about a third one; returns whether it was news.
  bool Merge(const MemberUpdate& aUpdate, TimePoint aNow, MembershipActions& aActions)
  {
    const auto& vm = aUpdate.mIdentity.mVm;
    if (vm == SelfId()) {
      HandleUpdateAboutSelf(aUpdate, aNow, aActions);
      return false;
    }
    auto found = mMembers.find(vm);
    std::optional<MemberState> before;
    bool replaced = false;
    if (found == mMembers.end()) {
      // A removed dead member must not come back from a longer memory. A VM that joins
      // takes over the dead ones, as they may still hold connections.
      const bool wasRemoved = aUpdate.mState == MemberState::Dead &&
                              aNow - mStartedAt >= mOptions.mUnconfirmedTimeout;
      if (wasRemoved || !Insert(aUpdate.mIdentity, aNow)) {
        return false;
      }
      found = mMembers.find(vm);
    } else {
      const auto known = UpdateOf(found->second.mMember);
      if (PrecedenceOf(aUpdate) <= PrecedenceOf(known)) {
        return false;
      }
      before = known.mState;
      replaced = known.mIdentity.mIncarnation != Incarnation() &&
                 aUpdate.mIdentity.mIncarnation > known.mIdentity.mIncarnation;
    }
    auto& entry = found->second;
    const bool isNewRun =
      aUpdate.mIdentity.mIncarnation != entry.mMember.mIdentity.mIncarnation;
    entry.mMember.mIdentity = aUpdate.mIdentity;
    entry.mMember.mStateVersion = aUpdate.mStateVersion;
    entry.mMember.mStateSince = aNow;
    if (isNewRun || aUpdate.mState == MemberState::Alive) {
      entry.mIsLeaving = false;
    }
    entry.mIsLeaving = entry.mIsLeaving || aUpdate.mState == MemberState::Leaving;
    entry.mMember.mState = aUpdate.mState;
    if (aUpdate.mState == MemberState::Suspect) {
      SetDeadline(entry, aNow + mOptions.mSuspicionTime);
    }
    AddChange(entry, before, replaced, aActions);
    return true;
  }

  void MergeUpdates(const std::vector<MemberUpdate>& aUpdates, TimePoint aNow,
                    MembershipActions& aActions)
  {
    std::vector<const MemberUpdate*> news;
    for (const auto& update : aUpdates) {
      if (Merge(update, aNow, aActions)) {
        news.push_back(&update);
      }
    }
    if (news.size() > kMaxRelayedChanges) {
      return;
    }
    for (const auto* update : news) {
      QueueUpdate(update->mIdentity.mVm,
                  update->mIdentity.mDataCentre == mOwnUpdate.mIdentity.mDataCentre);
    }
  }

  void MergeSenderUpdate(const MemberUpdate& aUpdate, TimePoint aNow,
                         MembershipActions& aActions)
  {
    if (Merge(aUpdate, aNow, aActions)) {
      QueueUpdate(aUpdate.mIdentity.mVm,
                  aUpdate.mIdentity.mDataCentre == mOwnUpdate.mIdentity.mDataCentre);
    }
  }

  // ---- messages out ----

  std::vector<MemberUpdate> UpdatesFor(const VmId& aTarget)
  {
    std::vector<MemberUpdate> updates;
    // A target that is taken as suspect or dead must hear it, to refute it.
    const auto target = mMembers.find(aTarget);
    if (target != mMembers.end() && !IsListedOnly(target->second) &&
        target->second.mMember.mState > MemberState::Leaving) {
      updates.push_back(UpdateOf(target->second.mMember));
    }
    for (const auto& vm : mQueue.Take(mOptions.mMaxPiggybackedUpdates)) {
      if (vm == SelfId()) {
        continue; // Each message carries the sender anyway.
      }
      const auto found = mMembers.find(vm);
      if (found != mMembers.end() && vm != aTarget) {
        updates.push_back(UpdateOf(found->second.mMember));
      }
    }
    return updates;
  }

  PingMessage MakePing(const VmId& aTarget, bool aCompares)
  {
    PingMessage ping;
    ping.mSequence = ++mSequence;
    ping.mSelf = mOwnUpdate;
    ping.mUpdates = UpdatesFor(aTarget);
    ping.mComparesViews = aCompares;
    if (aCompares) {
      for (const auto& [dataCentre, digest] : Digests()) {
        ping.mDigests.push_back({ dataCentre, digest });
      }
    }
    return ping;
  }

  /// Sends a probe whose missing answer has no consequence.
  std::uint64_t SendPing(const VmId& aVm, bool aCompares, TimePoint aNow,
                         MembershipActions& aActions)
  {
    auto& entry = mMembers.at(aVm);
    entry.mLastProbe = aNow;
    auto ping = MakePing(aVm, aCompares);
    const auto sequence = ping.mSequence;
    aActions.mOutgoing.push_back(
      { aVm, entry.mMember.mIdentity.mAddress, std::move(ping) });
    ++mCounters.mProbes;
    return sequence;
  }

  void StartProbe(const VmId& aVm, bool aWithContacts, TimePoint aNow,
                  MembershipActions& aActions)
  {
    const bool compares = mPendingViewComparisons > 0;
    mPendingViewComparisons -= compares ? 1 : 0;
    const auto sequence = SendPing(aVm, compares, aNow, aActions);
    if (aWithContacts) {
      std::get<PingMessage>(aActions.mOutgoing.back().mMessage).mContacts =
        ContactAges(aNow);
    }
    mProbes[sequence] = { aVm, aNow + mOptions.mDirectTimeout, false };
  }

  std::vector<ContactAge> ContactAges(TimePoint aNow) const
  {
    std::vector<ContactAge> ages;
    for (const auto& [dataCentre, last] : mContacts) {
      const auto age = ToMilliseconds(aNow - last);
      if (age <= ToMilliseconds(mOptions.mContactTimeout)) {
        ages.push_back({ dataCentre, static_cast<std::uint32_t>(age) });
      }
    }
    return ages;
  }

  /// Random members that answer, without this VM and @p aExcept.
  std::vector<VmId> RandomAliveMembers(std::size_t aCount, const VmId& aExcept)
  {
    RefreshView();
    std::vector<VmId> pool;
    for (const auto& vm : mView->mLocalLive) {
      const auto found = mMembers.find(vm);
      if (vm != aExcept && found != mMembers.end() &&
          found->second.mMember.mState == MemberState::Alive) {
        pool.push_back(vm);
      }
    }
    const auto count = std::min(aCount, pool.size());
    for (std::size_t i = 0; i < count; ++i) {
      std::swap(pool[i], pool[i + mRandom(pool.size() - i)]);
    }
    pool.resize(count);
    return pool;
  }

  void PushChanges(TimePoint aNow, MembershipActions& aActions)
  {
    if (!mIsPushPending) {
      return;
    }
    if (aNow - mPushWindowStart >= std::chrono::seconds(1)) {
      mPushWindowStart = aNow;
      mPushesInWindow = 0;
    }
    // Above the bound the pushes wait for a later event; probes carry the news anyway.
    if (mPushesInWindow >= mOptions.mMaxPushesPerSecond) {
      return;
    }
    mIsPushPending = false;
    for (const auto& vm : RandomAliveMembers(mOptions.mPushFanOut, SelfId())) {
      SendPing(vm, false, aNow, aActions);
      ++mPushesInWindow;
    }
  }

  // ---- time ----

  void ExtendDeadlines(Duration aGap)
  {
    for (auto& [sequence, probe] : mProbes) {
      probe.mDeadline += aGap;
    }
    for (auto& [vm, entry] : mMembers) {
      if (entry.mMember.mState == MemberState::Suspect) {
        entry.mDeadline += aGap;
      }
    }
  }

  void HandlePause(TimePoint aNow, MembershipActions& aActions)
  {
    ++mCounters.mPauses;
    mLastTick = aNow;
    mProbes.clear();
    mRelays.clear();
    for (auto& [vm, entry] : mMembers) {
      if (entry.mMember.mState == MemberState::Suspect) {
        entry.mDeadline = aNow + mOptions.mSuspicionTime;
      }
      if (entry.mMember.mState == MemberState::Unconfirmed) {
        entry.mDeadline = aNow + mOptions.mUnconfirmedTimeout;
      }
    }
    RaiseOwnVersion(0, aNow);
    for (const auto& vm : RandomAliveMembers(kViewComparisonsAfterJoin, SelfId())) {
      SendPing(vm, true, aNow, aActions);
    }
    mNextProbe = aNow + mOptions.mProbePeriod;
  }

  void CheckProbes(TimePoint aNow, MembershipActions& aActions)
  {
    std::vector<std::pair<std::uint64_t, Probe>> overdue;
    for (const auto& item : mProbes) {
      if (item.second.mDeadline <= aNow) {
        overdue.push_back(item);
      }
    }
    for (auto& [sequence, probe] : overdue) {
      mProbes.erase(sequence);
      const auto found = mMembers.find(probe.mTarget);
      if (found == mMembers.end() || IsDead(found->second) ||
          IsListedOnly(found->second) ||
          found->second.mMember.mState == MemberState::Suspect) {
        continue;
      }
      if (!probe.mIsIndirect &&
          ProbeIndirectly(sequence, found->second, aNow, aActions)) {
        continue;
      }
      SetState(found->second, MemberState::Suspect, aNow, aActions);
      SendPing(probe.mTarget, false, aNow, aActions);
    }
    std::erase_if(mRelays,
                  [&](const auto& aItem) { return aItem.second.mDeadline <= aNow; });
  }

  /// Returns false when there is no member to help.
  bool ProbeIndirectly(std::uint64_t aSequence, const Entry& aTarget, TimePoint aNow,
                       MembershipActions& aActions)
  {
    const auto& vm = aTarget.mMember.mIdentity.mVm;
    const auto helpers = RandomAliveMembers(mOptions.mIndirectProbes, vm);
    if (helpers.empty()) {
      return false;
    }
    for (const auto& helper : helpers) {
      PingRequestMessage request;
      request.mSequence = aSequence;
      request.mSelf = mOwnUpdate;
      request.mTarget = UpdateOf(aTarget.mMember);
      request.mUpdates = UpdatesFor(helper);
      const auto& address = mMembers.at(helper).mMember.mIdentity.mAddress;
      aActions.mOutgoing.push_back({ helper, address, std::move(request) });
      ++mCounters.mIndirectProbes;
    }
    mProbes[aSequence] = { vm, aNow + mOptions.mIndirectTimeout, true };
    return true;
  }

  void CheckDeadlines(TimePoint aNow, MembershipActions& aActions)
  {
    if (aNow < mNextDeadlineScan) {
      return;
    }
    mNextDeadlineScan = aNow + kDeadlineScanPeriod;
    for (auto& [vm, entry] : mMembers) {
      const auto state = entry.mMember.mState;
      // Only the members of a data centre judge each other.
      if (!IsLocal(entry) ||
          (state != MemberState::Suspect && state != MemberState::Unconfirmed)) {
        continue;
      }
      if (entry.mDeadline <= aNow) {
        SetState(entry, MemberState::Dead, aNow, aActions);
      } else {
        mNextDeadlineScan = std::min(mNextDeadlineScan, entry.mDeadline);
      }
    }
    const auto removed = std::erase_if(
      mMembers, [&](const auto& aItem) { return IsRemovable(aItem.second, aNow); });
    mIsViewStale = mIsViewStale || removed > 0;
  }

  bool IsRemovable(const Entry& aEntry, TimePoint aNow) const
  {
    const auto& member = aEntry.mMember;
    if (member.mListedState != ListedState::Absent) {
      return false;
    }
    if (IsListedOnly(aEntry)) {
      return IsDead(aEntry) || (!IsLocal(aEntry) && member.mAbsentSince);
    }
    const bool isGone =
      IsDead(aEntry) || (!IsLocal(aEntry) && member.mAbsentSince &&
                         aNow - *member.mAbsentSince >= mOptions.mMemberRetention);
    return isGone && aNow - member.mStateSince >= mOptions.mMemberRetention;
  }

  void ProbeUnconfirmed(TimePoint aNow, MembershipActions& aActions)
  {
    if (!mMayHaveUnconfirmed) {
      return;
    }
    mMayHaveUnconfirmed = false;
    std::size_t sent = 0;
    for (auto& [vm, entry] : mMembers) {
      if (entry.mMember.mState != MemberState::Unconfirmed || !IsLocal(entry)) {
        continue;
      }
      mMayHaveUnconfirmed = true;
      const bool isDue = entry.mLastProbe == TimePoint{} ||
                         aNow - entry.mLastProbe >= kUnconfirmedRetryPeriod;
      if (isDue && sent < kMaxUnconfirmedProbesPerTick) {
        StartProbe(vm, false, aNow, aActions);
        ++sent;
      }
    }
  }

  void ProbeRing(TimePoint aNow, MembershipActions& aActions)
  {
    if (aNow < mNextProbe) {
      return;
    }
    mNextProbe = std::max(mNextProbe + mOptions.mProbePeriod, aNow);
    RefreshView();
    if (mRing.size() < 2) {
      return;
    }
    ++mProbeRound;
    const auto self = std::find_if(mRing.begin(), mRing.end(), [&](const auto& aItem) {
      return aItem.second == SelfId();
    });
    const auto index = static_cast<std::size_t>(self - mRing.begin());
    const auto at = [&](std::size_t aOffset) {
      return mRing[(index + aOffset) % mRing.size()].second;
    };
    const auto first = at(1);
    // The second probe alternates between the next but one member, which covers a
    // predecessor that died at the same time, and a random one.
    const auto second = mProbeRound % 2 == 0 ? at(2) : at(1 + mRandom(mRing.size() - 1));
    if (aNow >= mNextCompare) {
      mNextCompare = aNow + mOptions.mComparePeriod;
      mPendingViewComparisons = std::max(mPendingViewComparisons, 1U);
    }
    if (second != first && second != SelfId()) {
      StartProbe(second, mProbeRound % 2 == 1, aNow, aActions);
    }
    StartProbe(first, mProbeRound % 2 == 1, aNow, aActions);
  }

  void ProbeDead(TimePoint aNow, MembershipActions& aActions)
  {
    if (aNow < mNextDeadProbe) {
      return;
    }
    mNextDeadProbe = aNow + mOptions.mDeadProbePeriod;
    const Entry* oldest = nullptr;
    for (const auto& [vm, entry] : mMembers) {
      if (IsDead(entry) && IsLocal(entry) &&
          (!oldest || entry.mLastProbe < oldest->mLastProbe)) {
        oldest = &entry;
      }
    }
    if (oldest) {
      SendPing(oldest->mMember.mIdentity.mVm, false, aNow, aActions);
    }
  }

  void ProbeBridges(TimePoint aNow, MembershipActions& aActions)
  {
    if (aNow < mNextBridge) {
      return;
    }
    mNextBridge = aNow + mOptions.mBridgePeriod;
    if (!IsBridge()) {
      return;
    }
    const bool compares = aNow >= mNextBridgeCompare;
    if (compares) {
      mNextBridgeCompare = aNow + mOptions.mBridgeComparePeriod;
    }
    ++mBridgeRound;
    for (const auto& [dataCentre, vms] : mBridges) {
      if (dataCentre == mOwnUpdate.mIdentity.mDataCentre || vms.empty()) {
        continue;
      }
      SendPing(vms[mBridgeRound % vms.size()], compares, aNow, aActions);
      const auto last = mContacts.find(dataCentre);
      const bool isSilent =
        last == mContacts.end() || aNow - last->second > 3 * mOptions.mBridgePeriod;
      if (isSilent) {
        // The known bridges may be gone; any member of the data centre answers.
        const auto& pool = mBridgeCandidates[dataCentre];
        SendPing(pool[mRandom(pool.size())], true, aNow, aActions);
      }
    }
  }

  // ---- events ----

  void Tick(TimePoint aNow, MembershipActions& aActions)
  {
    const auto gap = aNow - mLastTick;
    if (gap > mOptions.mPauseThreshold) {
      HandlePause(aNow, aActions);
    } else if (gap > kLateTickThreshold) {
      ExtendDeadlines(gap);
    }
    mLastTick = aNow;
    CheckProbes(aNow, aActions);
    CheckDeadlines(aNow, aActions);
    ProbeUnconfirmed(aNow, aActions);
    ProbeRing(aNow, aActions);
    ProbeDead(aNow, aActions);
    ProbeBridges(aNow, aActions);
  }

  void OnPing(const VmId& aSender, const PingMessage& aPing, TimePoint aNow,
              MembershipActions& aActions)
  {
    MergeSenderUpdate(aPing.mSelf, aNow, aActions);
    MergeUpdates(aPing.mUpdates, aNow, aActions);
    if (aPing.mSelf.mIdentity.mDataCentre == mOwnUpdate.mIdentity.mDataCentre) {
      for (const auto& contact : aPing.mContacts) {
        RecordContact(contact.mDataCentre,
                      aNow - std::chrono::milliseconds(contact.mAgeMs));
      }
    }
    AckMessage ack;
    ack.mSequence = aPing.mSequence;
    ack.mSubject = mOwnUpdate;
    ack.mUpdates = UpdatesFor(aSender);
    if (aPing.mComparesViews) {
      AddDifferences(aPing.mDigests, ack.mUpdates);
    }
    aActions.mOutgoing.push_back(
      { aSender, aPing.mSelf.mIdentity.mAddress, std::move(ack) });
  }

  void AddDifferences(const std::vector<DataCentreDigest>& aDigests,
                      std::vector<MemberUpdate>& aUpdates) const
  {
    auto differing = Digests();
    for (const auto& digest : aDigests) {
      const auto found = differing.find(digest.mDataCentre);
      if (found != differing.end() && found->second == digest.mDigest) {
        differing.erase(found);
      }
    }
    for (const auto& [vm, entry] : mMembers) {
      const bool isUnconfirmedAndDead = IsListedOnly(entry) && IsDead(entry);
      if (!isUnconfirmedAndDead &&
          differing.contains(entry.mMember.mIdentity.mDataCentre)) {
        aUpdates.push_back(UpdateOf(entry.mMember));
      }
    }
  }

  void RecordContact(const DataCentreId& aDataCentre, TimePoint aAt)
  {
    if (aDataCentre == mOwnUpdate.mIdentity.mDataCentre) {
      return;
    }
    auto found = mContacts.find(aDataCentre);
    if (found == mContacts.end()) {
      RefreshView();
      // Bounds the table: only data centres that have a known member are kept.
      if (!mBridgeCandidates.contains(aDataCentre)) {
        return;
      }
      found = mContacts.emplace(aDataCentre, aAt).first;
    }
    found->second = std::max(found->second, aAt);
  }

  void OnAck(const AckMessage& aAck, TimePoint aNow, MembershipActions& aActions)
  {
    MergeSenderUpdate(aAck.mSubject, aNow, aActions);
    MergeUpdates(aAck.mUpdates, aNow, aActions);
    const auto& subject = aAck.mSubject.mIdentity;
    RecordContact(subject.mDataCentre, aNow);
    if (!mJoinedAt && subject.mDataCentre == mOwnUpdate.mIdentity.mDataCentre) {
      mJoinedAt = aNow;
      mIsViewStale = true;
    }
    const auto probe = mProbes.find(aAck.mSequence);
    if (probe != mProbes.end() && probe->second.mTarget == subject.mVm) {
      mProbes.erase(probe);
    }
    const auto relay = mRelays.find(aAck.mSequence);
    if (relay == mRelays.end()) {
      return;
    }
    AckMessage relayed;
    relayed.mSequence = relay->second.mSequence;
    relayed.mSubject = aAck.mSubject;
    aActions.mOutgoing.push_back(
      { relay->second.mRequester, relay->second.mAddress, std::move(relayed) });
    mRelays.erase(relay);
  }

  void OnPingRequest(const VmId& aSender, const PingRequestMessage& aRequest,
                     TimePoint aNow, MembershipActions& aActions)
  {
    MergeSenderUpdate(aRequest.mSelf, aNow, aActions);
    MergeUpdates(aRequest.mUpdates, aNow, aActions);
    const auto& target = aRequest.mTarget.mIdentity;
    if (target.mVm == SelfId()) {
      return;
    }
    auto ping = MakePing(target.mVm, false);
    mRelays[ping.mSequence] = { aSender, aRequest.mSelf.mIdentity.mAddress,
                                aRequest.mSequence,
                                aNow + mOptions.mDirectTimeout +
                                  mOptions.mIndirectTimeout };
    aActions.mOutgoing.push_back({ target.mVm, target.mAddress, std::move(ping) });
  }

  /// Tells the old run of a replaced VM that it is replaced.
  void ReplyToStaleSender(const VmId& aSender, const SwimMessage& aMessage,
                          MembershipActions& aActions)
  {
    ++mCounters.mStaleSenders;
    const auto* ping = std::get_if<PingMessage>(&aMessage);
    if (!ping) {
      return;
    }
    AckMessage ack;
    ack.mSequence = ping->mSequence;
    ack.mSubject = mOwnUpdate;
    ack.mUpdates.push_back(UpdateOf(mMembers.at(aSender).mMember));
    aActions.mOutgoing.push_back(
      { aSender, ping->mSelf.mIdentity.mAddress, std::move(ack) });
  }

  void OnMessage(const VmId& aSender, Incarnation aIncarnation,
                 const SwimMessage& aMessage, TimePoint aNow, MembershipActions& aActions)
  {
    if (aSender == SelfId()) {
      aActions.mIsSuperseded = aIncarnation > mOwnUpdate.mIdentity.mIncarnation;
      return;
    }
    const auto known = mMembers.find(aSender);
    if (known != mMembers.end() &&
        aIncarnation < known->second.mMember.mIdentity.mIncarnation) {
      ReplyToStaleSender(aSender, aMessage, aActions);
      return;
    }
    if (const auto* ping = std::get_if<PingMessage>(&aMessage)) {
      OnPing(aSender, *ping, aNow, aActions);
    } else if (const auto* ack = std::get_if<AckMessage>(&aMessage)) {
      OnAck(*ack, aNow, aActions);
    } else {
      OnPingRequest(aSender, std::get<PingRequestMessage>(aMessage), aNow, aActions);
    }
  }

  void OnListed(const ListedVm& aListed, TimePoint aNow, MembershipActions& aActions)
  {
    const auto& identity = aListed.mIdentity;
    if (identity.mVm == SelfId()) {
      mOwnListedState = aListed.mState;
      aActions.mIsSuperseded = aActions.mIsSuperseded ||
                               identity.mIncarnation > mOwnUpdate.mIdentity.mIncarnation;
      return;
    }
    auto found = mMembers.find(identity.mVm);
    if (found == mMembers.end()) {
      auto* entry = Insert(identity, aNow);
      if (!entry) {
        return;
      }
      entry->mMember.mListedState = aListed.mState;
      AddChange(*entry, std::nullopt, false, aActions);
      return;
    }
    auto& entry = found->second;
    if (entry.mMember.mListedState != aListed.mState || entry.mMember.mAbsentSince) {
      entry.mMember.mListedState = aListed.mState;
      entry.mMember.mAbsentSince.reset();
      mIsViewStale = true;
    }
    // A new run on the list of a VM that is taken as dead: probe it first.
    if (IsDead(entry) && identity.mIncarnation > entry.mMember.mIdentity.mIncarnation) {
      entry.mMember.mIdentity = identity;
      entry.mMember.mStateVersion = 0;
      entry.mMember.mState = MemberState::Unconfirmed;
      entry.mMember.mStateSince = aNow;
      entry.mIsLeaving = false;
      SetDeadline(entry, aNow + mOptions.mUnconfirmedTimeout);
      mMayHaveUnconfirmed = true;
      entry.mLastProbe = TimePoint{};
      AddChange(entry, MemberState::Dead, true, aActions);
    }
  }

  void OnPlatformList(const std::vector<ListedVm>& aList, TimePoint aNow,
                      MembershipActions& aActions)
  {
    std::unordered_set<VmId> listed;
    bool hasLocalPeer = false;
    for (const auto& vm : aList) {
      listed.insert(vm.mIdentity.mVm);
      hasLocalPeer =
        hasLocalPeer || (vm.mIdentity.mVm != SelfId() &&
                         vm.mIdentity.mDataCentre == mOwnUpdate.mIdentity.mDataCentre);
      OnListed(vm, aNow, aActions);
    }
    for (auto& [vm, entry] : mMembers) {
      if (!listed.contains(vm) && !entry.mMember.mAbsentSince) {
        entry.mMember.mListedState = ListedState::Absent;
        entry.mMember.mAbsentSince = aNow;
        mIsViewStale = true;
      }
    }
    if (!mJoinedAt && !hasLocalPeer) {
      mJoinedAt = aNow;
      mIsViewStale = true;
    }
    ProbeUnconfirmed(aNow, aActions);
  }

  /// Guards all members below. Never held across a hook other than mRandom, I/O or a
  /// log call.
  mutable std::mutex mMutex;
  const MembershipOptions mOptions;
  RandomFn mRandom;
  MemberUpdate mOwnUpdate;
  TimePoint mOwnStateSince;
  const TimePoint mStartedAt;
  ListedState mOwnListedState = ListedState::Absent;
  /// All other VMs.
  std::map<VmId, Entry> mMembers;
  /// Probes without an answer, by sequence.
  std::map<std::uint64_t, Probe> mProbes;
  /// Probes sent for another VM, by own sequence.
  std::map<std::uint64_t, Relay> mRelays;
  UpdateQueue<VmId> mQueue;
  std::uint64_t mSequence = 0;
  TimePoint mLastTick;
  /// No member needs a change by the passage of time before this.
  TimePoint mNextDeadlineScan;
  TimePoint mNextProbe;
  TimePoint mNextDeadProbe;
  TimePoint mNextCompare;
  TimePoint mNextBridge;
  TimePoint mNextBridgeCompare;
  unsigned mPendingViewComparisons = kViewComparisonsAfterJoin;
  std::uint64_t mProbeRound = 0;
  std::uint64_t mBridgeRound = 0;
  /// False only when no local member is unconfirmed.
  bool mMayHaveUnconfirmed = false;
  bool mIsPushPending = false;
  TimePoint mPushWindowStart;
  std::size_t mPushesInWindow = 0;
  std::optional<TimePoint> mJoinedAt;
  /// Last answer from each other data centre.
  std::map<DataCentreId, TimePoint> mContacts;
  MembershipCounters mCounters;

  // Derived from the members by RebuildView().
  bool mIsViewStale = false;
  std::uint64_t mEpoch = 0;
  std::shared_ptr<const MemberView> mView;
  /// Local members that are not dead, this VM included, by hash of the id. The hash
  /// separates VMs that fail together, such as those of a rack.
  std::vector<std::pair<std::uint64_t, VmId>> mRing;
  std::map<DataCentreId, std::vector<VmId>> mBridges;
  /// Members of each data centre that are neither dead nor leaving.
  std::map<DataCentreId, std::vector<VmId>> mBridgeCandidates;
};

Membership::Membership(VmIdentity aSelf, MembershipOptions aOptions, RandomFn aRandom,
                       TimePoint aNow)
  : mState(std::make_unique<State>(std::move(aSelf), aOptions, std::move(aRandom), aNow))
{
}

Membership::~Membership() = default;

MembershipActions
Membership::Tick(TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  MembershipActions actions;
  mState->Tick(aNow, actions);
  mState->PushChanges(aNow, actions);
  return actions;
}

MembershipActions
Membership::OnMessage(const VmId& aSender, Incarnation aIncarnation,
                      const SwimMessage& aMessage, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  MembershipActions actions;
  mState->OnMessage(aSender, aIncarnation, aMessage, aNow, actions);
  mState->PushChanges(aNow, actions);
  return actions;
}

MembershipActions
Membership::OnPlatformList(const std::vector<ListedVm>& aList, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  MembershipActions actions;
  mState->OnPlatformList(aList, aNow, actions);
  mState->PushChanges(aNow, actions);
  return actions;
}

MembershipActions
Membership::OnPause(Duration aGap, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  MembershipActions actions;
  if (aGap > kLateTickThreshold) {
    mState->HandlePause(aNow, actions);
  }
  mState->PushChanges(aNow, actions);
  return actions;
}

MembershipActions
Membership::Leave(TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  MembershipActions actions;
  if (mState->mOwnUpdate.mState != MemberState::Leaving) {
    mState->mOwnUpdate.mState = MemberState::Leaving;
    mState->RaiseOwnVersion(0, aNow);
  }
  mState->PushChanges(aNow, actions);
  return actions;
}

std::shared_ptr<const MemberView>
Membership::View() const
{
  const std::lock_guard lock(mState->mMutex);
  mState->RefreshView();
  return mState->mView;
}

std::vector<DataCentreContact>
Membership::Contacts(TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  std::map<DataCentreId, DataCentreContact> contacts;
  for (const auto& [vm, entry] : mState->mMembers) {
    const auto& identity = entry.mMember.mIdentity;
    if (mState->IsLocal(entry) || IsDead(entry)) {
      continue;
    }
    auto& contact = contacts[identity.mDataCentre];
    contact.mDataCentre = identity.mDataCentre;
    contact.mRegion = identity.mRegion;
    ++contact.mMembers;
    contact.mAlive += entry.mMember.mState == MemberState::Alive ? 1 : 0;
  }
  std::vector<DataCentreContact> all;
  for (auto& [dataCentre, contact] : contacts) {
    const auto last = mState->mContacts.find(dataCentre);
    if (last != mState->mContacts.end()) {
      contact.mLastContact = last->second;
      contact.mIsReachable = aNow - last->second <= mState->mOptions.mContactTimeout;
    }
    all.push_back(std::move(contact));
  }
  return all;
}

bool
Membership::IsBridge() const
{
  const std::lock_guard lock(mState->mMutex);
  return mState->IsBridge();
}

std::vector<VmId>
Membership::RemoteBridges() const
{
  const std::lock_guard lock(mState->mMutex);
  std::vector<VmId> bridges;
  for (const auto& [dataCentre, vms] : mState->mBridges) {
    if (dataCentre != mState->mOwnUpdate.mIdentity.mDataCentre) {
      bridges.insert(bridges.end(), vms.begin(), vms.end());
    }
  }
  return bridges;
}

bool
Membership::Accepts(const VmId& aSender, Incarnation aIncarnation) const
{
  const std::lock_guard lock(mState->mMutex);
  if (aSender == mState->SelfId()) {
    return aIncarnation > mState->mOwnUpdate.mIdentity.mIncarnation;
  }
  const auto found = mState->mMembers.find(aSender);
  return found == mState->mMembers.end() ||
         aIncarnation >= found->second.mMember.mIdentity.mIncarnation;
}

MembershipCounters
Membership::Counters() const
{
  const std::lock_guard lock(mState->mMutex);
  return mState->mCounters;
}

} // namespace wasabispar
