/// @file
/// @brief The begin and the end of outages.
#include "wasabispar/routing/outage_watch.hpp"

#include <utility>

namespace wasabispar {

namespace {

/// Shorter outages are caused by lost packets or a full backlog rather than by a restart.
constexpr Duration kMinOutage = std::chrono::seconds(1);

} // namespace

void
OutageWatch::OnUnreachable(TimePoint aNow)
{
  if (!mUnreachableSince) {
    mUnreachableSince = aNow;
  }
}

std::optional<TimePoint>
OutageWatch::OnConnected(TimePoint aNow)
{
  const auto since = std::exchange(mUnreachableSince, std::nullopt);
  if (!since) {
    return std::nullopt;
  }
  mReturnedAt = aNow;
  return aNow - *since >= kMinOutage ? since : std::nullopt;
}

bool
OutageWatch::WasReachableSince(TimePoint aSince) const
{
  return !mUnreachableSince && (!mReturnedAt || *mReturnedAt <= aSince);
}

} // namespace wasabispar
