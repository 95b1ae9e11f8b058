/// @file
/// @brief Decides by the catalogue whether a request may run.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/catalogue/catalogue.hpp"
#include "wasabispar/catalogue/profile_usage.hpp"

#include <memory>
#include <optional>

namespace wasabispar {

/// @brief A refusal with the HTTP status for the caller.
struct Refusal
{
  unsigned mStatus = 503;
  Error mError;
};

/// @brief What the gate knows besides the catalogue.
struct GateInput
{
  ProfileName mProfile;
  CallerId mCaller;
  Operation mOperation = Operation::Search;
  /// Age of the last contact with the platform; empty when there was none.
  std::optional<Duration> mPlatformAge;
  /// Oldest contact at which scheduled profiles run.
  Duration mScheduledFreshness{};
};

/// @brief Either the profile to apply or the refusal. Every refusal is `not-run`.
struct GateResult
{
  std::shared_ptr<const Profile> mProfile;
  std::optional<Refusal> mRefusal;
};

/// @brief Checks a request against @p aView and counts it in @p aUsage.
GateResult
CheckRequest(const CatalogueView& aView, ProfileUsage& aUsage, const GateInput& aInput,
             TimePoint aNow);

} // namespace wasabispar
