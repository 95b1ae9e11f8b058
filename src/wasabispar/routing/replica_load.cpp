/// @file
/// @brief Latency estimate, failure ratio and avoidance of one upstream.
#include "wasabispar/routing/replica_load.hpp"

#include <algorithm>
#include <cmath>

namespace wasabispar {

namespace {

/// Weight of a new latency sample. One slow answer out of four must already move traffic.
constexpr double kLatencySampleWeight = 0.25;
/// Growth of the best latency with each sample, so that it follows a lasting change.
constexpr double kBestLatencyGrowth = 1.02;
/// Time after a sample before the mean starts to decay, and the half-life of its distance
/// from the best latency.
constexpr Duration kMeanDecayDelay = std::chrono::milliseconds(400);
constexpr Duration kMeanHalfLife = std::chrono::milliseconds(600);
/// Initial and maximum backoff after a lost answer or a failed connection.
constexpr Duration kLossBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);
/// Weight of a new outcome in the failure ratio, and the half-life of the ratio.
constexpr double kOutcomeWeight = 0.12;
constexpr Duration kFailureRatioHalfLife = std::chrono::milliseconds(1500);
/// Initial backoff after a shed request, because the upstream's queue has to drain.
constexpr Duration kShedBackoff = std::chrono::milliseconds(25);

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

ReplicaLoad::ReplicaLoad(Duration aInitial)
  : mMeanLatency(aInitial)
  , mBestLatency(aInitial)
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
  const auto age = RemoveExchange(aExchange, aNow);
  if (age == Duration{}) {
    return;
  }
  mConsecutiveFailures = 0;
  mAvoidUntil = {};
  AddOutcome(false, aNow);
  AddSample(age, aNow);
}

void
ReplicaLoad::OnShed(ExchangeId aExchange, TimePoint aNow)
{
  RemoveExchange(aExchange, aNow);
  AddOutcome(true, aNow);
  Avoid(aNow, kShedBackoff);
}

void
ReplicaLoad::OnLost(ExchangeId aExchange, TimePoint aNow)
{
  RemoveExchange(aExchange, aNow);
  AddOutcome(true, aNow);
  Avoid(aNow, kLossBackoff);
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
  Avoid(aNow, kLossBackoff);
}

Duration
ReplicaLoad::ExpectedLatency(TimePoint aNow) const
{
  auto expected = mMeanLatency;
  const auto idle = aNow - mLastSampleAt;
  if (mMeanLatency > mBestLatency && idle > kMeanDecayDelay) {
    const auto halvings =
      ToDoubleMilliseconds(idle - kMeanDecayDelay) / ToDoubleMilliseconds(kMeanHalfLife);
    expected = mBestLatency + Scaled(mMeanLatency - mBestLatency, std::exp2(-halvings));
  }
  if (!mInFlight.empty()) {
    const auto age = aNow - mInFlight.front().mSentAt;
    // Up to twice the expected latency is ordinary variation.
    if (age > 2 * expected) {
      expected = age;
    }
  }
  return expected;
}

double
ReplicaLoad::FailureRatio(TimePoint aNow) const
{
  const auto halvings = ToDoubleMilliseconds(aNow - mLastOutcomeAt) /
                        ToDoubleMilliseconds(kFailureRatioHalfLife);
  return mFailureRatio * std::exp2(-halvings);
}

void
ReplicaLoad::AddOutcome(bool aFailed, TimePoint aNow)
{
  const auto ratio = mFailureRatio * (1 - kOutcomeWeight);
  mFailureRatio = aFailed ? ratio + kOutcomeWeight : ratio;
  mLastOutcomeAt = aNow;
}

Duration
ReplicaLoad::RemoveExchange(ExchangeId aExchange, TimePoint aNow)
{
  const auto found = std::ranges::find(mInFlight, aExchange,
                                       [](const Exchange& aItem) { return aItem.mId; });
  if (found == mInFlight.end()) {
    return Duration{};
  }
  const auto age = aNow - found->mSentAt;
  mInFlight.erase(found);
  return age;
}

void
ReplicaLoad::AddSample(Duration aSample, TimePoint aNow)
{
  const auto current = ExpectedLatency(aNow);
  const auto mean = std::min(current, std::max(mMeanLatency, mBestLatency));
  mMeanLatency = mean + Scaled(aSample - mean, kLatencySampleWeight);
  mBestLatency = std::min(aSample, Scaled(mBestLatency, kBestLatencyGrowth));
  mLastSampleAt = aNow;
}

void
ReplicaLoad::Avoid(TimePoint aNow, Duration aInitialBackoff)
{
  const auto doublings = std::min<std::uint32_t>(mConsecutiveFailures, 6);
  ++mConsecutiveFailures;
  mAvoidUntil = aNow + std::min(kMaxBackoff, aInitialBackoff * (1 << doublings));
}

} // namespace wasabispar
