/// @file
/// @brief Intervals of crashes: longest succession and compaction.
#include "wasabispar/routing/crash_series.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wasabispar {

namespace {

/// Sorted by loss, the crashes that were sent before the first loss among them form the
/// first group, and so on with the rest. The groups are as many as crashes can follow
/// each other.
std::vector<RequestCrashes>
GroupOverlapping(RequestCrashes aCrashes)
{
  std::ranges::sort(aCrashes, {}, [](const RequestCrash& aCrash) {
    return std::pair(aCrash.mLostAt, aCrash.mSentAt);
  });
  std::vector<RequestCrashes> groups;
  for (const auto& crash : aCrashes) {
    if (groups.empty() || crash.mSentAt >= groups.back().front().mLostAt) {
      groups.emplace_back();
    }
    groups.back().push_back(crash);
  }
  return groups;
}

bool
HasService(const RequestCrashes& aCrashes, ServiceFingerprint aService)
{
  return std::ranges::find(aCrashes, aService, &RequestCrash::mService) != aCrashes.end();
}

} // namespace

std::uint32_t
CountSuccessiveCrashes(RequestCrashes aCrashes)
{
  return static_cast<std::uint32_t>(GroupOverlapping(std::move(aCrashes)).size());
}

RequestCrashes
CompactCrashes(RequestCrashes aCrashes, std::size_t aMaxServices)
{
  RequestCrashes compact;
  for (const auto& group : GroupOverlapping(std::move(aCrashes))) {
    RequestCrashes kept;
    for (const auto& crash : group) {
      if (kept.size() < aMaxServices && !HasService(kept, crash.mService)) {
        kept.push_back(crash);
      }
    }
    std::ranges::copy(kept, std::back_inserter(compact));
  }
  return compact;
}

RequestCrashes
CrashesOfService(const RequestCrashes& aCrashes, ServiceFingerprint aService)
{
  RequestCrashes crashes;
  std::ranges::copy_if(
    aCrashes, std::back_inserter(crashes),
    [aService](const RequestCrash& aCrash) { return aCrash.mService == aService; });
  return crashes;
}

} // namespace wasabispar
