/// @file
/// @brief Counters of requests by profile and caller.
#include "wasabispar/catalogue/profile_usage.hpp"

#include <algorithm>
#include <set>

namespace wasabispar {

ProfileUsage::ProfileUsage(ProfileUsageOptions aOptions)
  : mOptions(aOptions)
{
}

void
ProfileUsage::Record(const ProfileName& aName, ProfileStatus aStatus,
                     const CallerId& aCaller, TimePoint aNow)
{
  auto& shard = mShards[std::hash<ProfileName>{}(aName) % kShardCount];
  const std::lock_guard lock(shard.mMutex);
  auto found = shard.mProfiles.find(aName);
  if (found == shard.mProfiles.end()) {
    if (aStatus == ProfileStatus::Unknown) {
      if (shard.mUnknownCount >= mOptions.mMaxUnknownPerShard) {
        ++shard.mOtherUnknown;
        return;
      }
      ++shard.mUnknownCount;
    }
    found = shard.mProfiles.emplace(aName, Usage{}).first;
  }
  auto& usage = found->second;
  ++usage.mRequests;
  usage.mRefused += aStatus == ProfileStatus::Active ? 0 : 1;
  usage.mLastRequestAt = std::max(usage.mLastRequestAt, aNow);
  auto caller = usage.mCallers.find(aCaller);
  if (caller == usage.mCallers.end()) {
    if (usage.mCallers.size() >= mOptions.mMaxCallers) {
      ++usage.mOtherCallers;
      return;
    }
    caller = usage.mCallers.emplace(aCaller, CallerUsage{ aCaller, 0, aNow }).first;
  }
  ++caller->second.mRequests;
  caller->second.mLastRequestAt = std::max(caller->second.mLastRequestAt, aNow);
}

ProfileUsageReport
ProfileUsage::MakeReport(const ProfileName& aName, const Usage& aUsage,
                         ProfileStatus aStatus) const
{
  ProfileUsageReport report;
  report.mName = aName;
  report.mStatus = aStatus;
  report.mRequests = aUsage.mRequests;
  report.mRefused = aUsage.mRefused;
  report.mLastRequestAt = aUsage.mLastRequestAt;
  report.mOtherCallers = aUsage.mOtherCallers;
  for (const auto& [caller, usage] : aUsage.mCallers) {
    report.mCallers.push_back(usage);
  }
  std::sort(report.mCallers.begin(), report.mCallers.end(),
            [](const CallerUsage& aLeft, const CallerUsage& aRight) {
              return aLeft.mRequests != aRight.mRequests
                       ? aLeft.mRequests > aRight.mRequests
                       : aLeft.mCaller < aRight.mCaller;
            });
  return report;
}

UsageReport
ProfileUsage::Report(const CatalogueView& aView) const
{
  UsageReport report;
  std::set<ProfileName> recorded;
  for (const auto& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    report.mOtherUnknown += shard.mOtherUnknown;
    for (const auto& [name, usage] : shard.mProfiles) {
      recorded.insert(name);
      report.mProfiles.push_back(MakeReport(name, usage, aView.Find(name).mStatus));
    }
  }
  for (const auto& name : aView.Names()) {
    if (recorded.count(name) == 0) {
      report.mProfiles.push_back(MakeReport(name, Usage{}, aView.Find(name).mStatus));
    }
  }
  std::sort(report.mProfiles.begin(), report.mProfiles.end(),
            [](const ProfileUsageReport& aLeft, const ProfileUsageReport& aRight) {
              return aLeft.mName < aRight.mName;
            });
  return report;
}

} // namespace wasabispar
