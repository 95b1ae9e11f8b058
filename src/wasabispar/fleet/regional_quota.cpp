/// @file
/// @brief Distribution of the connections of one service among the quota holders.
#include "wasabispar/fleet/regional_quota.hpp"

#include "wasabispar/base/hash.hpp"
#include "wasabispar/base/units.hpp"

#include <algorithm>
#include <array>
#include <bit>

namespace wasabispar {

namespace {

/// With at least this many connections for each VM, all VMs get the same quota. Each VM
/// keeps one connection open, so that at least half of the connections remain for all VMs
/// to connect once more after a power loss.
constexpr std::uint32_t kMinEqualQuota = 2;
/// VMs may overflow their quotas of an upstream if at least this fraction of its
/// connections is not kept open.
constexpr Permille kMinOverflowRoom(250);

std::uint64_t
MixedHash(std::uint64_t aMember, std::uint64_t aKey)
{
  const auto bytes = std::bit_cast<std::array<char, sizeof(aMember)>>(aMember);
  return HashText({ bytes.data(), bytes.size() }, aKey);
}

} // namespace

/// Assigns the connections of one service, first to the VMs in the region of each
/// upstream and then to the others, until none remains.
class RegionalQuotas::QuotaDistribution
{
public:
  QuotaDistribution(const RegionalQuotas& aQuotas,
                    const std::vector<RegionalUpstream>& aUpstreams,
                    ConnectionLimits aLimits)
    : mRankedHolders(aQuotas.RankHolders(aUpstreams))
    , mRemaining(aUpstreams.size(), aLimits.mUsable)
    , mRemoteUpstreams(aQuotas.mRegions.size())
    , mKeptOpen(aUpstreams.size(), 0)
    , mMaxKeptOpenToOverflow(aLimits.mUpstreamLimit -
                             aLimits.mUpstreamLimit * kMinOverflowRoom.Value() / 1000)
    , mQuotas(aUpstreams.size())
  {
    for (const auto& upstream : aUpstreams) {
      mRegions.push_back(aQuotas.RegionIndex(upstream.mRegion));
      const auto local = static_cast<std::uint32_t>(
        std::ranges::count(mRankedHolders, mRegions.back(), &HolderKey::mRegion));
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
    AllowOverflow();
    return mQuotas;
  }

private:
  /// Fills mRemoteUpstreams, sorted by the id of the upstream.
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

  /// Takes one of the remaining connections to the upstream at @p aPosition; returns
  /// false if none remains.
  bool TakeConnection(std::size_t aPosition)
  {
    if (mRemaining[aPosition] == 0) {
      return false;
    }
    --mRemaining[aPosition];
    return true;
  }

  /// Whether the connection to the upstream at @p aPosition that was taken last may stay
  /// open without traffic.
  bool MayStayOpen(std::size_t aPosition) const
  {
    return mRemaining[aPosition] >= mMinRemainingToKeepOpen[aPosition];
  }

  /// Gives a connection that was taken to @p aHolder.
  void Assign(const HolderKey& aHolder, std::size_t aPosition, bool aIsKeptOpen)
  {
    mKeptOpen[aPosition] += aIsKeptOpen ? 1 : 0;
    if (aHolder.mIsSelf) {
      mQuotas[aPosition] = { 1, aIsKeptOpen };
    }
  }

  /// Assigns one connection to each upstream to each VM in the region of the upstream.
  void AssignLocal()
  {
    for (const auto& holder : mRankedHolders) {
      for (std::size_t i = 0; i < mRegions.size(); ++i) {
        if (mRegions[i] == holder.mRegion && TakeConnection(i)) {
          Assign(holder, i, true);
        }
      }
    }
  }

  /// Assigns one connection to an upstream of another region to each VM.
  void AssignAlternatives()
  {
    std::vector<std::size_t> ranks(mRemoteUpstreams.size(), 0);
    for (const auto& holder : mRankedHolders) {
      const auto& positions = mRemoteUpstreams[holder.mRegion];
      if (positions.empty()) {
        continue;
      }
      const auto position = positions[ranks[holder.mRegion]++ % positions.size()];
      if (TakeConnection(position)) {
        Assign(holder, position, MayStayOpen(position));
      }
    }
  }

  /// Assigns the remaining connections by rank to VMs that have none to the upstream.
  void AssignRemainder()
  {
    for (std::size_t i = 0; i < mRegions.size(); ++i) {
      std::vector<std::size_t> ranks(mRemoteUpstreams.size(), 0);
      for (const auto& holder : mRankedHolders) {
        const auto rank = ranks[holder.mRegion]++;
        if (!HasUpstream(holder, rank, i) && TakeConnection(i)) {
          Assign(holder, i, false);
        }
      }
    }
  }

  /// Lets this VM overflow its quota where it has none and the upstream has room.
  void AllowOverflow()
  {
    for (std::size_t i = 0; i < mQuotas.size(); ++i) {
      mQuotas[i].mMayOverflow =
        mQuotas[i].mLimit == 0 && mKeptOpen[i] <= mMaxKeptOpenToOverflow;
    }
  }

  /// Whether the upstream at @p aPosition is in the region of @p aHolder or is the
  /// alternative of the holder with rank @p aRank in that region.
  bool HasUpstream(const HolderKey& aHolder, std::size_t aRank,
                   std::size_t aPosition) const
  {
    const auto& positions = mRemoteUpstreams[aHolder.mRegion];
    return mRegions[aPosition] == aHolder.mRegion ||
           positions[aRank % positions.size()] == aPosition;
  }

  std::vector<HolderKey> mRankedHolders;
  /// The region of each upstream, as a position in RegionalQuotas::mRegions.
  std::vector<std::size_t> mRegions;
  /// Unassigned connections of each upstream.
  std::vector<std::uint32_t> mRemaining;
  /// For each upstream, a connection may be kept open only if at least this many remain
  /// unassigned, so that all VMs of the upstream's region can connect once more.
  std::vector<std::uint32_t> mMinRemainingToKeepOpen;
  /// For each region, the positions of the upstreams outside of it.
  std::vector<std::vector<std::size_t>> mRemoteUpstreams;
  /// Connections of all VMs to each upstream that are kept open.
  std::vector<std::uint32_t> mKeptOpen;
  /// VMs may overflow their quotas of an upstream with at most this many connections that
  /// are kept open.
  std::uint32_t mMaxKeptOpenToOverflow;
  /// Quotas of this VM by upstream.
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

std::vector<RegionalQuotas::HolderKey>
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
  std::ranges::stable_sort(ranked, std::greater<>(), &HolderKey::mHash);
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
  if (equalQuota >= kMinEqualQuota) {
    return std::vector<ConnectionQuota>(aUpstreams.size(), { equalQuota, true });
  }
  return QuotaDistribution(*this, aUpstreams, aLimits).Run();
}

} // namespace wasabispar
