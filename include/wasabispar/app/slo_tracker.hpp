/// @file
/// @brief Service-level objectives: error budgets and their burn rates over several
/// windows.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"
#include "wasabispar/catalogue/catalogue.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace wasabispar {

/// @brief Good and all requests of a window.
struct SloCount
{
  std::uint64_t mGood = 0;
  std::uint64_t mTotal = 0;
};

/// @brief One window of a burn report.
struct BurnWindow
{
  Duration mWidth{};
  SloCount mLatency;
  SloCount mCoverage;
  /// Share of bad requests over the share that the objective allows; 1 uses up the
  /// budget exactly. 0 without objective or requests.
  double mLatencyBurn = 0;
  double mCoverageBurn = 0;
};

/// @brief An alert whose long and short window both burn faster than its rate.
enum class BurnAlert
{
  None,
  /// 6 times the allowed rate over 6 hours and 30 minutes.
  Ticket,
  /// 14.4 times the allowed rate over 1 hour and 5 minutes: 2% of a 30-day budget in
  /// one hour.
  Page,
};

/// @brief `none`, `ticket` or `page`.
std::string_view
ToText(BurnAlert aAlert);

/// @brief The burn report of one profile.
struct BurnReport
{
  ProfileName mProfile;
  Permille mLatencyObjective;
  Permille mCoverageObjective;
  /// 5 minutes, 30 minutes, 1 hour, 6 hours.
  std::vector<BurnWindow> mWindows;
  BurnAlert mLatencyAlert = BurnAlert::None;
  BurnAlert mCoverageAlert = BurnAlert::None;
  /// Burn rates of the last 60 minutes, oldest first, for a plot.
  std::vector<double> mLatencySeries;
  std::vector<double> mCoverageSeries;
};

/// @brief Counts good and bad requests by profile and minute. Thread-safe. Holds 6 hours:
/// about 12 KB for each profile in use.
class SloTracker
{
public:
  static constexpr std::size_t kMinutes = 360;

  /// @brief Counts one request.
  void Record(const ProfileName& aProfile, bool aIsLatencyGood, bool aIsCoverageGood,
              TimePoint aNow);
  /// @brief The report of each profile in @p aView that had requests, by name.
  std::vector<BurnReport> Report(const CatalogueView& aView, TimePoint aNow) const;

private:
  struct Minute
  {
    /// Minutes since the clock's epoch; another number means that the slot is empty.
    std::int64_t mNumber = -1;
    std::uint32_t mTotal = 0;
    std::uint32_t mLatencyGood = 0;
    std::uint32_t mCoverageGood = 0;
  };
  using Minutes = std::array<Minute, kMinutes>;

  /// Guards mProfiles.
  mutable std::mutex mMutex;
  std::map<ProfileName, Minutes> mProfiles;

  static BurnWindow WindowOf(const Minutes& aMinutes, std::int64_t aLast,
                             std::int64_t aCount, Permille aLatency, Permille aCoverage);
};

} // namespace wasabispar
