/// @file
/// @brief Decisions of FanOutState from the counts of answered and open parts.
#include "wasabispar/routing/fan_out_state.hpp"

#include <algorithm>

namespace wasabispar {

FanOutState::FanOutState(std::size_t aParts, std::size_t aRequired, TimePoint aAnswerBy,
                         TimePoint aDeadline)
  : mParts(aParts, PartState::Open)
  , mRequired(std::min(aRequired, aParts))
  , mAnswerBy(std::min(aAnswerBy, aDeadline))
  , mDeadline(aDeadline)
{
}

void
FanOutState::OnLost(std::size_t aPart)
{
  if (IsOpen(aPart)) {
    mParts[aPart] = PartState::Lost;
  }
}

FanOutDecision
FanOutState::Decide(TimePoint aNow) const
{
  const auto answered = Count(PartState::Answered);
  const auto open = Count(PartState::Open);
  if (answered + open < mRequired) {
    return FanOutDecision::Fail;
  }
  if (open == 0 || (answered >= mRequired && aNow >= mAnswerBy)) {
    return FanOutDecision::Answer;
  }
  return aNow >= mDeadline ? FanOutDecision::Timeout : FanOutDecision::Wait;
}

TimePoint
FanOutState::NextDecisionTime(TimePoint aNow) const
{
  return aNow < mAnswerBy ? mAnswerBy : mDeadline;
}

std::size_t
FanOutState::Count(PartState aState) const
{
  return static_cast<std::size_t>(std::ranges::count(mParts, aState));
}

} // namespace wasabispar
