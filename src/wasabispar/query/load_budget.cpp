/// @file
/// @brief Token bucket for the extra load of hedges and retries.
#include "wasabispar/query/load_budget.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// Unit of LoadBudget::mTokens: a needed sub-request adds thousandths of a token.
constexpr std::int64_t kUnitsPerToken = 1000;
constexpr std::uint64_t kRecentWindowSubRequests = 10'000;

} // namespace

Permille
LoadCounts::ExtraLoadRatio() const
{
  return mNeeded == 0 ? Permille(0) : Permille::Of(mHedges + mRetries + mForced, mNeeded);
}

LoadBudget::LoadBudget(LoadBudgetOptions aOptions)
  : mOptions(aOptions)
  , mTokens(kUnitsPerToken * aOptions.mInitialTokens)
{
}

void
LoadBudget::OnNeeded(std::uint64_t aCount)
{
  const std::lock_guard lock(mMutex);
  mCounts.mNeeded += aCount;
  const auto earned = static_cast<std::int64_t>(aCount) * mOptions.mBudget.Value();
  mTokens = std::min(mTokens + earned, kUnitsPerToken * mOptions.mBurst);
  mRecentNeeded += aCount;
  if (mRecentNeeded >= 2 * kRecentWindowSubRequests) {
    mRecentNeeded /= 2;
    mRecentExtra /= 2;
  }
}

bool
LoadBudget::TryTake(ExtraLoadKind aKind, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const bool isFleetOverBudget =
    aNow < mFleetExtraLoadUntil && mFleetExtraLoad > mOptions.mBudget;
  const bool refuseHedge =
    aKind == ExtraLoadKind::Hedge && (aNow < mShedUntil || isFleetOverBudget);
  if (refuseHedge || mTokens < kUnitsPerToken) {
    ++mCounts.mRefused;
    return false;
  }
  mTokens -= kUnitsPerToken;
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
  // A lower bound, so that hedging resumes soon after a long outage with many forced
  // retries.
  const auto floor = -kUnitsPerToken * static_cast<std::int64_t>(mOptions.mBurst);
  mTokens = std::max(mTokens - kUnitsPerToken * static_cast<std::int64_t>(aCount), floor);
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
LoadBudget::OnFleetExtraLoad(Permille aExtraLoad, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  mFleetExtraLoad = aExtraLoad;
  mFleetExtraLoadUntil = aNow + mOptions.mFleetExtraLoadMaxAge;
}

LoadCounts
LoadBudget::Counts() const
{
  const std::lock_guard lock(mMutex);
  return mCounts;
}

} // namespace wasabispar
