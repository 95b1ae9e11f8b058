/// @file
/// @brief The rank of this VM for one upstream, kept until the VMs change.
#include "wasabispar/routing/upstream_rate_share.hpp"

namespace wasabispar {

RateShare
UpstreamRateShare::ShareOf(const FleetRateSharePtr& aFleet, const UpstreamId& aUpstream,
                           double aPerSecond)
{
  if (!aFleet) {
    return {};
  }
  if (mFleet != aFleet) {
    mFleet = aFleet;
    mRank = aFleet->Rank(aUpstream);
  }
  return aFleet->ShareAtRank(mRank, aPerSecond);
}

} // namespace wasabispar
