/// @file
/// @brief Attribution of crashes to requests, their limit and their reports.
#include "wasabispar/routing/crash_limiter.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

CrashLimiter::CrashLimiter(CrashLimiterOptions aOptions, UpstreamCrashFn aOnCrash,
                           MayTryFn aMayTry)
  : mOptions(aOptions)
  , mOnCrash(std::move(aOnCrash))
  , mMayTry(std::move(aMayTry))
{
}

bool
CrashLimiter::MaySend(const RequestPart& aPart, TimePoint aNow) const
{
  const auto* suspect = FindSuspect(aPart.mRequest, aNow);
  if (!suspect) {
    return true;
  }
  const auto limit = mOptions.mMaxCrashes;
  const auto part = PartCrashes(*suspect, aPart.mService);
  const auto restriction = RestrictionOf(*suspect);
  if (part >= limit || restriction == Restriction::Blocked) {
    return false;
  }
  const auto joint = JointCrashes(*suspect);
  const auto copies = RunningCopies(aPart.mRequest);
  if (restriction == Restriction::Probation &&
      (copies > 0 || !IsTryDue(*suspect, aNow) || !MayTry(aPart.mRequest))) {
    return false;
  }
  if (joint > 0 && joint + copies >= limit) {
    return false;
  }
  return part == 0 || part + RunningCopies(aPart) < limit;
}

CrashLimiter::Restriction
CrashLimiter::RestrictionOf(const Suspect& aSuspect) const
{
  auto crashes = UncompletedCrashes(aSuspect);
  if (CountSuccessiveCrashes(crashes) >= mOptions.mMaxCrashes) {
    return Restriction::Blocked;
  }
  if (crashes.size() < mOptions.mMaxCrashes) {
    return Restriction::None;
  }
  // Copies that were sent within mTryDelay of a loss met the same failure.
  for (auto& crash : crashes) {
    crash.mLostAt += mOptions.mTryDelay;
  }
  return CountSuccessiveCrashes(std::move(crashes)) > 1 ? Restriction::Blocked
                                                        : Restriction::Probation;
}

bool
CrashLimiter::MayTry(RequestFingerprint aRequest) const
{
  return !mMayTry || mMayTry(aRequest);
}

bool
CrashLimiter::IsTryDue(const Suspect& aSuspect, TimePoint aNow) const
{
  const auto crashes = UncompletedCrashes(aSuspect);
  return std::ranges::all_of(crashes, [this, aNow](const RequestCrash& aCrash) {
    return aNow - aCrash.mLostAt >= mOptions.mTryDelay;
  });
}

std::optional<TimePoint>
CrashLimiter::BlockedUntil(const RequestPart& aPart, TimePoint aNow) const
{
  const auto* suspect = FindSuspect(aPart.mRequest, aNow);
  if (!suspect) {
    return std::nullopt;
  }
  const auto restriction = RestrictionOf(*suspect);
  const bool isBlocked =
    PartCrashes(*suspect, aPart.mService) >= mOptions.mMaxCrashes ||
    restriction == Restriction::Blocked ||
    (restriction == Restriction::Probation && !MayTry(aPart.mRequest));
  return isBlocked ? std::optional(suspect->mLastCrashAt + mOptions.mMemory)
                   : std::nullopt;
}

std::uint32_t
CrashLimiter::SuccessiveCrashes(RequestFingerprint aRequest, TimePoint aNow) const
{
  const auto* suspect = FindSuspect(aRequest, aNow);
  return suspect ? MostCrashes(*suspect) : 0;
}

void
CrashLimiter::OnSent(ExchangeId aExchange, const RequestPart& aPart,
                     const UpstreamIncarnation& aUpstream, TimePoint aNow)
{
  const Exchange exchange{ aPart, aUpstream, aNow, {} };
  if (mExchanges.emplace(aExchange, exchange).second) {
    ++mRunning[aPart.mRequest].mExchanges;
  }
}

void
CrashLimiter::OnCompleted(ExchangeId aExchange, TimePoint aNow)
{
  const auto found = mExchanges.find(aExchange);
  if (found == mExchanges.end()) {
    return;
  }
  const auto part = found->second.mPart;
  mRunning[part.mRequest].mCompletedAt = aNow;
  const auto suspect = mSuspects.find(part.mRequest);
  if (suspect != mSuspects.end()) {
    OnSuspectCompleted(suspect->second, { part.mService, aNow });
  }
  Erase(found);
}

void
CrashLimiter::OnSuspectCompleted(Suspect& aSuspect, const RequestCompletion& aCompletion)
{
  const bool isKnownElsewhere = aSuspect.mWasPublished || !aSuspect.mReported.empty();
  EraseCrashes(aSuspect.mObserved, aCompletion);
  for (auto& [reporter, crashes] : aSuspect.mReported) {
    EraseCrashes(crashes, aCompletion);
  }
  aSuspect.mCompletedAt = aCompletion.mAt;
  aSuspect.mOwnCompletion = aCompletion;
  if (isKnownElsewhere) {
    aSuspect.mChangedAt = aSuspect.mChangedAt.value_or(aCompletion.mAt);
  } else if (aSuspect.mObserved.empty()) {
    aSuspect.mChangedAt.reset();
  }
}

