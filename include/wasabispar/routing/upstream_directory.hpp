/// @file
/// @brief The upstreams that exist according to the registry, and the delay of removals
/// that may be caused by an outage of the registry.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/routing/registry_position.hpp"
#include "wasabispar/routing/route.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief A TCP address as `ip:port`.
using UpstreamAddress = StrongString<struct UpstreamAddressTag>;

/// @brief Whether an upstream accepts new requests.
enum class UpstreamState : std::uint8_t
{
  Serving,
  /// Finishes its running requests and gets no new ones.
  Draining,
};

/// @brief An entry's statement that its upstream is cold.
struct WarmupNotice
{
  /// How much longer the upstream stays cold, from the receipt of the entry.
  Duration mLeft{};
  /// The position of the entry: an upstream that becomes cold again may state the same
  /// time again.
  RegistryPosition mPosition;

  bool operator==(const WarmupNotice&) const = default;
};

/// @brief The registry's entry of one upstream.
struct UpstreamRecord
{
  UpstreamId mId;
  ServiceName mService;
  UpstreamAddress mAddress;
  DataCentreId mDataCentre;
  /// Requests that the upstream runs at the same time.
  std::uint32_t mSlots = 1;
  UpstreamState mState = UpstreamState::Serving;
  /// Unix time in milliseconds at which the upstream started; a new value means a new
  /// incarnation. 0 when the entry has no start time.
  std::uint64_t mStartedUnixMs = 0;
  /// Empty if the upstream is not cold.
  std::optional<WarmupNotice> mWarmup{};

  bool operator==(const UpstreamRecord&) const = default;
};

/// @brief A change of one upstream in the directory.
struct UpstreamChange
{
  enum class Kind : std::uint8_t
  {
    Added,
    /// Changed in another way than those below.
    Updated,
    /// The id now stands for a new incarnation, address or service.
    Replaced,
    /// Started to drain.
    Draining,
    Removed,
  };
  Kind mKind = Kind::Added;
  /// The new record; for Removed the last one.
  UpstreamRecord mRecord;
};

/// @brief An entry of the registry.
struct RegistryEntry
{
  UpstreamRecord mRecord;
  /// Position of the registry at which the entry was last written.
  RegistryPosition mPosition;
  /// Counts what the incarnation writes, also what the registry does not keep. 0 when the
  /// entry has no count.
  std::uint64_t mSequence = 0;
};

/// @brief The removal of an entry of the registry.
struct RegistryRemoval
{
  UpstreamId mId;
  /// Position of the registry at which the entry was removed. For an entry that a
  /// complete read does not contain, the position of the read.
  RegistryPosition mPosition;
};

/// @brief The upstreams according to the registry. Not thread-safe.
///
/// Registry entries expire while the registry is unavailable, and the upstreams register
/// again shortly after it has recovered. Removals that arrive within that time are
/// therefore pending until a grace period has passed, and a new registration cancels
/// them. The same applies to a bulk removal of upstreams that did not drain first,
/// because the registry is the likely cause. Draining upstreams are removed at once.
///
/// A registry that is restored from an older copy returns to entries that were replaced
/// since. So an entry in the first complete read of an era may be older than what is
/// known, unless its incarnation has counted further. It then neither ends the draining
/// of its upstream, nor renews its warm-up time, nor undoes its removal. After a removal,
/// it is used if it is still there kLapseTime later: the entry of an upstream that has
/// left lapses sooner. All that is written in the era itself is newer. See
/// docs/design/eras.md.
///
/// What an upstream says of itself in an answer goes before all that the registry says of
/// the same incarnation, because the registry learns of it later or not at all. An
/// incarnation that has announced that it leaves is draining for good, whatever is
/// written, read or relayed of it; a new incarnation starts anew.
class UpstreamDirectory
{
public:
  using Changes = std::vector<UpstreamChange>;

