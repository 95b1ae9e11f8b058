/// @file
/// @brief Quarantine: fingerprints, also ordered by expiry, under one lock.
#include "wasabispar/execution/quarantine.hpp"

#include <algorithm>

namespace wasabispar {

Quarantine::Quarantine(QuarantineOptions aOptions)
  : mOptions(aOptions)
{
}

QuarantineEntry
Quarantine::Add(RequestFingerprint aFingerprint, TimePoint aNow)
{
  std::lock_guard lock(mMutex);
  Insert(aFingerprint, aNow + mOptions.mQuarantinePeriod);
  return { aFingerprint, mOptions.mQuarantinePeriod };
}

void
Quarantine::AddFromPeer(const QuarantineEntry& aEntry, TimePoint aNow)
{
  // Limited to the period, so that a faulty peer cannot block a request indefinitely.
  const auto remaining = std::min(aEntry.mRemaining, mOptions.mQuarantinePeriod);
  if (remaining <= Duration{}) {
    return;
  }
  std::lock_guard lock(mMutex);
  Insert(aEntry.mFingerprint, aNow + remaining);
}

void
Quarantine::Insert(RequestFingerprint aFingerprint, TimePoint aExpiry)
{
  const auto [found, isNew] = mExpiries.try_emplace(aFingerprint, aExpiry);
  if (!isNew) {
    if (found->second >= aExpiry) {
      return;
    }
    mByExpiry.erase({ found->second, aFingerprint });
    found->second = aExpiry;
  }
  mByExpiry.emplace(aExpiry, aFingerprint);
  if (mExpiries.size() > mOptions.mMaxFingerprints) {
    mExpiries.erase(mByExpiry.begin()->second);
    mByExpiry.erase(mByExpiry.begin());
  }
}

std::optional<ExecutionAnswer>
Quarantine::Check(RequestFingerprint aFingerprint, TimePoint aNow) const
{
  std::lock_guard lock(mMutex);
  const auto found = mExpiries.find(aFingerprint);
  if (found == mExpiries.end() || found->second <= aNow) {
    return std::nullopt;
  }
  return ExecutionAnswer{ EndCondition::Quarantined, AnswerScope::Request, {}, {} };
}

std::size_t
Quarantine::Sweep(TimePoint aNow)
{
  std::lock_guard lock(mMutex);
  std::size_t removed = 0;
  while (!mByExpiry.empty() && mByExpiry.begin()->first <= aNow) {
    mExpiries.erase(mByExpiry.begin()->second);
    mByExpiry.erase(mByExpiry.begin());
    ++removed;
  }
  return removed;
}

std::vector<QuarantineEntry>
Quarantine::ActiveEntries(TimePoint aNow) const
{
  std::lock_guard lock(mMutex);
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, expiry] : mExpiries) {
    if (expiry > aNow) {
      entries.push_back({ fingerprint, expiry - aNow });
    }
  }
  return entries;
}

std::size_t
Quarantine::Count() const
{
  std::lock_guard lock(mMutex);
  return mExpiries.size();
}

} // namespace wasabispar
