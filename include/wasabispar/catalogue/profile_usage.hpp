/// @file
/// @brief Who uses which profile.
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

/// @brief Bounds of the statistics; caller-chosen names must not exhaust memory.
struct ProfileUsageOptions
{
  /// Callers counted by name for each profile; further ones are counted together.
  std::size_t mMaxCallers = 64;
  /// Unknown profile names kept in each shard; further ones are counted together.
  std::size_t mMaxUnknownPerShard = 16;
};

/// @brief Requests of one caller for one profile.
struct CallerUsage
{
  CallerId mCaller;
  std::uint64_t mRequests = 0;
  TimePoint mLastRequestAt{};
};

/// @brief Requests for one profile.
struct ProfileUsageReport
{
  ProfileName mName;
  /// Status in the view that the report was made for.
  ProfileStatus mStatus = ProfileStatus::Unknown;
  std::uint64_t mRequests = 0;
  /// Requests refused because the profile was retired or unknown.
  std::uint64_t mRefused = 0;
  /// Time of the last request; the epoch of BootClock when there was none.
  TimePoint mLastRequestAt{};
  /// Most requests first.
  std::vector<CallerUsage> mCallers;
  /// Requests of callers beyond the bound.
  std::uint64_t mOtherCallers = 0;
};

/// @brief Usage of all profiles.
struct UsageReport
{
  /// Sorted by name. Contains each profile of the view, so a profile that nobody uses
  /// has mRequests == 0.
  std::vector<ProfileUsageReport> mProfiles;
  /// Requests for unknown profiles beyond the bound.
  std::uint64_t mOtherUnknown = 0;
};

/// @brief Counts requests by profile and caller. Thread-safe; sharded by profile.
class ProfileUsage
{
public:
  explicit ProfileUsage(ProfileUsageOptions aOptions = {});

  /// @brief Counts one request. @p aStatus is the status that Find() gave for it.
  void Record(const ProfileName& aName, ProfileStatus aStatus, const CallerId& aCaller,
              TimePoint aNow);

  /// @brief The usage of each profile of @p aView and of unknown names.
  UsageReport Report(const CatalogueView& aView) const;

private:
  static constexpr std::size_t kShardCount = 16;

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
    /// Entries of mProfiles that were first recorded as unknown.
    std::size_t mUnknownCount = 0;
    std::uint64_t mOtherUnknown = 0;
  };

  ProfileUsageReport MakeReport(const ProfileName& aName, const Usage& aUsage,
                                ProfileStatus aStatus) const;

  ProfileUsageOptions mOptions;
  std::array<Shard, kShardCount> mShards;
};

} // namespace wasabispar
