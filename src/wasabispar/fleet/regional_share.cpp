/// @file
/// @brief RegionalShares.
#include "wasabispar/fleet/regional_share.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <map>

namespace wasabispar {

namespace {

/// With at least so many connections for each VM, half of them can stay open.
constexpr std::uint32_t kAmpleShare = 2;

/// The holders by rendezvous rank for the service, best first.
std::vector<ShareHolder>
Ranked(std::vector<ShareHolder> aHolders, const std::vector<SharedUpstream>& aUpstreams)
{
  std::string key;
  for (const auto& upstream : aUpstreams) {
    key = std::max(key, upstream.mUpstream.Text());
  }
  std::map<VmId, std::uint64_t> scores;
  for (const auto& holder : aHolders) {
    scores[holder.mVm] = RendezvousScore(key, holder.mVm.Text());
  }
  std::ranges::sort(aHolders, [&](const ShareHolder& aLeft, const ShareHolder& aRight) {
    const auto left = scores[aLeft.mVm];
    const auto right = scores[aRight.mVm];
    return left != right ? left > right : aLeft.mVm < aRight.mVm;
  });
  return aHolders;
}

/// The positions of the upstreams outside of @p aRegion, by id.
std::vector<std::size_t>
Elsewhere(const std::vector<SharedUpstream>& aUpstreams, const RegionId& aRegion)
{
  std::vector<std::size_t> positions;
  for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
    if (aUpstreams[i].mRegion != aRegion) {
      positions.push_back(i);
    }
  }
  std::ranges::sort(positions, {}, [&aUpstreams](std::size_t aPosition) {
    return aUpstreams[aPosition].mUpstream;
  });
  return positions;
}

/// Gives out connections, near VMs first and then the others, until none is left.
class Distribution
{
public:
  Distribution(const std::vector<SharedUpstream>& aUpstreams,
               const std::vector<ShareHolder>& aHolders, ConnectionLimits aLimits)
    : mUpstreams(aUpstreams)
    , mLeft(aUpstreams.size(), aLimits.mUsable)
  {
    for (const auto& upstream : aUpstreams) {
      const auto near = static_cast<std::uint32_t>(
        std::ranges::count(aHolders, upstream.mRegion, &ShareHolder::mRegion));
      const auto open = aLimits.mAccepted - std::min(near, aLimits.mAccepted);
      mLeastLeft.push_back(aLimits.mUsable - std::min(open, aLimits.mUsable));
    }
  }

  /// Whether the holder gets a connection to the upstream at @p aPosition.
  bool Take(std::size_t aPosition)
  {
    if (mLeft[aPosition] == 0) {
      return false;
    }
    --mLeft[aPosition];
    return true;
  }

  /// Whether the connection that was taken last may stay open.
  bool MayStayOpen(std::size_t aPosition) const
  {
    return mLeft[aPosition] >= mLeastLeft[aPosition];
  }

  const std::vector<SharedUpstream>& Upstreams() const { return mUpstreams; }

private:
  const std::vector<SharedUpstream>& mUpstreams;
  std::vector<std::uint32_t> mLeft;
  /// As many must not be kept open, so that all near VMs can connect once more.
  std::vector<std::uint32_t> mLeastLeft;
};

void
GiveNear(Distribution& aDistribution, const std::vector<ShareHolder>& aRanked,
         const VmId& aSelf, std::vector<ConnectionShare>& aShares)
{
  const auto& upstreams = aDistribution.Upstreams();
  for (const auto& holder : aRanked) {
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      if (upstreams[i].mRegion == holder.mRegion && aDistribution.Take(i) &&
          holder.mVm == aSelf) {
        aShares[i] = { 1, true };
      }
    }
  }
}

void
GiveAlternatives(Distribution& aDistribution, const std::vector<ShareHolder>& aRanked,
                 const VmId& aSelf, std::vector<ConnectionShare>& aShares)
{
  std::map<RegionId, std::size_t> rankInRegion;
  std::map<RegionId, std::vector<std::size_t>> elsewhere;
  for (const auto& holder : aRanked) {
    auto& positions = elsewhere[holder.mRegion];
    if (positions.empty()) {
      positions = Elsewhere(aDistribution.Upstreams(), holder.mRegion);
    }
    if (positions.empty()) {
      continue;
    }
    const auto rank = rankInRegion[holder.mRegion]++;
    const auto position = positions[rank % positions.size()];
    if (aDistribution.Take(position) && holder.mVm == aSelf) {
      aShares[position] = { 1, aDistribution.MayStayOpen(position) };
    }
  }
}

/// What is left goes to VMs that do not have the upstream yet, by rank.
void
GiveRest(Distribution& aDistribution, const std::vector<ShareHolder>& aRanked,
         const VmId& aSelf, std::vector<ConnectionShare>& aShares)
{
  const auto& upstreams = aDistribution.Upstreams();
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    std::map<RegionId, std::size_t> rankInRegion;
    for (const auto& holder : aRanked) {
      const auto positions = Elsewhere(upstreams, holder.mRegion);
      const auto rank = rankInRegion[holder.mRegion]++;
      const bool hasIt =
        upstreams[i].mRegion == holder.mRegion || positions[rank % positions.size()] == i;
      if (!hasIt && aDistribution.Take(i) && holder.mVm == aSelf) {
        aShares[i] = { 1, false };
      }
    }
  }
}

} // namespace

std::vector<ConnectionShare>
RegionalShares(const VmId& aSelf, const std::vector<ShareHolder>& aHolders,
               const std::vector<SharedUpstream>& aUpstreams, ConnectionLimits aLimits)
{
  std::vector<ConnectionShare> shares(aUpstreams.size());
  const bool isHolder =
    std::ranges::find(aHolders, aSelf, &ShareHolder::mVm) != aHolders.end();
  if (!isHolder) {
    return shares;
  }
  const auto equal = aLimits.mUsable / static_cast<std::uint32_t>(aHolders.size());
  if (equal >= kAmpleShare) {
    std::ranges::fill(shares, ConnectionShare{ equal, true });
    return shares;
  }
  const auto ranked = Ranked(aHolders, aUpstreams);
  Distribution distribution(aUpstreams, aHolders, aLimits);
  GiveNear(distribution, ranked, aSelf, shares);
  GiveAlternatives(distribution, ranked, aSelf, shares);
  GiveRest(distribution, ranked, aSelf, shares);
  return shares;
}

} // namespace wasabispar
