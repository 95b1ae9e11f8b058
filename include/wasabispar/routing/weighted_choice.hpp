/// @file
/// @brief Smooth weighted round robin over the services of a split route.
#pragma once

#include "wasabispar/routing/route.hpp"

#include <map>

namespace wasabispar {

/// @brief Chooses services in proportion to their weights. After any number of choices
/// the count of each service is within one of its exact proportion. Not thread-safe.
class WeightedChoice
{
public:
  /// @brief The service for the next request; @p aServices must not be empty. A service
  /// that is new to the list starts without credit.
  const ServiceName& Next(const std::vector<WeightedService>& aServices);

private:
  /// Credit of each service: raised by its weight with each choice and lowered by the
  /// total weight when the service is chosen. Invariant: the sum is 0 between calls as
  /// long as the services stay the same.
  std::map<ServiceName, std::int64_t> mCredit;
};

} // namespace wasabispar
