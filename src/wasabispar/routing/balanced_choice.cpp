/// @file
/// @brief Weights, costs and the draw of two candidates.
#include "wasabispar/routing/balanced_choice.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>

namespace wasabispar {

namespace {

/// Up to this factor, expected latencies differ by chance: they follow a few samples.
constexpr double kLatencyTolerance = 2;
/// The same for the weights. They follow larger differences, so that an upstream whose
/// slowness is not stated gets less.
constexpr double kWeightTolerance = 1.5;
/// Up to this time they differ by what is not the upstream's: new connections, and the
/// wait for this VM's processor.
constexpr double kToleratedMs = 5;
/// A candidate is better only if its cost is lower than this part of the other's.
/// Remainders of old failures are below it, so that they do not decide each choice.
constexpr double kCostTolerance = 0.95;
/// An idle upstream that costs more than this factor of the best one is slow, fails or
/// needs a new connection.
constexpr double kIdleCostTolerance = 1.1;
/// Most that an upstream counts as slower than the others in its weight, so that it is
/// still drawn now and then.
constexpr double kMaxSlowness = 10;
constexpr double kMinSlowness = 0.1;
/// What an answer of another region takes longer before there is a sample of one.
constexpr Duration kInitialTransfer = std::chrono::milliseconds(35);
/// Resolution of the draw.
constexpr std::uint64_t kDrawSteps = 1 << 20;

/// A candidate that may be drawn.
struct Option
{
  const ReplicaCandidate* mCandidate = nullptr;
  double mWeight = 0;
  /// In milliseconds, without and with the requests that run or wait.
  double mIdleCost = 0;
  double mCost = 0;
};

double
Slots(const ReplicaCandidate& aCandidate)
{
  return static_cast<double>(std::max<std::size_t>(1, aCandidate.mSlots));
}

/// The highest expected latency that counts as equal to @p aBaseMs.
double
ToleratedLatency(double aBaseMs, double aFactor)
{
  return std::max(aBaseMs * aFactor, aBaseMs + kToleratedMs);
}

/// The part of PlacementCost() that depends neither on the latency nor on the load.
double
Penalties(ReplicaCandidate aCandidate)
{
  aCandidate.mInFlight = 0;
  aCandidate.mExpectedLatency = {};
  return ToDoubleMilliseconds(PlacementCost(aCandidate));
}

/// The cost of a candidate against those of other regions. Where the load is known, only
/// requests that have to wait count: an upstream with a free slot is not overloaded.
double
RegionalCost(const ReplicaCandidate& aCandidate)
{
  if (!aCandidate.mReportedLoad) {
    return ToDoubleMilliseconds(PlacementCost(aCandidate));
  }
  const auto ahead = std::max(0.0, *aCandidate.mReportedLoad + 1 - Slots(aCandidate));
  return ToDoubleMilliseconds(aCandidate.mExpectedLatency) *
           (1 + ahead / Slots(aCandidate)) +
         Penalties(aCandidate);
}

double
LowestRegionalCost(const std::vector<const ReplicaCandidate*>& aCandidates)
{
  auto lowest = RegionalCost(*aCandidates.front());
  for (const auto* candidate : aCandidates) {
    lowest = std::min(lowest, RegionalCost(*candidate));
  }
  return lowest;
}

/// The candidates below their limits; avoided ones only if there are no others.
std::vector<const ReplicaCandidate*>
FreeCandidates(const std::vector<ReplicaCandidate>& aCandidates)
{
  std::vector<const ReplicaCandidate*> free;
  for (const auto& candidate : aCandidates) {
    if (candidate.mInFlight < candidate.mMaxInFlight && !candidate.mIsAtRequestLimit) {
      free.push_back(&candidate);
    }
  }
  const auto isUsed = [](const ReplicaCandidate* aItem) { return !aItem->mIsAvoided; };
  if (std::ranges::any_of(free, isUsed)) {
    std::erase_if(free, std::not_fn(isUsed));
  }
  return free;
}

/// Weights and costs of candidates of one region. The cost is the expected latency, with
/// the wait behind the requests of all VMs as far as they are known.
std::vector<Option>
OptionsOfRegion(const std::vector<const ReplicaCandidate*>& aCandidates)
{
  auto base = aCandidates.front()->mExpectedLatency;
  double load = 0;
  double slots = 0;
  for (const auto* candidate : aCandidates) {
    base = std::min(base, candidate->mExpectedLatency);
    load += candidate->mReportedLoad.value_or(0);
    slots += candidate->mReportedLoad ? Slots(*candidate) : 0;
  }
  const auto baseMs = std::max(0.001, ToDoubleMilliseconds(base));
  std::vector<Option> options;
  for (const auto* candidate : aCandidates) {
    const auto latency = ToDoubleMilliseconds(candidate->mExpectedLatency);
    const auto slowness =
      std::clamp(candidate->mReportedSlowdown.value_or(
                   std::max(1.0, latency / ToleratedLatency(baseMs, kWeightTolerance))),
                 kMinSlowness, kMaxSlowness);
    const auto capacity = Slots(*candidate) / slowness;
    // One that has stated no load counts as busy as the others, so that it does not get
    // the requests of all VMs.
    const auto known =
      candidate->mReportedLoad.value_or(slots > 0 ? load / slots * Slots(*candidate) : 0);
    // The requests of this VM count again where the load is known: they are all that is
    // not out of date, which matters in a fleet of few VMs.
    const auto own = static_cast<double>(candidate->mInFlight);
    const auto queued = std::max(known, own) + (slots > 0 ? own : 0);
    const bool isSlow = latency > ToleratedLatency(baseMs, kLatencyTolerance) *
                                    candidate->mReportedSlowdown.value_or(1);
    const auto idleMs = isSlow ? latency : baseMs;
    const auto idleCost = idleMs + Penalties(*candidate);
    options.push_back(
      { candidate, capacity, idleCost, idleCost + idleMs * queued / capacity });
  }
  return options;
}

/// Removes slow and failing options, unless the load of the others makes up for it. Two
/// such options might be drawn otherwise.
void
EraseBad(std::vector<Option>& aOptions)
{
  const auto lowest = std::ranges::min_element(aOptions, {}, &Option::mIdleCost);
  const auto mostIdleCost = kIdleCostTolerance * lowest->mIdleCost;
  auto mostCost = lowest->mCost;
  for (const auto& option : aOptions) {
    if (option.mIdleCost <= mostIdleCost) {
      mostCost = std::min(mostCost, option.mCost);
    }
  }
  std::erase_if(aOptions, [=](const Option& aItem) {
    return aItem.mIdleCost > mostIdleCost && aItem.mCost > mostCost;
  });
}

/// Draws one option by weight; the position of @p aExcluded is not drawn.
std::size_t
Draw(const std::vector<Option>& aOptions, std::optional<std::size_t> aExcluded,
     const RandomFn& aRandom)
{
  double total = 0;
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    total += i == aExcluded ? 0 : aOptions[i].mWeight;
  }
  auto left = total * static_cast<double>(aRandom(kDrawSteps)) / kDrawSteps;
  std::size_t drawn = 0;
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    if (i == aExcluded) {
      continue;
    }
    drawn = i;
    left -= aOptions[i].mWeight;
    if (left < 0) {
      break;
    }
  }
  return drawn;
}

