/// @file
/// @brief Storage, bounds and dissemination of entries.
#include "wasabispar/fleet/gossip_store.hpp"

#include "update_queue.hpp"
#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <tuple>

namespace wasabispar {

namespace {

/// Facts in one push; more are left to piggybacking.
constexpr std::size_t kMaxEntriesPerPush = 256;
/// Facts taken from the queue for one probe.
constexpr std::size_t kMaxPiggybackedEntries = 4;
/// Encoded overhead of a entry besides its texts: tags, version, time to live.
constexpr std::size_t kEntryOverheadBytes = 24;

struct StoredEntry
{
  GossipEntry mEntry;
  TimePoint mExpiry{};
};

/// A token bucket.
struct SenderRateLimit
{
  std::size_t mTokens = 0;
  TimePoint mRefilledAt{};
};

bool
IsNewer(const GossipEntry& aLeft, const GossipEntry& aRight)
{
  return std::tie(aLeft.mVersion, aLeft.mOrigin, aLeft.mValue) >
         std::tie(aRight.mVersion, aRight.mOrigin, aRight.mValue);
}

std::size_t
EncodedBytes(const GossipEntry& aEntry)
{
  return aEntry.mKey.size() + aEntry.mValue.size() + aEntry.mOrigin.Text().size() +
         kEntryOverheadBytes;
}

} // namespace

struct GossipStore::State
{
  bool IsExpired(const StoredEntry& aStored, TimePoint aNow) const
  {
    return aStored.mExpiry <= aNow;
  }

  /// The entry with its remaining time to live.
  static GossipEntry WithRemainingTtl(const StoredEntry& aStored, TimePoint aNow)
  {
    auto entry = aStored.mEntry;
    entry.mTtlMs = static_cast<std::uint32_t>(
      std::max<std::int64_t>(ToMilliseconds(aStored.mExpiry - aNow), 0));
    return entry;
  }

  void Erase(std::map<std::string, StoredEntry, std::less<>>::iterator aAt)
  {
    const auto& origin = aAt->second.mEntry.mOrigin;
    auto& keys = mKeysByOrigin[origin];
    keys.erase(aAt->first);
    if (keys.empty()) {
      mKeysByOrigin.erase(origin);
    }
    mQueue.Remove(aAt->first);
    mGossip.erase(aAt);
  }

  /// The entry of @p aOrigin that expires first.
  auto FirstToExpire(const VmId& aOrigin)
  {
    auto first = mGossip.end();
    for (const auto& key : mKeysByOrigin.at(aOrigin)) {
      const auto candidate = mGossip.find(key);
      if (first == mGossip.end() || candidate->second.mExpiry < first->second.mExpiry) {
        first = candidate;
      }
    }
    return first;
  }

  std::size_t EntryCountOf(const VmId& aOrigin) const
  {
    const auto found = mKeysByOrigin.find(aOrigin);
    return found == mKeysByOrigin.end() ? 0 : found->second.size();
  }

  /// Makes room for a new key of @p aOrigin; false when it has to be refused.
  bool MakeRoom(const VmId& aOrigin, TimePoint aNow)
  {
    const auto count = EntryCountOf(aOrigin);
    if (count >= mOptions.mMaxEntriesPerOrigin) {
      const auto first = FirstToExpire(aOrigin);
      if (!IsExpired(first->second, aNow)) {
        ++mCounters.mOriginLimited;
        return false;
      }
      Erase(first);
      return true;
    }
    if (mGossip.size() < mOptions.mMaxEntries) {
      return true;
    }
    const auto largest =
      std::max_element(mKeysByOrigin.begin(), mKeysByOrigin.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.size() < aRight.second.size();
                       });
    if (largest->second.size() <= count + 1) {
      ++mCounters.mOriginLimited;
      return false;
    }
    Erase(FirstToExpire(largest->first));
    ++mCounters.mEvicted;
    return true;
  }

