/// @file
/// @brief Smooth weighted round robin over the services of a split route.
#pragma once

#include "wasabispar/routing/route.hpp"

#include <map>

namespace wasabispar {

/// @brief Chooses services in proportion to their weights. After any number of choices
/// each service is within one choice of its exact share. Not thread-safe.
class WeightedChoice
{
public:
  /// @brief The service of the next request; @p aServices must not be empty. A service
  /// that was not among the earlier ones starts without credit.
  const ServiceName& Next(const std::vector<WeightedService>& aServices);

private:
  /// Credit of each service. Invariant: the sum is 0 between calls while the services
  /// stay the same.
  std::map<ServiceName, std::int64_t> mCredit;
};

} // namespace wasabispar
