/// @file
/// @brief UpstreamStateAt() and ServiceStateAt().
#include "wasabispar/app/log_service_state.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// Whether a period that began with @p aFact still runs. Without times it is taken to
/// run.
bool
IsRunning(const LogFact& aFact, std::optional<std::int64_t> aAtMs)
{
  return !aAtMs || !aFact.mTimeMs ||
         *aFact.mTimeMs + static_cast<std::int64_t>(aFact.mNumber) > *aAtMs;
}

bool
IsEvacuated(const VmFacts& aVm, const std::string& aDataCentre,
            std::optional<std::int64_t> aAtMs)
{
  const auto found = aVm.mEvacuations.find(aDataCentre);
  if (found == aVm.mEvacuations.end()) {
    return false;
  }
  const auto* last =
    found->second.Last({ "evacuation-started", "evacuation-ended" }, aAtMs);
  return last && last->mEvent == "evacuation-started";
}

bool
IsAnyEvacuated(const VmFacts& aVm, std::optional<std::int64_t> aAtMs)
{
  return std::ranges::any_of(aVm.mEvacuations, [&](const auto& aEntry) {
    return IsEvacuated(aVm, aEntry.first, aAtMs);
  });
}

bool
HasUntimedPeriod(const UpstreamFacts& aUpstream, std::optional<std::int64_t> aAtMs)
{
  const auto* last =
    aUpstream.mHistory.Last({ "upstream-quiet", "upstream-cold" }, aAtMs);
  return last && (!aAtMs || !last->mTimeMs);
}

/// The upstream's last line on a limit or on a period, if it came after @p aSince.
const LogFact*
LastSince(const UpstreamFacts& aUpstream, const std::vector<std::string_view>& aEvents,
          std::optional<std::int64_t> aAtMs, std::uint64_t aSince)
{
  const auto* last = aUpstream.mHistory.Last(aEvents, aAtMs);
  return last && last->mLine >= aSince ? last : nullptr;
}

} // namespace

std::string
ToText(LoggedUpstreamState aState)
{
  switch (aState) {
    case LoggedUpstreamState::Usable:
      return "without a reason in the log";
    case LoggedUpstreamState::Limited:
      return "limiting its requests";
    case LoggedUpstreamState::Cold:
      return "cold";
    case LoggedUpstreamState::Quiet:
      return "quiet";
    case LoggedUpstreamState::Evacuated:
      return "evacuated";
    case LoggedUpstreamState::AnnouncedLeaving:
      return "announced leaving";
    case LoggedUpstreamState::Draining:
      return "draining";
    case LoggedUpstreamState::Removed:
      break;
  }
  return "removed";
}

std::size_t
ServiceState::Count(LoggedUpstreamState aState) const
{
  const auto found = mCounts.find(aState);
  return found == mCounts.end() ? 0 : found->second;
}

std::size_t
ServiceState::Total() const
{
  std::size_t total = 0;
  for (const auto& [state, count] : mCounts) {
    total += count;
  }
  return total;
}

std::optional<LoggedUpstreamState>
UpstreamStateAt(const VmFacts& aVm, const UpstreamFacts& aUpstream,
                std::optional<std::int64_t> aAtMs)
{
  const auto* change = aUpstream.mHistory.Last({ "upstream-changed" }, aAtMs);
  const bool isNewIncarnation =
    change && (change->mSubject == "added" || change->mSubject == "replaced");
  // What an earlier incarnation stated does not apply to this one.
  const auto since = isNewIncarnation ? change->mLine : 0;
  if (change && change->mSubject == "removed") {
    return LoggedUpstreamState::Removed;
  }
  if (LastSince(aUpstream, { "upstream-announced-leaving" }, aAtMs, since)) {
    return LoggedUpstreamState::AnnouncedLeaving;
  }
  if (change && change->mSubject == "draining") {
    return LoggedUpstreamState::Draining;
  }
  if (IsEvacuated(aVm, aUpstream.mDataCentre, aAtMs)) {
    return LoggedUpstreamState::Evacuated;
  }
  const auto* quiet = LastSince(aUpstream, { "upstream-quiet" }, aAtMs, since);
  if (quiet && IsRunning(*quiet, aAtMs)) {
    return LoggedUpstreamState::Quiet;
  }
  const auto* limit =
    LastSince(aUpstream, { "upstream-limit", "upstream-limit-ended" }, aAtMs, since);
  if (limit && limit->mEvent == "upstream-limit") {
    return LoggedUpstreamState::Limited;
  }
  const auto* cold = LastSince(aUpstream, { "upstream-cold" }, aAtMs, since);
  if (cold && IsRunning(*cold, aAtMs)) {
    return LoggedUpstreamState::Cold;
  }
  const bool isKnown = change || quiet || limit || cold;
  return isKnown ? std::optional(LoggedUpstreamState::Usable) : std::nullopt;
}

ServiceState
ServiceStateAt(const VmFacts& aVm, const std::string& aService,
               std::optional<std::int64_t> aAtMs)
{
  ServiceState service;
  const bool isAnyEvacuated = IsAnyEvacuated(aVm, aAtMs);
  for (const auto& [id, upstream] : aVm.mUpstreams) {
    if (upstream.mService != aService) {
      continue;
    }
    if (const auto state = UpstreamStateAt(aVm, upstream, aAtMs)) {
      ++service.mCounts[*state];
      service.mIsUncertain |= HasUntimedPeriod(upstream, aAtMs) ||
                              (isAnyEvacuated && upstream.mDataCentre.empty());
    }
  }
  return service;
}

} // namespace wasabispar
