/// @file
/// @brief The data centres that are evacuated according to the store.
#pragma once

#include "wasabispar/base/ids.hpp"
#include "wasabispar/routing/registry_position.hpp"

#include <map>
#include <set>

namespace wasabispar {

/// @brief Decides from written keys, removed keys and full reads of the store which data
/// centres are evacuated. Not thread-safe.
///
/// An event with an older position than what is known of its data centre changes nothing,
/// so the result does not depend on the order in which events arrive. Without news an
/// evacuation stays in force, also when the store is restored from a copy that is older
/// than it: until the key is written or removed in the new era.
class EvacuationState
{
public:
  /// @brief The key of the data centre was written; returns whether Effective() has
  /// changed.
  bool OnWritten(const DataCentreId& aDataCentre, const RegistryPosition& aPosition);
  /// @brief The key of the data centre was removed; returns whether Effective() has
  /// changed.
  bool OnRemoved(const DataCentreId& aDataCentre, const RegistryPosition& aPosition);
  /// @brief Applies a full read; returns whether Effective() has changed. A data centre
  /// that is not in @p aWritten is not evacuated, unless a newer event or one of an older
  /// era says that it is.
  /// @param aWritten the keys that were read, with the positions of their last writes.
  /// @param aPosition the lowest position of the pages.
  bool OnFullRead(const std::map<DataCentreId, RegistryPosition>& aWritten,
                  const RegistryPosition& aPosition);

  bool IsEvacuated(const DataCentreId& aDataCentre) const;
  /// @brief The evacuated data centres.
  const std::set<DataCentreId>& Effective() const { return mEffective; }

private:
  /// Applies an event if it is newer than what is known of the data centre.
  bool Apply(const DataCentreId& aDataCentre, const RegistryPosition& aPosition,
             bool aIsEvacuated);

  /// The position of the last event of a data centre. Removals are kept as tombstones
  /// until a newer full read, so that an older event does not undo them.
  std::map<DataCentreId, RegistryPosition> mLastEvents;
  /// Position of the newest full read. Events up to it are known to all pages of the
  /// read.
  RegistryPosition mReadPosition;
  std::set<DataCentreId> mEffective;
};

} // namespace wasabispar
