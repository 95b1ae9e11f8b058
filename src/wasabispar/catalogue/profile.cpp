/// @file
/// @brief Texts of the enumerations of profiles, and the check of allowed callers.
#include "wasabispar/catalogue/profile.hpp"

#include <algorithm>

namespace wasabispar {

std::string_view
ToText(ProfileKind aKind)
{
  return aKind == ProfileKind::Scheduled ? "scheduled" : "interactive";
}

std::string_view
ToText(ProfileState aState)
{
  return aState == ProfileState::Retired ? "retired" : "active";
}

std::string_view
ToText(PartialPolicy aPolicy)
{
  return aPolicy == PartialPolicy::WaitForCoverage ? "wait_for_coverage"
                                                   : "answer_at_target";
}

std::string_view
ToText(Operation aOperation)
{
  return aOperation == Operation::Execute ? "execute" : "search";
}

bool
Profile::Allows(const CallerId& aCaller) const
{
  return mAllowedCallers.empty() ||
         std::binary_search(mAllowedCallers.begin(), mAllowedCallers.end(), aCaller);
}

} // namespace wasabispar
