/// @file
/// @brief Storage, bounds and dissemination of facts.
#include "wasabispar/fleet/fact_store.hpp"

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
constexpr std::size_t kMaxFactsPerPush = 256;
/// Facts taken from the queue for one probe.
constexpr std::size_t kMaxPiggyback = 4;
/// Encoded overhead of a fact besides its texts: tags, version, time to live.
constexpr std::size_t kFactOverhead = 24;

struct Stored
{
  Fact mFact;
  TimePoint mExpiry{};
};

/// A token bucket.
struct SenderLimit
{
  std::size_t mTokens = 0;
  TimePoint mRefilled{};
};

bool
IsNewer(const Fact& aLeft, const Fact& aRight)
{
  return std::tie(aLeft.mVersion, aLeft.mOrigin, aLeft.mValue) >
         std::tie(aRight.mVersion, aRight.mOrigin, aRight.mValue);
}

std::size_t
EncodedSize(const Fact& aFact)
{
  return aFact.mKey.size() + aFact.mValue.size() + aFact.mOrigin.Text().size() +
         kFactOverhead;
}

} // namespace

struct FactStore::State
{
  bool IsExpired(const Stored& aStored, TimePoint aNow) const
  {
    return aStored.mExpiry <= aNow;
  }

  /// The fact with its remaining time to live.
  static Fact Remaining(const Stored& aStored, TimePoint aNow)
  {
    auto fact = aStored.mFact;
    fact.mTtlMs = static_cast<std::uint32_t>(
      std::max<std::int64_t>(ToMilliseconds(aStored.mExpiry - aNow), 0));
    return fact;
  }

  void Erase(std::map<std::string, Stored, std::less<>>::iterator aAt)
  {
    const auto& origin = aAt->second.mFact.mOrigin;
    auto& keys = mByOrigin[origin];
    keys.erase(aAt->first);
    if (keys.empty()) {
      mByOrigin.erase(origin);
    }
    mQueue.Remove(aAt->first);
    mFacts.erase(aAt);
  }

  /// The fact of @p aOrigin that expires first.
  auto FirstToExpire(const VmId& aOrigin)
  {
    auto first = mFacts.end();
    for (const auto& key : mByOrigin.at(aOrigin)) {
      const auto candidate = mFacts.find(key);
      if (first == mFacts.end() || candidate->second.mExpiry < first->second.mExpiry) {
        first = candidate;
      }
    }
    return first;
  }

  std::size_t CountOf(const VmId& aOrigin) const
  {
    const auto found = mByOrigin.find(aOrigin);
    return found == mByOrigin.end() ? 0 : found->second.size();
  }

