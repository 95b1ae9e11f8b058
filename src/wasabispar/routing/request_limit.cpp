/// @file
/// @brief A token bucket with the VM's equal share of an upstream's limit, or a window
/// with its whole requests.
#include "wasabispar/routing/request_limit.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// The part of a limit that is dealt out in whole requests. The rest covers the probes.
constexpr double kDealtRatio = 0.75;
/// The part of a limit that the probes of all VMs without a request may use.
constexpr double kProbeRatio = 0.125;
/// A longer period would let a VM learn too late that a limit has ended.
constexpr Duration kMaxProbePeriod = std::chrono::minutes(2);
/// For how long in each period a probe may be sent. Unused ones are not saved up, because
/// the VMs would send them all at once when the load rises.
constexpr Duration kProbeTime = std::chrono::seconds(1);

/// Time for which a request is kept in the window: longer than the window of the lowest
/// limit.
constexpr Duration kKept = std::chrono::seconds(5);

} // namespace

LimitDivision
DivideLimit(UpstreamRateShare& aShares, const FleetRateSharePtr& aFleet, std::size_t aVms,
            const UpstreamId& aUpstream, double aPerSecond)
{
  const auto perSecond = std::max(aPerSecond, RequestLimitOptions().mMinLimit);
  if (static_cast<double>(aVms) <= perSecond) {
    return { aVms, {}, {} };
  }
  const auto dealt = perSecond < 1 ? perSecond : std::max(1.0, perSecond * kDealtRatio);
  const auto holders = std::min<std::size_t>(aVms, WholeRequests(dealt));
  const std::chrono::duration<double> period(static_cast<double>(aVms - holders) /
                                             (perSecond * kProbeRatio));
  return { aVms, aShares.ShareOf(aFleet, aUpstream, dealt),
           std::clamp(std::chrono::duration_cast<Duration>(period), 2 * kProbeTime,
                      kMaxProbePeriod) };
}

bool
RequestLimit::OnAnswer(std::optional<double> aPerSecond, std::size_t aVms,
                       TimePoint aSentAt, TimePoint aNow, const RandomFn& aRandom)
{
  return OnAnswer(aPerSecond, LimitDivision{ aVms, {}, {} }, aSentAt, aNow, aRandom);
}

bool
RequestLimit::OnAnswer(std::optional<double> aPerSecond, const LimitDivision& aDivision,
                       TimePoint aSentAt, TimePoint aNow, const RandomFn& aRandom)
{
  if (!aPerSecond) {
    // The answer may have been on its way when another one named the limit.
    const bool hasEnded = mLimit && aSentAt >= mNamedAt;
    if (hasEnded) {
      mLimit.reset();
    }
    return hasEnded;
  }
  constexpr std::uint64_t kSteps = 1000;
  const auto limit = std::max(*aPerSecond, mOptions.mMinLimit);
  const bool isNew = !mLimit;
  const bool hasChanged = mLimit != limit;
  mSaved = isNew ? static_cast<double>(aRandom(kSteps)) / kSteps : SavedAt(aNow);
  mSavedTime = aNow;
  mNamedAt = isNew ? aNow : mNamedAt;
  mLimit = limit;
  if (isNew) {
    mDivision = {};
  }
  const bool isEqual = !aDivision.mShare && !mDivision.mShare;
  if (isEqual) {
    mDivision = aDivision;
    mDivision.mVms = std::max<std::size_t>(1, aDivision.mVms);
  } else {
    SetDivision(aDivision, aNow, aRandom);
  }
  return hasChanged;
}

void
RequestLimit::SetDivision(const LimitDivision& aDivision, TimePoint aNow,
                          const RandomFn& aRandom)
{
  const bool isEqual = !aDivision.mShare && !mDivision.mShare;
  if (!mLimit || isEqual || aDivision == mDivision) {
    return;
  }
  if (aDivision.mProbePeriod != mDivision.mProbePeriod) {
    const auto period = static_cast<std::uint64_t>(aDivision.mProbePeriod.count());
    mFirstProbeAt = aNow + Duration(static_cast<Duration::rep>(aRandom(period + 1)));
  }
  mDivision = aDivision;
}

void
RequestLimit::OnStarted(ExchangeId aExchange, TimePoint aNow)
{
  mReserved.erase(aExchange);
  if (!mLimit) {
    return;
  }
  mSaved = SavedAt(aNow) - 1;
  mSavedTime = aNow;
  if (mDivision.mShare) {
    mWindow.OnSent(aNow, kKept);
  }
}

std::optional<double>
RequestLimit::Share() const
{
  if (!mLimit) {
    return std::nullopt;
  }
  const auto& whole = mDivision.mShare;
  if (!whole) {
    return *mLimit / static_cast<double>(mDivision.mVms);
  }
  return whole->mRequests > 0
           ? whole->PerSecond()
           : 1 / std::chrono::duration<double>(mDivision.mProbePeriod).count();
}

TimePoint
RequestLimit::NextAt(std::size_t aReserved, TimePoint aNow) const
{
  if (!mLimit) {
    return aNow;
  }
  if (const auto& whole = mDivision.mShare) {
    // If all requests of the share are reserved, the first of them leaves the window
    // then.
    return whole->mRequests > 0
             ? mWindow.NextSendAt(*whole, aReserved, aNow).value_or(aNow + whole->mWindow)
             : NextProbeAt(aReserved > 0, aNow);
  }
  const auto missing = 1 + static_cast<double>(aReserved) - SavedAt(aNow);
  if (missing <= 0) {
    return aNow;
  }
  return aNow +
         std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / *Share()));
}

TimePoint
RequestLimit::NextProbeAt(bool aIsReserved, TimePoint aNow) const
{
  if (aNow < mFirstProbeAt) {
    return mFirstProbeAt;
  }
  const auto passed = (aNow - mFirstProbeAt) % mDivision.mProbePeriod;
  const auto begin = aNow - passed;
  const auto last = mWindow.LastSentAt();
  const bool isUsed = aIsReserved || (last && *last >= begin);
  return passed < kProbeTime && !isUsed ? aNow : begin + mDivision.mProbePeriod;
}

double
RequestLimit::SavedAt(TimePoint aNow) const
{
  const auto share = Share().value_or(0);
  const auto passed = std::chrono::duration<double>(aNow - mSavedTime).count();
  const auto burst = std::chrono::duration<double>(mOptions.mBurstTime).count();
  const auto most = std::max(1.0, share * burst);
  return std::min(most, mSaved + share * passed);
}

} // namespace wasabispar