  /// @brief Applies a written entry. Ignores an entry with an older position than the
  /// last event of the upstream, or with an older incarnation than the current one.
  Changes Upsert(const RegistryEntry& aEntry);
  /// @brief Applies removals that arrived together, at once or after the grace period.
  /// Ignores unknown ids and ids whose last event is newer than the removal.
  /// @param aSince the earliest time at which the registry may have made the removals;
  /// the grace period begins then, or when the registry recovered.
  Changes Remove(const std::vector<RegistryRemoval>& aRemovals, TimePoint aSince,
                 TimePoint aNow);
  /// @brief Applies a complete read of the registry at @p aPosition: updates the
  /// upstreams among @p aEntries and removes all others as Remove() does.
  Changes ReplaceAll(const std::vector<RegistryEntry>& aEntries,
                     const RegistryPosition& aPosition, TimePoint aSince, TimePoint aNow);
  /// @brief The upstream of @p aRecord said in an answer that it leaves. Ignored if the
  /// directory holds another incarnation of it.
  Changes OnLeavingAnnounced(const UpstreamRecord& aRecord, TimePoint aNow);
  /// @brief The registry answers again after an outage: defers removals for a grace
  /// period.
  void OnRegistryRecovered(TimePoint aNow);
  /// @brief Executes pending removals whose grace period has ended, uses the entries that
  /// were held back for kLapseTime, and discards expired tombstones and announcements.
  Changes Tick(TimePoint aNow);
  /// @brief When the grace period of the next pending removal ends; empty if there is
  /// none.
  std::optional<TimePoint> NextRemovalAt() const;

  /// @brief Number of entries that are held back, see above.
  std::size_t HeldEntryCount() const { return mHeldEntries.size(); }
  /// @brief All upstreams, including those with a pending removal.
  const std::map<UpstreamId, UpstreamRecord>& Upstreams() const { return mUpstreams; }

private:
  /// The last event of an id; a tombstone once the upstream was removed.
  struct LastEvent
  {
    RegistryPosition mPosition;
    /// The highest count that the incarnation stated.
    std::uint64_t mSequence = 0;
    /// When the upstream was removed; empty while the directory holds it.
    std::optional<TimePoint> mRemovedAt;
    /// What the directory held last; set if mRemovedAt is.
    UpstreamRecord mRemoved{};
  };
  /// An entry that may be older than the removal of its upstream.
  struct HeldEntry
  {
    RegistryEntry mEntry;
    TimePoint mUsedAt{};
  };

  /// Applies an entry of a complete read.
  Changes ApplyRead(const RegistryEntry& aEntry, TimePoint aNow);
  /// Whether an entry of a complete read may be older than what is known of its upstream,
  /// as the registry was restored from a copy.
  bool MayBeOutdated(const RegistryEntry& aEntry) const;
  /// The last record of an id, also after its removal; null if it is unknown.
  const UpstreamRecord* LastRecord(const UpstreamId& aId) const;
  bool IsRemovalKnown(const UpstreamId& aId) const;
  /// Whether an upstream is in the directory and its last event is not newer than the
  /// removal.
  bool IsInEffect(const RegistryRemoval& aRemoval) const;
  /// Whether removals of @p aCount upstreams that are not draining must wait for the
  /// grace period.
  bool MustDeferRemovals(std::size_t aCount, TimePoint aNow) const;
  /// The record with the state that is in effect.
  UpstreamRecord WithAnnouncement(UpstreamRecord aRecord) const;
  /// Removes an upstream, leaves a tombstone and adds the change to @p aChanges.
  void Erase(const UpstreamId& aId, TimePoint aNow, Changes& aChanges);

  /// An incarnation that announced that it leaves.
  struct Announcement
  {
    UpstreamRecord mRecord;
    TimePoint mAnnouncedAt{};
  };

  std::map<UpstreamId, UpstreamRecord> mUpstreams;
  /// Kept until a new incarnation is registered, also after the removal: an entry that
  /// lapsed may come back.
  std::map<UpstreamId, Announcement> mAnnouncements;
  /// Tombstones are kept for a while, so that an older event does not undo a removal.
  std::map<UpstreamId, LastEvent> mLastEvents;
  /// Removals that have not been executed yet, with the end of their grace period.
  /// Invariant: each id is in mUpstreams.
  std::map<UpstreamId, TimePoint> mPendingRemovals;
  /// Invariant: the removal of each id is pending, or the id has a tombstone.
  std::map<UpstreamId, HeldEntry> mHeldEntries;
  std::optional<TimePoint> mRegistryRecoveredAt;
};

} // namespace wasabispar
