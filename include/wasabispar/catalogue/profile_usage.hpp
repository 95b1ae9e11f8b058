/// @file
/// @brief Statistics of requests by profile and caller.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/catalogue/catalogue.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace wasabispar {

/// @brief Limits of the statistics, so that names chosen by callers cannot exhaust
/// memory.
struct ProfileUsageOptions
{
  /// Most callers of a profile that are counted individually; further callers are counted
  /// together.
  std::size_t mMaxCallers = 64;
  /// Most unknown profile names in each shard that are counted individually; further
  /// names are counted together.
  std::size_t mMaxUnknownPerShard = 16;
};

/// @brief Number of requests of one caller for one profile.
struct CallerUsage
{
  CallerId mCaller;
  std::uint64_t mRequests = 0;
  /// Time of the last request.
  TimePoint mLastRequestAt{};
};

/// @brief Number of requests for one profile, by caller.
struct ProfileUsageReport
{
  ProfileName mName;
  /// Status in the view passed to ProfileUsage::Report().
  ProfileStatus mStatus = ProfileStatus::Unknown;
  std::uint64_t mRequests = 0;
  /// Requests refused because the profile was retired or unknown.
  std::uint64_t mRefused = 0;
  /// Time of the last request; the epoch of BootClock if there was none.
  TimePoint mLastRequestAt{};
  /// Sorted by requests, most first.
  std::vector<CallerUsage> mCallers;
  /// Requests of callers beyond ProfileUsageOptions::mMaxCallers.
  std::uint64_t mOtherCallers = 0;
};

/// @brief Number of requests for all profiles.
struct UsageReport
{
  /// Sorted by name. Contains each profile of the view; a profile without requests has
  /// mRequests == 0.
  std::vector<ProfileUsageReport> mProfiles;
  /// Requests for unknown profiles beyond ProfileUsageOptions::mMaxUnknownPerShard.
  std::uint64_t mOtherUnknown = 0;
};

/// @brief Counts requests by profile and caller. Thread-safe; one mutex for each shard of
/// the profile names.
class ProfileUsage
{
public:
  explicit ProfileUsage(ProfileUsageOptions aOptions = {});

  /// @brief Counts one request. @p aStatus is the status returned by
  /// CatalogueView::Find() for @p aName.
  void Record(const ProfileName& aName, ProfileStatus aStatus, const CallerId& aCaller,
              TimePoint aNow);

  /// @brief The usage of each profile of @p aView and of unknown names.
  UsageReport Report(const CatalogueView& aView) const;

private:
  static constexpr std::size_t kShardCount = 16;

  /// Usage of one profile; the members are as in ProfileUsageReport.
  struct Usage
  {
    std::uint64_t mRequests = 0;
    std::uint64_t mRefused = 0;
    TimePoint mLastRequestAt{};
    std::unordered_map<CallerId, CallerUsage> mCallers;
    std::uint64_t mOtherCallers = 0;
  };
  struct Shard
  {
    /// Guards all members of the shard.
    mutable std::mutex mMutex;
    std::unordered_map<ProfileName, Usage> mProfiles;
    /// Number of entries of mProfiles that were unknown when first recorded.
    std::size_t mUnknownCount = 0;
    std::uint64_t mOtherUnknown = 0;
  };

  ProfileUsageReport MakeReport(const ProfileName& aName, const Usage& aUsage,
                                ProfileStatus aStatus) const;

  ProfileUsageOptions mOptions;
  std::array<Shard, kShardCount> mShards;
};

} // namespace wasabispar
