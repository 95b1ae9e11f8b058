/// @file
/// @brief Tests of regional connection quotas: their sum never exceeds what an upstream
/// accepts, and each VM has an alternative upstream.
#include "wasabispar/fleet/regional_quota.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wasabispar;

namespace {

std::vector<QuotaHolder>
MakeHolders(const std::vector<std::size_t>& aPerRegion)
{
  std::vector<QuotaHolder> holders;
  for (std::size_t region = 0; region < aPerRegion.size(); ++region) {
    for (std::size_t i = 0; i < aPerRegion[region]; ++i) {
      holders.push_back({ VmId("vm" + std::to_string(holders.size())),
                          RegionId("r" + std::to_string(region)) });
    }
  }
  return holders;
}

std::vector<RegionalUpstream>
OneUpstreamPerRegion(std::size_t aRegions)
{
  std::vector<RegionalUpstream> upstreams;
  for (std::size_t region = 0; region < aRegions; ++region) {
    const auto name = std::to_string(region);
    upstreams.push_back({ UpstreamId("u" + name), RegionId("r" + name) });
  }
  return upstreams;
}

/// Limits with a tenth of @p aUsable in addition for connections that are being closed.
ConnectionLimits
MakeLimits(std::uint32_t aUsable)
{
  return { aUsable + aUsable / 10, aUsable };
}

/// Sums over the quotas of all holders for one upstream.
struct QuotaSum
{
  std::uint32_t mLimit = 0;
  /// Number of holders that keep a connection open.
  std::uint32_t mKeptOpen = 0;
};

std::vector<QuotaSum>
SumQuotas(const std::vector<QuotaHolder>& aHolders,
          const std::vector<RegionalUpstream>& aUpstreams, ConnectionLimits aLimits)
{
  std::vector<QuotaSum> sums(aUpstreams.size());
  for (const auto& holder : aHolders) {
    const auto quotas =
      RegionalQuotas(holder.mVm, aHolders).QuotasFor(aUpstreams, aLimits);
    for (std::size_t i = 0; i < quotas.size(); ++i) {
      sums[i].mLimit += quotas[i].mLimit;
      sums[i].mKeptOpen += quotas[i].mIsKeptOpen ? 1 : 0;
    }
  }
  return sums;
}

} // namespace

TEST_CASE("with two connections for each VM all VMs get the same quota")
{
  const auto holders = MakeHolders({ 4, 2, 3 });
  const std::vector<ConnectionQuota> two(3, { 2, true });
  CHECK(RegionalQuotas(VmId("vm0"), holders)
          .QuotasFor(OneUpstreamPerRegion(3), MakeLimits(24)) == two);
  CHECK(RegionalQuotas(VmId("vm8"), holders)
          .QuotasFor(OneUpstreamPerRegion(3), MakeLimits(24)) == two);
}

TEST_CASE("with more VMs than connections each has its own region and one alternative")
{
  // Guards against a VM that can reach only the upstream of its own region: while that
  // upstream pauses, the part of the reply would be missing. 84 VMs, 67 usable
  // connections.
  const auto holders = MakeHolders({ 29, 26, 29 });
  const auto upstreams = OneUpstreamPerRegion(3);
  for (const auto& holder : holders) {
    const auto quotas =
      RegionalQuotas(holder.mVm, holders).QuotasFor(upstreams, MakeLimits(67));
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < quotas.size(); ++i) {
      sum += quotas[i].mLimit;
      if (upstreams[i].mRegion == holder.mRegion) {
        CHECK(quotas[i] == ConnectionQuota{ 1, true });
      }
    }
    CHECK(sum >= 2);
  }
  for (const auto& sum : SumQuotas(holders, upstreams, MakeLimits(67))) {
    CHECK(sum.mLimit == 67);
  }
}

TEST_CASE("most VMs keep an alternative open, and all can reconnect after a power loss")
{
  // Guards against late parts: while an upstream pauses, another one replies in time only
  // if the connection to it is already open. 79 VMs in three regions 40 ms apart, 72
  // connections to each upstream.
  const std::vector<std::size_t> sizes{ 27, 26, 26 };
  const auto holders = MakeHolders(sizes);
  constexpr std::uint32_t kAccepted = 72;
  const auto sums = SumQuotas(holders, OneUpstreamPerRegion(3), { kAccepted, 65 });
  std::uint32_t alternatives = 0;
  for (std::size_t region = 0; region < sizes.size(); ++region) {
    const auto local = static_cast<std::uint32_t>(sizes[region]);
    CHECK(sums[region].mKeptOpen + local <= kAccepted);
    alternatives += sums[region].mKeptOpen - local;
  }
  CHECK(alternatives >= holders.size() / 2);
}

/// 195 VMs, 65 in each region, and 125 connections to each of three upstreams: 17 of 65
/// VMs of a region got no connection outside of it. When their own upstream failed, they
/// refused requests that an idle upstream could have served.
TEST_CASE("load pattern: every VM can reach every upstream when others fail")
{
  const auto holders = MakeHolders({ 65, 65, 65 });
  for (const auto& holder : holders) {
    const auto quotas = RegionalQuotas(holder.mVm, holders)
                          .QuotasFor(OneUpstreamPerRegion(3), { 125, 113 });
    for (const auto& quota : quotas) {
      CHECK((quota.mLimit > 0 || quota.mMayOverflow));
    }
  }
}

/// When idle connections fill an upstream, overflowing ones would only be reset.
TEST_CASE(
  "no VM overflows its quota where the connections that are kept open leave no room")
{
  const auto holders = MakeHolders({ 60, 10 });
  for (const auto& holder : holders) {
    CHECK_FALSE(RegionalQuotas(holder.mVm, holders)
                  .QuotasFor(OneUpstreamPerRegion(1), { 66, 60 })
                  .at(0)
                  .mMayOverflow);
  }
}

TEST_CASE("with more local VMs than connections VMs of other regions get none")
{
  CHECK(SumQuotas(MakeHolders({ 40, 10 }), OneUpstreamPerRegion(1), MakeLimits(30))
          .at(0)
          .mLimit == 30);
}

TEST_CASE("a VM that is not a quota holder gets no connections")
{
  const auto quotas = RegionalQuotas(VmId("other"), MakeHolders({ 3 }))
                        .QuotasFor(OneUpstreamPerRegion(1), MakeLimits(30));
  CHECK(quotas.at(0) == ConnectionQuota{});
}

TEST_CASE("the sum of the quotas never exceeds the usable connections")
{
  CHECK(rc::check([] {
    const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
      3, rc::gen::inRange<std::size_t>(0, 40));
    const auto usable = *rc::gen::inRange<std::uint32_t>(0, 120);
    const auto regions = *rc::gen::inRange<std::size_t>(1, 4);
    for (const auto& sum : SumQuotas(MakeHolders(sizes), OneUpstreamPerRegion(regions),
                                     MakeLimits(usable))) {
      RC_ASSERT(sum.mLimit <= usable);
    }
  }));
}
