/// @file
/// @brief Choice of the upstream for a request by the better of two that are drawn at
/// random. A pure function.
#pragma once

#include "wasabispar/base/random.hpp"
#include "wasabispar/routing/placement.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace wasabispar {

/// @brief The mIndex of the chosen candidate: of two that are drawn with weights (slots,
/// divided by how slow the upstream is), the one of lower cost. Empty when all candidates
/// are at a limit.
///
/// Load pattern: many VMs choose at the same time by what they observed some time ago. If
/// each of them takes the lowest cost, they all choose the same upstream, and none tries
/// one whose initial estimate is too high. Small differences of the expected latency
/// therefore count as none, and a draw decides.
///
/// Candidates that ChooseCandidate() would not choose because they are at a limit or
/// avoided are not drawn. Those of another region are drawn only while the lowest cost in
/// this VM's region exceeds the lowest one elsewhere, including the transfer.
std::optional<std::size_t>
ChooseBalanced(const std::vector<ReplicaCandidate>& aCandidates, const RandomFn& aRandom);

/// @brief The expected response time of an upstream, if there is a sample of it.
struct KnownLatency
{
  std::optional<Duration> mLatency;
  /// The upstream is in another region.
  bool mIsRemote = false;
};

/// @brief The expected response time of an upstream without a sample: the mean of those
/// at the same distance. In another region without any sample it is the mean of this
/// region and the transfer. Empty if nothing is known.
std::optional<Duration>
AssumedLatency(const std::vector<KnownLatency>& aLatencies, bool aIsRemote);

} // namespace wasabispar
