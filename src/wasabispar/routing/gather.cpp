/// @file
/// @brief Gather.
#include "wasabispar/routing/gather.hpp"

#include <algorithm>

namespace wasabispar {

Gather::Gather(std::size_t aParts, std::size_t aRequired, TimePoint aAnswerBy,
               TimePoint aDeadline)
  : mParts(aParts, PartState::Open)
  , mRequired(std::min(aRequired, aParts))
  , mAnswerBy(std::min(aAnswerBy, aDeadline))
  , mDeadline(aDeadline)
{
}

void
Gather::OnLost(std::size_t aPart)
{
  if (IsOpen(aPart)) {
    mParts[aPart] = PartState::Lost;
  }
}

GatherVerdict
Gather::Judge(TimePoint aNow) const
{
  const auto answered = Count(PartState::Answered);
  const auto open = Count(PartState::Open);
  if (answered + open < mRequired) {
    return GatherVerdict::GiveUp;
  }
  if (open == 0 || (answered >= mRequired && aNow >= mAnswerBy)) {
    return GatherVerdict::Answer;
  }
  return aNow >= mDeadline ? GatherVerdict::Timeout : GatherVerdict::Wait;
}

TimePoint
Gather::NextCheck(TimePoint aNow) const
{
  return aNow < mAnswerBy ? mAnswerBy : mDeadline;
}

std::size_t
Gather::Count(PartState aState) const
{
  return static_cast<std::size_t>(std::ranges::count(mParts, aState));
}

} // namespace wasabispar
