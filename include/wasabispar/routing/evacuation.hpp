/// @file
/// @brief The data centres that are evacuated according to the store.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <map>
#include <set>

namespace wasabispar {

/// @brief Decides from written keys, removed keys and full reads of the store which data
/// centres are evacuated. Not thread-safe.
///
/// An event with an older revision than what is known of its data centre changes nothing,
/// so the result does not depend on the order in which events arrive. Without news an
/// evacuation stays in force.
class EvacuationState
{
public:
  /// @brief The key of the data centre was written; returns whether Effective() has
  /// changed.
  bool OnWritten(const DataCentreId& aDataCentre, Revision aRevision);
  /// @brief The key of the data centre was removed; returns whether Effective() has
  /// changed.
  bool OnRemoved(const DataCentreId& aDataCentre, Revision aRevision);
  /// @brief Applies a full read; returns whether Effective() has changed. A data centre
  /// that is not in @p aWritten is not evacuated, unless a newer event says that it is.
  /// @param aWritten the keys that were read, with the revisions of their last writes.
  /// @param aRevision the lowest revision of the pages.
  bool OnFullRead(const std::map<DataCentreId, Revision>& aWritten, Revision aRevision);

  bool IsEvacuated(const DataCentreId& aDataCentre) const;
  /// @brief The evacuated data centres.
  const std::set<DataCentreId>& Effective() const { return mEffective; }

private:
  /// Applies an event if it is newer than what is known of the data centre.
  bool Apply(const DataCentreId& aDataCentre, Revision aRevision, bool aIsEvacuated);

  /// The revision of the last event of a data centre. Removals are kept as tombstones
  /// until a newer full read, so that an older event does not undo them.
  std::map<DataCentreId, Revision> mLastEvents;
  /// Revision of the newest full read. Events up to it are known to all pages of the
  /// read.
  Revision mReadRevision;
  std::set<DataCentreId> mEffective;
};

} // namespace wasabispar
