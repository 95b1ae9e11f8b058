/// @file
/// @brief The sources that name the end of a cold time.
#include "wasabispar/routing/cold_state.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// So that a faulty value does not limit an upstream for the life of its process.
constexpr Duration kMaxWarmup = std::chrono::hours(1);
/// Age of an incarnation from which an entry read at the start of this VM counts as
/// written at the start of the incarnation. Wall clocks differ by seconds and may be an
/// hour wrong for a while; ten minutes keep the error rare in both directions.
constexpr std::chrono::minutes kOldIncarnation{ 10 };

/// How long an incarnation has run; 0 if it starts in the future.
std::chrono::milliseconds
AgeOf(std::uint64_t aStartedUnixMs, std::uint64_t aNowUnixMs)
{
  const auto age = aNowUnixMs > aStartedUnixMs ? aNowUnixMs - aStartedUnixMs : 0;
  return std::chrono::milliseconds(age);
}

} // namespace

void
ColdState::Extend(Duration aLeft, TimePoint aFrom)
{
  if (aLeft <= Duration::zero()) {
    return;
  }
  const auto until = aFrom + std::min(aLeft, kMaxWarmup);
  mUntil = std::max(mUntil.value_or(until), until);
}

void
ColdState::OnStated(Duration aLeft, TimePoint aNow)
{
  Extend(aLeft, aNow);
}

void
ColdState::OnStatedAtStart(Duration aLeft, std::uint64_t aStartedUnixMs,
                           std::uint64_t aNowUnixMs, TimePoint aNow)
{
  const bool isOld =
    aStartedUnixMs != 0 && AgeOf(aStartedUnixMs, aNowUnixMs) > kOldIncarnation;
  if (!isOld) {
    OnStated(aLeft, aNow);
  }
}

void
ColdState::OnAdded(Duration aWarmup, std::uint64_t aStartedUnixMs,
                   std::uint64_t aNowUnixMs, TimePoint aNow)
{
  if (aStartedUnixMs != 0) {
    mStart = Start{ aNow, AgeOf(aStartedUnixMs, aNowUnixMs) };
  }
  SetWarmup(aWarmup);
}

void
ColdState::OnEvacuationEnded(Duration aWarmup, TimePoint aNow)
{
  mEvacuationEndedAt = aNow;
  SetWarmup(aWarmup);
}

void
ColdState::SetWarmup(Duration aWarmup)
{
  if (mStart && mStart->mAge <= aWarmup) {
    Extend(aWarmup, mStart->mAddedAt);
  }
  if (mEvacuationEndedAt) {
    Extend(aWarmup, *mEvacuationEndedAt);
  }
}

} // namespace wasabispar
