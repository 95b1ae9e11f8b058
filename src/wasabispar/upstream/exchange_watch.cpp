/// @file
/// @brief Detection of unresponsive connections.
#include "wasabispar/upstream/exchange_watch.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

ExchangeWatch::ExchangeWatch(ExchangeWatchOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
ExchangeWatch::OnStarted(const WatchedExchange& aExchange, TimePoint aNow)
{
  const auto overdueAt = aNow + mOptions.mSuspicionTime(aExchange.mUpstream);
  mEntries[aExchange.mExchange] = Entry{ aExchange, overdueAt };
}

void
ExchangeWatch::OnEnded(std::uint64_t aExchange)
{
  mEntries.erase(aExchange);
}

std::vector<WatchAction>
ExchangeWatch::OnSuspected(const UpstreamId& aUpstream, TimePoint aNow)
{
  std::vector<WatchAction> actions;
  auto& probe = mProbes[aUpstream];
  probe.mSuspect = true;
  if (!probe.mTimeoutAt && !probe.mNextProbeAt) {
    probe.mNextProbeAt = aNow;
  }
  return actions;
}

std::vector<WatchAction>
ExchangeWatch::OnProbeEnded(const UpstreamId& aUpstream, bool aAnswered, TimePoint aNow)
{
  std::vector<WatchAction> actions;
  const auto found = mProbes.find(aUpstream);
  if (found == mProbes.end()) {
    return actions;
  }
  if (!aAnswered) {
    // After its time-out the probe already counts as failed.
    if (found->second.mTimeoutAt) {
      FailProbe(aUpstream, aNow, actions);
    }
    return actions;
  }
  const auto probe = std::move(found->second);
  mProbes.erase(found);
  if (probe.mSuspect) {
    actions.emplace_back(ClearSuspect{ aUpstream });
  }
  for (const auto exchange : probe.mOverdue) {
    const auto entry = mEntries.find(exchange);
    if (entry == mEntries.end()) {
      continue; // ended in the meantime
    }
    const auto& watched = entry->second.mExchange;
    actions.emplace_back(CloseConnection{ watched, watched.mIdempotent });
    mEntries.erase(entry);
  }
  return actions;
}

std::vector<WatchAction>
ExchangeWatch::OnTimer(TimePoint aNow)
{
  std::vector<WatchAction> actions;
  std::vector<UpstreamId> failed;
  std::set<UpstreamId> toProbe;
  for (const auto& [upstream, probe] : mProbes) {
    if (probe.mTimeoutAt && *probe.mTimeoutAt <= aNow) {
      failed.push_back(upstream);
    } else if (probe.mNextProbeAt && *probe.mNextProbeAt <= aNow) {
      toProbe.insert(upstream);
    }
  }
  for (const auto& upstream : failed) {
    FailProbe(upstream, aNow, actions);
  }
  for (const auto& [id, entry] : mEntries) {
    const auto& upstream = entry.mExchange.mUpstream;
    if (entry.mOverdueAt <= aNow && !mProbes.contains(upstream)) {
      toProbe.insert(upstream);
    }
  }
  for (const auto& upstream : toProbe) {
    StartProbe(upstream, aNow, actions);
  }
  return actions;
}

std::optional<TimePoint>
ExchangeWatch::NextDue() const
{
  std::optional<TimePoint> next;
  const auto consider = [&](const std::optional<TimePoint>& aAt) {
    if (aAt && (!next || *aAt < *next)) {
      next = aAt;
    }
  };
  for (const auto& [upstream, probe] : mProbes) {
    consider(probe.mTimeoutAt);
    consider(probe.mNextProbeAt);
  }
  for (const auto& [id, entry] : mEntries) {
    if (!mProbes.contains(entry.mExchange.mUpstream)) {
      consider(entry.mOverdueAt);
    }
  }
  return next;
}

void
ExchangeWatch::StartProbe(const UpstreamId& aUpstream, TimePoint aNow,
                          std::vector<WatchAction>& aActions)
{
  auto& probe = mProbes[aUpstream];
  probe.mTimeoutAt = aNow + mOptions.mProbeTimeout;
  probe.mNextProbeAt.reset();
  probe.mOverdue.clear();
  for (const auto& [id, entry] : mEntries) {
    if (entry.mExchange.mUpstream == aUpstream && entry.mOverdueAt <= aNow) {
      probe.mOverdue.insert(id);
    }
  }
  aActions.emplace_back(ProbeUpstream{ aUpstream });
}

void
ExchangeWatch::FailProbe(const UpstreamId& aUpstream, TimePoint aNow,
                         std::vector<WatchAction>& aActions)
{
  auto& probe = mProbes[aUpstream];
  probe.mTimeoutAt.reset();
  probe.mNextProbeAt = aNow + mOptions.mProbeInterval;
  if (!std::exchange(probe.mSuspect, true)) {
    aActions.emplace_back(MarkSuspect{ aUpstream });
  }
}

} // namespace wasabispar