  /// Makes room for a new key of @p aOrigin; false when it has to be refused.
  bool MakeRoom(const VmId& aOrigin, TimePoint aNow)
  {
    const auto count = CountOf(aOrigin);
    if (count >= mOptions.mMaxFactsPerOrigin) {
      const auto first = FirstToExpire(aOrigin);
      if (!IsExpired(first->second, aNow)) {
        ++mCounters.mOriginLimited;
        return false;
      }
      Erase(first);
      return true;
    }
    if (mFacts.size() < mOptions.mMaxFacts) {
      return true;
    }
    const auto largest = std::max_element(
      mByOrigin.begin(), mByOrigin.end(), [](const auto& aLeft, const auto& aRight) {
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

  /// Stores a valid fact that is newer than the known one; false when there is no room.
  bool Store(const Fact& aFact, Duration aTtl, TimePoint aNow)
  {
    const auto known = mFacts.find(aFact.mKey);
    if (known != mFacts.end()) {
      const auto& origin = known->second.mFact.mOrigin;
      // A key that changes its origin must not exceed the part of the new one.
      if (origin != aFact.mOrigin &&
          CountOf(aFact.mOrigin) >= mOptions.mMaxFactsPerOrigin) {
        ++mCounters.mOriginLimited;
        return false;
      }
      Erase(known);
    } else if (!MakeRoom(aFact.mOrigin, aNow)) {
      return false;
    }
    mFacts[aFact.mKey] = { aFact, aNow + std::min(aTtl, mOptions.mMaxTtl) };
    mByOrigin[aFact.mOrigin].insert(aFact.mKey);
    mQueue.Add(aFact.mKey, ReliableCopies(mPeers.size() + 1));
    ++mCounters.mAccepted;
    return true;
  }

  bool IsKnown(const VmId& aVm) const { return aVm == mSelf || mPeerIds.contains(aVm); }

  bool TakeToken(const VmId& aSender, TimePoint aNow)
  {
    auto [found, isNew] = mLimits.try_emplace(aSender);
    auto& limit = found->second;
    if (isNew) {
      limit = { mOptions.mSenderBurst, aNow };
    }
    const auto seconds = std::chrono::duration<double>(aNow - limit.mRefilled).count();
    const auto refill =
      static_cast<std::size_t>(seconds * static_cast<double>(mOptions.mSenderRate));
    if (refill > 0) {
      limit.mTokens = std::min(limit.mTokens + refill, mOptions.mSenderBurst);
      limit.mRefilled = aNow;
    }
    if (limit.mTokens == 0) {
      ++mCounters.mSenderLimited;
      return false;
    }
    --limit.mTokens;
    return true;
  }

  bool IsValid(const Fact& aFact)
  {
    if (aFact.mKey.empty() || aFact.mKey.size() > mOptions.mMaxKeyBytes ||
        aFact.mValue.size() > mOptions.mMaxValueBytes) {
      ++mCounters.mTooLarge;
      return false;
    }
    if (!IsKnown(aFact.mOrigin)) {
      ++mCounters.mUnknownOrigin;
      return false;
    }
    return aFact.mTtlMs > 0;
  }

  /// Whether @p aFact would change the store. Known facts cost the sender nothing.
  bool IsNews(const Fact& aFact)
  {
    const auto known = mFacts.find(aFact.mKey);
    if (known != mFacts.end() && !IsNewer(aFact, known->second.mFact)) {
      ++mCounters.mOld;
      return false;
    }
    return true;
  }

  void OnFacts(const VmId& aSender, const std::vector<Fact>& aFacts, TimePoint aNow,
               FactActions& aActions)
  {
    if (!mPeerIds.contains(aSender)) {
      mCounters.mUnknownOrigin += aFacts.size();
      return;
    }
    for (const auto& fact : aFacts) {
      if (!IsValid(fact) || !IsNews(fact)) {
        continue;
      }
      if (!TakeToken(aSender, aNow)) {
        continue;
      }
      const auto ttl = std::chrono::milliseconds(fact.mTtlMs);
      if (Store(fact, ttl, aNow)) {
        aActions.mChanged.push_back(Remaining(mFacts.find(fact.mKey)->second, aNow));
      }
    }
    // In a small data centre the origin has pushed the fact to all members itself.
    if (mPeers.size() > mOptions.mPushAllPeers) {
      Push(aActions.mChanged, aSender, aActions);
    }
  }

  void Push(const std::vector<Fact>& aFacts, const VmId& aExcept, FactActions& aActions)
  {
    if (aFacts.empty()) {
      return;
    }
    std::vector<const FactPeer*> targets;
    for (const auto& peer : mPeers) {
      if (peer.mVm != aExcept) {
        targets.push_back(&peer);
      }
    }
    if (mPeers.size() > mOptions.mPushAllPeers) {
      const auto count = std::min(mOptions.mPushFanOut, targets.size());
      for (std::size_t i = 0; i < count; ++i) {
        std::swap(targets[i], targets[i + mRandom(targets.size() - i)]);
      }
      targets.resize(count);
    }
    FactPushMessage message;
    const auto count = std::min(aFacts.size(), kMaxFactsPerPush);
    message.mFacts.assign(aFacts.begin(),
                          aFacts.begin() + static_cast<std::ptrdiff_t>(count));
    for (const auto* target : targets) {
      aActions.mSends.push_back({ target->mVm, target->mAddress, message });
    }
  }

  /// Guards all members below.
  mutable std::mutex mMutex;
  VmId mSelf;
  FactStoreOptions mOptions;
  RandomFn mRandom;
  std::vector<FactPeer> mPeers;
  std::set<VmId> mPeerIds;
  /// By key; expired ones stay for mRememberTime.
  std::map<std::string, Stored, std::less<>> mFacts;
  /// Keys in mFacts by the origin of the fact; no origin without a key.
  std::map<VmId, std::set<std::string>> mByOrigin;
  UpdateQueue<std::string> mQueue;
  /// Entries for peers only.
  std::map<VmId, SenderLimit> mLimits;
  /// Facts whose expiry was reported, by key.
  std::set<std::string> mReported;
  FactCounters mCounters;
};

FactStore::FactStore(VmId aSelf, FactStoreOptions aOptions, RandomFn aRandom)
  : mState(std::make_unique<State>())
{
  mState->mSelf = std::move(aSelf);
  mState->mOptions = aOptions;
  mState->mRandom = std::move(aRandom);
}

FactStore::~FactStore() = default;

void
FactStore::SetPeers(std::vector<FactPeer> aPeers)
{
  const std::lock_guard lock(mState->mMutex);
  std::erase_if(aPeers, [&](const auto& aPeer) { return aPeer.mVm == mState->mSelf; });
  mState->mPeers = std::move(aPeers);
  mState->mPeerIds.clear();
  for (const auto& peer : mState->mPeers) {
    mState->mPeerIds.insert(peer.mVm);
  }
  std::erase_if(mState->mLimits, [&](const auto& aItem) {
    return !mState->mPeerIds.contains(aItem.first);
  });
}

FactActions
FactStore::Publish(std::string aKey, std::uint64_t aVersion, std::string aValue,
                   Duration aTtl, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  FactActions actions;
  Fact fact{ std::move(aKey), aVersion, std::move(aValue), mState->mSelf, 1 };
  const auto known = mState->mFacts.find(fact.mKey);
  const bool isOld =
    known != mState->mFacts.end() && fact.mVersion <= known->second.mFact.mVersion;
  if (isOld || aTtl < std::chrono::milliseconds(1) || !mState->IsValid(fact) ||
      !mState->Store(fact, aTtl, aNow)) {
    return actions;
  }
  mState->mReported.erase(fact.mKey);
  actions.mChanged.push_back(
    State::Remaining(mState->mFacts.find(fact.mKey)->second, aNow));
  mState->Push(actions.mChanged, mState->mSelf, actions);
  return actions;
}

FactActions
FactStore::OnFacts(const VmId& aSender, const std::vector<Fact>& aFacts, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  FactActions actions;
  mState->OnFacts(aSender, aFacts, aNow, actions);
  for (const auto& fact : actions.mChanged) {
    mState->mReported.erase(fact.mKey);
  }
  return actions;
}

FactActions
FactStore::Tick(TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  FactActions actions;
  for (auto at = mState->mFacts.begin(); at != mState->mFacts.end();) {
    const auto current = at++;
    if (!mState->IsExpired(current->second, aNow)) {
      continue;
    }
    if (mState->mReported.insert(current->first).second) {
      mState->mQueue.Remove(current->first);
      actions.mExpired.push_back(State::Remaining(current->second, aNow));
    }
    if (aNow - current->second.mExpiry >= mState->mOptions.mRememberTime) {
      mState->mReported.erase(current->first);
      mState->Erase(current);
    }
  }
  return actions;
}

std::optional<Fact>
FactStore::Find(std::string_view aKey, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mFacts.find(aKey);
  if (found == mState->mFacts.end() || mState->IsExpired(found->second, aNow)) {
    return std::nullopt;
  }
  return State::Remaining(found->second, aNow);
}

std::vector<Fact>
FactStore::WithPrefix(std::string_view aPrefix, TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  std::vector<Fact> facts;
  for (auto at = mState->mFacts.lower_bound(aPrefix);
       at != mState->mFacts.end() && at->first.starts_with(aPrefix); ++at) {
    if (!mState->IsExpired(at->second, aNow)) {
      facts.push_back(State::Remaining(at->second, aNow));
    }
  }
  return facts;
}

std::vector<Fact>
FactStore::Piggyback(std::size_t aMaxBytes, TimePoint aNow)
{
  const std::lock_guard lock(mState->mMutex);
  std::vector<Fact> facts;
  std::size_t bytes = 0;
  for (const auto& key : mState->mQueue.Take(kMaxPiggyback)) {
    const auto found = mState->mFacts.find(key);
    if (found == mState->mFacts.end() || mState->IsExpired(found->second, aNow)) {
      continue;
    }
    bytes += EncodedSize(found->second.mFact);
    if (bytes > aMaxBytes) {
      break;
    }
    facts.push_back(State::Remaining(found->second, aNow));
  }
  return facts;
}

std::uint64_t
FactStore::Digest(TimePoint aNow) const
{
  const std::lock_guard lock(mState->mMutex);
  std::uint64_t digest = 0;
  for (const auto& [key, stored] : mState->mFacts) {
    if (!mState->IsExpired(stored, aNow)) {
      digest ^=
        HashText(key, HashText(stored.mFact.mOrigin.Text(), stored.mFact.mVersion));
    }
  }
  return digest;
}

std::size_t
FactStore::Size() const
{
  const std::lock_guard lock(mState->mMutex);
  return mState->mFacts.size();
}

FactCounters
FactStore::Counters() const
{
  const std::lock_guard lock(mState->mMutex);
  return mState->mCounters;
}

namespace {

/// Room for facts on a probe. Used only while there are new facts.
constexpr std::size_t kPiggybackBytes = 1024;

} // namespace

void
AttachFacts(SwimMessage& aMessage, FactStore& aFacts, TimePoint aNow)
{
  if (auto* ping = std::get_if<PingMessage>(&aMessage)) {
    ping->mFacts = aFacts.Piggyback(kPiggybackBytes, aNow);
    ping->mFactDigest = ping->mComparesViews ? aFacts.Digest(aNow) : 0;
  } else if (auto* ack = std::get_if<AckMessage>(&aMessage)) {
    ack->mFacts = aFacts.Piggyback(kPiggybackBytes, aNow);
  }
}

void
AttachFactsToAnswer(SwimMessage& aMessage, const SwimMessage& aRequest, FactStore& aFacts,
                    TimePoint aNow)
{
  const auto* request = std::get_if<PingMessage>(&aRequest);
  auto* ack = std::get_if<AckMessage>(&aMessage);
  if (request && ack && request->mSequence == ack->mSequence && request->mComparesViews &&
      request->mFactDigest != aFacts.Digest(aNow)) {
    ack->mFacts = aFacts.WithPrefix("", aNow);
    return;
  }
  AttachFacts(aMessage, aFacts, aNow);
}

} // namespace wasabispar
