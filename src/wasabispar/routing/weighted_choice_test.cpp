/// @file
/// @brief Tests of the choice of services by weight.
#include "wasabispar/routing/weighted_choice.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace wasabispar;

TEST_CASE("over a whole round each service is chosen exactly by its weight")
{
  const std::vector<WeightedService> services{ { ServiceName("a"), 7 },
                                               { ServiceName("b"), 2 },
                                               { ServiceName("c"), 1 } };
  WeightedChoice choice;
  std::map<ServiceName, int> counts;
  for (int i = 0; i < 100; ++i) {
    ++counts[choice.Next(services)];
  }
  CHECK(counts[ServiceName("a")] == 70);
  CHECK(counts[ServiceName("b")] == 20);
  CHECK(counts[ServiceName("c")] == 10);
}

TEST_CASE("a service with weight 0 is never chosen")
{
  const std::vector<WeightedService> services{ { ServiceName("a"), 1 },
                                               { ServiceName("b"), 0 } };
  WeightedChoice choice;
  for (int i = 0; i < 10; ++i) {
    CHECK(choice.Next(services) == ServiceName("a"));
  }
}
