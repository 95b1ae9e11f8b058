/// @file
/// @brief RegionalShares.
#include "wasabispar/fleet/regional_share.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <array>
#include <bit>

namespace wasabispar {

namespace {

/// With at least so many connections for each VM, half of them can stay open.
constexpr std::uint32_t kAmpleShare = 2;

std::uint64_t
MixedHash(std::uint64_t aMember, std::uint64_t aKey)
{
  const auto bytes = std::bit_cast<std::array<char, sizeof(aMember)>>(aMember);
  return HashText({ bytes.data(), bytes.size() }, aKey);
}

} // namespace

/// Gives out the connections of one service, near VMs first and then the others, until
/// none is left.
class RegionalShares::Distribution
{
public:
  Distribution(const RegionalShares& aShares,
               const std::vector<SharedUpstream>& aUpstreams, ConnectionLimits aLimits)
    : mRanked(aShares.Ranked(aUpstreams))
    , mLeft(aUpstreams.size(), aLimits.mUsable)
    , mElsewhere(aShares.mRegions.size())
    , mShares(aUpstreams.size())
  {
    for (const auto& upstream : aUpstreams) {
      mRegions.push_back(aShares.RegionNumber(upstream.mRegion));
      const auto near = static_cast<std::uint32_t>(
        std::ranges::count(mRanked, mRegions.back(), &Holder::mRegion));
      const auto open = aLimits.mAccepted - std::min(near, aLimits.mAccepted);
      mLeastLeft.push_back(aLimits.mUsable - std::min(open, aLimits.mUsable));
    }
    ListElsewhere(aUpstreams);
  }

  std::vector<ConnectionShare> Run()
  {
    GiveNear();
    GiveAlternatives();
    GiveRest();
    return mShares;
  }

private:
  /// The upstreams outside of each region, by id.
  void ListElsewhere(const std::vector<SharedUpstream>& aUpstreams)
  {
    std::vector<std::size_t> byId(aUpstreams.size());
    for (std::size_t i = 0; i < byId.size(); ++i) {
      byId[i] = i;
    }
    std::ranges::sort(byId, {}, [&aUpstreams](std::size_t aPosition) {
      return aUpstreams[aPosition].mUpstream;
    });
    for (std::size_t region = 0; region < mElsewhere.size(); ++region) {
      for (const auto position : byId) {
        if (mRegions[position] != region) {
          mElsewhere[region].push_back(position);
        }
      }
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

  void GiveNear()
  {
    for (const auto& holder : mRanked) {
      for (std::size_t i = 0; i < mRegions.size(); ++i) {
        if (mRegions[i] == holder.mRegion && Take(i) && holder.mIsSelf) {
          mShares[i] = { 1, true };
        }
      }
    }
  }

  void GiveAlternatives()
  {
    std::vector<std::size_t> ranks(mElsewhere.size(), 0);
    for (const auto& holder : mRanked) {
      const auto& positions = mElsewhere[holder.mRegion];
      if (positions.empty()) {
        continue;
      }
      const auto position = positions[ranks[holder.mRegion]++ % positions.size()];
      if (Take(position) && holder.mIsSelf) {
        mShares[position] = { 1, MayStayOpen(position) };
      }
    }
  }

  /// What is left goes to VMs that do not have the upstream yet, by rank.
  void GiveRest()
  {
    for (std::size_t i = 0; i < mRegions.size(); ++i) {
      std::vector<std::size_t> ranks(mElsewhere.size(), 0);
      for (const auto& holder : mRanked) {
        const auto rank = ranks[holder.mRegion]++;
        if (!HasIt(holder, rank, i) && Take(i) && holder.mIsSelf) {
          mShares[i] = { 1, false };
        }
      }
    }
  }

  /// Whether the upstream is near or the alternative of the holder with this rank in its
  /// region.
  bool HasIt(const Holder& aHolder, std::size_t aRank, std::size_t aPosition) const
  {
    const auto& positions = mElsewhere[aHolder.mRegion];
    return mRegions[aPosition] == aHolder.mRegion ||
           positions[aRank % positions.size()] == aPosition;
  }

  std::vector<Holder> mRanked;
  /// The region of each upstream.
  std::vector<std::size_t> mRegions;
  std::vector<std::uint32_t> mLeft;
  /// As many must not be kept open, so that all near VMs can connect once more.
  std::vector<std::uint32_t> mLeastLeft;
  /// For each region, the positions of the upstreams outside of it.
  std::vector<std::vector<std::size_t>> mElsewhere;
  std::vector<ConnectionShare> mShares;
};

RegionalShares::RegionalShares(const VmId& aSelf, std::vector<ShareHolder> aHolders)
{
  std::ranges::sort(aHolders, {}, &ShareHolder::mVm);
  for (const auto& holder : aHolders) {
    if (RegionNumber(holder.mRegion) == mRegions.size()) {
      mRegions.push_back(holder.mRegion);
    }
    mHolders.push_back(
      { HashText(holder.mVm.Text()), RegionNumber(holder.mRegion), holder.mVm == aSelf });
    mSelfHolds = mSelfHolds || holder.mVm == aSelf;
  }
}

std::size_t
RegionalShares::RegionNumber(const RegionId& aRegion) const
{
  const auto found = std::ranges::find(mRegions, aRegion);
  return static_cast<std::size_t>(found - mRegions.begin());
}

/// The holders by rendezvous rank for the service, best first.
std::vector<RegionalShares::Holder>
RegionalShares::Ranked(const std::vector<SharedUpstream>& aUpstreams) const
{
  std::string_view key;
  for (const auto& upstream : aUpstreams) {
    key = std::max<std::string_view>(key, upstream.mUpstream.Text());
  }
  const auto service = HashText(key);
  auto ranked = mHolders;
  for (auto& holder : ranked) {
    holder.mHash = MixedHash(holder.mHash, service);
  }
  std::ranges::stable_sort(ranked, std::greater<>(), &Holder::mHash);
  return ranked;
}

std::vector<ConnectionShare>
RegionalShares::Of(const std::vector<SharedUpstream>& aUpstreams,
                   ConnectionLimits aLimits) const
{
  if (!mSelfHolds) {
    return std::vector<ConnectionShare>(aUpstreams.size());
  }
  const auto equal = aLimits.mUsable / static_cast<std::uint32_t>(mHolders.size());
  if (equal >= kAmpleShare) {
    return std::vector<ConnectionShare>(aUpstreams.size(), { equal, true });
  }
  return Distribution(*this, aUpstreams, aLimits).Run();
}

} // namespace wasabispar
