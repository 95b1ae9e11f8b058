/// @file
/// @brief Texts of member states and look-up of members.
#include "wasabispar/fleet/member.hpp"

namespace wasabispar {

std::string_view
ToText(MemberState aState)
{
  switch (aState) {
    case MemberState::Unconfirmed:
      return "unconfirmed";
    case MemberState::Alive:
      return "alive";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Dead:
      return "dead";
  }
  return "invalid";
}

const Member*
MemberView::Find(const VmId& aVm) const
{
  const auto found = mMembers.find(aVm);
  return found == mMembers.end() ? nullptr : &found->second;
}

std::vector<VmId>
MemberView::LocalDead() const
{
  std::vector<VmId> dead;
  const auto* self = Find(mSelf);
  for (const auto& [vm, member] : mMembers) {
    if (self && member.mState == MemberState::Dead &&
        member.mIdentity.mDataCentre == self->mIdentity.mDataCentre) {
      dead.push_back(vm);
    }
  }
  return dead;
}

} // namespace wasabispar
