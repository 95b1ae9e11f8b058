/// @file
/// @brief The rank of a VM for an upstream and the share that follows from it.
#include "wasabispar/routing/fleet_rate_share.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace wasabispar {

namespace {

/// Limits beyond this count as this, so that a faulty number fits into the types.
constexpr double kMaxPerSecond = 1e6;

/// The time in which a limit allows at least one request.
Duration
WindowFor(double aPerSecond)
{
  constexpr double kMinPerSecond = 0.001;
  const std::chrono::duration<double> window(1 /
                                             std::clamp(aPerSecond, kMinPerSecond, 1.0));
  return std::chrono::ceil<Duration>(window);
}

} // namespace

double
RateShare::PerSecond() const
{
  return mRequests / std::chrono::duration<double>(mWindow).count();
}

std::uint32_t
WholeRequests(double aPerSecond)
{
  return static_cast<std::uint32_t>(std::clamp(aPerSecond, 1.0, kMaxPerSecond));
}

FleetRateShare::FleetRateShare(VmId aSelf, std::vector<VmId> aVms)
  : mSelf(std::move(aSelf))
  , mVms(std::move(aVms))
  , mIsMember(std::ranges::find(mVms, mSelf) != mVms.end())
{
}

std::size_t
FleetRateShare::Rank(const UpstreamId& aUpstream) const
{
  const auto key = HashText(aUpstream.Text());
  const auto own = HashText(mSelf.Text(), key);
  return static_cast<std::size_t>(std::ranges::count_if(mVms, [&](const VmId& aVm) {
    const auto score = HashText(aVm.Text(), key);
    return score > own || (score == own && aVm < mSelf);
  }));
}

RateShare
FleetRateShare::ShareOf(const UpstreamId& aUpstream, double aPerSecond) const
{
  return ShareAtRank(Rank(aUpstream), aPerSecond);
}

RateShare
FleetRateShare::ShareAtRank(std::size_t aRank, double aPerSecond) const
{
  if (!mIsMember || !(aPerSecond > 0)) {
    return {};
  }
  const std::size_t requests = WholeRequests(aPerSecond);
  const auto own =
    aRank < requests ? (requests - aRank + mVms.size() - 1) / mVms.size() : 0;
  return { static_cast<std::uint32_t>(own), WindowFor(aPerSecond) };
}

} // namespace wasabispar
