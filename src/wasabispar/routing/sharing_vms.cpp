/// @file
/// @brief Retention of VMs that left the view, and the states without a share.
#include "wasabispar/routing/sharing_vms.hpp"

#include <iterator>
#include <utility>

namespace wasabispar {

SharingVms::SharingVms(VmId aSelf, SharingVmsOptions aOptions)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
{
}

void
SharingVms::Update(const std::vector<VmId>& aView, bool aHasJoined, TimePoint aNow)
{
  const auto before = mLastSeen.size();
  // Views are sorted, so that the next VM is mostly the next item.
  auto next = mLastSeen.begin();
  for (const auto& vm : aView) {
    next = std::next(mLastSeen.insert_or_assign(next, vm, aNow));
  }
  mLastSeen[mSelf] = aNow;
  const bool hasGrown = mLastSeen.size() != before;
  const auto grown = mLastSeen.size();
  Forget(aView.size(), aNow);
  if (!mShare || hasGrown || mLastSeen.size() != grown) {
    std::vector<VmId> vms;
    vms.reserve(mLastSeen.size());
    for (const auto& [vm, seen] : mLastSeen) {
      vms.push_back(vm);
    }
    mShare = std::make_shared<const FleetRateShare>(mSelf, std::move(vms));
  }
  const bool wasPaused = aNow - mUpdatedAt > mOptions.mMaxUpdateAge;
  mUpdatedAt = aNow;
  mHasJoined = aHasJoined;
  if (!aHasJoined || 2 * aView.size() < mLastSeen.size()) {
    mHoldsFrom.reset();
  } else if (!mHoldsFrom || wasPaused) {
    mHoldsFrom = aNow + mOptions.mSettleTime;
  }
}

void
SharingVms::Forget(std::size_t aViewSize, TimePoint aNow)
{
  const bool isMajority = 2 * aViewSize > mLastSeen.size();
  const auto retention = isMajority ? mOptions.mRetention : mOptions.mMinorityRetention;
  std::erase_if(mLastSeen, [aNow, retention](const auto& aItem) {
    return aNow - aItem.second > retention;
  });
}

SharingVms::State
SharingVms::StateAt(TimePoint aNow) const
{
  if (!mHasJoined) {
    return State::NotJoined;
  }
  if (!mHoldsFrom) {
    return State::ViewShrunk;
  }
  const bool isPaused = aNow - mUpdatedAt > mOptions.mMaxUpdateAge;
  return aNow < *mHoldsFrom || isPaused ? State::Settling : State::Holding;
}

FleetRateSharePtr
SharingVms::ShareAt(TimePoint aNow) const
{
  return StateAt(aNow) == State::Holding ? mShare : nullptr;
}

std::string_view
ToText(SharingVms::State aState)
{
  switch (aState) {
    case SharingVms::State::NotJoined:
      return "not-joined";
    case SharingVms::State::Settling:
      return "settling";
    case SharingVms::State::ViewShrunk:
      return "view-shrunk";
    case SharingVms::State::Holding:
      break;
  }
  return "holding";
}

} // namespace wasabispar
