/// @file
/// @brief Crash detection, suspicion and quarantine of requests.
#include "wasabispar/upstream/crash_tracker.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace wasabispar {

namespace {

constexpr std::array<std::string_view, 4> kDecisionTexts{ "normal", "run-alone", "hold",
                                                          "quarantined" };

bool
Overlap(const std::set<UpstreamId>& aLeft, const std::set<UpstreamId>& aRight)
{
  return std::ranges::any_of(
    aLeft, [&](const UpstreamId& aUpstream) { return aRight.contains(aUpstream); });
}

/// Adds an incident and merges it with the incidents that have an upstream in common with
/// it.
void
AddIncident(std::vector<std::set<UpstreamId>>& aIncidents, std::set<UpstreamId> aNew)
{
  std::erase_if(aIncidents, [&](const std::set<UpstreamId>& aIncident) {
    const bool isSameIncident = Overlap(aIncident, aNew);
    if (isSameIncident) {
      aNew.insert(aIncident.begin(), aIncident.end());
    }
    return isSameIncident;
  });
  aIncidents.push_back(std::move(aNew));
}

} // namespace

std::string_view
ToText(CrashDecision aDecision)
{
  return kDecisionTexts[static_cast<std::size_t>(aDecision)];
}

CrashTracker::CrashTracker(CrashTrackerOptions aOptions)
  : mOptions(aOptions)
{
}

CrashDecision
CrashTracker::Decide(RequestFingerprint aFingerprint, TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  return DecideLocked(aFingerprint, aNow);
}

const CrashTracker::SuspectState*
CrashTracker::FindSuspectState(RequestFingerprint aFingerprint, TimePoint aNow) const
{
  const auto found = mSuspectStates.find(aFingerprint);
  return found != mSuspectStates.end() && aNow < found->second.mExpires ? &found->second
                                                                        : nullptr;
}

bool
CrashTracker::IsQuarantined(const SuspectState& aState, TimePoint aNow) const
{
  return aState.mQuarantined ||
         (aNow >= aState.mReportWaitUntil && aState.mIncidents.size() > 1);
}

CrashDecision
CrashTracker::DecideLocked(RequestFingerprint aFingerprint, TimePoint aNow) const
{
  const auto* state = FindSuspectState(aFingerprint, aNow);
  if (state != nullptr && IsQuarantined(*state, aNow)) {
    return CrashDecision::Quarantined;
  }
  const bool inFlight = mInFlight.contains(aFingerprint);
  if (state != nullptr) {
    return aNow < state->mReportWaitUntil || inFlight ? CrashDecision::Hold
                                                      : CrashDecision::RunAlone;
  }
  const bool lost = std::ranges::any_of(mLostExchanges, [&](std::uint64_t aId) {
    const auto& exchange = mExchanges.at(aId);
    return exchange.mFingerprint == aFingerprint &&
           aNow - *exchange.mLostAt < mOptions.mLossWindow;
  });
  return lost ? CrashDecision::Hold : CrashDecision::Normal;
}

CrashDecision
CrashTracker::TryStart(std::uint64_t aExchange, const UpstreamId& aUpstream,
                       RequestFingerprint aFingerprint, const ShardId& aShard,
                       TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const auto decision = DecideLocked(aFingerprint, aNow);
  if (decision == CrashDecision::Normal || decision == CrashDecision::RunAlone) {
    const bool suspect = decision == CrashDecision::RunAlone;
    mExchanges.emplace(aExchange,
                       Exchange{ aUpstream, aFingerprint, aShard, suspect, {} });
    ++mInFlight[aFingerprint];
  }
  return decision;
}

std::vector<CrashReport>
CrashTracker::OnEnded(std::uint64_t aExchange, ExchangeStatus aStatus, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const auto found = mExchanges.find(aExchange);
  if (found == mExchanges.end()) {
    return {};
  }
  if (aStatus == ExchangeStatus::ConnectionLost) {
    if (found->second.mUnderSuspicion) {
      // The request ran alone, so it caused the crash. The success of a new connection
      // would not disprove this, because a supervisor may have restarted the upstream.
      auto report = AddCrash(found->second, aNow);
      Erase(found);
      return { std::move(report) };
    }
    found->second.mLostAt = aNow;
    mLostExchanges.insert(aExchange);
    return CheckCrash(found->second.mUpstream, aNow);
  }
  if (aStatus == ExchangeStatus::Ok || aStatus == ExchangeStatus::Failed) {
    RecordCompletion(found->second);
  }
  const auto upstream = found->second.mUpstream;
  Erase(found);
  // While an exchange runs, its upstream does not count as crashed. If this was the last
  // running exchange, the connections lost before may now prove a crash, unless it ended
  // with a reply, which proves that the upstream is alive.
  return IsReply(aStatus) ? std::vector<CrashReport>() : CheckCrash(upstream, aNow);
}

std::vector<CrashReport>
CrashTracker::OnConnectFailed(const UpstreamId& aUpstream, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  mFailedConnects[aUpstream] = aNow;
  return CheckCrash(aUpstream, aNow);
}

