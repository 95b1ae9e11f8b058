/// @file
/// @brief Cost of upstreams and delay of hedges.
#include "wasabispar/routing/placement.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// An upstream of this VM's region is preferred while it is at most this much slower.
constexpr Duration kRemotePenalty = std::chrono::milliseconds(6);
/// Cost of opening a connection: the round trips, and the time in which the handshake
/// takes one of the upstream's slots.
constexpr Duration kOverflowPenalty = std::chrono::milliseconds(20);
/// Cost of a failed exchange: the time until another upstream answers, and the extra send
/// for the retry.
constexpr Duration kFailurePenalty = std::chrono::milliseconds(100);
/// Minimum time beyond the expected latency before a hedge is sent, unless the objective
/// requires an earlier one.
constexpr Duration kMinHedgeMargin = std::chrono::milliseconds(12);
/// Least time beyond the expected latency before a hedge is sent. Fast upstreams vary by
/// more than a third of their latency.
constexpr Duration kMinOverdue = std::chrono::milliseconds(6);

} // namespace

Duration
PlacementCost(const ReplicaCandidate& aCandidate)
{
  const auto slots = std::max<std::size_t>(1, aCandidate.mSlots);
  const auto queued = static_cast<Duration::rep>(aCandidate.mInFlight);
  const auto wait =
    aCandidate.mExpectedLatency * queued / static_cast<Duration::rep>(slots);
  const auto failures = Duration(static_cast<Duration::rep>(
    static_cast<double>(kFailurePenalty.count()) * aCandidate.mFailureRatio));
  const auto remote = aCandidate.mIsRemote ? kRemotePenalty : Duration{};
  const auto overflow = aCandidate.mIsOverflow ? kOverflowPenalty : Duration{};
  return aCandidate.mExpectedLatency + wait + failures + remote + overflow;
}

std::optional<std::size_t>
ChooseCandidate(const std::vector<ReplicaCandidate>& aCandidates)
{
  const ReplicaCandidate* best = nullptr;
  for (const auto& candidate : aCandidates) {
    if (candidate.mInFlight >= candidate.mMaxInFlight || candidate.mIsAtRequestLimit) {
      continue;
    }
    if (!best || (best->mIsAvoided && !candidate.mIsAvoided) ||
        (best->mIsAvoided == candidate.mIsAvoided &&
         PlacementCost(candidate) < PlacementCost(*best))) {
      best = &candidate;
    }
  }
  return best ? std::optional(best->mIndex) : std::nullopt;
}

Duration
HedgeDelay(Duration aExpected, Duration aAlternative, Duration aTimeLeft)
{
  // An upstream that is overdue for less time than the second one takes will most likely
  // answer first, and the hedge would only cost the transfer.
  const auto defaultDelay = std::max(
    { aExpected * 5 / 2, aExpected + kMinHedgeMargin, aExpected + aAlternative });
  // The second upstream needs time to answer before the objective.
  const auto latest = aTimeLeft - aAlternative * 3 / 2;
  const auto earliest = std::max(aExpected * 4 / 3, aExpected + kMinOverdue);
  return std::max(earliest, std::min(defaultDelay, latest));
}

} // namespace wasabispar
