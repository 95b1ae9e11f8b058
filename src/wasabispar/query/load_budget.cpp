/// @file
/// @brief Token bucket for extra load.
#include "wasabispar/query/load_budget.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

constexpr std::int64_t kTokenUnits = 1000;
constexpr std::uint64_t kRecentWindow = 10'000;

} // namespace

Permille
LoadCounts::ExtraLoadRatio() const
{
  return mNeeded == 0 ? Permille(0) : Permille::Of(mHedges + mRetries + mForced, mNeeded);
}

LoadBudget::LoadBudget(LoadBudgetOptions aOptions)
  : mOptions(aOptions)
  , mTokens(kTokenUnits * aOptions.mInitialTokens)
{
}

void
LoadBudget::OnNeeded(std::uint64_t aCount)
{
  const std::lock_guard lock(mMutex);
  mCounts.mNeeded += aCount;
  const auto earned = static_cast<std::int64_t>(aCount) * mOptions.mBudget.Value();
  mTokens = std::min(mTokens + earned, kTokenUnits * mOptions.mBurst);
  mRecentNeeded += aCount;
  if (mRecentNeeded >= 2 * kRecentWindow) {
    mRecentNeeded /= 2;
    mRecentExtra /= 2;
  }
}

bool
LoadBudget::TryTake(ExtraLoadKind aKind, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const bool fleetOver =
    aNow < mFleetExtraLoadUntil && mFleetExtraLoad > mOptions.mBudget;
  const bool noHedge = aKind == ExtraLoadKind::Hedge && (aNow < mShedUntil || fleetOver);
  if (noHedge || mTokens < kTokenUnits) {
    ++mCounts.mRefused;
    return false;
  }
  mTokens -= kTokenUnits;
  ++mRecentExtra;
  ++(aKind == ExtraLoadKind::Hedge ? mCounts.mHedges : mCounts.mRetries);
  return true;
}

void
LoadBudget::TakeForced(std::uint64_t aCount)
{
  const std::lock_guard lock(mMutex);
  mCounts.mForced += aCount;
  mRecentExtra += aCount;
  // The debt is limited, so that a long outage does not stop hedging for long after it.
  const auto floor = -kTokenUnits * static_cast<std::int64_t>(mOptions.mBurst);
  mTokens = std::max(mTokens - kTokenUnits * static_cast<std::int64_t>(aCount), floor);
}

bool
LoadBudget::TryTakeForced(TimePoint aNow)
{
  {
    const std::lock_guard lock(mMutex);
    if (aNow < mShedUntil) {
      return false;
    }
  }
  TakeForced(1);
  return true;
}

void
LoadBudget::OnShed(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  mShedUntil = std::max(mShedUntil, aNow + mOptions.mShedPause);
}

Permille
LoadBudget::RecentExtraLoad() const
{
  const std::lock_guard lock(mMutex);
  return mRecentNeeded == 0 ? Permille(0) : Permille::Of(mRecentExtra, mRecentNeeded);
}

void
LoadBudget::OnFleetExtraLoad(Permille aLevel, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  mFleetExtraLoad = aLevel;
  mFleetExtraLoadUntil = aNow + mOptions.mFleetExtraLoadMaxAge;
}

LoadCounts
LoadBudget::Counts() const
{
  const std::lock_guard lock(mMutex);
  return mCounts;
}

} // namespace wasabispar
