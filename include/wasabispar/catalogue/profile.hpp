/// @file
/// @brief Profiles, which define how classes of requests are answered.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"

#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief Whether requests of a profile come from users or from jobs.
enum class ProfileKind
{
  /// A user waits for the reply. Served with a configuration of any age.
  Interactive,
  /// A scheduled job. Served only while the configuration is fresh; see
  /// ConfigSync::IsFresh().
  Scheduled,
};

/// @brief Whether requests of a profile are served.
enum class ProfileState
{
  Active,
  /// Requests are refused.
  Retired,
};

/// @brief What happens at the latency target if the wanted coverage is not reached.
enum class PartialPolicy
{
  /// Answer at the latency target with the results received so far if they have the
  /// minimum coverage.
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

/// @brief A valid profile. ParseProfile() checks the ranges and the rules between the
/// fields; docs/operators/profiles.md lists the rules.
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
  /// 0 to mWantedCoverage. A request with less coverage is refused.
  Permille mMinimumCoverage{ 1 };
  PartialPolicy mPartialPolicy = PartialPolicy::AnswerAtTarget;
  /// Always false when mOperation is Execute.
  bool mHedging = true;
  /// A hedge is sent after this percentile of the recent latency; 50 to 99.
  unsigned mHedgePercentile = 97;
  /// Most hedges and retries in relation to the sub-requests needed; 0 to 1000.
  Permille mExtraLoad{ 50 };
  /// Sorted, without duplicates. If empty, all callers are allowed.
  std::vector<CallerId> mAllowedCallers;
  /// Objective for the fraction of answers within the latency target; 0 if there is no
  /// objective. At most 999, since 1000 leaves no error budget to divide by.
  Permille mSloLatency{ 990 };
  /// Objective for the fraction of answers with the wanted coverage; range as for
  /// mSloLatency.
  Permille mSloCoverage{ 990 };

  /// @brief Whether @p aCaller may use the profile.
  bool Allows(const CallerId& aCaller) const;

  bool operator==(const Profile&) const = default;
};

} // namespace wasabispar
