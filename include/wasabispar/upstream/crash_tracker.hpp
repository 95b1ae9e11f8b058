/// @file
/// @brief Finds requests that crash upstreams and limits what they can take down.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/upstream/exchange_status.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace wasabispar {

/// @brief What may be done with a request now.
enum class CrashDecision : std::uint8_t
{
  /// Nothing is known against it.
  Normal,
  /// It is suspect: one sub-request at a time, on an idle upstream, no hedge, no retry.
  RunAlone,
  /// It is suspect and must not be sent now: it is in flight, or the hold time after a
  /// crash is not over.
  Hold,
  /// It is refused, `not-run`.
  Quarantined,
};

/// @brief `normal`, `run-alone`, `hold` or `quarantined`.
std::string_view
ToText(CrashDecision aDecision);

/// @brief A finding to publish to the other VMs of the data centre.
struct CrashReport
{
  RequestFingerprint mFingerprint;
  /// False: suspect after one crash. True: quarantined.
  bool mQuarantined = false;
  /// The upstreams that crashed with the request in flight.
  std::set<UpstreamId> mUpstreams;
  /// The shards that were asked for on them.
  std::set<ShardId> mShards;
  /// How long the fact holds.
  Duration mTimeToLive{};
};

/// @brief Settings of CrashTracker.
struct CrashTrackerOptions
{
  Duration mQuarantineTime = std::chrono::minutes(10);
  /// Suspicion without another crash ends after this time.
  Duration mSuspicionLifetime = std::chrono::minutes(10);
  /// A suspect is not sent for this time after a crash, so that crashes seen by other
  /// VMs become known first. Must exceed the delay of facts.
  Duration mReportWaitTime = std::chrono::seconds(3);
  /// A failed connection this long after the loss still counts as a crash.
  Duration mLossWindow = std::chrono::seconds(2);
};

/// @brief Crash suspicion of one VM. Thread-safe (one lock).
///
/// An upstream crash is the loss of all its exchanges, followed by a failed new
/// connection. All requests that were in flight are suspect. Exchanges that were sent
/// before the suspicion was known belong to one incident, even if several upstreams went
/// down, so that the failure of a rack does not quarantine the queries that fan out over
/// it. Incidents that other VMs report are the same one if they name a common upstream.
/// A crash of an exchange that was sent under suspicion, or a second incident,
/// quarantines the request. Incidents are compared when the hold time ends, when the
/// reports are complete.
///
/// Bound on the upstreams that one request takes down in a quarantine period, if it
/// crashes each upstream that runs it. Let V be the number of VMs and W the number of
/// upstreams that a VM has it in flight on before the first crash is known there (1 for a
/// request to one shard without a hedge, else the width of the fan-out and its hedges):
/// - each VM alone, whatever the facts do: W + 1;
/// - all VMs, if facts arrive within the hold time: V * W + 1. A VM sends a second time
///   only after its hold time and if it then knows of one incident. Of two VMs with
///   separate incidents the later one knows the other's by then. So only VMs that share
///   one incident send again: k of them lost at most k * W - (k - 1) upstreams and lose
///   at most k more.
///
/// A request that completes on all the shards that it was suspected on is cleared.
class CrashTracker
{
public:
  explicit CrashTracker(CrashTrackerOptions aOptions = {});

  /// @brief What may be done with the request now.
  CrashDecision Decide(RequestFingerprint aFingerprint, TimePoint aNow) const;
  /// @brief Judges and, when the request may run, records the exchange in one step, so
  /// that two workers cannot both start a suspect. @p aExchange is unique in the process.
  CrashDecision TryStart(std::uint64_t aExchange, const UpstreamId& aUpstream,
                         RequestFingerprint aFingerprint, const ShardId& aShard,
                         TimePoint aNow);
  /// @brief The exchange ended. Only an end that shows that the request ran to completion
  /// (200 or 500) clears it; a lost connection is kept as a possible crash.
  /// Until a new connection works or fails, at most for the loss window, the request is
  /// held. Returns the facts to publish, as the events below do.
  std::vector<CrashReport> OnEnded(std::uint64_t aExchange, ExchangeStatus aStatus,
                                   TimePoint aNow);
  /// @brief A new connection to the upstream failed. After a loss the caller tries one at
  /// once.
  std::vector<CrashReport> OnConnectFailed(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief A new connection to the upstream worked: earlier losses were no crash.
  void OnConnected(const UpstreamId& aUpstream);
  /// @brief Another VM published a fact. An own fact that comes back does no harm.
  void OnCrashReport(const CrashReport& aReport, TimePoint aNow);
  /// @brief Fingerprints in quarantine with the time of its end.
  std::map<RequestFingerprint, TimePoint> Quarantined(TimePoint aNow) const;
  /// @brief Removes what has expired; call about once a second.
  void Expire(TimePoint aNow);

private:
  struct Exchange
  {
    UpstreamId mUpstream;
    RequestFingerprint mFingerprint;
    ShardId mShard;
    /// Sent when the request was already suspect.
    bool mUnderSuspicion = false;
    /// Set when its connection was lost.
    std::optional<TimePoint> mLost;
  };
  struct SuspectState
  {
    bool mQuarantined = false;
    /// Upstreams of the incident that this VM saw; empty if it only heard of others.
    std::set<UpstreamId> mObservedUpstreams;
    /// Upstreams of each incident, own and reported; disjoint.
    std::vector<std::set<UpstreamId>> mIncidents;
    /// Shards on which the request has not completed since the crash.
    std::set<ShardId> mShards;
    TimePoint mReportWaitUntil;
    TimePoint mExpires;
  };

  const SuspectState* FindSuspectState(RequestFingerprint aFingerprint,
                                       TimePoint aNow) const;
  bool IsQuarantined(const SuspectState& aState, TimePoint aNow) const;
  CrashDecision DecideLocked(RequestFingerprint aFingerprint, TimePoint aNow) const;
  std::vector<CrashReport> CheckCrash(UpstreamId aUpstream, TimePoint aNow);
  CrashReport AddCrash(const Exchange& aExchange, TimePoint aNow);
  SuspectState& AddSuspicion(RequestFingerprint aFingerprint, TimePoint aNow);
  void RecordCompletion(const Exchange& aExchange);
  void Erase(std::map<std::uint64_t, Exchange>::iterator aExchange);

  CrashTrackerOptions mOptions;
  /// Guards all members below.
  mutable std::mutex mMutex;
  std::map<std::uint64_t, Exchange> mExchanges;
  /// The exchanges in mExchanges whose connection was lost.
  std::set<std::uint64_t> mLost;
  /// Number of exchanges in mExchanges for each fingerprint, lost ones included.
  std::map<RequestFingerprint, std::uint32_t> mInFlight;
  std::map<RequestFingerprint, SuspectState> mSuspectStates;
  /// Time of the last failed connection, by upstream.
  std::map<UpstreamId, TimePoint> mFailedConnects;
};

} // namespace wasabispar
