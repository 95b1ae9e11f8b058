/// @file
/// @brief A profile: how a class of requests is answered.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"

#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief Who starts the requests of a profile.
enum class ProfileKind
{
  /// A person waits. Served however old the configuration is.
  Interactive,
  /// A job. Served only while the configuration is fresh.
  Scheduled,
};

/// @brief Whether requests of a profile are served.
enum class ProfileState
{
  Active,
  /// Requests are refused.
  Retired,
};

/// @brief What happens at the latency target when the wanted coverage is not reached.
enum class PartialPolicy
{
  /// Answer at the latency target with what there is, if it has the minimum coverage.
  AnswerAtTarget,
  /// Wait for the wanted coverage until the deadline.
  WaitForCoverage,
};

/// @brief Whether a request of the profile may run more than once.
enum class Operation
{
  /// Idempotent.
  Search,
  /// Not idempotent; runs at most once.
  Execute,
};

/// @brief `interactive` or `scheduled`.
std::string_view
ToText(ProfileKind aKind);
/// @brief `active` or `retired`.
std::string_view
ToText(ProfileState aState);
/// @brief `answer_at_target` or `wait_for_coverage`.
std::string_view
ToText(PartialPolicy aPolicy);
/// @brief `search` or `execute`.
std::string_view
ToText(Operation aOperation);

/// @brief One valid profile. ParseProfile() checks the ranges and the rules between
/// the fields; docs/operators/profiles.md lists them.
struct Profile
{
  ProfileName mName;
  IndexName mIndex;
  ProfileKind mKind = ProfileKind::Interactive;
  ProfileState mState = ProfileState::Active;
  Operation mOperation = Operation::Search;
  /// Whole milliseconds; at most mDeadline.
  Duration mLatencyTarget = std::chrono::milliseconds(80);
  /// Whole milliseconds.
  Duration mDeadline = std::chrono::milliseconds(1000);
  /// 1 to 1000.
  Permille mWantedCoverage{ 1000 };
  /// 0 to mWantedCoverage. An answer below it is a refusal.
  Permille mMinimumCoverage{ 1 };
  PartialPolicy mPartialPolicy = PartialPolicy::AnswerAtTarget;
  /// Always false when mOperation is Execute.
  bool mHedging = true;
  /// Percentile of recent latency after which a hedge is sent; 50 to 99.
  unsigned mHedgePercentile = 97;
  /// Hedges and retries over sub-requests needed; 0 to 1000.
  Permille mExtraLoad{ 50 };
  /// Sorted, without duplicates. Empty: all callers.
  std::vector<CallerId> mAllowedCallers;
  /// Objective: share of answers within the latency target. 0: no objective; at most
  /// 999, since 1000 leaves no error budget to divide by.
  Permille mSloLatency{ 990 };
  /// Objective: share of answers with the wanted coverage. Range as mSloLatency.
  Permille mSloCoverage{ 990 };

  /// @brief Whether @p aCaller may use the profile.
  bool Allows(const CallerId& aCaller) const;

  bool operator==(const Profile&) const = default;
};

} // namespace wasabispar
