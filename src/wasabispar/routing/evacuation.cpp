/// @file
/// @brief The order of events and full reads in EvacuationState.
#include "wasabispar/routing/evacuation.hpp"

#include <algorithm>

namespace wasabispar {

bool
EvacuationState::OnWritten(const DataCentreId& aDataCentre, Revision aRevision)
{
  return Apply(aDataCentre, aRevision, true);
}

bool
EvacuationState::OnRemoved(const DataCentreId& aDataCentre, Revision aRevision)
{
  return Apply(aDataCentre, aRevision, false);
}

bool
EvacuationState::Apply(const DataCentreId& aDataCentre, Revision aRevision,
                       bool aIsEvacuated)
{
  const auto last = mLastEvents.find(aDataCentre);
  const auto known =
    last == mLastEvents.end() ? mReadRevision : std::max(mReadRevision, last->second);
  if (aRevision <= known) {
    return false;
  }
  mLastEvents[aDataCentre] = aRevision;
  return aIsEvacuated ? mEffective.insert(aDataCentre).second
                      : mEffective.erase(aDataCentre) > 0;
}

bool
EvacuationState::OnFullRead(const std::map<DataCentreId, Revision>& aWritten,
                            Revision aRevision)
{
  const auto before = mEffective;
  // What the read contradicts or repeats; newer events stay.
  std::erase_if(mLastEvents, [&](const auto& aEvent) {
    const bool isKnown = aEvent.second <= aRevision && !aWritten.contains(aEvent.first);
    if (isKnown) {
      mEffective.erase(aEvent.first);
    }
    return isKnown;
  });
  for (const auto& [dataCentre, revision] : aWritten) {
    auto& last = mLastEvents[dataCentre];
    // An equal revision is the same event. An older one comes from a page that lags
    // behind the removal.
    if (revision > last) {
      last = revision;
      mEffective.insert(dataCentre);
    }
  }
  mReadRevision = std::max(mReadRevision, aRevision);
  return mEffective != before;
}

bool
EvacuationState::IsEvacuated(const DataCentreId& aDataCentre) const
{
  return mEffective.contains(aDataCentre);
}

} // namespace wasabispar
