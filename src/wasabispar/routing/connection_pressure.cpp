/// @file
/// @brief The refusals of the last moments.
#include "wasabispar/routing/connection_pressure.hpp"

namespace wasabispar {

void
ConnectionPressure::OnRefused(const UpstreamId& aUpstream, TimePoint aNow)
{
  std::erase_if(mRefusals, [&aUpstream](const Refusal& aRefusal) {
    return aRefusal.mUpstream == aUpstream;
  });
  mRefusals.push_back({ aUpstream, aNow });
  if (mRefusals.size() > mOptions.mThreshold) {
    mRefusals.pop_front();
  }
}

bool
ConnectionPressure::IsHigh(TimePoint aNow) const
{
  return mRefusals.size() >= mOptions.mThreshold &&
         aNow - mRefusals.front().mAt < mOptions.mWindow;
}

} // namespace wasabispar
