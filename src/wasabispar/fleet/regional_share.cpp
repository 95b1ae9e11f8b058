/// @file
/// @brief RegionalShare.
#include "wasabispar/fleet/regional_share.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// Number of holders of the same kind that stand before @p aSelf by rendezvous rank.
std::size_t
RankAmong(const UpstreamId& aUpstream, const ShareHolder& aSelf,
          const std::vector<ShareHolder>& aHolders)
{
  const auto own = RendezvousScore(aUpstream.Text(), aSelf.mVm.Text());
  return static_cast<std::size_t>(
    std::ranges::count_if(aHolders, [&](const ShareHolder& aOther) {
      if (aOther.mIsNear != aSelf.mIsNear || aOther.mVm == aSelf.mVm) {
        return false;
      }
      const auto score = RendezvousScore(aUpstream.Text(), aOther.mVm.Text());
      return score != own ? score > own : aOther.mVm < aSelf.mVm;
    }));
}

} // namespace

std::uint32_t
RegionalShare(const UpstreamId& aUpstream, const VmId& aSelf,
              const std::vector<ShareHolder>& aHolders, std::uint32_t aUsable)
{
  const auto self = std::ranges::find(aHolders, aSelf, &ShareHolder::mVm);
  if (self == aHolders.end()) {
    return 0;
  }
  const auto equal = aUsable / static_cast<std::uint32_t>(aHolders.size());
  if (equal > 0) {
    return equal;
  }
  const auto near =
    static_cast<std::size_t>(std::ranges::count_if(aHolders, &ShareHolder::mIsNear));
  const std::size_t forNear = std::min<std::size_t>(near, aUsable);
  const auto forKind = self->mIsNear ? forNear : aUsable - forNear;
  return RankAmong(aUpstream, *self, aHolders) < forKind ? 1 : 0;
}

} // namespace wasabispar
