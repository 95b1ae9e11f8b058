/// @file
/// @brief RegionalShares.
#include "wasabispar/fleet/regional_share.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <map>

namespace wasabispar {

namespace {

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
  Distribution(const std::vector<SharedUpstream>& aUpstreams, std::uint32_t aUsable)
    : mUpstreams(aUpstreams)
    , mLeft(aUpstreams.size(), aUsable)
  {
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

  const std::vector<SharedUpstream>& Upstreams() const { return mUpstreams; }

private:
  const std::vector<SharedUpstream>& mUpstreams;
  std::vector<std::uint32_t> mLeft;
};

void
GiveNear(Distribution& aDistribution, const std::vector<ShareHolder>& aRanked,
         const VmId& aSelf, std::vector<std::uint32_t>& aShares)
{
  const auto& upstreams = aDistribution.Upstreams();
  for (const auto& holder : aRanked) {
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      if (upstreams[i].mRegion == holder.mRegion && aDistribution.Take(i) &&
          holder.mVm == aSelf) {
        aShares[i] = 1;
      }
    }
  }
}

void
GiveAlternatives(Distribution& aDistribution, const std::vector<ShareHolder>& aRanked,
                 const VmId& aSelf, std::vector<std::uint32_t>& aShares)
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
      aShares[position] = 1;
    }
  }
}

/// What is left goes to VMs that do not have the upstream yet, by rank.
void
GiveRest(Distribution& aDistribution, const std::vector<ShareHolder>& aRanked,
         const VmId& aSelf, std::vector<std::uint32_t>& aShares)
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
        aShares[i] = 1;
      }
    }
  }
}

} // namespace

std::vector<std::uint32_t>
RegionalShares(const VmId& aSelf, const std::vector<ShareHolder>& aHolders,
               const std::vector<SharedUpstream>& aUpstreams, std::uint32_t aUsable)
{
  const bool isHolder =
    std::ranges::find(aHolders, aSelf, &ShareHolder::mVm) != aHolders.end();
  if (!isHolder) {
    return std::vector<std::uint32_t>(aUpstreams.size(), 0);
  }
  const auto equal = aUsable / static_cast<std::uint32_t>(aHolders.size());
  std::vector<std::uint32_t> shares(aUpstreams.size(), equal);
  if (equal > 0) {
    return shares;
  }
  const auto ranked = Ranked(aHolders, aUpstreams);
  Distribution distribution(aUpstreams, aUsable);
  GiveNear(distribution, ranked, aSelf, shares);
  GiveAlternatives(distribution, ranked, aSelf, shares);
  GiveRest(distribution, ranked, aSelf, shares);
  return shares;
}

} // namespace wasabispar
