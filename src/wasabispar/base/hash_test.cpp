/// @file
/// @brief Tests of rendezvous hashing and of the text form of request ids.
#include "wasabispar/base/hash.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace wasabispar;

TEST_CASE("losing one member moves only the keys that it owned")
{
  // Guards against ownership churn: the failure of one VM must not change the owners of
  // keys that belong to other VMs.
  std::vector<VmId> members;
  for (int i = 0; i < 20; ++i) {
    members.emplace_back("vm-" + std::to_string(i));
  }
  const auto lost = members.back();
  auto rest = members;
  rest.pop_back();
  for (int key = 0; key < 500; ++key) {
    const auto name = "upstream-" + std::to_string(key);
    const auto before = RendezvousTop(name, members, 1).front();
    const auto after = RendezvousTop(name, rest, 1).front();
    CHECK((before == after || before == lost));
  }
}

TEST_CASE("the text form of a request id parses back to the same id")
{
  const RequestId id{ Incarnation(0xabcdef0123456789ULL), 42 };
  CHECK(RequestId::Parse(id.Text()) == id);
  CHECK_FALSE(RequestId::Parse("12"));
  CHECK_FALSE(RequestId::Parse("-2"));
  CHECK_FALSE(RequestId::Parse("1-zz"));
}
