/// @file
/// @brief Age and estimate of a stated load.
#include "wasabispar/routing/reported_load.hpp"

#include <cmath>

namespace wasabispar {

namespace {

/// An older report says nothing about the load: requests take less time than this.
constexpr Duration kMaxReportAge = std::chrono::seconds(1);
/// Half-life of the stated requests, which end one after the other.
constexpr Duration kHalfLife = std::chrono::seconds(1);
/// An upstream that has stated no load for this time does not do so any more. In a large
/// fleet a VM asks an upstream of a small service about once a minute.
constexpr Duration kReportingTime = std::chrono::seconds(60);

} // namespace

void
ReportedLoad::OnReport(const LoadReport& aReport, TimePoint aNow)
{
  mReport = aReport;
  mReceivedAt = aNow;
  mSentSince = 0;
}

void
ReportedLoad::OnSent()
{
  ++mSentSince;
}

std::optional<double>
ReportedLoad::EstimateAt(TimePoint aNow) const
{
  if (!IsFresh(aNow)) {
    return std::nullopt;
  }
  const auto halvings =
    ToDoubleMilliseconds(aNow - mReceivedAt) / ToDoubleMilliseconds(kHalfLife);
  const auto stated =
    static_cast<double>(mReport->mRunning) + static_cast<double>(mReport->mWaiting);
  return stated * std::exp2(-halvings) + mSentSince;
}

std::optional<double>
ReportedLoad::SlowdownAt(TimePoint aNow) const
{
  return IsFresh(aNow) ? mReport->mSlowdown : std::nullopt;
}

std::optional<std::size_t>
ReportedLoad::Slots() const
{
  return mReport ? std::optional<std::size_t>(mReport->mSlots) : std::nullopt;
}

bool
ReportedLoad::IsReporting(TimePoint aNow) const
{
  return mReport && aNow - mReceivedAt <= kReportingTime;
}

bool
ReportedLoad::IsFresh(TimePoint aNow) const
{
  return mReport && aNow - mReceivedAt <= kMaxReportAge;
}

} // namespace wasabispar
