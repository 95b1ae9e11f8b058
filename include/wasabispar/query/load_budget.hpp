/// @file
/// @brief Budget for the extra load that hedges and retries cause.
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
  /// Maximum number of unused tokens, each of which allows one extra sub-request.
  std::uint32_t mBurst = 30;
  /// Time after a shed reply during which hedges and forced retries are refused.
  Duration mShedPause = std::chrono::seconds(1);
  /// Time after which a reported extra load of the fleet no longer counts.
  Duration mFleetExtraLoadMaxAge = std::chrono::seconds(10);
  /// Extra sub-requests that may be sent before any needed one is counted.
  std::uint32_t mInitialTokens = 0;
};

/// @brief Purpose of an extra sub-request.
enum class ExtraLoadKind : std::uint8_t
{
  Hedge,
  Retry,
};

/// @brief Numbers of sub-requests since the creation of the budget.
struct LoadCounts
{
  /// First tries of queries.
  std::uint64_t mNeeded = 0;
  std::uint64_t mHedges = 0;
  /// Retries with a token.
  std::uint64_t mRetries = 0;
  /// Retries and sub-requests of replans that are sent without a token, for the sake of
  /// coverage.
  std::uint64_t mForced = 0;
  /// Hedges and retries that were refused.
  std::uint64_t mRefused = 0;

  /// @brief Extra sub-requests over needed ones.
  Permille ExtraLoadRatio() const;
};

/// @brief Token bucket shared by all queries of one profile. Each needed sub-request adds
/// LoadBudgetOptions::mBudget of a token, each extra one takes a token. Forced retries
/// take a token even if there is none. The number of tokens can thus become negative, so
/// that later hedges compensate for forced retries. Thread-safe.
class LoadBudget
{
public:
  explicit LoadBudget(LoadBudgetOptions aOptions = {});

  /// @brief Counts @p aCount first tries of queries.
  void OnNeeded(std::uint64_t aCount);
  /// @brief Takes a token if there is one. A hedge is also refused for
  /// LoadBudgetOptions::mShedPause after a shed reply, and while the extra load of the
  /// fleet exceeds the budget.
  bool TryTake(ExtraLoadKind aKind, TimePoint aNow);
  /// @brief Counts extra sub-requests that are sent whether or not there are tokens.
  void TakeForced(std::uint64_t aCount);
  /// @brief Counts one forced retry. Refuses it and returns false for
  /// LoadBudgetOptions::mShedPause after a shed reply, because retries would then
  /// increase the overload.
  bool TryTakeForced(TimePoint aNow);
  /// @brief Records that an upstream shed load.
  void OnShed(TimePoint aNow);

  /// @brief Extra load of these queries on this VM over about the last 10,000 needed
  /// sub-requests, to publish to the fleet.
  Permille RecentExtraLoad() const;
  /// @brief Records the mean extra load of the other VMs.
  void OnFleetExtraLoad(Permille aExtraLoad, TimePoint aNow);
  /// @brief Numbers of sub-requests so far.
  LoadCounts Counts() const;

private:
  LoadBudgetOptions mOptions;
  /// Guards all members below.
  mutable std::mutex mMutex;
  /// Thousandths of a token. Starts at LoadBudgetOptions::mInitialTokens tokens; 0 keeps
  /// the extra load within the budget from the first query on.
  std::int64_t mTokens = 0;
  TimePoint mShedUntil{};
  Permille mFleetExtraLoad;
  TimePoint mFleetExtraLoadUntil{};
  LoadCounts mCounts;
  /// Numbers of recent sub-requests. They are halved each time mRecentNeeded has grown by
  /// kRecentWindowSubRequests, so that old ones lose weight.
  std::uint64_t mRecentNeeded = 0;
  std::uint64_t mRecentExtra = 0;
};

} // namespace wasabispar