void
CrashLimiter::OnLost(ExchangeId aExchange, TimePoint aNow)
{
  const auto found = mExchanges.find(aExchange);
  if (found == mExchanges.end()) {
    return;
  }
  const auto failed = mFailedConnects.find(found->second.mUpstream);
  if (failed != mFailedConnects.end() && aNow - failed->second < mOptions.mLossWindow) {
    AddCrash(found, aNow);
    Erase(found);
    return;
  }
  found->second.mLostAt = aNow;
}

void
CrashLimiter::OnEnded(ExchangeId aExchange)
{
  const auto found = mExchanges.find(aExchange);
  if (found != mExchanges.end()) {
    Erase(found);
  }
}

void
CrashLimiter::OnConnected(const UpstreamIncarnation& aUpstream, TimePoint aNow)
{
  mFailedConnects.erase(aUpstream);
  for (auto next = mExchanges.begin(); next != mExchanges.end();) {
    const auto current = next++;
    const auto& exchange = current->second;
    if (exchange.mUpstream == aUpstream && exchange.mLostAt &&
        aNow - *exchange.mLostAt >= mOptions.mListenerCloseTime) {
      Erase(current);
    }
  }
}

void
CrashLimiter::OnConnectFailed(const UpstreamIncarnation& aUpstream, TimePoint aNow)
{
  mFailedConnects[aUpstream] = aNow;
  for (auto next = mExchanges.begin(); next != mExchanges.end();) {
    const auto current = next++;
    const auto& exchange = current->second;
    if (exchange.mUpstream == aUpstream && exchange.mLostAt &&
        aNow - *exchange.mLostAt < mOptions.mLossWindow) {
      AddCrash(current, aNow);
      Erase(current);
    }
  }
}

void
CrashLimiter::OnReport(const CrashReporter& aReporter, const RequestCrashReport& aReport,
                       TimePoint aNow)
{
  const auto known = mSuspects.find(aReport.mFingerprint);
  if (known == mSuspects.end() && aReport.mCrashes.empty()) {
    return;
  }
  auto& suspect = MakeSuspect(aReport.mFingerprint, aNow);
  suspect.mReported[aReporter] = aReport.mCrashes;
  if (!aReport.mCrashes.empty()) {
    suspect.mLastCrashAt = aNow;
  }
  if (aReport.mCompletion) {
    OnReportedCompletion(suspect, *aReport.mCompletion, aNow);
  }
}

void
CrashLimiter::OnReportedCompletion(Suspect& aSuspect,
                                   const RequestCompletion& aCompletion, TimePoint aNow)
{
  const auto observed = aSuspect.mObserved.size();
  EraseCrashes(aSuspect.mObserved, aCompletion);
  for (auto& [reporter, crashes] : aSuspect.mReported) {
    EraseCrashes(crashes, aCompletion);
  }
  aSuspect.mCompletedAt = std::max(aSuspect.mCompletedAt, std::optional(aCompletion.mAt));
  if (aSuspect.mObserved.size() != observed && aSuspect.mWasPublished) {
    aSuspect.mChangedAt = aSuspect.mChangedAt.value_or(aNow);
  }
}

std::vector<RequestCrashReport>
CrashLimiter::Tick(TimePoint aNow)
{
  std::vector<RequestCrashReport> reports;
  for (auto& [request, suspect] : mSuspects) {
    if (IsReportDue(suspect, aNow)) {
      suspect.mChangedAt.reset();
      suspect.mWasPublished = true;
      reports.push_back({ request, suspect.mObserved, suspect.mOwnCompletion });
    }
  }
  Expire(aNow);
  return reports;
}

bool
CrashLimiter::IsReportDue(const Suspect& aSuspect, TimePoint aNow) const
{
  if (!aSuspect.mChangedAt) {
    return false;
  }
  return aSuspect.mObserved.empty() || MostCrashes(aSuspect) > 1 ||
         RestrictionOf(aSuspect) != Restriction::None ||
         aNow - *aSuspect.mChangedAt >= mOptions.mReportDelay;
}

void
CrashLimiter::Expire(TimePoint aNow)
{
  std::erase_if(mSuspects, [this, aNow](const auto& aItem) {
    const auto& suspect = aItem.second;
    const bool isCleared = AllCrashes(suspect).empty() && !suspect.mChangedAt;
    return isCleared || aNow - suspect.mLastCrashAt >= mOptions.mMemory;
  });
  std::erase_if(mFailedConnects, [this, aNow](const auto& aItem) {
    return aNow - aItem.second >= mOptions.mLossWindow;
  });
  for (auto next = mExchanges.begin(); next != mExchanges.end();) {
    const auto current = next++;
    const auto& lostAt = current->second.mLostAt;
    if (lostAt && aNow - *lostAt >= mOptions.mLossWindow) {
      Erase(current);
    }
  }
}

