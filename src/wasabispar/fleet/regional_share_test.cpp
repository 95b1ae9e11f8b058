/// @file
/// @brief Tests of the shares of connections: never more in sum than the upstream
/// accepts.
#include "wasabispar/fleet/regional_share.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wasabispar;

namespace {

std::vector<ShareHolder>
Holders(std::size_t aNear, std::size_t aFar)
{
  std::vector<ShareHolder> holders;
  for (std::size_t i = 0; i < aNear + aFar; ++i) {
    holders.push_back({ VmId("vm" + std::to_string(i)), i < aNear });
  }
  return holders;
}

struct Sums
{
  std::uint32_t mNear = 0;
  std::uint32_t mFar = 0;
};

Sums
SumOf(const std::vector<ShareHolder>& aHolders, std::uint32_t aUsable)
{
  Sums sums;
  for (const auto& holder : aHolders) {
    const auto share = RegionalShare(UpstreamId("u"), holder.mVm, aHolders, aUsable);
    (holder.mIsNear ? sums.mNear : sums.mFar) += share;
  }
  return sums;
}

} // namespace

TEST_CASE("few VMs share equally")
{
  const auto holders = Holders(3, 6);
  CHECK(RegionalShare(UpstreamId("u"), VmId("vm0"), holders, 24) == 2);
  CHECK(RegionalShare(UpstreamId("u"), VmId("vm8"), holders, 24) == 2);
}

TEST_CASE("with more VMs than connections the near ones come first")
{
  const auto sums = SumOf(Holders(28, 56), 67);
  CHECK(sums.mNear == 28);
  CHECK(sums.mFar == 39);
}

TEST_CASE("with more near VMs than connections the far ones get none")
{
  const auto sums = SumOf(Holders(40, 10), 30);
  CHECK(sums.mNear == 30);
  CHECK(sums.mFar == 0);
}

TEST_CASE("a VM that is not among the holders gets none")
{
  CHECK(RegionalShare(UpstreamId("u"), VmId("other"), Holders(3, 0), 30) == 0);
}

TEST_CASE("the shares never exceed what the upstream accepts")
{
  rc::check([] {
    const auto near = *rc::gen::inRange<std::size_t>(0, 60);
    const auto far = *rc::gen::inRange<std::size_t>(1, 60);
    const auto usable = *rc::gen::inRange<std::uint32_t>(0, 150);
    const auto sums = SumOf(Holders(near, far), usable);
    RC_ASSERT(sums.mNear + sums.mFar <= usable);
  });
}
