/// @file
/// @brief State machine of the SWIM membership protocol.
#include "wasabispar/fleet/membership.hpp"

#include "update_queue.hpp"
#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <mutex>
#include <tuple>
#include <unordered_set>

namespace wasabispar {

namespace {

/// If two ticks are further apart, timeouts are extended by the gap, as replies may have
/// arrived in the meantime that the own process has not read yet.
constexpr Duration kLateTickThreshold = std::chrono::milliseconds(200);
/// Unconfirmed members probed by one tick. Prevents a burst of probes after the first
/// platform list, which may name hundreds of VMs.
constexpr std::size_t kMaxUnconfirmedProbesPerTick = 4;
/// Longest time between two scans of the member table for expired deadlines and for
/// members that can be removed.
constexpr Duration kDeadlineScanPeriod = std::chrono::seconds(10);
/// Period between two probes of the same unconfirmed member.
constexpr Duration kUnconfirmedRetryPeriod = std::chrono::seconds(2);
/// A message with more changes is a bulk transfer of a view. Its changes are not passed
/// on, because the other members compare views themselves.
constexpr std::size_t kMaxRelayedChanges = 64;
/// Number of messages on which the first reply of a listed VM is piggybacked.
constexpr std::size_t kListedJoinCopies = 2;
/// Probes that compare views after the start and after a pause.
constexpr unsigned kViewComparisonsAfterJoin = 3;

/// A row of the member table.
struct Entry
{
  Member mMember;
  /// The VM announced in this incarnation that it leaves. Stays set while it is suspect.
  bool mIsLeaving = false;
  /// A suspect or unconfirmed member that has not replied by this time is declared dead.
  TimePoint mDeadline{};
  /// Time of the last ping; the epoch if none was sent.
  TimePoint mLastProbe{};
};

/// A probe that waits for its ack.
struct Probe
{
  VmId mTarget;
  TimePoint mDeadline{};
  bool mIsIndirect = false;
};

/// A probe on behalf of another VM.
struct Relay
{
  VmId mRequester;
  std::string mAddress;
  /// Sequence of the requester's probe, to which the ack is relayed.
  std::uint64_t mSequence = 0;
  TimePoint mDeadline{};
};

/// Order of two updates of the same VM; the greater one overrides the other.
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

/// Whether the member has never replied to any VM and is known only from a platform list.
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
      // Only VMs that reply can be bridges of the own data centre. The state of remote
      // VMs may be outdated, so their bridges are chosen among all candidates.
      const auto& eligible =
        dataCentre == mOwnUpdate.mIdentity.mDataCentre ? view->mLocalLive : vms;
      mBridges[dataCentre] =
        RendezvousTop(BridgeKey(dataCentre), eligible, mOptions.mBridgeCount);
    }
    mBridgeCandidates = std::move(candidates);
    mView = std::move(view);
    mIsViewStale = false;
  }

  /// Rebuilds the view and the data derived from it if a member has changed. Called only
  /// before they are read, so that a burst of changes costs one rebuild.
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

  /// Digest of the members of each data centre; see DataCentreDigest.
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

  /// Adds a change of a member to the actions and marks the view as stale.
  void AddChange(const Entry& aEntry, std::optional<MemberState> aBefore,
                 bool aIsReplaced, MembershipActions& aActions)
  {
    mIsViewStale = true;
    aActions.mChanges.push_back({ aBefore, aEntry.mMember, aIsReplaced });
  }

  /// Queues the state of @p aVm for piggybacking and, if the VM is local, for a push.
  void QueueUpdate(const VmId& aVm, bool aIsLocal)
  {
    const auto groupSize = mMembers.size() + 1;
    const auto found = mMembers.find(aVm);
    // The other members know a listed VM from the platform list, and the VM probes them
    // itself, so few copies suffice. With ReliableCopies() for each first reply, probes
    // stayed full for minutes after a start of 367 VMs.
    const bool isListedJoin = aIsLocal && found != mMembers.end() &&
                              found->second.mMember.mState == MemberState::Alive &&
                              found->second.mMember.mStateVersion <= 1 &&
                              found->second.mMember.mListedState != ListedState::Absent;
    mQueue.Add(aVm, isListedJoin ? kListedJoinCopies : ReliableCopies(groupSize));
    mIsPushPending = mIsPushPending || aIsLocal;
  }

  /// Sets the deadline of a member, and an earlier scan if necessary.
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

  /// Handles the state of this VM as recorded by another one. Refutes a state that
  /// overrides the own one.
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

  /// Raises the own state version above its present value and @p aAbove, so that the own
  /// state overrides what other VMs have recorded.
  void RaiseOwnVersion(std::uint64_t aAbove, TimePoint aNow)
  {
    mOwnUpdate.mStateVersion = std::max(mOwnUpdate.mStateVersion, aAbove) + 1;
    mOwnStateSince = aNow;
    mIsViewStale = true;
    QueueUpdate(SelfId(), true);
  }

  /// Returns the new entry, or null if the table is full.
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

  /// Merges an update of another VM into the member table; returns whether the table
  /// changed.
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
      // A dead member that this VM has removed must not be added again because a peer has
      // not removed it yet. A VM that has just joined adds dead members, as they may
      // still hold connections.
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
    std::vector<const MemberUpdate*> accepted;
    for (const auto& update : aUpdates) {
      if (Merge(update, aNow, aActions)) {
        accepted.push_back(&update);
      }
    }
    if (accepted.size() > kMaxRelayedChanges) {
      return;
    }
    for (const auto* update : accepted) {
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

  // ---- outgoing messages ----

  /// Updates to piggyback on a message to @p aTarget.
  std::vector<MemberUpdate> UpdatesFor(const VmId& aTarget)
  {
    std::vector<MemberUpdate> updates;
    // A suspect or dead target must receive its recorded state, so that it can refute it.
    const auto target = mMembers.find(aTarget);
    if (target != mMembers.end() && !IsListedOnly(target->second) &&
        target->second.mMember.mState > MemberState::Leaving) {
      updates.push_back(UpdateOf(target->second.mMember));
    }
    for (const auto& vm : mQueue.Take(mOptions.mMaxPiggybackedUpdates)) {
      if (vm == SelfId()) {
        continue; // Each message contains the state of its sender in a field of its own.
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

  /// Sends a ping. A missing ack has no consequence unless the caller adds the returned
  /// sequence to mProbes.
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

  /// Sends a ping; if its ack is missing, indirect probes and a suspicion follow.
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

  /// The contacts with other data centres that are not older than mContactTimeout.
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

  /// At most @p aCount random alive members of the own data centre, without this VM and
  /// @p aExcept.
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

  /// Sends changed states of local members to random members, within the push limit.
  void PushChanges(TimePoint aNow, MembershipActions& aActions)
  {
    if (!mIsPushPending) {
      return;
    }
    if (aNow - mPushWindowStart >= std::chrono::seconds(1)) {
      mPushWindowStart = aNow;
      mPushesInWindow = 0;
    }
    // Above the limit the push waits for a later event. Until then the changes are
    // disseminated by piggybacking.
    if (mPushesInWindow >= mOptions.mMaxPushesPerSecond) {
      return;
    }
    mIsPushPending = false;
    for (const auto& vm : RandomAliveMembers(mOptions.mPushFanOut, SelfId())) {
      SendPing(vm, false, aNow, aActions);
      ++mPushesInWindow;
    }
  }

  // ---- timeouts and periodic probes ----

  /// Extends the timeouts of probes and suspicions after a late tick.
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

  /// Handles probes that timed out: sends indirect probes, or suspects the target.
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

  /// Sends ping requests; returns false if there is no alive member to send them to.
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

  /// Declares members dead whose deadline has passed, and removes members.
  void CheckDeadlines(TimePoint aNow, MembershipActions& aActions)
  {
    if (aNow < mNextDeadlineScan) {
      return;
    }
    mNextDeadlineScan = aNow + kDeadlineScanPeriod;
    for (auto& [vm, entry] : mMembers) {
      const auto state = entry.mMember.mState;
      // A VM declares only members of its own data centre dead.
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

  /// Whether the entry of a dead or unlisted member can be removed from the table.
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

  /// Probes unconfirmed local members.
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

  /// Probes the first successor in the ring and a second member in each probe period.
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
    // The second probe alternates between a random member and the second successor. The
    // latter detects the death of the second successor if the first one, which normally
    // probes it, died at the same time.
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

  /// Probes the dead local member that was not probed for the longest time.
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

  /// Probes the bridges of the other data centres if this VM is a bridge.
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
        // The known bridges may no longer run; any member of the data centre replies.
        const auto& pool = mBridgeCandidates[dataCentre];
        SendPing(pool[mRandom(pool.size())], true, aNow, aActions);
      }
    }
  }

  // ---- events of the owner ----

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

  /// Adds all members of the data centres whose digest is not in @p aDigests.
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

  /// Records a reply from another data centre at time @p aAt.
  void RecordContact(const DataCentreId& aDataCentre, TimePoint aAt)
  {
    if (aDataCentre == mOwnUpdate.mIdentity.mDataCentre) {
      return;
    }
    auto found = mContacts.find(aDataCentre);
    if (found == mContacts.end()) {
      RefreshView();
      // Limits the table to data centres with a known member.
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

  /// Replies to a ping from an old incarnation with the recorded newer one, so that the
  /// old process stops.
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

  /// Handles one VM of the platform list.
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
    // The list names a new incarnation of a dead member: it must reply to a probe before
    // it becomes alive.
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

  /// Guards all members below. Not held during I/O, log calls or hooks other than
  /// mRandom.
  mutable std::mutex mMutex;
  const MembershipOptions mOptions;
  RandomFn mRandom;
  /// Identity and state of this VM.
  MemberUpdate mOwnUpdate;
  TimePoint mOwnStateSince;
  const TimePoint mStartedAt;
  ListedState mOwnListedState = ListedState::Absent;
  /// The member table: all VMs but this one.
  std::map<VmId, Entry> mMembers;
  /// Probes that wait for their ack, by sequence.
  std::map<std::uint64_t, Probe> mProbes;
  /// Probes on behalf of other VMs, by the sequence of this VM's ping.
  std::map<std::uint64_t, Relay> mRelays;
  /// VMs whose changed state is still piggybacked.
  UpdateQueue<VmId> mQueue;
  /// Sequence of the last ping.
  std::uint64_t mSequence = 0;
  TimePoint mLastTick;
  /// Time of the next CheckDeadlines() scan; not after the earliest deadline of a member.
  TimePoint mNextDeadlineScan;
  TimePoint mNextProbe;
  TimePoint mNextDeadProbe;
  TimePoint mNextCompare;
  TimePoint mNextBridge;
  TimePoint mNextBridgeCompare;
  /// Number of next probes that compare views.
  unsigned mPendingViewComparisons = kViewComparisonsAfterJoin;
  std::uint64_t mProbeRound = 0;
  std::uint64_t mBridgeRound = 0;
  /// False only if no local member is unconfirmed.
  bool mMayHaveUnconfirmed = false;
  /// A local member changed and the change was not pushed yet.
  bool mIsPushPending = false;
  /// Start of the second in which mPushesInWindow counts.
  TimePoint mPushWindowStart;
  std::size_t mPushesInWindow = 0;
  /// See MemberView::mJoinedAt.
  std::optional<TimePoint> mJoinedAt;
  /// Time of the last known reply from each other data centre.
  std::map<DataCentreId, TimePoint> mContacts;
  MembershipCounters mCounters;

  // The members below are derived from those above by RebuildView().
  bool mIsViewStale = false;
  std::uint64_t mEpoch = 0;
  std::shared_ptr<const MemberView> mView;
  /// Local members that are not dead, this VM included, by hash of the id. The hash
  /// separates VMs that fail together, such as those of a rack.
  std::vector<std::pair<std::uint64_t, VmId>> mRing;
  /// Bridges of each data centre.
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
