/// @file
/// @brief Updates of the upstream directory, pending removals and tombstones.
#include "wasabispar/routing/upstream_directory.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace wasabispar {

namespace {

/// Grace period of a removal. Running upstreams register again within 2 s after the
/// registry has recovered.
constexpr Duration kReregistrationGrace = std::chrono::milliseconds(2200);
/// Time for which a tombstone is kept. An event that arrives later is taken as new.
constexpr Duration kTombstoneRetention = std::chrono::seconds(60);
/// An entry lapses after three missed heartbeats, which are about a second apart. One
/// that is still in the registry after this time belongs to a running upstream.
constexpr Duration kLapseTime = std::chrono::seconds(10);
static_assert(kLapseTime < kTombstoneRetention);
/// Time for which the announcement of an upstream is kept that is not in the directory.
constexpr Duration kAnnouncementRetention = std::chrono::minutes(10);
/// Removals at once are deferred when there are more than the threshold and more than all
/// upstreams divided by the divisor.
constexpr std::size_t kBulkRemovalThreshold = 3;
constexpr std::size_t kBulkRemovalDivisor = 8;

bool
IsSameIncarnation(const UpstreamRecord& aLeft, const UpstreamRecord& aRight)
{
  return aLeft.mStartedUnixMs == aRight.mStartedUnixMs &&
         aLeft.mAddress == aRight.mAddress && aLeft.mService == aRight.mService;
}

/// The kind of a change between two different records of an upstream.
UpstreamChange::Kind
KindOf(const UpstreamRecord& aOld, const UpstreamRecord& aNew)
{
  if (!IsSameIncarnation(aOld, aNew)) {
    return UpstreamChange::Kind::Replaced;
  }
  const bool drains =
    aNew.mState == UpstreamState::Draining && aOld.mState != UpstreamState::Draining;
  return drains ? UpstreamChange::Kind::Draining : UpstreamChange::Kind::Updated;
}

/// Whether @p aRecord was written by an older incarnation of the upstream than the
/// current one.
bool
IsOlderIncarnation(const UpstreamRecord& aRecord, const UpstreamRecord& aCurrent)
{
  return aRecord.mStartedUnixMs != 0 && aRecord.mStartedUnixMs < aCurrent.mStartedUnixMs;
}

} // namespace

UpstreamDirectory::Changes
UpstreamDirectory::Upsert(const RegistryEntry& aEntry)
{
  const auto& id = aEntry.mRecord.mId;
  const auto existing = mUpstreams.find(id);
  const auto known = mLastEvents.find(id);
  const bool isKnown =
    known != mLastEvents.end() && aEntry.mPosition <= known->second.mPosition;
  if (isKnown || (existing != mUpstreams.end() &&
                  IsOlderIncarnation(aEntry.mRecord, existing->second))) {
    return {};
  }
  mLastEvents[id] = { aEntry.mPosition, aEntry.mSequence, {} };
  mPendingRemovals.erase(id);
  mHeldEntries.erase(id);
  const auto record = WithAnnouncement(aEntry.mRecord);
  if (existing == mUpstreams.end()) {
    mUpstreams.emplace(record.mId, record);
    return { { UpstreamChange::Kind::Added, record } };
  }
  if (existing->second == record) {
    return {};
  }
  const auto kind = KindOf(existing->second, record);
  existing->second = record;
  return { { kind, record } };
}

UpstreamDirectory::Changes
UpstreamDirectory::ApplyRead(const RegistryEntry& aEntry, TimePoint aNow)
{
  if (!MayBeOutdated(aEntry)) {
    return Upsert(aEntry);
  }
  const auto& id = aEntry.mRecord.mId;
  if (IsRemovalKnown(id)) {
    const auto held = mHeldEntries.find(id);
    const bool isHeld = held != mHeldEntries.end() &&
                        held->second.mEntry.mPosition.mEra == aEntry.mPosition.mEra;
    if (!isHeld) {
      mHeldEntries[id] = { aEntry, aNow + kLapseTime };
    }
    return {};
  }
  const auto& known = mUpstreams.at(id);
  auto entry = aEntry;
  entry.mSequence = std::max(entry.mSequence, mLastEvents[id].mSequence);
  entry.mRecord.mWarmup = known.mWarmup;
  if (known.mState == UpstreamState::Draining) {
    entry.mRecord.mState = UpstreamState::Draining;
  }
  return Upsert(entry);
}

