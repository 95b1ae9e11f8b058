/// @file
/// @brief Bytes expected on the link, and the rejection of requests that it would delay.
#include "wasabispar/routing/link_load.hpp"

#include <algorithm>
#include <cmath>

namespace wasabispar {

namespace {

/// Weight of a response in the average size of its service's responses.
constexpr double kSampleWeight = 0.125;
/// How long the time that urgent requests have is kept in mind after the last one.
constexpr Duration kSlackMemory = std::chrono::seconds(2);

} // namespace

std::optional<LinkLoad>
LinkLoad::For(const VmCapacity& aCapacity)
{
  if (!aCapacity.mLinkBytesPerSecond) {
    return std::nullopt;
  }
  return LinkLoad(*aCapacity.mLinkBytesPerSecond);
}

void
LinkLoad::OnResponse(ServiceFingerprint aService, std::uint64_t aBytes)
{
  const auto bytes = static_cast<double>(aBytes);
  const auto [mean, isFirst] = mMeanBytes.emplace(aService, bytes);
  if (!isFirst) {
    mean->second += kSampleWeight * (bytes - mean->second);
  }
}

std::uint64_t
LinkLoad::ExpectedBytes(ServiceFingerprint aService) const
{
  const auto mean = mMeanBytes.find(aService);
  return mean == mMeanBytes.end()
           ? 0
           : static_cast<std::uint64_t>(std::llround(mean->second));
}

Duration
LinkLoad::TimeUntilFree(Duration aLag) const
{
  return std::max(TransferTime(mExpectedBytes), aLag);
}

std::optional<Duration>
LinkLoad::RejectionWait(const LinkDemand& aDemand, Duration aLag, TimePoint aNow)
{
  const auto slack = aDemand.mTimeLeft - TransferTime(aDemand.mBytes);
  // Late even if the link and the processor were free.
  if (slack < aDemand.mUpstreamTime) {
    return std::nullopt;
  }
  mSlacks[{ aDemand.mFirstService, aDemand.mPriority }] = { slack, aNow };
  const auto urgentSlack = MoreUrgentSlack(aDemand, aNow);
  const auto wait = TimeUntilFree(aLag);
  if (wait <= std::min(slack, urgentSlack.value_or(slack))) {
    return std::nullopt;
  }
  return wait;
}

std::optional<Duration>
LinkLoad::MoreUrgentSlack(const LinkDemand& aDemand, TimePoint aNow) const
{
  std::optional<Duration> least;
  for (auto slack = mSlacks.lower_bound({ aDemand.mFirstService, 0 });
       slack != mSlacks.end() &&
       slack->first < PriorityKey{ aDemand.mFirstService, aDemand.mPriority };
       ++slack) {
    if (aNow - slack->second.mSeenAt < kSlackMemory) {
      least = std::min(least.value_or(slack->second.mTime), slack->second.mTime);
    }
  }
  return least;
}

Duration
LinkLoad::TransferTime(std::uint64_t aBytes) const
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(static_cast<double>(aBytes) / mBytesPerSecond));
}

} // namespace wasabispar
