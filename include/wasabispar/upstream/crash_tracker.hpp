/// @file
/// @brief Detects requests that crash upstreams and bounds the number of upstreams that
/// such a request can crash.
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

/// @brief Whether and how a request may be sent now.
enum class CrashDecision : std::uint8_t
{
  /// The request is not suspected of crashing upstreams.
  Normal,
  /// The request is suspect: one sub-request at a time, on an idle upstream, without
  /// hedges and retries.
  RunAlone,
  /// The request must not be sent now: it is suspect and in flight, the wait for reports
  /// after a crash has not ended, or a connection on which the request was in flight was
  /// lost and the cause is not yet clear.
  Hold,
  /// The request is refused with `not-run`.
  Quarantined,
};

/// @brief The text of the decision: `normal`, `run-alone`, `hold` or `quarantined`.
std::string_view
ToText(CrashDecision aDecision);

/// @brief A suspected or quarantined request, published to the other VMs of the data
/// centre.
struct CrashReport
{
  RequestFingerprint mFingerprint;
  /// False: suspect after one crash. True: quarantined.
  bool mQuarantined = false;
  /// The upstreams that crashed with the request in flight.
  std::set<UpstreamId> mUpstreams;
  /// The shards that the request searched on these upstreams.
  std::set<ShardId> mShards;
  /// Remaining time of the suspicion or quarantine.
  Duration mTimeToLive{};
};

/// @brief Settings of CrashTracker.
struct CrashTrackerOptions
{
  /// Duration of a quarantine.
  Duration mQuarantineTime = std::chrono::minutes(10);
  /// Suspicion ends after this time without another crash.
  Duration mSuspicionLifetime = std::chrono::minutes(10);
  /// A suspect request is not sent for this time after a crash, so that the reports of
  /// other VMs about their crashes arrive first. Must exceed the delay of the gossip that
  /// carries the reports.
  Duration mReportWaitTime = std::chrono::seconds(3);
  /// A lost connection and a failed connection attempt at most this far apart count as a
  /// crash.
  Duration mLossWindow = std::chrono::seconds(2);
};

/// @brief Tracks on one VM which requests are suspected of crashing upstreams.
/// Thread-safe (one lock).
///
/// An upstream counts as crashed when all its exchanges are lost and a new connection to
/// it fails. All requests that were in flight on it become suspect. Exchanges that were
/// sent before the suspicion was recorded belong to one incident, even if several
/// upstreams crash, so that the failure of a rack does not quarantine the queries that
/// fan out over it. An incident that another VM reports is merged with the incidents that
/// have an upstream in common with it. A request is quarantined when an exchange that was
/// sent under suspicion crashes, or when there is a second incident. Incidents are
/// counted when the wait for reports has ended, because only then all reports of other
/// VMs have arrived.
///
/// Bound on the number of upstreams that one request crashes in a quarantine period, if
/// it crashes each upstream that runs it. Let V be the number of VMs and W the number of
/// upstreams on which a VM has the request in flight before the VM records the first
/// crash (1 for a request to one shard without a hedge, else the width of the fan-out and
/// its hedges):
/// - W + 1 for each VM, even if no report arrives;
/// - V * W + 1 for all VMs, if reports arrive within the report wait time. A VM sends the
///   request again only after its wait and only if it then holds a single incident. Of
///   two VMs with separate incidents, the later one has received the report of the other
///   by the end of its wait. So only VMs that share one incident send again: k such VMs
///   lost at most k * W - (k - 1) upstreams and lose at most k more.
///
/// The suspicion is cleared when the request has completed on all shards on which it was
/// in flight during a crash.
class CrashTracker
{
public:
  explicit CrashTracker(CrashTrackerOptions aOptions = {});

  /// @brief Whether and how the request may be sent now.
  CrashDecision Decide(RequestFingerprint aFingerprint, TimePoint aNow) const;
  /// @brief Decides and, if the request may run, records the exchange in one step, so
  /// that two workers cannot both start a suspect request. @p aExchange is unique in the
  /// process.
  CrashDecision TryStart(std::uint64_t aExchange, const UpstreamId& aUpstream,
                         RequestFingerprint aFingerprint, const ShardId& aShard,
                         TimePoint aNow);
  /// @brief Records the end of an exchange. The statuses Ok and Failed show that the
  /// request ran to completion, and clear its suspicion on the shard. ConnectionLost is
  /// recorded as a possible crash: the request is held until a new connection succeeds or
  /// fails, at most for the loss window. Unknown exchanges are ignored.
  /// @return the reports to publish to the other VMs.
  std::vector<CrashReport> OnEnded(std::uint64_t aExchange, ExchangeStatus aStatus,
                                   TimePoint aNow);
  /// @brief Records that a new connection to the upstream failed. After a lost
  /// connection, a new one must be tried at once.
  /// @return the reports to publish to the other VMs.
  std::vector<CrashReport> OnConnectFailed(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief Records that a new connection to the upstream succeeded, so its earlier lost
  /// connections were no crash.
  void OnConnected(const UpstreamId& aUpstream);
  /// @brief Merges a report that another VM published. A report of this VM that gossip
  /// returns is harmless.
  void OnCrashReport(const CrashReport& aReport, TimePoint aNow);
  /// @brief The quarantined fingerprints, each with the end of its quarantine.
  std::map<RequestFingerprint, TimePoint> Quarantined(TimePoint aNow) const;
  /// @brief Removes expired state. Call about once a second.
  void Expire(TimePoint aNow);

private:
  struct Exchange
  {
    UpstreamId mUpstream;
    RequestFingerprint mFingerprint;
    ShardId mShard;
    /// The request was already suspect when the exchange started.
    bool mUnderSuspicion = false;
    /// When the connection of the exchange was lost; empty if it was not.
    std::optional<TimePoint> mLostAt;
  };
  /// What is recorded about a suspect or quarantined request.
  struct SuspectState
  {
    bool mQuarantined = false;
    /// Upstreams of the incident that this VM observed; empty if only other VMs reported
    /// crashes.
    std::set<UpstreamId> mObservedUpstreams;
    /// Upstreams of each incident, observed or reported. The sets are disjoint.
    std::vector<std::set<UpstreamId>> mIncidents;
    /// Shards on which the request has not completed since the crash.
    std::set<ShardId> mShards;
    /// End of the wait for the reports of other VMs.
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
  std::set<std::uint64_t> mLostExchanges;
  /// Number of exchanges in mExchanges for each fingerprint, including lost ones.
  std::map<RequestFingerprint, std::uint32_t> mInFlight;
  std::map<RequestFingerprint, SuspectState> mSuspectStates;
  /// Time of the last failed connection attempt, by upstream.
  std::map<UpstreamId, TimePoint> mFailedConnects;
};

} // namespace wasabispar
