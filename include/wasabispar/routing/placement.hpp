/// @file
/// @brief Placement: which upstream of a service gets a request, and when a second one
/// is asked. Pure functions.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace wasabispar {

/// @brief What placement needs to know of one upstream.
struct ReplicaCandidate
{
  /// Position in the caller's list.
  std::size_t mIndex = 0;
  Duration mExpectedLatency{};
  /// Share of requests that fail there, from 0 to 1.
  double mFailureRatio = 0;
  /// Exchanges of this VM that run there.
  std::size_t mInFlight = 0;
  /// Exchanges that this VM may run there.
  std::size_t mLimit = 1;
  /// Requests that the upstream runs at once.
  std::size_t mSlots = 1;
  /// In another region: its answers cost transfer between regions.
  bool mIsRemote = false;
  /// Failed a short time ago.
  bool mIsAvoided = false;
};

/// @brief Expected response time with the load that this VM has put there, the failures
/// to be expected and the preference for the own region.
Duration
PlacementCost(const ReplicaCandidate& aCandidate);

/// @brief The index of the best candidate with a free exchange; avoided ones only when
/// there is no other. Empty when none has a free exchange.
std::optional<std::size_t>
ChooseCandidate(const std::vector<ReplicaCandidate>& aCandidates);

/// @brief How long to wait for an answer before a second upstream is asked.
/// @param aExpected expected response time of the first one.
/// @param aAlternative expected response time of the second one.
/// @param aTimeLeft time left in which an answer is still on time.
Duration
HedgeDelay(Duration aExpected, Duration aAlternative, Duration aTimeLeft);

} // namespace wasabispar
