/// @file
/// @brief Latency estimate, failure ratio and avoidance of one upstream.
#include "wasabispar/routing/replica_load.hpp"

#include <algorithm>
#include <cmath>

namespace wasabispar {

namespace {

/// Weight of a new latency sample. One slow answer out of four must already move traffic;
/// at a low rate of requests, a single one.
constexpr double kLatencySampleWeight = 0.25;
constexpr double kMaxLatencySampleWeight = 0.5;
/// Interval between requests at which the weight of a sample is highest.
constexpr Duration kLowRateInterval = std::chrono::seconds(1);
/// Growth of the best latency with each sample, so that it follows a lasting change.
constexpr double kBestLatencyGrowth = 1.02;
/// Weight of a new outcome in the failure ratio.
constexpr double kOutcomeWeight = 0.12;
/// Initial backoff after a shed request, because the upstream's queue has to drain.
constexpr Duration kShedBackoff = std::chrono::milliseconds(25);

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aDuration.count()) * aFactor));
}

/// A duration of @p aRequests intervals between requests, within bounds.
Duration
Requests(Duration aInterval, int aRequests, Duration aMin, Duration aMax)
{
  return std::clamp(aInterval * aRequests, aMin, aMax);
}

} // namespace

ReplicaLoad::Pace
ReplicaLoad::PaceAt(Duration aInterval)
{
  using std::chrono::milliseconds;
  const auto lowRate = std::min(1.0, ToDoubleMilliseconds(aInterval) /
                                       ToDoubleMilliseconds(kLowRateInterval));
  Pace pace;
  pace.mSampleWeight =
    kLatencySampleWeight + (kMaxLatencySampleWeight - kLatencySampleWeight) * lowRate;
  pace.mMeanDecayDelay = Requests(aInterval, 2, milliseconds(400), milliseconds(3000));
  pace.mMeanHalfLife = Requests(aInterval, 2, milliseconds(600), milliseconds(3000));
  pace.mFailureRatioHalfLife =
    Requests(aInterval, 3, milliseconds(1500), milliseconds(4000));
  pace.mLossBackoff = Requests(aInterval, 2, milliseconds(100), milliseconds(3000));
  pace.mMaxBackoff = Requests(aInterval, 4, milliseconds(1000), milliseconds(5000));
  return pace;
}

ReplicaLoad::ReplicaLoad(Duration aInitial)
  : mPace(PaceAt(Duration{}))
  , mMeanLatency(aInitial)
  , mBestLatency(aInitial)
{
}

void
ReplicaLoad::SetInitialLatency(std::optional<Duration> aInitial)
{
  if (!HasSample()) {
    mMeanLatency = aInitial.value_or(mMeanLatency);
    mBestLatency = aInitial.value_or(mBestLatency);
    mIsInitialReplaced = true;
  }
}

void
ReplicaLoad::SetRequestInterval(Duration aInterval)
{
  mPace = PaceAt(aInterval);
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
  Avoid(aNow, mPace.mLossBackoff);
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
  Avoid(aNow, mPace.mLossBackoff);
}

Duration
ReplicaLoad::SampledLatency(TimePoint aNow) const
{
  auto expected = mMeanLatency;
  const auto idle = aNow - mLastSampleAt;
  if (mMeanLatency > mBestLatency && idle > mPace.mMeanDecayDelay) {
    const auto halvings = ToDoubleMilliseconds(idle - mPace.mMeanDecayDelay) /
                          ToDoubleMilliseconds(mPace.mMeanHalfLife);
    expected = mBestLatency + Scaled(mMeanLatency - mBestLatency, std::exp2(-halvings));
  }
  return expected;
}

Duration
ReplicaLoad::ExpectedLatency(TimePoint aNow) const
{
  const auto expected = SampledLatency(aNow);
  if (!mInFlight.empty()) {
    const auto age = aNow - mInFlight.front().mSentAt;
    // Up to twice the expected latency is ordinary variation.
    if (age > 2 * expected) {
      return age;
    }
  }
  return expected;
}

double
ReplicaLoad::FailureRatio(TimePoint aNow) const
{
  const auto halvings = ToDoubleMilliseconds(aNow - mLastOutcomeAt) /
                        ToDoubleMilliseconds(mPace.mFailureRatioHalfLife);
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
  const bool isReplacing = mIsInitialReplaced && !HasSample();
  mMeanLatency = mean + Scaled(aSample - mean, isReplacing ? 1.0 : mPace.mSampleWeight);
  mBestLatency = std::min(aSample, Scaled(mBestLatency, kBestLatencyGrowth));
  mLastSampleAt = aNow;
}

void
ReplicaLoad::Avoid(TimePoint aNow, Duration aInitialBackoff)
{
  const auto doublings = std::min<std::uint32_t>(mConsecutiveFailures, 6);
  ++mConsecutiveFailures;
  mAvoidUntil = aNow + std::min(mPace.mMaxBackoff, aInitialBackoff * (1 << doublings));
}

} // namespace wasabispar