  /// Stores a valid entry that is newer than the known one; false when there is no room.
  bool Store(const GossipEntry& aEntry, Duration aTtl, TimePoint aNow)
  {
    const auto known = mGossip.find(aEntry.mKey);
    if (known != mGossip.end()) {
      const auto& origin = known->second.mEntry.mOrigin;
      // A key that changes its origin must not exceed the part of the new one.
      if (origin != aEntry.mOrigin &&
          EntryCountOf(aEntry.mOrigin) >= mOptions.mMaxEntriesPerOrigin) {
        ++mCounters.mOriginLimited;
        return false;
      }
      Erase(known);
    } else if (!MakeRoom(aEntry.mOrigin, aNow)) {
      return false;
    }
    mGossip[aEntry.mKey] = { aEntry, aNow + std::min(aTtl, mOptions.mMaxTtl) };
    mKeysByOrigin[aEntry.mOrigin].insert(aEntry.mKey);
    mQueue.Add(aEntry.mKey, ReliableCopies(mPeers.size() + 1));
    ++mCounters.mAccepted;
    return true;
  }

  bool IsSelfOrPeer(const VmId& aVm) const
  {
    return aVm == mSelf || mPeerIds.contains(aVm);
  }

  bool TakeToken(const VmId& aSender, TimePoint aNow)
  {
    auto [found, isNew] = mSenderLimits.try_emplace(aSender);
    auto& limit = found->second;
    if (isNew) {
      limit = { mOptions.mSenderBurst, aNow };
    }
    const auto seconds = std::chrono::duration<double>(aNow - limit.mRefilledAt).count();
    const auto refill = static_cast<std::size_t>(
      seconds * static_cast<double>(mOptions.mSenderRatePerSecond));
    if (refill > 0) {
      limit.mTokens = std::min(limit.mTokens + refill, mOptions.mSenderBurst);
      limit.mRefilledAt = aNow;
    }
    if (limit.mTokens == 0) {
      ++mCounters.mSenderLimited;
      return false;
    }
    --limit.mTokens;
    return true;
  }

  bool IsValid(const GossipEntry& aEntry)
  {
    if (aEntry.mKey.empty() || aEntry.mKey.size() > mOptions.mMaxKeyBytes ||
        aEntry.mValue.size() > mOptions.mMaxValueBytes) {
      ++mCounters.mInvalidSize;
      return false;
    }
    if (!IsSelfOrPeer(aEntry.mOrigin)) {
      ++mCounters.mUnknownOrigin;
      return false;
    }
    return aEntry.mTtlMs > 0;
  }

  /// Whether @p aEntry would change the store. Known entries cost the sender nothing.
  bool ChangesStore(const GossipEntry& aEntry)
  {
    const auto known = mGossip.find(aEntry.mKey);
    if (known != mGossip.end() && !IsNewer(aEntry, known->second.mEntry)) {
      ++mCounters.mNotNewer;
      return false;
    }
    return true;
  }

  void OnGossip(const VmId& aSender, const std::vector<GossipEntry>& aEntries,
                TimePoint aNow, GossipActions& aActions)
  {
    if (!mPeerIds.contains(aSender)) {
      mCounters.mUnknownOrigin += aEntries.size();
      return;
    }
    for (const auto& entry : aEntries) {
      if (!IsValid(entry) || !ChangesStore(entry)) {
        continue;
      }
      if (!TakeToken(aSender, aNow)) {
        continue;
      }
      const auto ttl = std::chrono::milliseconds(entry.mTtlMs);
      if (Store(entry, ttl, aNow)) {
        aActions.mChanged.push_back(
          WithRemainingTtl(mGossip.find(entry.mKey)->second, aNow));
      }
    }
    // In a small data centre the origin has pushed the entry to all members itself.
    if (mPeers.size() > mOptions.mMaxPeersForFullPush) {
      Push(aActions.mChanged, aSender, aActions);
    }
  }

