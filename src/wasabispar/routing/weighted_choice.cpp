/// @file
/// @brief Smooth weighted round robin.
#include "wasabispar/routing/weighted_choice.hpp"

namespace wasabispar {

const ServiceName&
WeightedChoice::Next(const std::vector<WeightedService>& aServices)
{
  std::int64_t total = 0;
  const WeightedService* best = nullptr;
  std::int64_t bestCredit = 0;
  for (const auto& service : aServices) {
    total += service.mWeight;
    auto& credit = mCredit[service.mService];
    credit += service.mWeight;
    if (!best || credit > bestCredit) {
      best = &service;
      bestCredit = credit;
    }
  }
  mCredit[best->mService] -= total;
  return best->mService;
}

} // namespace wasabispar
