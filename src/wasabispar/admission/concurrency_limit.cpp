/// @file
/// @brief Multiplicative decrease of the limit on a standing delay, small increase
/// otherwise.
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
    mMinDelay = aDelay;
    return;
  }
  mMinDelay = std::min(mMinDelay, aDelay);
  if (aNow - *mIntervalStart < mOptions.mInterval) {
    return;
  }
  if (mMinDelay > mOptions.mTarget) {
    mLimit *= mOptions.mDecreaseFactor;
  } else if (mLimitReached) {
    mLimit += std::max(1.0, mLimit * mOptions.mIncreaseFraction);
  }
  mLimit = std::clamp(mLimit, static_cast<double>(mOptions.mMin),
                      static_cast<double>(mOptions.mMax));
  mLimitReached = false;
  mIntervalStart.reset();
}

} // namespace wasabispar
