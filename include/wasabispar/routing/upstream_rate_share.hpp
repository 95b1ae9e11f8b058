/// @file
/// @brief This VM's share of the limits of one upstream, without a hash of all VMs for
/// each response.
#pragma once

#include "wasabispar/base/ids.hpp"
#include "wasabispar/routing/fleet_rate_share.hpp"

#include <cstddef>

namespace wasabispar {

/// @brief Keeps the rank of this VM for one upstream until the VMs change. Any rate then
/// costs the same, also if the upstream names another one in each response. Not
/// thread-safe.
class UpstreamRateShare
{
public:
  /// @brief The result of FleetRateShare::ShareOf(), or no share if @p aFleet is null.
  /// @param aUpstream the same in each call.
  RateShare ShareOf(const FleetRateSharePtr& aFleet, const UpstreamId& aUpstream,
                    double aPerSecond);

private:
  /// The VMs of mRank; null before the first call.
  FleetRateSharePtr mFleet;
  std::size_t mRank = 0;
};

} // namespace wasabispar
