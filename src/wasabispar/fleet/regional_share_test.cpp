/// @file
/// @brief Tests of the shares of connections: never more in sum than an upstream accepts,
/// and an alternative for each VM.
#include "wasabispar/fleet/regional_share.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wasabispar;

namespace {

std::vector<ShareHolder>
Holders(const std::vector<std::size_t>& aPerRegion)
{
  std::vector<ShareHolder> holders;
  for (std::size_t region = 0; region < aPerRegion.size(); ++region) {
    for (std::size_t i = 0; i < aPerRegion[region]; ++i) {
      holders.push_back({ VmId("vm" + std::to_string(holders.size())),
                          RegionId("r" + std::to_string(region)) });
    }
  }
  return holders;
}

std::vector<SharedUpstream>
OneInEach(std::size_t aRegions)
{
  std::vector<SharedUpstream> upstreams;
  for (std::size_t region = 0; region < aRegions; ++region) {
    const auto name = std::to_string(region);
    upstreams.push_back({ UpstreamId("u" + name), RegionId("r" + name) });
  }
  return upstreams;
}

/// A tenth is left for closes under way.
ConnectionLimits
Limits(std::uint32_t aUsable)
{
  return { aUsable + aUsable / 10, aUsable };
}

/// The sums over all holders for one upstream.
struct ShareSum
{
  std::uint32_t mLimit = 0;
  std::uint32_t mKeptOpen = 0;
};

std::vector<ShareSum>
Sums(const std::vector<ShareHolder>& aHolders,
     const std::vector<SharedUpstream>& aUpstreams, ConnectionLimits aLimits)
{
  std::vector<ShareSum> sums(aUpstreams.size());
  for (const auto& holder : aHolders) {
    const auto shares = RegionalShares(holder.mVm, aHolders).Of(aUpstreams, aLimits);
    for (std::size_t i = 0; i < shares.size(); ++i) {
      sums[i].mLimit += shares[i].mLimit;
      sums[i].mKeptOpen += shares[i].mIsKeptOpen ? 1 : 0;
    }
  }
  return sums;
}

} // namespace

TEST_CASE("few VMs share equally")
{
  const auto holders = Holders({ 4, 2, 3 });
  const std::vector<ConnectionShare> two(3, { 2, true });
  CHECK(RegionalShares(VmId("vm0"), holders).Of(OneInEach(3), Limits(24)) == two);
  CHECK(RegionalShares(VmId("vm8"), holders).Of(OneInEach(3), Limits(24)) == two);
}

/// 84 VMs, 67 usable connections: without an alternative a pause of the own region's
/// upstream would cost the part.
TEST_CASE("with more VMs than connections each has its own region and one alternative")
{
  const auto holders = Holders({ 29, 26, 29 });
  const auto upstreams = OneInEach(3);
  for (const auto& holder : holders) {
    const auto shares = RegionalShares(holder.mVm, holders).Of(upstreams, Limits(67));
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
      sum += shares[i].mLimit;
      if (upstreams[i].mRegion == holder.mRegion) {
        CHECK(shares[i] == ConnectionShare{ 1, true });
      }
    }
    CHECK(sum >= 2);
  }
  for (const auto& sum : Sums(holders, upstreams, Limits(67))) {
    CHECK(sum.mLimit == 67);
  }
}

/// 79 VMs in three regions 40 ms apart, 72 connections to each upstream: a part whose
/// upstream pauses is in time only if the connection to another one is open already.
TEST_CASE("most VMs keep an alternative open, and all can reconnect after a power loss")
{
  const std::vector<std::size_t> sizes{ 27, 26, 26 };
  const auto holders = Holders(sizes);
  constexpr std::uint32_t kAccepted = 72;
  const auto sums = Sums(holders, OneInEach(3), { kAccepted, 65 });
  std::uint32_t alternatives = 0;
  for (std::size_t region = 0; region < sizes.size(); ++region) {
    const auto near = static_cast<std::uint32_t>(sizes[region]);
    CHECK(sums[region].mKeptOpen + near <= kAccepted);
    alternatives += sums[region].mKeptOpen - near;
  }
  CHECK(alternatives >= holders.size() / 2);
}

TEST_CASE("with more near VMs than connections the others get none")
{
  CHECK(Sums(Holders({ 40, 10 }), OneInEach(1), Limits(30)).at(0).mLimit == 30);
}

TEST_CASE("a VM that is not among the holders gets none")
{
  const auto shares =
    RegionalShares(VmId("other"), Holders({ 3 })).Of(OneInEach(1), Limits(30));
  CHECK(shares.at(0) == ConnectionShare{});
}

TEST_CASE("the shares never exceed what an upstream accepts")
{
  rc::check([] {
    const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
      3, rc::gen::inRange<std::size_t>(0, 40));
    const auto usable = *rc::gen::inRange<std::uint32_t>(0, 120);
    const auto regions = *rc::gen::inRange<std::size_t>(1, 4);
    for (const auto& sum : Sums(Holders(sizes), OneInEach(regions), Limits(usable))) {
      RC_ASSERT(sum.mLimit <= usable);
    }
  });
}
