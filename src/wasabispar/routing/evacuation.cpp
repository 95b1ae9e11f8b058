/// @file
/// @brief The order of events and full reads in EvacuationState.
#include "wasabispar/routing/evacuation.hpp"

#include <algorithm>

namespace wasabispar {

bool
EvacuationState::OnWritten(const DataCentreId& aDataCentre,
                           const RegistryPosition& aPosition)
{
  return Apply(aDataCentre, aPosition, true);
}

bool
EvacuationState::OnRemoved(const DataCentreId& aDataCentre,
                           const RegistryPosition& aPosition)
{
  return Apply(aDataCentre, aPosition, false);
}

bool
EvacuationState::Apply(const DataCentreId& aDataCentre, const RegistryPosition& aPosition,
                       bool aIsEvacuated)
{
  const auto last = mLastEvents.find(aDataCentre);
  const auto known =
    last == mLastEvents.end() ? mReadPosition : std::max(mReadPosition, last->second);
  if (aPosition <= known) {
    return false;
  }
  mLastEvents[aDataCentre] = aPosition;
  return aIsEvacuated ? mEffective.insert(aDataCentre).second
                      : mEffective.erase(aDataCentre) > 0;
}

bool
EvacuationState::OnFullRead(const std::map<DataCentreId, RegistryPosition>& aWritten,
                            const RegistryPosition& aPosition)
{
  const auto before = mEffective;
  // What the read contradicts or repeats; newer events stay.
  std::erase_if(mLastEvents, [&](const auto& aEvent) {
    const auto& [dataCentre, position] = aEvent;
    const bool mayBeLost =
      position.mEra < aPosition.mEra && mEffective.contains(dataCentre);
    const bool isKnown =
      position <= aPosition && !aWritten.contains(dataCentre) && !mayBeLost;
    if (isKnown) {
      mEffective.erase(dataCentre);
    }
    return isKnown;
  });
  for (const auto& [dataCentre, position] : aWritten) {
    auto& last = mLastEvents[dataCentre];
    // An equal position is the same event. An older one comes from a page that lags
    // behind the removal.
    if (position > last) {
      last = position;
      mEffective.insert(dataCentre);
    }
  }
  mReadPosition = std::max(mReadPosition, aPosition);
  return mEffective != before;
}

bool
EvacuationState::IsEvacuated(const DataCentreId& aDataCentre) const
{
  return mEffective.contains(aDataCentre);
}

} // namespace wasabispar