RequestCrashes
CrashLimiter::AllCrashes(const Suspect& aSuspect)
{
  auto all = aSuspect.mObserved;
  for (const auto& [reporter, crashes] : aSuspect.mReported) {
    all.insert(all.end(), crashes.begin(), crashes.end());
  }
  return all;
}

std::uint32_t
CrashLimiter::PartCrashes(const Suspect& aSuspect, ServiceFingerprint aService)
{
  return CountSuccessiveCrashes(CrashesOfService(AllCrashes(aSuspect), aService));
}

std::uint32_t
CrashLimiter::JointCrashes(const Suspect& aSuspect)
{
  return CountSuccessiveCrashes(UncompletedCrashes(aSuspect));
}

RequestCrashes
CrashLimiter::UncompletedCrashes(const Suspect& aSuspect)
{
  auto crashes = AllCrashes(aSuspect);
  std::erase_if(crashes, [&aSuspect](const RequestCrash& aCrash) {
    return aCrash.mSentAt <= aSuspect.mCompletedAt;
  });
  const bool areSeveral = std::ranges::any_of(crashes, [&crashes](const auto& aCrash) {
    return aCrash.mService != crashes.front().mService;
  });
  return areSeveral ? crashes : RequestCrashes{};
}

std::uint32_t
CrashLimiter::MostCrashes(const Suspect& aSuspect)
{
  auto most = JointCrashes(aSuspect);
  for (const auto& crash : AllCrashes(aSuspect)) {
    most = std::max(most, PartCrashes(aSuspect, crash.mService));
  }
  return most;
}

void
CrashLimiter::EraseCrashes(RequestCrashes& aCrashes, const RequestCompletion& aBefore)
{
  std::erase_if(aCrashes, [&aBefore](const RequestCrash& aCrash) {
    return aCrash.mService == aBefore.mService && aCrash.mSentAt <= aBefore.mAt;
  });
}

std::size_t
CrashLimiter::RunningCopies(const RequestPart& aPart) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mExchanges, [&aPart](const auto& aItem) { return aItem.second.mPart == aPart; }));
}

std::size_t
CrashLimiter::RunningCopies(RequestFingerprint aRequest) const
{
  const auto running = mRunning.find(aRequest);
  return running == mRunning.end() ? 0 : running->second.mExchanges;
}

const CrashLimiter::Suspect*
CrashLimiter::FindSuspect(RequestFingerprint aRequest, TimePoint aNow) const
{
  const auto found = mSuspects.find(aRequest);
  const bool isKnown =
    found != mSuspects.end() && aNow - found->second.mLastCrashAt < mOptions.mMemory;
  return isKnown ? &found->second : nullptr;
}

/// The suspect of a request. Above mMaxRequests, a new one replaces the one whose last
/// crash is the oldest.
CrashLimiter::Suspect&
CrashLimiter::MakeSuspect(RequestFingerprint aRequest, TimePoint aNow)
{
  const auto found = mSuspects.find(aRequest);
  if (found != mSuspects.end()) {
    return found->second;
  }
  if (mSuspects.size() >= mOptions.mMaxRequests) {
    mSuspects.erase(std::ranges::min_element(
      mSuspects, {}, [](const auto& aItem) { return aItem.second.mLastCrashAt; }));
  }
  auto& suspect = mSuspects[aRequest];
  suspect.mLastCrashAt = aNow;
  return suspect;
}

void
CrashLimiter::AddCrash(ExchangeMap::const_iterator aExchange, TimePoint aNow)
{
  /// More services than these fail rarely in one moment without all failing.
  constexpr std::size_t kMaxServices = 64;
  const auto& exchange = aExchange->second;
  const auto lostAt = exchange.mLostAt.value_or(aNow);
  auto& suspect = MakeSuspect(exchange.mPart.mRequest, aNow);
  suspect.mObserved.push_back({ exchange.mPart.mService, exchange.mSentAt, lostAt });
  suspect.mObserved = CompactCrashes(std::move(suspect.mObserved), kMaxServices);
  suspect.mCompletedAt =
    std::max(suspect.mCompletedAt, mRunning[exchange.mPart.mRequest].mCompletedAt);
  suspect.mLastCrashAt = aNow;
  suspect.mChangedAt = suspect.mChangedAt.value_or(aNow);
  const auto restriction = RestrictionOf(suspect);
  const bool isUrgent = restriction > std::exchange(suspect.mPublished, restriction);
  if (mOnCrash) {
    mOnCrash({ exchange.mPart.mRequest, exchange.mUpstream, lostAt - exchange.mSentAt,
               isUrgent });
  }
}

void
CrashLimiter::Erase(ExchangeMap::iterator aExchange)
{
  const auto running = mRunning.find(aExchange->second.mPart.mRequest);
  if (--running->second.mExchanges == 0) {
    mRunning.erase(running);
  }
  mExchanges.erase(aExchange);
}

} // namespace wasabispar