void
CrashTracker::OnConnected(const UpstreamId& aUpstream)
{
  const std::lock_guard lock(mMutex);
  mFailedConnects.erase(aUpstream);
  for (auto it = mExchanges.begin(); it != mExchanges.end();) {
    const auto current = it++;
    if (current->second.mUpstream == aUpstream && current->second.mLostAt) {
      Erase(current);
    }
  }
}

void
CrashTracker::OnCrashReport(const CrashReport& aReport, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (aReport.mTimeToLive <= Duration::zero()) {
    return;
  }
  const bool wasSuspect = FindSuspectState(aReport.mFingerprint, aNow) != nullptr;
  auto& state = AddSuspicion(aReport.mFingerprint, aNow);
  if (!wasSuspect) {
    state.mReportWaitUntil = aNow + mOptions.mReportWaitTime;
  }
  if (aReport.mQuarantined && !state.mQuarantined) {
    state.mQuarantined = true;
    state.mExpires = aNow + std::min(aReport.mTimeToLive, mOptions.mQuarantineTime);
  }
  state.mShards.insert(aReport.mShards.begin(), aReport.mShards.end());
  AddIncident(state.mIncidents, aReport.mUpstreams);
}

std::map<RequestFingerprint, TimePoint>
CrashTracker::Quarantined(TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  std::map<RequestFingerprint, TimePoint> quarantined;
  for (const auto& [fingerprint, state] : mSuspectStates) {
    if (aNow < state.mExpires && IsQuarantined(state, aNow)) {
      quarantined.emplace(fingerprint, state.mExpires);
    }
  }
  return quarantined;
}

void
CrashTracker::Expire(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  std::erase_if(mSuspectStates,
                [&](const auto& aItem) { return aNow >= aItem.second.mExpires; });
  std::erase_if(mFailedConnects, [&](const auto& aItem) {
    return aNow - aItem.second >= mOptions.mLossWindow;
  });
  for (auto it = mExchanges.begin(); it != mExchanges.end();) {
    const auto current = it++;
    const auto& lost = current->second.mLostAt;
    if (lost && aNow - *lost >= mOptions.mLossWindow) {
      Erase(current);
    }
  }
}

/// Records a crash if, within the last loss window, a connection attempt to the upstream
/// failed and connections to it were lost, and no exchange with it still runs.
std::vector<CrashReport>
CrashTracker::CheckCrash(UpstreamId aUpstream, TimePoint aNow)
{
  const auto failed = mFailedConnects.find(aUpstream);
  if (failed == mFailedConnects.end() || aNow - failed->second >= mOptions.mLossWindow) {
    return {};
  }
  std::vector<std::uint64_t> lost;
  for (const auto& [id, exchange] : mExchanges) {
    if (exchange.mUpstream != aUpstream) {
      continue;
    }
    if (!exchange.mLostAt) {
      return {};
    }
    if (aNow - *exchange.mLostAt < mOptions.mLossWindow) {
      lost.push_back(id);
    }
  }
  std::map<RequestFingerprint, CrashReport> reports;
  for (const auto id : lost) {
    const auto found = mExchanges.find(id);
    auto report = AddCrash(found->second, aNow);
    reports.insert_or_assign(report.mFingerprint, std::move(report));
    Erase(found);
  }
  std::vector<CrashReport> result;
  for (auto& [fingerprint, report] : reports) {
    result.push_back(std::move(report));
  }
  return result;
}

CrashReport
CrashTracker::AddCrash(const Exchange& aExchange, TimePoint aNow)
{
  auto& state = AddSuspicion(aExchange.mFingerprint, aNow);
  state.mReportWaitUntil = aNow + mOptions.mReportWaitTime;
  state.mObservedUpstreams.insert(aExchange.mUpstream);
  state.mShards.insert(aExchange.mShard);
  AddIncident(state.mIncidents, state.mObservedUpstreams);
  if (aExchange.mUnderSuspicion && !state.mQuarantined) {
    state.mQuarantined = true;
    state.mExpires = aNow + mOptions.mQuarantineTime;
  }
  return CrashReport{ aExchange.mFingerprint, state.mQuarantined,
                      state.mObservedUpstreams, state.mShards, state.mExpires - aNow };
}

CrashTracker::SuspectState&
CrashTracker::AddSuspicion(RequestFingerprint aFingerprint, TimePoint aNow)
{
  auto& state = mSuspectStates[aFingerprint];
  if (aNow >= state.mExpires) {
    state = SuspectState{};
  }
  if (!state.mQuarantined) {
    state.mExpires = std::max(state.mExpires, aNow + mOptions.mSuspicionLifetime);
  }
  return state;
}

void
CrashTracker::RecordCompletion(const Exchange& aExchange)
{
  const auto found = mSuspectStates.find(aExchange.mFingerprint);
  if (found == mSuspectStates.end() || found->second.mQuarantined ||
      found->second.mIncidents.size() > 1) {
    return;
  }
  found->second.mShards.erase(aExchange.mShard);
  if (found->second.mShards.empty()) {
    mSuspectStates.erase(found);
  }
}

void
CrashTracker::Erase(std::map<std::uint64_t, Exchange>::iterator aExchange)
{
  const auto count = mInFlight.find(aExchange->second.mFingerprint);
  if (--count->second == 0) {
    mInFlight.erase(count);
  }
  mLostExchanges.erase(aExchange->first);
  mExchanges.erase(aExchange);
}

} // namespace wasabispar
