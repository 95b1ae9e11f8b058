/// @file
/// @brief Attribution of crashes to requests, their limit and their reports.
#include "wasabispar/routing/crash_limiter.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

CrashLimiter::CrashLimiter(CrashLimiterOptions aOptions, UpstreamCrashFn aOnCrash)
  : mOptions(aOptions)
  , mOnCrash(std::move(aOnCrash))
{
}

bool
CrashLimiter::MaySend(RequestFingerprint aRequest, TimePoint aNow) const
{
  const auto* suspect = FindSuspect(aRequest, aNow);
  if (!suspect) {
    return true;
  }
  const auto count = mExchangeCounts.find(aRequest);
  const auto running = count == mExchangeCounts.end() ? 0 : count->second;
  const auto crashes = CrashCount(*suspect);
  return crashes == 0 || crashes + running < mOptions.mMaxCrashes;
}

std::optional<TimePoint>
CrashLimiter::BlockedUntil(RequestFingerprint aRequest, TimePoint aNow) const
{
  const auto* suspect = FindSuspect(aRequest, aNow);
  if (!suspect || CrashCount(*suspect) < mOptions.mMaxCrashes) {
    return std::nullopt;
  }
  return suspect->mLastCrashAt + mOptions.mMemory;
}

void
CrashLimiter::OnSent(ExchangeId aExchange, RequestFingerprint aRequest,
                     const UpstreamIncarnation& aUpstream, TimePoint aNow)
{
  const auto* suspect = FindSuspect(aRequest, aNow);
  const Exchange exchange{ aRequest,
                           aUpstream,
                           aNow,
                           suspect ? CrashCount(*suspect) : 0,
                           LastUnclearLoss(aRequest),
                           {} };
  if (mExchanges.emplace(aExchange, exchange).second) {
    ++mExchangeCounts[aRequest];
  }
}

CrashLimiter::ExchangeId
CrashLimiter::LastUnclearLoss(RequestFingerprint aRequest) const
{
  if (!mExchangeCounts.contains(aRequest)) {
    return 0;
  }
  ExchangeId last = 0;
  for (const auto& [id, exchange] : mExchanges) {
    if (exchange.mRequest == aRequest && exchange.mLostAt) {
      last = id;
    }
  }
  return last;
}

void
CrashLimiter::OnCompleted(ExchangeId aExchange)
{
  const auto found = mExchanges.find(aExchange);
  if (found == mExchanges.end()) {
    return;
  }
  const auto suspect = mSuspects.find(found->second.mRequest);
  if (suspect != mSuspects.end()) {
    suspect->second.mObserved = 0;
    suspect->second.mReported.clear();
    suspect->second.mCrashedExchanges.clear();
  }
  Erase(found);
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
CrashLimiter::OnReport(const VmId& aVm, const RequestCrashes& aReport, TimePoint aNow)
{
  if (aReport.mSuccessiveCrashes == 0) {
    const auto suspect = mSuspects.find(aReport.mFingerprint);
    if (suspect != mSuspects.end()) {
      suspect->second.mReported.erase(aVm);
    }
    return;
  }
  auto& suspect = MakeSuspect(aReport.mFingerprint, aNow);
  suspect.mReported[aVm] = aReport.mSuccessiveCrashes;
  suspect.mLastCrashAt = aNow;
}

std::vector<RequestCrashes>
CrashLimiter::Tick(TimePoint aNow)
{
  std::vector<RequestCrashes> reports;
  for (auto& [request, suspect] : mSuspects) {
    if (IsReportDue(suspect, aNow)) {
      suspect.mPublished = suspect.mObserved;
      reports.push_back({ request, suspect.mObserved });
    }
  }
  Expire(aNow);
  return reports;
}

bool
CrashLimiter::IsReportDue(const Suspect& aSuspect, TimePoint aNow) const
{
  if (aSuspect.mObserved == aSuspect.mPublished) {
    return false;
  }
  return aSuspect.mObserved == 0 || CrashCount(aSuspect) >= mOptions.mMaxCrashes ||
         aNow - aSuspect.mFirstObservedAt >= mOptions.mReportDelay;
}

void
CrashLimiter::Expire(TimePoint aNow)
{
  std::erase_if(mSuspects, [this, aNow](const auto& aItem) {
    const auto& suspect = aItem.second;
    const bool isCleared = suspect.mObserved == 0 && suspect.mReported.empty();
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

std::uint32_t
CrashLimiter::CrashCount(const Suspect& aSuspect)
{
  auto crashes = aSuspect.mObserved;
  for (const auto& [vm, reported] : aSuspect.mReported) {
    crashes = std::max(crashes, reported);
  }
  return crashes;
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
  const auto& exchange = aExchange->second;
  auto& suspect = MakeSuspect(exchange.mRequest, aNow);
  if (suspect.mObserved == 0) {
    suspect.mFirstObservedAt = aNow;
  }
  auto known = exchange.mKnownCrashes;
  const auto predecessor = suspect.mCrashedExchanges.find(exchange.mPredecessor);
  if (predecessor != suspect.mCrashedExchanges.end()) {
    known = std::max(known, predecessor->second);
  }
  suspect.mCrashedExchanges[aExchange->first] = known + 1;
  suspect.mObserved = std::max(suspect.mObserved, known + 1);
  suspect.mLastCrashAt = aNow;
  if (mOnCrash) {
    mOnCrash({ exchange.mRequest, exchange.mUpstream,
               exchange.mLostAt.value_or(aNow) - exchange.mSentAt });
  }
}

void
CrashLimiter::Erase(ExchangeMap::iterator aExchange)
{
  const auto count = mExchangeCounts.find(aExchange->second.mRequest);
  if (--count->second == 0) {
    mExchangeCounts.erase(count);
  }
  mExchanges.erase(aExchange);
}

} // namespace wasabispar
