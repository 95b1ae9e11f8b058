/// @file
/// @brief Accounting of the large requests to one upstream.
#include "wasabispar/routing/in_flight_bytes.hpp"

namespace wasabispar {

bool
InFlightBytes::MaySend(std::uint64_t aBytes, std::optional<std::uint64_t> aShare) const
{
  return aBytes <= kLargeRequestBytes || !aShare || mBytes == 0 ||
         mBytes + aBytes <= *aShare;
}

void
InFlightBytes::OnSent(ExchangeId aExchange, std::uint64_t aBytes)
{
  if (aBytes > kLargeRequestBytes && mBytesByExchange.emplace(aExchange, aBytes).second) {
    mBytes += aBytes;
  }
}

void
InFlightBytes::OnEnded(ExchangeId aExchange)
{
  const auto found = mBytesByExchange.find(aExchange);
  if (found != mBytesByExchange.end()) {
    mBytes -= found->second;
    mBytesByExchange.erase(found);
  }
}

} // namespace wasabispar
