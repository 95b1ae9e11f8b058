/// @file
/// @brief Budget for the extra load of hedges and retries.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/units.hpp"

#include <cstdint>
#include <mutex>

namespace wasabispar {

/// @brief Settings of LoadBudget.
struct LoadBudgetOptions
{
  /// Extra sub-requests for each thousand needed ones.
  Permille mBudget{ 50 };
  /// Extra sub-requests that can be saved up while there is no need for them.
  std::uint32_t mBurst = 30;
  /// No hedge for this time after an upstream shed load.
  Duration mShedPause = std::chrono::seconds(1);
  /// A fleet level older than this no longer counts.
  Duration mFleetExtraLoadMaxAge = std::chrono::seconds(10);
  /// Extra sub-requests that may be sent before any needed one was counted.
  std::uint32_t mInitialTokens = 0;
};

/// @brief What an extra sub-request is for.
enum class ExtraLoadKind : std::uint8_t
{
  Hedge,
  Retry,
};

/// @brief Counts since the start of the process.
struct LoadCounts
{
  std::uint64_t mNeeded = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mRetries = 0;
  /// Retries and replans without budget, for the sake of coverage.
  std::uint64_t mForced = 0;
  std::uint64_t mRefused = 0;

  /// @brief Extra sub-requests over needed ones.
  Permille ExtraLoadRatio() const;
};

/// @brief Token bucket shared by all queries of the process. Each needed sub-request adds
/// the budget's permille of a token, each extra one takes a token. Forced ones take a
/// token too and can make the level negative, so that later hedges pay for them.
/// Thread-safe.
class LoadBudget
{
public:
  explicit LoadBudget(LoadBudgetOptions aOptions = {});

  /// @brief @p aCount sub-requests of queries were sent as first tries.
  void OnNeeded(std::uint64_t aCount);
  /// @brief Takes a token if there is one. A hedge is also refused while upstreams shed
  /// load, and while the extra load of the fleet is above the budget.
  bool TryTake(ExtraLoadKind aKind, TimePoint aNow);
  /// @brief Counts extra sub-requests that are sent without budget.
  void TakeForced(std::uint64_t aCount);
  /// @brief Takes a forced retry; false while upstreams shed load, because retries would
  /// then add to the overload that they answer to.
  bool TryTakeForced(TimePoint aNow);
  /// @brief An upstream shed load.
  void OnShed(TimePoint aNow);

  /// @brief Extra load of this VM over about the last 10,000 needed sub-requests, to
  /// publish to the fleet.
  Permille RecentExtraLoad() const;
  /// @brief The mean of the levels of the other VMs.
  void OnFleetExtraLoad(Permille aLevel, TimePoint aNow);
  LoadCounts Counts() const;

private:
  LoadBudgetOptions mOptions;
  /// Guards all members below.
  mutable std::mutex mMutex;
  /// Thousandths of a token. Starts at 0, so that the extra load stays within the budget
  /// from the first query on.
  std::int64_t mTokens = 0;
  TimePoint mShedUntil{};
  Permille mFleetExtraLoad;
  TimePoint mFleetExtraLoadUntil{};
  LoadCounts mCounts;
  /// Counts that are halved at each kLevelWindow needed sub-requests.
  std::uint64_t mRecentNeeded = 0;
  std::uint64_t mRecentExtra = 0;
};

} // namespace wasabispar
