/// @file
/// @brief Which upstreams exist, as their registry says, and which removals are believed.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/routing/route.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief A TCP address as `ip:port`.
using UpstreamAddress = StrongString<struct UpstreamAddressTag>;

enum class UpstreamState : std::uint8_t
{
  Serving,
  /// Finishes what it has; gets no new work.
  Draining,
};

/// @brief The registry's entry of one upstream.
struct UpstreamRecord
{
  UpstreamId mId;
  ServiceName mService;
  UpstreamAddress mAddress;
  DataCentreId mDataCentre;
  /// Requests that it runs at once.
  std::uint32_t mSlots = 1;
  UpstreamState mState = UpstreamState::Serving;
  /// Unix time of its start in milliseconds; a new value is a new incarnation. 0 when the
  /// entry does not state it.
  std::uint64_t mStartedUnixMs = 0;

  bool operator==(const UpstreamRecord&) const = default;
};

/// @brief A change of what is known about one upstream.
struct UpstreamChange
{
  enum class Kind : std::uint8_t
  {
    Added,
    Updated,
    /// A new incarnation or address under the same id.
    Replaced,
    Draining,
    Removed,
  };
  Kind mKind = Kind::Added;
  UpstreamRecord mRecord;
};

/// @brief An entry of a full read of the registry.
struct RegistryEntry
{
  UpstreamRecord mRecord;
  Revision mRevision;
};

/// @brief The known upstreams. Not thread-safe.
///
/// Entries lapse while the registry is away and come back shortly after its return. So a
/// removal that is learned then is held until the upstreams had time to register again.
/// The same holds for many removals at once without notice: that is the registry's doing.
class UpstreamDirectory
{
public:
  using Changes = std::vector<UpstreamChange>;

  /// @brief An entry was written. Older revisions and
  /// incarnations than the known one are ignored.
  Changes Upsert(const UpstreamRecord& aRecord, Revision aRevision);
  /// @brief Entries were removed.
  Changes Remove(const std::vector<UpstreamId>& aIds, Revision aRevision, TimePoint aNow);
  /// @brief A full read; what it does not hold is removed.
  Changes ReplaceAll(const std::vector<RegistryEntry>& aEntries, Revision aRevision,
                     TimePoint aNow);
  /// @brief The registry answers again after it was away.
  void OnRegistryRecovered(TimePoint aNow);
  /// @brief Carries out the removals whose hold time has ended and forgets old ones.
  Changes Tick(TimePoint aNow);

  const std::map<UpstreamId, UpstreamRecord>& Upstreams() const { return mUpstreams; }

private:
  bool MustDeferRemovals(std::size_t aRemovals, TimePoint aNow) const;
  void Erase(const UpstreamId& aId, TimePoint aNow, Changes& aChanges);

  std::map<UpstreamId, UpstreamRecord> mUpstreams;
  /// The last event of an id.
  struct LastEvent
  {
    Revision mRevision;
    /// When the upstream was removed; empty while it is known.
    std::optional<TimePoint> mRemovedAt;
  };

  /// Kept for a while after a removal, so that an older event does not undo it.
  std::map<UpstreamId, LastEvent> mLastEvents;
  /// Removals that are not believed yet, with the end of the hold time. Invariant: each
  /// id is in mUpstreams.
  std::map<UpstreamId, TimePoint> mPendingRemovals;
  std::optional<TimePoint> mRegistryRecoveredAt;
};

} // namespace wasabispar
