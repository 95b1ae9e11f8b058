/// @file
/// @brief SloTracker.
#include "wasabispar/app/slo_tracker.hpp"

namespace wasabispar {

namespace {

constexpr double kPageRate = 14.4;
constexpr double kTicketRate = 6;

std::int64_t
MinuteOf(TimePoint aNow)
{
  return std::chrono::duration_cast<std::chrono::minutes>(aNow.time_since_epoch())
    .count();
}

double
BurnRate(const SloCount& aCount, Permille aObjective)
{
  if (aCount.mTotal == 0 || aObjective.Value() == 0 || aObjective.Value() >= 1000) {
    return 0;
  }
  const double bad = static_cast<double>(aCount.mTotal - aCount.mGood) /
                     static_cast<double>(aCount.mTotal);
  return bad / (1.0 - aObjective.Fraction());
}

/// Windows are ordered as in BurnReport::mWindows.
BurnAlert
AlertOf(double aFiveMinutes, double aHalfHour, double aHour, double aSixHours)
{
  if (aFiveMinutes > kPageRate && aHour > kPageRate) {
    return BurnAlert::Page;
  }
  return aHalfHour > kTicketRate && aSixHours > kTicketRate ? BurnAlert::Ticket
                                                            : BurnAlert::None;
}

} // namespace

std::string_view
ToText(BurnAlert aAlert)
{
  switch (aAlert) {
    case BurnAlert::None:
      return "none";
    case BurnAlert::Ticket:
      return "ticket";
    case BurnAlert::Page:
      return "page";
  }
  return "none";
}

void
SloTracker::Record(const ProfileName& aProfile, bool aIsLatencyGood, bool aIsCoverageGood,
                   TimePoint aNow)
{
  const auto number = MinuteOf(aNow);
  std::lock_guard lock(mMutex);
  auto& minute = mProfiles[aProfile][static_cast<std::size_t>(number) % kMinutes];
  if (minute.mNumber != number) {
    minute = { number, 0, 0, 0 };
  }
  ++minute.mTotal;
  minute.mLatencyGood += aIsLatencyGood ? 1 : 0;
  minute.mCoverageGood += aIsCoverageGood ? 1 : 0;
}

BurnWindow
SloTracker::WindowOf(const Minutes& aMinutes, std::int64_t aLast, std::int64_t aCount,
                     Permille aLatency, Permille aCoverage)
{
  BurnWindow window;
  window.mWidth = std::chrono::minutes(aCount);
  for (auto number = std::max<std::int64_t>(0, aLast - aCount + 1); number <= aLast;
       ++number) {
    const auto& minute = aMinutes[static_cast<std::size_t>(number) % kMinutes];
    if (minute.mNumber != number) {
      continue;
    }
    window.mLatency.mTotal += minute.mTotal;
    window.mLatency.mGood += minute.mLatencyGood;
    window.mCoverage.mTotal += minute.mTotal;
    window.mCoverage.mGood += minute.mCoverageGood;
  }
  window.mLatencyBurn = BurnRate(window.mLatency, aLatency);
  window.mCoverageBurn = BurnRate(window.mCoverage, aCoverage);
  return window;
}

std::vector<BurnReport>
SloTracker::Report(const CatalogueView& aView, TimePoint aNow) const
{
  const auto last = MinuteOf(aNow);
  std::vector<BurnReport> reports;
  std::lock_guard lock(mMutex);
  for (const auto& entry : mProfiles) {
    const auto& name = entry.first;
    const auto& minutes = entry.second;
    const auto found = aView.Find(name);
    if (!found.mProfile) {
      continue;
    }
    BurnReport report;
    report.mProfile = name;
    report.mLatencyObjective = found.mProfile->mSloLatency;
    report.mCoverageObjective = found.mProfile->mSloCoverage;
    const auto window = [&](std::int64_t aEnd, std::int64_t aCount) {
      return WindowOf(minutes, aEnd, aCount, report.mLatencyObjective,
                      report.mCoverageObjective);
    };
    for (const std::int64_t width : { 5, 30, 60, 360 }) {
      report.mWindows.push_back(window(last, width));
    }
    const auto& w = report.mWindows;
    report.mLatencyAlert =
      AlertOf(w[0].mLatencyBurn, w[1].mLatencyBurn, w[2].mLatencyBurn, w[3].mLatencyBurn);
    report.mCoverageAlert = AlertOf(w[0].mCoverageBurn, w[1].mCoverageBurn,
                                    w[2].mCoverageBurn, w[3].mCoverageBurn);
    for (auto minute = last - 59; minute <= last; ++minute) {
      const auto one = window(minute, 1);
      report.mLatencySeries.push_back(one.mLatencyBurn);
      report.mCoverageSeries.push_back(one.mCoverageBurn);
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

} // namespace wasabispar