bool
UpstreamDirectory::MayBeOutdated(const RegistryEntry& aEntry) const
{
  const auto last = mLastEvents.find(aEntry.mRecord.mId);
  const auto* record = LastRecord(aEntry.mRecord.mId);
  if (!record || aEntry.mPosition.mEra == last->second.mPosition.mEra) {
    return false;
  }
  return IsOlderIncarnation(aEntry.mRecord, *record) ||
         (IsSameIncarnation(aEntry.mRecord, *record) &&
          aEntry.mSequence <= last->second.mSequence);
}

const UpstreamRecord*
UpstreamDirectory::LastRecord(const UpstreamId& aId) const
{
  if (const auto existing = mUpstreams.find(aId); existing != mUpstreams.end()) {
    return &existing->second;
  }
  const auto last = mLastEvents.find(aId);
  return last == mLastEvents.end() ? nullptr : &last->second.mRemoved;
}

bool
UpstreamDirectory::IsRemovalKnown(const UpstreamId& aId) const
{
  return !mUpstreams.contains(aId) || mPendingRemovals.contains(aId);
}

UpstreamRecord
UpstreamDirectory::WithAnnouncement(UpstreamRecord aRecord) const
{
  const auto announced = mAnnouncements.find(aRecord.mId);
  if (announced != mAnnouncements.end() &&
      IsSameIncarnation(announced->second.mRecord, aRecord)) {
    aRecord.mState = UpstreamState::Draining;
  }
  return aRecord;
}

UpstreamDirectory::Changes
UpstreamDirectory::OnLeavingAnnounced(const UpstreamRecord& aRecord, TimePoint aNow)
{
  const auto existing = mUpstreams.find(aRecord.mId);
  if (existing != mUpstreams.end() && !IsSameIncarnation(existing->second, aRecord)) {
    return {};
  }
  mAnnouncements[aRecord.mId] = { aRecord, aNow };
  if (existing == mUpstreams.end() ||
      existing->second.mState == UpstreamState::Draining) {
    return {};
  }
  existing->second.mState = UpstreamState::Draining;
  return { { UpstreamChange::Kind::Draining, existing->second } };
}

bool
UpstreamDirectory::IsInEffect(const RegistryRemoval& aRemoval) const
{
  const auto last = mLastEvents.find(aRemoval.mId);
  return mUpstreams.contains(aRemoval.mId) && last != mLastEvents.end() &&
         aRemoval.mPosition >= last->second.mPosition;
}

UpstreamDirectory::Changes
UpstreamDirectory::Remove(const std::vector<RegistryRemoval>& aRemovals, TimePoint aSince,
                          TimePoint aNow)
{
  std::vector<RegistryRemoval> inEffect;
  std::ranges::copy_if(
    aRemovals, std::back_inserter(inEffect),
    [this](const RegistryRemoval& aRemoval) { return IsInEffect(aRemoval); });
  const auto abruptCount =
    std::ranges::count_if(inEffect, [this](const RegistryRemoval& aRemoval) {
      return mUpstreams.at(aRemoval.mId).mState == UpstreamState::Serving;
    });
  const auto graceEnd =
    std::max(aSince, mRegistryRecoveredAt.value_or(aSince)) + kReregistrationGrace;
  const bool mustDefer =
    aNow < graceEnd && MustDeferRemovals(static_cast<std::size_t>(abruptCount), aNow);
  Changes changes;
  for (const auto& removal : aRemovals) {
    mHeldEntries.erase(removal.mId);
  }
  for (const auto& removal : inEffect) {
    const auto existing = mUpstreams.find(removal.mId);
    if (existing == mUpstreams.end()) {
      continue;
    }
    mLastEvents[removal.mId].mPosition = removal.mPosition;
    if (mustDefer && existing->second.mState == UpstreamState::Serving) {
      mPendingRemovals.try_emplace(removal.mId, graceEnd);
    } else {
      Erase(removal.mId, aNow, changes);
    }
  }
  return changes;
}

