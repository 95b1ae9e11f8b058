/// @file
/// @brief The rules that a request must pass before it is admitted.
#include "wasabispar/app/request_gate.hpp"

namespace wasabispar {

namespace {

GateResult
Refuse(unsigned aStatus, const ProfileName& aProfile, std::string aCause)
{
  return { nullptr, Refusal{ aStatus, Error{ Step::FindProfile, aProfile.Text(),
                                             Outcome::NotRun, std::move(aCause) } } };
}

} // namespace

GateResult
CheckRequest(const CatalogueView& aView, ProfileUsage& aUsage, const GateInput& aInput,
             TimePoint aNow)
{
  const auto found = aView.Find(aInput.mProfile);
  aUsage.Record(aInput.mProfile, found.mStatus, aInput.mCaller, aNow);
  if (found.mStatus == ProfileStatus::Unknown) {
    return Refuse(404, aInput.mProfile, "unknown profile");
  }
  if (found.mStatus == ProfileStatus::Retired) {
    return Refuse(410, aInput.mProfile,
                  "profile was retired at revision " +
                    std::to_string(found.mRevision.Value()));
  }
  const auto& profile = *found.mProfile;
  if (!profile.Allows(aInput.mCaller)) {
    return Refuse(403, aInput.mProfile, "caller may not use this profile");
  }
  if (profile.mOperation != aInput.mOperation) {
    return Refuse(400, aInput.mProfile,
                  "profile is for the operation '" +
                    std::string(ToText(profile.mOperation)) + "'");
  }
  const bool isFresh =
    aInput.mPlatformAge && *aInput.mPlatformAge <= aInput.mScheduledFreshness;
  if (profile.mKind == ProfileKind::Scheduled && !isFresh) {
    return Refuse(503, aInput.mProfile,
                  "configuration is too old to run a scheduled profile");
  }
  return { found.mProfile, std::nullopt };
}

} // namespace wasabispar
