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
enum class CrashVerdict : std::uint8_t
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
ToText(CrashVerdict aVerdict);

/// @brief A finding to publish to the other VMs of the data centre.
struct CrashFact
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
  Duration mQuarantine = std::chrono::minutes(10);
  /// Suspicion without another crash ends after this time.
  Duration mSuspicion = std::chrono::minutes(10);
  /// A suspect is not sent for this time after a crash, so that crashes seen by other
  /// VMs become known first. Must exceed the delay of facts.
  Duration mHold = std::chrono::seconds(3);
  /// A failed connection this long after the loss still counts as a crash.
  Duration mLossWindow = std::chrono::seconds(2);
};

/// @brief Crash suspicion of one VM. Thread-safe (one lock).
///
/// An upstream crash is the loss of all its exchanges, followed by a failed new
/// connection. All requests that were in flight are suspect. Exchanges that were sent
/// before the suspicion was known count as one crash, even if several upstreams went
/// down, so that the failure of a rack does not quarantine the queries that fan out over
/// it. The second crash is one of an exchange that was sent under suspicion, or one that
/// another VM saw on other upstreams. It quarantines the request.
///
/// Bound on the upstreams that one request takes down in a quarantine period, if it
/// crashes each upstream that runs it. Let V be the number of VMs and W the number of
/// upstreams that a VM has it in flight on before the first crash is known there (1 for a
/// request to one shard without a hedge, else the width of the fan-out and its hedges):
/// - each VM alone, whatever the facts do: W + 1;
/// - all VMs, if facts arrive within the hold time: V * W + 1. After its own crash a VM
///   waits for the hold time. A VM sends a second time only if it then knows of no crash
///   on other upstreams, and of two VMs whose crashes were on different upstreams the
///   later one would know the other's. If all first crashes were on one upstream, each VM
///   sends once more: 1 + V.
///
/// A request that completes on all the shards that it was suspected on is cleared.
class CrashTracker
{
public:
  explicit CrashTracker(CrashTrackerOptions aOptions = {});

  /// @brief What may be done with the request now.
  CrashVerdict Judge(RequestFingerprint aFingerprint, TimePoint aNow) const;
  /// @brief Judges and, when the request may run, records the exchange in one step, so
  /// that two workers cannot both start a suspect. @p aExchange is unique in the process.
  CrashVerdict TryStart(std::uint64_t aExchange, const UpstreamId& aUpstream,
                        RequestFingerprint aFingerprint, const ShardId& aShard,
                        TimePoint aNow);
  /// @brief The exchange ended. Only an end that shows that the request ran to completion
  /// (200 or 500) clears it; a lost connection is kept as a possible crash.
  void OnEnded(std::uint64_t aExchange, ExchangeStatus aStatus, TimePoint aNow);
  /// @brief A new connection to the upstream failed. Returns the facts to publish.
  std::vector<CrashFact> OnConnectFailed(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief A new connection to the upstream worked: earlier losses were no crash.
  void OnConnected(const UpstreamId& aUpstream);
  /// @brief Another VM published a fact. Returns the facts that follow from it.
  std::vector<CrashFact> OnFact(const CrashFact& aFact, TimePoint aNow);
  /// @brief Fingerprints in quarantine with the time of its end.
  std::map<RequestFingerprint, TimePoint> Quarantined(TimePoint aNow) const;
  /// @brief Removes what has expired; call about once a minute.
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
  struct Finding
  {
    bool mQuarantined = false;
    std::set<UpstreamId> mUpstreams;
    /// Shards on which the request has not completed since the crash.
    std::set<ShardId> mShards;
    TimePoint mHoldUntil;
    TimePoint mExpires;
  };

  CrashVerdict JudgeLocked(RequestFingerprint aFingerprint, TimePoint aNow) const;
  bool HasRunning(const UpstreamId& aUpstream) const;
  CrashFact Quarantine(RequestFingerprint aFingerprint, Finding& aFinding,
                       TimePoint aNow);
  std::optional<CrashFact> AddCrash(const Exchange& aExchange, TimePoint aNow);

  CrashTrackerOptions mOptions;
  /// Guards all members below.
  mutable std::mutex mMutex;
  std::map<std::uint64_t, Exchange> mExchanges;
  /// Number of exchanges in mExchanges for each fingerprint.
  std::map<RequestFingerprint, std::uint32_t> mInFlight;
  std::map<RequestFingerprint, Finding> mFindings;
};

} // namespace wasabispar
