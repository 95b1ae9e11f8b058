/// @file
/// @brief UpstreamDirectory.
#include "wasabispar/routing/upstream_directory.hpp"

#include <algorithm>
#include <set>

namespace wasabispar {

namespace {

/// Upstreams that live are registered again this long after the registry's return.
constexpr Duration kReturnGrace = std::chrono::milliseconds(2200);
/// An event that arrives later than this after a removal is taken as new.
constexpr Duration kRememberTime = std::chrono::seconds(60);
/// More removals at once than this, and than a share of all, are held.
constexpr std::size_t kManyRemovals = 3;
constexpr std::size_t kManyRemovalsShare = 8;

UpstreamChange::Kind
KindOf(const UpstreamRecord& aOld, const UpstreamRecord& aNew)
{
  if (aOld.mStartedUnixMs != aNew.mStartedUnixMs || aOld.mAddress != aNew.mAddress ||
      aOld.mService != aNew.mService) {
    return UpstreamChange::Kind::Replaced;
  }
  const bool drains =
    aNew.mState == UpstreamState::Draining && aOld.mState != UpstreamState::Draining;
  return drains ? UpstreamChange::Kind::Draining : UpstreamChange::Kind::Updated;
}

/// Whether an entry was written by a process that the known one has replaced.
bool
IsOlderIncarnation(const UpstreamRecord& aRecord, const UpstreamRecord& aKnown)
{
  return aRecord.mStartedUnixMs != 0 && aRecord.mStartedUnixMs < aKnown.mStartedUnixMs;
}

} // namespace

UpstreamDirectory::Changes
UpstreamDirectory::Apply(const UpstreamRecord& aRecord, Revision aRevision)
{
  auto& last = mLastEvents[aRecord.mId];
  const auto known = mKnown.find(aRecord.mId);
  if (aRevision < last.mRevision ||
      (known != mKnown.end() && IsOlderIncarnation(aRecord, known->second))) {
    return {};
  }
  last = { aRevision, {} };
  mHeld.erase(aRecord.mId);
  if (known == mKnown.end()) {
    mKnown.emplace(aRecord.mId, aRecord);
    return { { UpstreamChange::Kind::Added, aRecord } };
  }
  if (known->second == aRecord) {
    return {};
  }
  const auto kind = KindOf(known->second, aRecord);
  known->second = aRecord;
  return { { kind, aRecord } };
}

UpstreamDirectory::Changes
UpstreamDirectory::Remove(const std::vector<UpstreamId>& aIds, Revision aRevision,
                          TimePoint aNow)
{
  const auto abrupt = std::ranges::count_if(aIds, [this](const UpstreamId& aId) {
    const auto known = mKnown.find(aId);
    return known != mKnown.end() && known->second.mState == UpstreamState::Serving;
  });
  const bool mustHold = MustHold(static_cast<std::size_t>(abrupt), aNow);
  Changes changes;
  for (const auto& id : aIds) {
    const auto known = mKnown.find(id);
    if (known == mKnown.end() || aRevision < mLastEvents[id].mRevision) {
      continue;
    }
    mLastEvents[id].mRevision = aRevision;
    if (mustHold && known->second.mState == UpstreamState::Serving) {
      mHeld.try_emplace(id, aNow + kReturnGrace);
    } else {
      Erase(id, aNow, changes);
    }
  }
  return changes;
}

UpstreamDirectory::Changes
UpstreamDirectory::Replace(const std::vector<RegistryEntry>& aEntries, Revision aRevision,
                           TimePoint aNow)
{
  Changes changes;
  std::set<UpstreamId> present;
  for (const auto& entry : aEntries) {
    present.insert(entry.mRecord.mId);
    const auto applied = Apply(entry.mRecord, entry.mRevision);
    changes.insert(changes.end(), applied.begin(), applied.end());
  }
  std::vector<UpstreamId> missing;
  for (const auto& [id, record] : mKnown) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  const auto removed = Remove(missing, aRevision, aNow);
  changes.insert(changes.end(), removed.begin(), removed.end());
  return changes;
}

void
UpstreamDirectory::OnRegistryReturned(TimePoint aNow)
{
  mReturned = aNow;
}

UpstreamDirectory::Changes
UpstreamDirectory::Tick(TimePoint aNow)
{
  Changes changes;
  for (auto held = mHeld.begin(); held != mHeld.end();) {
    const auto current = held++;
    if (current->second <= aNow) {
      const auto id = current->first;
      Erase(id, aNow, changes);
    }
  }
  std::erase_if(mLastEvents, [aNow](const auto& aItem) {
    const auto& removed = aItem.second.mRemoved;
    return removed && aNow - *removed > kRememberTime;
  });
  return changes;
}

bool
UpstreamDirectory::MustHold(std::size_t aRemovals, TimePoint aNow) const
{
  const bool hasJustReturned = mReturned && aNow - *mReturned < kReturnGrace;
  const auto many = std::max(kManyRemovals, mKnown.size() / kManyRemovalsShare);
  return hasJustReturned || aRemovals > many;
}

void
UpstreamDirectory::Erase(const UpstreamId& aId, TimePoint aNow, Changes& aChanges)
{
  mLastEvents[aId].mRemoved = aNow;
  const auto known = mKnown.find(aId);
  aChanges.push_back({ UpstreamChange::Kind::Removed, known->second });
  mKnown.erase(known);
  mHeld.erase(aId);
}

} // namespace wasabispar
