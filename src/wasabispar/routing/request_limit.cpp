/// @file
/// @brief A token bucket with the VM's share of an upstream's limit.
#include "wasabispar/routing/request_limit.hpp"

#include <algorithm>

namespace wasabispar {

bool
RequestLimit::OnAnswer(std::optional<double> aPerSecond, std::size_t aVms,
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
  mVms = std::max<std::size_t>(1, aVms);
  return hasChanged;
}

void
RequestLimit::OnSent(TimePoint aNow)
{
  if (!mLimit) {
    return;
  }
  mSaved = SavedAt(aNow) - 1;
  mSavedTime = aNow;
}

void
RequestLimit::OnWithdrawn()
{
  mSaved += mLimit ? 1 : 0;
}

std::optional<double>
RequestLimit::Share() const
{
  return mLimit ? std::optional(*mLimit / static_cast<double>(mVms)) : std::nullopt;
}

TimePoint
RequestLimit::NextSendAt(TimePoint aNow) const
{
  if (!mLimit) {
    return aNow;
  }
  const auto missing = 1 - SavedAt(aNow);
  if (missing <= 0) {
    return aNow;
  }
  return aNow +
         std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / *Share()));
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
