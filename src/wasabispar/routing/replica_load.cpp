/// @file
/// @brief ReplicaLoad.
#include "wasabispar/routing/replica_load.hpp"

#include <algorithm>
#include <cmath>

namespace wasabispar {

namespace {

/// Weight of a new sample. One slow answer out of four must already move traffic.
constexpr double kSampleWeight = 0.25;
/// Rise of the best time with each sample, so that it follows a lasting change.
constexpr double kBestRise = 1.02;
/// The mean is trusted for this time after a sample, then it halves towards the best.
constexpr Duration kTrust = std::chrono::milliseconds(400);
constexpr Duration kHalfLife = std::chrono::milliseconds(600);
/// First and longest pause after a lost answer or a failed connection.
constexpr Duration kLostPause = std::chrono::milliseconds(100);
constexpr Duration kMaxPause = std::chrono::seconds(1);
/// Weight of a new outcome in the share of failures, and the time in which it halves.
constexpr double kOutcomeWeight = 0.12;
constexpr Duration kFailureHalfLife = std::chrono::milliseconds(1500);
/// Pause after a shed request: the queue of the upstream has to drain.
constexpr Duration kShedPause = std::chrono::milliseconds(25);

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

ReplicaLoad::ReplicaLoad(Duration aInitial)
  : mMean(aInitial)
  , mBest(aInitial)
{
}

void
ReplicaLoad::OnSent(ExchangeId aExchange, TimePoint aNow)
{
  mInFlight.push_back({ aExchange, aNow });
}

void
ReplicaLoad::OnAnswered(ExchangeId aExchange, TimePoint aNow)
{
  const auto age = Take(aExchange, aNow);
  if (age == Duration{}) {
    return;
  }
  mFailures = 0;
  mAvoidUntil = {};
  AddOutcome(false, aNow);
  AddSample(age, aNow);
}

void
ReplicaLoad::OnShed(ExchangeId aExchange, TimePoint aNow)
{
  Take(aExchange, aNow);
  AddOutcome(true, aNow);
  Avoid(aNow, kShedPause);
}

void
ReplicaLoad::OnLost(ExchangeId aExchange, TimePoint aNow)
{
  Take(aExchange, aNow);
  AddOutcome(true, aNow);
  Avoid(aNow, kLostPause);
}

void
ReplicaLoad::OnAbandoned(ExchangeId aExchange)
{
  std::erase_if(mInFlight,
                [aExchange](const Exchange& aItem) { return aItem.mId == aExchange; });
}

void
ReplicaLoad::OnConnectFailed(TimePoint aNow)
{
  ++mConnectFailures;
  Avoid(aNow, kLostPause);
}

Duration
ReplicaLoad::Expected(TimePoint aNow) const
{
  auto expected = mMean;
  const auto idle = aNow - mLastSample;
  if (mMean > mBest && idle > kTrust) {
    const auto halvings = ToMillisecondsF(idle - kTrust) / ToMillisecondsF(kHalfLife);
    expected = mBest + Scaled(mMean - mBest, std::exp2(-halvings));
  }
  if (!mInFlight.empty()) {
    const auto age = aNow - mInFlight.front().mSent;
    // Up to twice the mean is ordinary variation.
    if (age > 2 * expected) {
      expected = age;
    }
  }
  return expected;
}

double
ReplicaLoad::FailureShare(TimePoint aNow) const
{
  const auto halvings =
    ToMillisecondsF(aNow - mLastOutcome) / ToMillisecondsF(kFailureHalfLife);
  return mFailureShare * std::exp2(-halvings);
}

void
ReplicaLoad::AddOutcome(bool aFailed, TimePoint aNow)
{
  const auto share = mFailureShare * (1 - kOutcomeWeight);
  mFailureShare = aFailed ? share + kOutcomeWeight : share;
  mLastOutcome = aNow;
}

Duration
ReplicaLoad::Take(ExchangeId aExchange, TimePoint aNow)
{
  const auto found = std::ranges::find(mInFlight, aExchange,
                                       [](const Exchange& aItem) { return aItem.mId; });
  if (found == mInFlight.end()) {
    return Duration{};
  }
  const auto age = aNow - found->mSent;
  mInFlight.erase(found);
  return age;
}

void
ReplicaLoad::AddSample(Duration aSample, TimePoint aNow)
{
  const auto current = Expected(aNow);
  const auto mean = std::min(current, std::max(mMean, mBest));
  mMean = mean + Scaled(aSample - mean, kSampleWeight);
  mBest = std::min(aSample, Scaled(mBest, kBestRise));
  mLastSample = aNow;
}

void
ReplicaLoad::Avoid(TimePoint aNow, Duration aFirst)
{
  const auto doublings = std::min<std::uint32_t>(mFailures, 6);
  ++mFailures;
  mAvoidUntil = aNow + std::min(kMaxPause, aFirst * (1 << doublings));
}

} // namespace wasabispar