/// The candidates to draw from: those of this VM's region, of other regions, or all of
/// them if the own ones are overloaded.
std::vector<Option>
MakeOptions(const std::vector<const ReplicaCandidate*>& aFree)
{
  std::vector<const ReplicaCandidate*> local;
  std::vector<const ReplicaCandidate*> remote;
  for (const auto* candidate : aFree) {
    (candidate->mIsRemote ? remote : local).push_back(candidate);
  }
  if (local.empty() || remote.empty() ||
      LowestRegionalCost(local) <= LowestRegionalCost(remote)) {
    return OptionsOfRegion(local.empty() ? remote : local);
  }
  std::vector<Option> options;
  for (const auto* candidate : aFree) {
    const auto latency = ToDoubleMilliseconds(candidate->mExpectedLatency);
    options.push_back({ candidate, Slots(*candidate), latency + Penalties(*candidate),
                        RegionalCost(*candidate) });
  }
  return options;
}

/// The mean of the known latencies at one distance; empty if there is none.
std::optional<Duration>
MeanLatency(const std::vector<KnownLatency>& aLatencies, bool aIsRemote)
{
  Duration sum{};
  Duration::rep count = 0;
  for (const auto& known : aLatencies) {
    if (known.mIsRemote == aIsRemote && known.mLatency) {
      sum += *known.mLatency;
      ++count;
    }
  }
  return count > 0 ? std::optional(sum / count) : std::nullopt;
}

} // namespace

std::optional<Duration>
AssumedLatency(const std::vector<KnownLatency>& aLatencies, bool aIsRemote)
{
  const auto same = MeanLatency(aLatencies, aIsRemote);
  if (same || !aIsRemote) {
    return same;
  }
  const auto local = MeanLatency(aLatencies, false);
  return local ? std::optional(*local + kInitialTransfer) : std::nullopt;
}

std::optional<std::size_t>
ChooseBalanced(const std::vector<ReplicaCandidate>& aCandidates, const RandomFn& aRandom)
{
  const auto free = FreeCandidates(aCandidates);
  if (free.empty()) {
    return std::nullopt;
  }
  auto options = MakeOptions(free);
  EraseBad(options);
  const auto first = Draw(options, std::nullopt, aRandom);
  if (options.size() == 1) {
    return options[first].mCandidate->mIndex;
  }
  const auto second = Draw(options, first, aRandom);
  const bool isSecondBetter =
    options[second].mCost < kCostTolerance * options[first].mCost;
  return options[isSecondBetter ? second : first].mCandidate->mIndex;
}

} // namespace wasabispar
