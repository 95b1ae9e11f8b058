/// @file
/// @brief Tests of ids and rendezvous hashing.
#include "wasabispar/base/hash.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace wasabispar;

TEST_CASE("losing one member moves only the keys that it owned")
{
  // Guards against ownership churn when a single VM fails.
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

TEST_CASE("a request id keeps its value through its text form")
{
  const RequestId id{ Incarnation(0xabcdef0123456789ULL), 42 };
  CHECK(RequestId::Parse(id.Text()) == id);
  CHECK_FALSE(RequestId::Parse("12"));
  CHECK_FALSE(RequestId::Parse("-2"));
  CHECK_FALSE(RequestId::Parse("1-zz"));
}
