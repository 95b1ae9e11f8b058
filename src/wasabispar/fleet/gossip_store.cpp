/// @file
/// @brief Storage, limits and dissemination of gossip entries.
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

/// Entries in one push; the others are disseminated by piggybacking only.
constexpr std::size_t kMaxEntriesPerPush = 256;
/// Entries taken from the queue for one probe.
constexpr std::size_t kMaxPiggybackedEntries = 4;
/// Encoded size of an entry without its texts: tags, version, time to live.
constexpr std::size_t kEntryOverheadBytes = 24;

struct StoredEntry
{
  GossipEntry mEntry;
  TimePoint mExpiry{};
};

/// Token bucket of one sender.
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

  /// Returns the entry with the time to live that remains at @p aNow.
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
    mEntries.erase(aAt);
  }

  /// Returns the entry of @p aOrigin that expires first. @p aOrigin must have an entry.
  auto FirstToExpire(const VmId& aOrigin)
  {
    auto first = mEntries.end();
    for (const auto& key : mKeysByOrigin.at(aOrigin)) {
      const auto candidate = mEntries.find(key);
      if (first == mEntries.end() || candidate->second.mExpiry < first->second.mExpiry) {
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

  /// Makes room for a new key of @p aOrigin; returns false if the key must be rejected.
  /// An origin at its limit can only replace an expired entry of its own. In a full
  /// store, an entry of the origin with the most entries is evicted if that origin has at
  /// least two entries more than @p aOrigin.
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
    if (mEntries.size() < mOptions.mMaxEntries) {
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

  /// Stores a valid entry that is newer than the stored one of its key; returns false if
  /// there is no room.
  bool Store(const GossipEntry& aEntry, Duration aTtl, TimePoint aNow)
  {
    const auto known = mEntries.find(aEntry.mKey);
    if (known != mEntries.end()) {
      const auto& origin = known->second.mEntry.mOrigin;
      // An entry that takes over a key counts against the limit of its own origin.
      if (origin != aEntry.mOrigin &&
          EntryCountOf(aEntry.mOrigin) >= mOptions.mMaxEntriesPerOrigin) {
        ++mCounters.mOriginLimited;
        return false;
      }
      Erase(known);
    } else if (!MakeRoom(aEntry.mOrigin, aNow)) {
      return false;
    }
    mEntries[aEntry.mKey] = { aEntry, aNow + std::min(aTtl, mOptions.mMaxTtl) };
    mKeysByOrigin[aEntry.mOrigin].insert(aEntry.mKey);
    mQueue.Add(aEntry.mKey, ReliableCopies(mPeers.size() + 1));
    ++mCounters.mAccepted;
    return true;
  }

  bool IsMember(const VmId& aVm) const
  {
    return aVm == mSelf || mPeerIds.contains(aVm) || mDeadMembers.contains(aVm);
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
    if (!IsMember(aEntry.mOrigin)) {
      ++mCounters.mUnknownOrigin;
      return false;
    }
    return aEntry.mTtlMs > 0;
  }

  /// Whether @p aEntry would change the store. Checked before a token is taken, so that
  /// entries that are already stored do not count against the sender's rate limit.
  bool ChangesStore(const GossipEntry& aEntry)
  {
    const auto known = mEntries.find(aEntry.mKey);
    if (known != mEntries.end() && !IsNewer(aEntry, known->second.mEntry)) {
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
          WithRemainingTtl(mEntries.find(entry.mKey)->second, aNow));
      }
    }
    // In a small data centre the origin itself has pushed the entry to all members.
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
  std::set<VmId> mDeadMembers;
  /// Entries by key; an expired entry stays for mExpiredRetention.
  std::map<std::string, StoredEntry, std::less<>> mEntries;
  /// Keys of mEntries by the origin of the entry; holds only origins with a key.
  std::map<VmId, std::set<std::string>> mKeysByOrigin;
  /// Keys of changed entries that are still piggybacked.
  UpdateQueue<std::string> mQueue;
  /// Rate limits by sender; holds peers only.
  std::map<VmId, SenderRateLimit> mSenderLimits;
  /// Keys of the stored entries whose expiry was reported.
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
GossipStore::SetPeers(std::vector<GossipPeer> aPeers,
                      const std::vector<VmId>& aDeadMembers)
{
  const std::lock_guard lock(mState->mMutex);
  mState->mDeadMembers = { aDeadMembers.begin(), aDeadMembers.end() };
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
  const auto known = mState->mEntries.find(entry.mKey);
  const bool isOld =
    known != mState->mEntries.end() && entry.mVersion <= known->second.mEntry.mVersion;
  if (isOld || aTtl < std::chrono::milliseconds(1) || !mState->IsValid(entry) ||
      !mState->Store(entry, aTtl, aNow)) {
    return actions;
  }
  mState->mReportedExpired.erase(entry.mKey);
  mState->Push(
    { State::WithRemainingTtl(mState->mEntries.find(entry.mKey)->second, aNow) },
    mState->mSelf, actions);
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
  for (auto at = mState->mEntries.begin(); at != mState->mEntries.end();) {
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
  const auto found = mState->mEntries.find(aKey);
  if (found == mState->mEntries.end() || mState->IsExpired(found->second, aNow)) {
    return std::nullopt;
  }
  return State::WithRemainingTtl(found->second, aNow);
}

std::vector<GossipEntry>
GossipStore::FindByPrefix(std::string_view aPrefix, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  std::vector<GossipEntry> entries;
  for (auto at = mState->mEntries.lower_bound(aPrefix);
       at != mState->mEntries.end() && at->first.starts_with(aPrefix); ++at) {
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
    const auto found = mState->mEntries.find(key);
    if (found == mState->mEntries.end() || mState->IsExpired(found->second, aNow)) {
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
  for (const auto& [key, stored] : mState->mEntries) {
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
  return mState->mEntries.size();
}

GossipCounters
GossipStore::Counters() const
{
  const std::lock_guard lock(mState->mMutex);
  return mState->mCounters;
}

namespace {

/// Encoded size of the entries piggybacked on one probe. Used only while there are
/// changed entries.
constexpr std::size_t kMaxPiggybackBytes = 1024;

} // namespace

void
AttachGossip(SwimMessage& aMessage, GossipStore& aStore, TimePoint aNow)
{
  if (auto* ping = std::get_if<PingMessage>(&aMessage)) {
    ping->mGossip = aStore.Piggyback(kMaxPiggybackBytes, aNow);
    ping->mGossipDigest = ping->mComparesViews ? aStore.Digest(aNow) : 0;
  } else if (auto* ack = std::get_if<AckMessage>(&aMessage)) {
    ack->mGossip = aStore.Piggyback(kMaxPiggybackBytes, aNow);
  }
}

void
AttachGossipToReply(SwimMessage& aMessage, const SwimMessage& aRequest,
                    GossipStore& aStore, TimePoint aNow)
{
  const auto* request = std::get_if<PingMessage>(&aRequest);
  auto* ack = std::get_if<AckMessage>(&aMessage);
  if (request && ack && request->mSequence == ack->mSequence && request->mComparesViews &&
      request->mGossipDigest != aStore.Digest(aNow)) {
    ack->mGossip = aStore.FindByPrefix("", aNow);
    return;
  }
  AttachGossip(aMessage, aStore, aNow);
}

} // namespace wasabispar
