/// @file
/// @brief Choice of the upstream for a request, and of the delay before a hedge is sent
/// to a second upstream. Pure functions.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace wasabispar {

/// @brief The input of the placement for one upstream.
struct ReplicaCandidate
{
  /// Position of the upstream in the list of the code that calls ChooseCandidate().
  std::size_t mIndex = 0;
  /// Expected response time of a request, from ReplicaLoad.
  Duration mExpectedLatency{};
  /// Fraction of requests that fail at the upstream, from 0 to 1.
  double mFailureRatio = 0;
  /// Exchanges of this VM that are running at the upstream.
  std::size_t mInFlight = 0;
  /// Maximum number of exchanges that this VM may run at the upstream at the same time.
  std::size_t mMaxInFlight = 1;
  /// Requests that the upstream runs at the same time.
  std::size_t mSlots = 1;
  /// The upstream is in another region, so its answers cost transfer between regions.
  bool mIsRemote = false;
  /// A recent request failed, so the upstream is chosen only when no other is free.
  bool mIsAvoided = false;
  /// A connection has to be opened for this request alone.
  bool mIsOverflow = false;
  /// The limit that the upstream names, or the one on cold upstreams, allows no request
  /// of this VM now.
  bool mIsAtRequestLimit = false;
  /// Requests of all VMs that run or wait at the upstream, from ReportedLoad; empty if
  /// they are not known.
  std::optional<double> mReportedLoad{};
  /// How long work takes there by ReportedLoad, relative to usual; empty if it is not
  /// known.
  std::optional<double> mReportedSlowdown{};
};

/// @brief The expected response time, plus the wait behind the exchanges that this VM
/// runs at the upstream, plus penalties for its failure ratio, for another region and for
/// a connection to open.
Duration
PlacementCost(const ReplicaCandidate& aCandidate);

/// @brief The mIndex of the candidate with the lowest cost among those below their limits
/// of exchanges and requests. An avoided candidate is chosen only when there is no other.
/// Empty when all candidates are at a limit.
std::optional<std::size_t>
ChooseCandidate(const std::vector<ReplicaCandidate>& aCandidates);

/// @brief Time from the send to the first upstream until a hedge is sent to a second one.
/// @param aExpected expected response time of the first upstream.
/// @param aAlternative expected response time of the second upstream.
/// @param aTimeLeft time left in which an answer is still on time.
Duration
HedgeDelay(Duration aExpected, Duration aAlternative, Duration aTimeLeft);

} // namespace wasabispar
