/// @file
/// @brief Reservations and the window of a cold upstream.
#include "wasabispar/routing/cold_limit.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// Shortest time for which a request is kept. Longer than the window of any limit of at
/// least one request per second.
constexpr Duration kMinKept = std::chrono::milliseconds(1500);

} // namespace

RateShare
ColdLimit::WithVariation(const RateShare& aShare) const
{
  return { aShare.mRequests, aShare.mWindow + mOptions.mTransitVariation };
}

std::optional<TimePoint>
ColdLimit::NextSendAt(const RateShare& aShare, TimePoint aNow) const
{
  return mWindow.NextSendAt(WithVariation(aShare), mReserved.size(), aNow);
}

void
ColdLimit::Reserve(ExchangeId aExchange)
{
  mReserved.insert(aExchange);
}

bool
ColdLimit::Start(ExchangeId aExchange, const RateShare& aShare, TimePoint aNow)
{
  mReserved.erase(aExchange);
  if (NextSendAt(aShare, aNow) != aNow) {
    return false;
  }
  Count(aNow, std::max(kMinKept, WithVariation(aShare).mWindow));
  return true;
}

void
ColdLimit::StartUnlimited(ExchangeId aExchange, TimePoint aNow)
{
  mReserved.erase(aExchange);
  Count(aNow, kMinKept);
}

void
ColdLimit::Count(TimePoint aNow, Duration aKept)
{
  mWindow.OnSent(aNow, aKept);
  mCountsUntil = std::max(mCountsUntil, aNow + aKept);
}

void
ColdLimit::Release(ExchangeId aExchange)
{
  mReserved.erase(aExchange);
}

} // namespace wasabispar
