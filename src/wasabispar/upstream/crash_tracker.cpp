/// @file
/// @brief Crash suspicion and quarantine.
#include "wasabispar/upstream/crash_tracker.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace wasabispar {

namespace {

constexpr std::array<std::string_view, 4> kVerdicts{ "normal", "run-alone", "hold",
                                                     "quarantined" };

bool
Overlap(const std::set<UpstreamId>& aLeft, const std::set<UpstreamId>& aRight)
{
  return std::ranges::any_of(
    aLeft, [&](const UpstreamId& aUpstream) { return aRight.contains(aUpstream); });
}

/// Adds an incident and merges it with those that share an upstream with it.
void
AddIncident(std::vector<std::set<UpstreamId>>& aIncidents, std::set<UpstreamId> aNew)
{
  std::erase_if(aIncidents, [&](const std::set<UpstreamId>& aIncident) {
    const bool same = Overlap(aIncident, aNew);
    if (same) {
      aNew.insert(aIncident.begin(), aIncident.end());
    }
    return same;
  });
  aIncidents.push_back(std::move(aNew));
}

} // namespace

std::string_view
ToText(CrashVerdict aVerdict)
{
  return kVerdicts[static_cast<std::size_t>(aVerdict)];
}

CrashTracker::CrashTracker(CrashTrackerOptions aOptions)
  : mOptions(aOptions)
{
}

CrashVerdict
CrashTracker::Judge(RequestFingerprint aFingerprint, TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  return JudgeLocked(aFingerprint, aNow);
}

const CrashTracker::Finding*
CrashTracker::FindingOf(RequestFingerprint aFingerprint, TimePoint aNow) const
{
  const auto found = mFindings.find(aFingerprint);
  return found != mFindings.end() && aNow < found->second.mExpires ? &found->second
                                                                   : nullptr;
}

bool
CrashTracker::IsQuarantined(const Finding& aFinding, TimePoint aNow) const
{
  return aFinding.mQuarantined ||
         (aNow >= aFinding.mHoldUntil && aFinding.mIncidents.size() > 1);
}

CrashVerdict
CrashTracker::JudgeLocked(RequestFingerprint aFingerprint, TimePoint aNow) const
{
  const auto* finding = FindingOf(aFingerprint, aNow);
  if (finding != nullptr && IsQuarantined(*finding, aNow)) {
    return CrashVerdict::Quarantined;
  }
  const bool inFlight = mInFlight.contains(aFingerprint);
  if (finding != nullptr) {
    return aNow < finding->mHoldUntil || inFlight ? CrashVerdict::Hold
                                                  : CrashVerdict::RunAlone;
  }
  const bool lost = std::ranges::any_of(mLost, [&](std::uint64_t aId) {
    const auto& exchange = mExchanges.at(aId);
    return exchange.mFingerprint == aFingerprint &&
           aNow - *exchange.mLost < mOptions.mLossWindow;
  });
  return lost ? CrashVerdict::Hold : CrashVerdict::Normal;
}

CrashVerdict
CrashTracker::TryStart(std::uint64_t aExchange, const UpstreamId& aUpstream,
                       RequestFingerprint aFingerprint, const ShardId& aShard,
                       TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const auto verdict = JudgeLocked(aFingerprint, aNow);
  if (verdict == CrashVerdict::Normal || verdict == CrashVerdict::RunAlone) {
    const bool suspect = verdict == CrashVerdict::RunAlone;
    mExchanges.emplace(aExchange,
                       Exchange{ aUpstream, aFingerprint, aShard, suspect, {} });
    ++mInFlight[aFingerprint];
  }
  return verdict;
}

std::vector<CrashFact>
CrashTracker::OnEnded(std::uint64_t aExchange, ExchangeStatus aStatus, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const auto found = mExchanges.find(aExchange);
  if (found == mExchanges.end()) {
    return {};
  }
  if (aStatus == ExchangeStatus::ConnectionLost) {
    if (found->second.mUnderSuspicion) {
      // It ran alone. A new connection that works does not acquit it, because a
      // supervisor may have restarted the upstream.
      auto fact = AddCrash(found->second, aNow);
      Erase(found);
      return { std::move(fact) };
    }
    found->second.mLost = aNow;
    mLost.insert(aExchange);
    return CheckCrash(found->second.mUpstream, aNow);
  }
  if (aStatus == ExchangeStatus::Ok || aStatus == ExchangeStatus::Failed) {
    Complete(found->second);
  }
  const auto upstream = found->second.mUpstream;
  Erase(found);
  // It may have been the last one that spoke against a crash. After a reply the upstream
  // is alive.
  return IsReply(aStatus) ? std::vector<CrashFact>() : CheckCrash(upstream, aNow);
}

