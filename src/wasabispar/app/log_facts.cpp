/// @file
/// @brief FactHistory and LoggedRequest.
#include "wasabispar/app/log_facts.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// Lines of one event that are kept for one subject. The state at the time of a decision
/// is looked up when the request ends, after which a few lines may have followed.
constexpr std::size_t kKeptPerEvent = 4;
} // namespace

void
FactHistory::Add(LogFact aFact)
{
  const auto isSameEvent = [&aFact](const LogFact& aKept) {
    return aKept.mEvent == aFact.mEvent;
  };
  const auto count = std::ranges::count_if(mFacts, isSameEvent);
  if (static_cast<std::size_t>(count) >= kKeptPerEvent) {
    mFacts.erase(std::ranges::find_if(mFacts, isSameEvent));
  }
  mFacts.push_back(std::move(aFact));
}

void
FactHistory::DropBefore(std::int64_t aTimeMs)
{
  std::erase_if(mFacts, [aTimeMs](const LogFact& aFact) {
    return !aFact.mTimeMs || *aFact.mTimeMs < aTimeMs;
  });
}

const LogFact*
FactHistory::Last(const std::vector<std::string_view>& aEvents,
                  std::optional<std::int64_t> aUntilMs) const
{
  const LogFact* last = nullptr;
  for (const auto& fact : mFacts) {
    const bool isLater = aUntilMs && fact.mTimeMs && *fact.mTimeMs > *aUntilMs;
    if (!isLater && std::ranges::find(aEvents, fact.mEvent) != aEvents.end()) {
      last = &fact;
    }
  }
  return last;
}

std::optional<std::int64_t>
LoggedRequest::TimeAt(std::uint64_t aAtUs) const
{
  if (!mEnd || !mEnd->mTimeMs) {
    return std::nullopt;
  }
  constexpr std::int64_t kUsPerMs = 1000;
  const auto beforeEnd =
    static_cast<std::int64_t>(mEnd->mTookUs) - static_cast<std::int64_t>(aAtUs);
  return *mEnd->mTimeMs - beforeEnd / kUsPerMs;
}

} // namespace wasabispar