  void Push(const std::vector<GossipEntry>& aEntries, const VmId& aExcept,
            GossipActions& aActions)
  {
    if (aEntries.empty()) {
      return;
    }
    std::vector<const GossipPeer*> targets;
    for (const auto& peer : mPeers) {
      if (peer.mVm != aExcept) {
        targets.push_back(&peer);
      }
    }
    if (mPeers.size() > mOptions.mMaxPeersForFullPush) {
      const auto count = std::min(mOptions.mPushFanOut, targets.size());
      for (std::size_t i = 0; i < count; ++i) {
        std::swap(targets[i], targets[i + mRandom(targets.size() - i)]);
      }
      targets.resize(count);
    }
    GossipPushMessage message;
    const auto count = std::min(aEntries.size(), kMaxEntriesPerPush);
    message.mGossip.assign(aEntries.begin(),
                           aEntries.begin() + static_cast<std::ptrdiff_t>(count));
    for (const auto* target : targets) {
      aActions.mOutgoing.push_back({ target->mVm, target->mAddress, message });
    }
  }

  /// Guards all members below.
  mutable std::mutex mMutex;
  VmId mSelf;
  GossipStoreOptions mOptions;
  RandomFn mRandom;
  std::vector<GossipPeer> mPeers;
  std::set<VmId> mPeerIds;
  /// By key; expired ones stay for mExpiredRetention.
  std::map<std::string, StoredEntry, std::less<>> mGossip;
  /// Keys in mGossip by the origin of the entry; no origin without a key.
  std::map<VmId, std::set<std::string>> mKeysByOrigin;
  UpdateQueue<std::string> mQueue;
  /// Entries for peers only.
  std::map<VmId, SenderRateLimit> mSenderLimits;
  /// Facts whose expiry was reported, by key.
  std::set<std::string> mReportedExpired;
  GossipCounters mCounters;
};

GossipStore::GossipStore(VmId aSelf, GossipStoreOptions aOptions, RandomFn aRandom)
  : mState(std::make_unique<State>())
{
  mState->mSelf = std::move(aSelf);
  mState->mOptions = aOptions;
  mState->mRandom = std::move(aRandom);
}

GossipStore::~GossipStore() = default;

void
GossipStore::SetPeers(std::vector<GossipPeer> aPeers)
{
  const std::lock_guard lock(mState->mMutex);
  std::erase_if(aPeers, [&](const auto& aPeer) { return aPeer.mVm == mState->mSelf; });
  mState->mPeers = std::move(aPeers);
  mState->mPeerIds.clear();
  for (const auto& peer : mState->mPeers) {
    mState->mPeerIds.insert(peer.mVm);
  }
  std::erase_if(mState->mSenderLimits, [&](const auto& aItem) {
    return !mState->mPeerIds.contains(aItem.first);
  });
}

GossipActions
GossipStore::Publish(std::string aKey, std::uint64_t aVersion, std::string aValue,
                     Duration aTtl, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  GossipActions actions;
  GossipEntry entry{ std::move(aKey), aVersion, std::move(aValue), mState->mSelf, 1 };
  const auto known = mState->mGossip.find(entry.mKey);
  const bool isOld =
    known != mState->mGossip.end() && entry.mVersion <= known->second.mEntry.mVersion;
  if (isOld || aTtl < std::chrono::milliseconds(1) || !mState->IsValid(entry) ||
      !mState->Store(entry, aTtl, aNow)) {
    return actions;
  }
  mState->mReportedExpired.erase(entry.mKey);
  actions.mChanged.push_back(
    State::WithRemainingTtl(mState->mGossip.find(entry.mKey)->second, aNow));
  mState->Push(actions.mChanged, mState->mSelf, actions);
  return actions;
}

GossipActions
GossipStore::OnGossip(const VmId& aSender, const std::vector<GossipEntry>& aEntries,
                      TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  GossipActions actions;
  mState->OnGossip(aSender, aEntries, aNow, actions);
  for (const auto& entry : actions.mChanged) {
    mState->mReportedExpired.erase(entry.mKey);
  }
  return actions;
}

