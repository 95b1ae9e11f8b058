/// @file
/// @brief RegionalQuotas.
#include "wasabispar/fleet/regional_quota.hpp"

#include "wasabispar/base/hash.hpp"

#include <algorithm>
#include <array>
#include <bit>

namespace wasabispar {

namespace {

/// With at least so many connections for each VM, half of them can stay open.
constexpr std::uint32_t kAmpleQuotaPerVm = 2;

std::uint64_t
MixedHash(std::uint64_t aMember, std::uint64_t aKey)
{
  const auto bytes = std::bit_cast<std::array<char, sizeof(aMember)>>(aMember);
  return HashText({ bytes.data(), bytes.size() }, aKey);
}

} // namespace

/// Gives out the connections of one service, local VMs first and then the others, until
/// none is left.
class RegionalQuotas::QuotaDistribution
{
public:
  QuotaDistribution(const RegionalQuotas& aQuotas,
                    const std::vector<RegionalUpstream>& aUpstreams,
                    ConnectionLimits aLimits)
    : mRankedHolders(aQuotas.RankHolders(aUpstreams))
    , mRemaining(aUpstreams.size(), aLimits.mUsable)
    , mRemoteUpstreams(aQuotas.mRegions.size())
    , mQuotas(aUpstreams.size())
  {
    for (const auto& upstream : aUpstreams) {
      mRegions.push_back(aQuotas.RegionIndex(upstream.mRegion));
      const auto local = static_cast<std::uint32_t>(
        std::ranges::count(mRankedHolders, mRegions.back(), &CompactHolder::mRegion));
      const auto open = aLimits.mUpstreamLimit - std::min(local, aLimits.mUpstreamLimit);
      mMinRemainingToKeepOpen.push_back(aLimits.mUsable -
                                        std::min(open, aLimits.mUsable));
    }
    ListRemoteUpstreams(aUpstreams);
  }

  std::vector<ConnectionQuota> Run()
  {
    AssignLocal();
    AssignAlternatives();
    AssignRemainder();
    return mQuotas;
  }

private:
  /// The upstreams outside of each region, by id.
  void ListRemoteUpstreams(const std::vector<RegionalUpstream>& aUpstreams)
  {
    std::vector<std::size_t> byId(aUpstreams.size());
    for (std::size_t i = 0; i < byId.size(); ++i) {
      byId[i] = i;
    }
    std::ranges::sort(byId, {}, [&aUpstreams](std::size_t aPosition) {
      return aUpstreams[aPosition].mUpstream;
    });
    for (std::size_t region = 0; region < mRemoteUpstreams.size(); ++region) {
      for (const auto position : byId) {
        if (mRegions[position] != region) {
          mRemoteUpstreams[region].push_back(position);
        }
      }
    }
  }

  /// Whether the holder gets a connection to the upstream at @p aPosition.
  bool TakeConnection(std::size_t aPosition)
  {
    if (mRemaining[aPosition] == 0) {
      return false;
    }
    --mRemaining[aPosition];
    return true;
  }

  /// Whether the connection that was taken last may stay open.
  bool MayStayOpen(std::size_t aPosition) const
  {
    return mRemaining[aPosition] >= mMinRemainingToKeepOpen[aPosition];
  }

  void AssignLocal()
  {
    for (const auto& holder : mRankedHolders) {
      for (std::size_t i = 0; i < mRegions.size(); ++i) {
        if (mRegions[i] == holder.mRegion && TakeConnection(i) && holder.mIsSelf) {
          mQuotas[i] = { 1, true };
        }
      }
    }
  }

  void AssignAlternatives()
  {
    std::vector<std::size_t> ranks(mRemoteUpstreams.size(), 0);
    for (const auto& holder : mRankedHolders) {
      const auto& positions = mRemoteUpstreams[holder.mRegion];
      if (positions.empty()) {
        continue;
      }
      const auto position = positions[ranks[holder.mRegion]++ % positions.size()];
      if (TakeConnection(position) && holder.mIsSelf) {
        mQuotas[position] = { 1, MayStayOpen(position) };
      }
    }
  }

  /// What is left goes to VMs that do not have the upstream yet, by rank.
  void AssignRemainder()
  {
    for (std::size_t i = 0; i < mRegions.size(); ++i) {
      std::vector<std::size_t> ranks(mRemoteUpstreams.size(), 0);
      for (const auto& holder : mRankedHolders) {
        const auto rank = ranks[holder.mRegion]++;
        if (!HasUpstream(holder, rank, i) && TakeConnection(i) && holder.mIsSelf) {
          mQuotas[i] = { 1, false };
        }
      }
    }
  }

  /// Whether the upstream is local or the alternative of the holder with this rank in its
  /// region.
  bool HasUpstream(const CompactHolder& aHolder, std::size_t aRank,
                   std::size_t aPosition) const
  {
    const auto& positions = mRemoteUpstreams[aHolder.mRegion];
    return mRegions[aPosition] == aHolder.mRegion ||
           positions[aRank % positions.size()] == aPosition;
  }

  std::vector<CompactHolder> mRankedHolders;
  /// The region of each upstream.
  std::vector<std::size_t> mRegions;
  std::vector<std::uint32_t> mRemaining;
  /// As many must not be kept open, so that all local VMs can connect once more.
  std::vector<std::uint32_t> mMinRemainingToKeepOpen;
  /// For each region, the positions of the upstreams outside of it.
  std::vector<std::vector<std::size_t>> mRemoteUpstreams;
  std::vector<ConnectionQuota> mQuotas;
};

RegionalQuotas::RegionalQuotas(const VmId& aSelf, std::vector<QuotaHolder> aHolders)
{
  std::ranges::sort(aHolders, {}, &QuotaHolder::mVm);
  for (const auto& holder : aHolders) {
    if (RegionIndex(holder.mRegion) == mRegions.size()) {
      mRegions.push_back(holder.mRegion);
    }
    mHolders.push_back(
      { HashText(holder.mVm.Text()), RegionIndex(holder.mRegion), holder.mVm == aSelf });
    mIsSelfHolder = mIsSelfHolder || holder.mVm == aSelf;
  }
}

std::size_t
RegionalQuotas::RegionIndex(const RegionId& aRegion) const
{
  const auto found = std::ranges::find(mRegions, aRegion);
  return static_cast<std::size_t>(found - mRegions.begin());
}

/// The holders by rendezvous rank for the service, best first.
std::vector<RegionalQuotas::CompactHolder>
RegionalQuotas::RankHolders(const std::vector<RegionalUpstream>& aUpstreams) const
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
  std::ranges::stable_sort(ranked, std::greater<>(), &CompactHolder::mHash);
  return ranked;
}

std::vector<ConnectionQuota>
RegionalQuotas::QuotasFor(const std::vector<RegionalUpstream>& aUpstreams,
                          ConnectionLimits aLimits) const
{
  if (!mIsSelfHolder) {
    return std::vector<ConnectionQuota>(aUpstreams.size());
  }
  const auto equalQuota = aLimits.mUsable / static_cast<std::uint32_t>(mHolders.size());
  if (equalQuota >= kAmpleQuotaPerVm) {
    return std::vector<ConnectionQuota>(aUpstreams.size(), { equalQuota, true });
  }
  return QuotaDistribution(*this, aUpstreams, aLimits).Run();
}

} // namespace wasabispar
