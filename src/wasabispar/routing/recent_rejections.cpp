/// @file
/// @brief Bounded records of rejected requests.
#include "wasabispar/routing/recent_rejections.hpp"

#include <algorithm>

namespace wasabispar {

void
RecentRejections::OnRejected(RequestFingerprint aRequest, TimePoint aUntil,
                             TimePoint aNow)
{
  auto until = std::min(aUntil, aNow + mOptions.mMaxTime);
  const auto found = mEndByRequest.find(aRequest.Value());
  if (found != mEndByRequest.end()) {
    until = std::max(until, found->second);
    Erase(aRequest);
  }
  mEndByRequest.emplace(aRequest.Value(), until);
  mByEnd.emplace(until, aRequest.Value());
  Trim(aNow);
}

bool
RecentRejections::IsRecorded(RequestFingerprint aRequest, TimePoint aNow) const
{
  const auto found = mEndByRequest.find(aRequest.Value());
  return found != mEndByRequest.end() && aNow < found->second;
}

void
RecentRejections::Erase(RequestFingerprint aRequest)
{
  const auto found = mEndByRequest.find(aRequest.Value());
  mByEnd.erase({ found->second, found->first });
  mEndByRequest.erase(found);
}

void
RecentRejections::Trim(TimePoint aNow)
{
  while (!mByEnd.empty() &&
         (mByEnd.begin()->first <= aNow || mByEnd.size() > mOptions.mMaxRecords)) {
    Erase(RequestFingerprint(mByEnd.begin()->second));
  }
}

} // namespace wasabispar
