/// @file
/// @brief The sliding window over the requests to one upstream.
#include "wasabispar/routing/rate_window.hpp"

#include <algorithm>

namespace wasabispar {

void
RateWindow::OnSent(TimePoint aNow, Duration aKept)
{
  while (!mSentAt.empty() && mSentAt.front() + aKept <= aNow) {
    mSentAt.pop_front();
  }
  mSentAt.push_back(aNow);
}

std::optional<TimePoint>
RateWindow::NextSendAt(const RateShare& aShare, std::size_t aReserved,
                       TimePoint aNow) const
{
  if (aShare.mRequests <= aReserved) {
    return std::nullopt;
  }
  const auto allowed = aShare.mRequests - aReserved;
  if (mSentAt.size() < allowed) {
    return aNow;
  }
  // As soon as this request has left the window, fewer than allowed are in it.
  const auto last = mSentAt[mSentAt.size() - allowed];
  return std::max(aNow, last + aShare.mWindow);
}

std::optional<TimePoint>
RateWindow::LastSentAt() const
{
  return mSentAt.empty() ? std::nullopt : std::optional(mSentAt.back());
}

} // namespace wasabispar
