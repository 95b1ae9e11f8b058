/// @file
/// @brief CodelLimit: multiplicative decrease on a standing delay, small increase else.
#include "wasabispar/admission/concurrency_limit.hpp"

#include <algorithm>

namespace wasabispar {

CodelLimit::CodelLimit(CodelLimitOptions aOptions)
  : mOptions(aOptions)
  , mLimit(static_cast<double>(aOptions.mInitial))
{
}

void
CodelLimit::OnDelay(Duration aDelay, TimePoint aNow)
{
  if (!mIntervalStart) {
    mIntervalStart = aNow;
    mSmallest = aDelay;
    return;
  }
  mSmallest = std::min(mSmallest, aDelay);
  if (aNow - *mIntervalStart < mOptions.mInterval) {
    return;
  }
  if (mSmallest > mOptions.mTarget) {
    mLimit *= mOptions.mDecrease;
  } else if (mIsReached) {
    mLimit += std::max(1.0, mLimit * mOptions.mIncrease);
  }
  mLimit = std::clamp(mLimit, static_cast<double>(mOptions.mMin),
                      static_cast<double>(mOptions.mMax));
  mIsReached = false;
  mIntervalStart.reset();
}

} // namespace wasabispar