std::vector<CrashFact>
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
    if (current->second.mUpstream == aUpstream && current->second.mLost) {
      Erase(current);
    }
  }
}

void
CrashTracker::OnFact(const CrashFact& aFact, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (aFact.mTimeToLive <= Duration::zero()) {
    return;
  }
  const bool known = FindingOf(aFact.mFingerprint, aNow) != nullptr;
  auto& finding = Suspect(aFact.mFingerprint, aNow);
  if (!known) {
    finding.mHoldUntil = aNow + mOptions.mHold;
  }
  if (aFact.mQuarantined && !finding.mQuarantined) {
    finding.mQuarantined = true;
    finding.mExpires = aNow + std::min(aFact.mTimeToLive, mOptions.mQuarantine);
  }
  finding.mShards.insert(aFact.mShards.begin(), aFact.mShards.end());
  AddIncident(finding.mIncidents, aFact.mUpstreams);
}

std::map<RequestFingerprint, TimePoint>
CrashTracker::Quarantined(TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  std::map<RequestFingerprint, TimePoint> quarantined;
  for (const auto& [fingerprint, finding] : mFindings) {
    if (aNow < finding.mExpires && IsQuarantined(finding, aNow)) {
      quarantined.emplace(fingerprint, finding.mExpires);
    }
  }
  return quarantined;
}

void
CrashTracker::Expire(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  std::erase_if(mFindings,
                [&](const auto& aItem) { return aNow >= aItem.second.mExpires; });
  std::erase_if(mFailedConnects, [&](const auto& aItem) {
    return aNow - aItem.second >= mOptions.mLossWindow;
  });
  for (auto it = mExchanges.begin(); it != mExchanges.end();) {
    const auto current = it++;
    const auto& lost = current->second.mLost;
    if (lost && aNow - *lost >= mOptions.mLossWindow) {
      Erase(current);
    }
  }
}

/// A crash: a connection failed within the loss window around the losses, and no exchange
/// with the upstream still runs.
std::vector<CrashFact>
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
    if (!exchange.mLost) {
      return {};
    }
    if (aNow - *exchange.mLost < mOptions.mLossWindow) {
      lost.push_back(id);
    }
  }
  std::map<RequestFingerprint, CrashFact> facts;
  for (const auto id : lost) {
    const auto found = mExchanges.find(id);
    auto fact = AddCrash(found->second, aNow);
    facts.insert_or_assign(fact.mFingerprint, std::move(fact));
    Erase(found);
  }
  std::vector<CrashFact> result;
  for (auto& [fingerprint, fact] : facts) {
    result.push_back(std::move(fact));
  }
  return result;
}

CrashFact
CrashTracker::AddCrash(const Exchange& aExchange, TimePoint aNow)
{
  auto& finding = Suspect(aExchange.mFingerprint, aNow);
  finding.mHoldUntil = aNow + mOptions.mHold;
  finding.mOwn.insert(aExchange.mUpstream);
  finding.mShards.insert(aExchange.mShard);
  AddIncident(finding.mIncidents, finding.mOwn);
  if (aExchange.mUnderSuspicion && !finding.mQuarantined) {
    finding.mQuarantined = true;
    finding.mExpires = aNow + mOptions.mQuarantine;
  }
  return CrashFact{ aExchange.mFingerprint, finding.mQuarantined, finding.mOwn,
                    finding.mShards, finding.mExpires - aNow };
}

CrashTracker::Finding&
CrashTracker::Suspect(RequestFingerprint aFingerprint, TimePoint aNow)
{
  auto& finding = mFindings[aFingerprint];
  if (aNow >= finding.mExpires) {
    finding = Finding{};
  }
  if (!finding.mQuarantined) {
    finding.mExpires = std::max(finding.mExpires, aNow + mOptions.mSuspicion);
  }
  return finding;
}

void
CrashTracker::Complete(const Exchange& aExchange)
{
  const auto found = mFindings.find(aExchange.mFingerprint);
  if (found == mFindings.end() || found->second.mQuarantined ||
      found->second.mIncidents.size() > 1) {
    return;
  }
  found->second.mShards.erase(aExchange.mShard);
  if (found->second.mShards.empty()) {
    mFindings.erase(found);
  }
}

void
CrashTracker::Erase(std::map<std::uint64_t, Exchange>::iterator aExchange)
{
  const auto count = mInFlight.find(aExchange->second.mFingerprint);
  if (--count->second == 0) {
    mInFlight.erase(count);
  }
  mLost.erase(aExchange->first);
  mExchanges.erase(aExchange);
}

} // namespace wasabispar