GossipActions
GossipStore::Tick(TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  GossipActions actions;
  for (auto at = mState->mGossip.begin(); at != mState->mGossip.end();) {
    const auto current = at++;
    if (!mState->IsExpired(current->second, aNow)) {
      continue;
    }
    if (mState->mReportedExpired.insert(current->first).second) {
      mState->mQueue.Remove(current->first);
      actions.mExpired.push_back(State::WithRemainingTtl(current->second, aNow));
    }
    if (aNow - current->second.mExpiry >= mState->mOptions.mExpiredRetention) {
      mState->mReportedExpired.erase(current->first);
      mState->Erase(current);
    }
  }
  return actions;
}

std::optional<GossipEntry>
GossipStore::Find(std::string_view aKey, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mGossip.find(aKey);
  if (found == mState->mGossip.end() || mState->IsExpired(found->second, aNow)) {
    return std::nullopt;
  }
  return State::WithRemainingTtl(found->second, aNow);
}

std::vector<GossipEntry>
GossipStore::FindByPrefix(std::string_view aPrefix, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  std::vector<GossipEntry> entries;
  for (auto at = mState->mGossip.lower_bound(aPrefix);
       at != mState->mGossip.end() && at->first.starts_with(aPrefix); ++at) {
    if (!mState->IsExpired(at->second, aNow)) {
      entries.push_back(State::WithRemainingTtl(at->second, aNow));
    }
  }
  return entries;
}

std::vector<GossipEntry>
GossipStore::Piggyback(std::size_t aMaxBytes, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  std::vector<GossipEntry> entries;
  std::size_t bytes = 0;
  for (const auto& key : mState->mQueue.Take(kMaxPiggybackedEntries)) {
    const auto found = mState->mGossip.find(key);
    if (found == mState->mGossip.end() || mState->IsExpired(found->second, aNow)) {
      continue;
    }
    bytes += EncodedBytes(found->second.mEntry);
    if (bytes > aMaxBytes) {
      break;
    }
    entries.push_back(State::WithRemainingTtl(found->second, aNow));
  }
  return entries;
}

std::uint64_t
GossipStore::Digest(TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  std::uint64_t digest = 0;
  for (const auto& [key, stored] : mState->mGossip) {
    if (!mState->IsExpired(stored, aNow)) {
      digest ^=
        HashText(key, HashText(stored.mEntry.mOrigin.Text(), stored.mEntry.mVersion));
    }
  }
  return digest;
}

std::size_t
GossipStore::Size() const
{
  const std::lock_guard lock(mState->mMutex);
  return mState->mGossip.size();
}

GossipCounters
GossipStore::Counters() const
{
  const std::lock_guard lock(mState->mMutex);
  return mState->mCounters;
}

namespace {

/// Room for entries on a probe. Used only while there are new entries.
constexpr std::size_t kMaxPiggybackBytes = 1024;

} // namespace

void
AttachGossip(SwimMessage& aMessage, GossipStore& aEntries, TimePoint aNow)
{
  if (auto* ping = std::get_if<PingMessage>(&aMessage)) {
    ping->mGossip = aEntries.Piggyback(kMaxPiggybackBytes, aNow);
    ping->mGossipDigest = ping->mComparesViews ? aEntries.Digest(aNow) : 0;
  } else if (auto* ack = std::get_if<AckMessage>(&aMessage)) {
    ack->mGossip = aEntries.Piggyback(kMaxPiggybackBytes, aNow);
  }
}

void
AttachGossipToReply(SwimMessage& aMessage, const SwimMessage& aRequest,
                    GossipStore& aEntries, TimePoint aNow)
{
  const auto* request = std::get_if<PingMessage>(&aRequest);
  auto* ack = std::get_if<AckMessage>(&aMessage);
  if (request && ack && request->mSequence == ack->mSequence && request->mComparesViews &&
      request->mGossipDigest != aEntries.Digest(aNow)) {
    ack->mGossip = aEntries.FindByPrefix("", aNow);
    return;
  }
  AttachGossip(aMessage, aEntries, aNow);
}

} // namespace wasabispar