UpstreamDirectory::Changes
UpstreamDirectory::ReplaceAll(const std::vector<RegistryEntry>& aEntries,
                              const RegistryPosition& aPosition, TimePoint aSince,
                              TimePoint aNow)
{
  Changes changes;
  std::set<UpstreamId> present;
  for (const auto& entry : aEntries) {
    present.insert(entry.mRecord.mId);
    const auto applied = ApplyRead(entry, aNow);
    changes.insert(changes.end(), applied.begin(), applied.end());
  }
  std::erase_if(mHeldEntries,
                [&present](const auto& aItem) { return !present.contains(aItem.first); });
  std::vector<RegistryRemoval> missing;
  for (const auto& [id, record] : mUpstreams) {
    if (!present.contains(id)) {
      missing.push_back({ id, aPosition });
    }
  }
  const auto removed = Remove(missing, aSince, aNow);
  changes.insert(changes.end(), removed.begin(), removed.end());
  return changes;
}

void
UpstreamDirectory::OnRegistryRecovered(TimePoint aNow)
{
  mRegistryRecoveredAt = aNow;
}

UpstreamDirectory::Changes
UpstreamDirectory::Tick(TimePoint aNow)
{
  Changes changes;
  for (auto next = mPendingRemovals.begin(); next != mPendingRemovals.end();) {
    // Erase() invalidates the iterator.
    const auto current = next++;
    if (current->second <= aNow) {
      const auto id = current->first;
      Erase(id, aNow, changes);
    }
  }
  for (auto next = mHeldEntries.begin(); next != mHeldEntries.end();) {
    const auto current = next++;
    if (current->second.mUsedAt <= aNow) {
      const auto entry = current->second.mEntry;
      mHeldEntries.erase(current);
      const auto applied = Upsert(entry);
      changes.insert(changes.end(), applied.begin(), applied.end());
    }
  }
  std::erase_if(mLastEvents, [aNow](const auto& aItem) {
    const auto& removed = aItem.second.mRemovedAt;
    return removed && aNow - *removed > kTombstoneRetention;
  });
  std::erase_if(mAnnouncements, [this, aNow](const auto& aItem) {
    const auto& [id, announcement] = aItem;
    const auto existing = mUpstreams.find(id);
    return existing == mUpstreams.end()
             ? aNow - announcement.mAnnouncedAt > kAnnouncementRetention
             : !IsSameIncarnation(existing->second, announcement.mRecord);
  });
  return changes;
}

std::optional<TimePoint>
UpstreamDirectory::NextRemovalAt() const
{
  const auto first = std::ranges::min_element(
    mPendingRemovals, {}, [](const auto& aItem) { return aItem.second; });
  return first == mPendingRemovals.end() ? std::nullopt : std::optional(first->second);
}

bool
UpstreamDirectory::MustDeferRemovals(std::size_t aCount, TimePoint aNow) const
{
  const bool hasJustRecovered =
    mRegistryRecoveredAt && aNow - *mRegistryRecoveredAt < kReregistrationGrace;
  const auto bulkThreshold =
    std::max(kBulkRemovalThreshold, mUpstreams.size() / kBulkRemovalDivisor);
  return hasJustRecovered || aCount > bulkThreshold;
}

void
UpstreamDirectory::Erase(const UpstreamId& aId, TimePoint aNow, Changes& aChanges)
{
  const auto existing = mUpstreams.find(aId);
  auto& last = mLastEvents[aId];
  last.mRemovedAt = aNow;
  last.mRemoved = existing->second;
  aChanges.push_back({ UpstreamChange::Kind::Removed, existing->second });
  mUpstreams.erase(existing);
  mPendingRemovals.erase(aId);
}

} // namespace wasabispar
