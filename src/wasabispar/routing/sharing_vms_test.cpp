/// @file
/// @brief Tests of the states in which a VM has no share of limits.
#include "wasabispar/routing/sharing_vms.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1000s };

std::vector<VmId>
Vms(std::size_t aCount)
{
  std::vector<VmId> vms;
  for (std::size_t i = 0; i < aCount; ++i) {
    vms.emplace_back("vm-" + std::to_string(i));
  }
  return vms;
}

/// This VM is the first of the view. Updates it each second.
struct Tracked
{
  SharingVms mSharing{ VmId("vm-0") };
  TimePoint mNow = kStart;

  void Run(std::size_t aViewSize, Duration aTime, bool aHasJoined = true)
  {
    for (const auto end = mNow + aTime; mNow < end; mNow += 1s) {
      mSharing.Update(Vms(aViewSize), aHasJoined, mNow);
    }
  }
  bool HasShare() const { return mSharing.ShareAt(mNow) != nullptr; }
};

} // namespace

/// Guards against a VM that uses a share before the others count it.
TEST_CASE("a VM has no share before it has joined and settled")
{
  Tracked vm;
  vm.Run(1, 20s, false);
  CHECK_FALSE(vm.HasShare());
  CHECK(vm.mSharing.StateAt(vm.mNow) == SharingVms::State::NotJoined);
  vm.Run(10, 7s);
  CHECK_FALSE(vm.HasShare());
  vm.Run(10, 3s);
  CHECK(vm.HasShare());
  CHECK(vm.mSharing.ShareAt(vm.mNow)->VmCount() == 10);
}

/// Guards against both sides of a partition that divide the limit among themselves.
TEST_CASE("a VM that sees fewer than half of the others has no share")
{
  Tracked vm;
  vm.Run(10, 20s);
  vm.Run(5, 60s);
  CHECK(vm.HasShare());
  CHECK(vm.mSharing.VmCount() == 10);
  // The sides may be even: no VM is forgotten before a side has a majority.
  vm.Run(5, 400s);
  CHECK(vm.mSharing.VmCount() == 10);
  vm.Run(4, 2s);
  CHECK_FALSE(vm.HasShare());
  CHECK(vm.mSharing.StateAt(vm.mNow) == SharingVms::State::ViewShrunk);
  vm.Run(10, 4s);
  CHECK_FALSE(vm.HasShare());
  vm.Run(10, 6s);
  CHECK(vm.HasShare());
}

/// Guards against the share of a VM that is cut off, but still sends, being given to
/// another one.
TEST_CASE("a VM that left the view stays counted for minutes")
{
  Tracked vm;
  vm.Run(10, 20s);
  vm.Run(8, 200s);
  CHECK(vm.mSharing.VmCount() == 10);
  vm.Run(8, 120s);
  CHECK(vm.mSharing.VmCount() == 8);
  CHECK(vm.HasShare());
}

/// Guards against a process that acts on an old view after a pause.
TEST_CASE("a VM has no share during and after a pause")
{
  Tracked vm;
  vm.Run(10, 20s);
  vm.mNow += 30s;
  CHECK_FALSE(vm.HasShare());
  vm.Run(10, 2s);
  CHECK_FALSE(vm.HasShare());
  vm.Run(10, 8s);
  CHECK(vm.HasShare());
}
