/// @file
/// @brief Exponential backoff with jitter after refused connections.
#include "wasabispar/net/reconnect_backoff.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// Bounds the number of doublings, so that the delay does not overflow.
constexpr std::uint32_t kMaxDoublings = 10;

} // namespace

ReconnectBackoff::ReconnectBackoff(ReconnectBackoffOptions aOptions, RandomFn aRandom)
  : mOptions(aOptions)
  , mRandom(std::move(aRandom))
{
}

void
ReconnectBackoff::OnRefused(TimePoint aNow)
{
  const auto doublings = std::min(mRefusals, kMaxDoublings);
  ++mRefusals;
  const auto delay = std::min(mOptions.mMax, mOptions.mInitial * (1 << doublings));
  // The VMs of a fleet are refused at the same moment and must not return together.
  const auto jitter = mRandom(static_cast<std::uint64_t>(delay.count() / 2) + 1);
  mOpenAt = aNow + delay / 2 + Duration(static_cast<Duration::rep>(jitter));
}

void
ReconnectBackoff::OnAccepted()
{
  mRefusals = 0;
}

} // namespace wasabispar
