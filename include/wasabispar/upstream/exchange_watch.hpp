/// @file
/// @brief Finds connections that hang although new connections to the same upstream work.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace wasabispar {

/// @brief One exchange on one connection of an upstream.
struct WatchedExchange
{
  /// Unique in the process.
  std::uint64_t mExchange = 0;
  /// Unique in the process.
  std::uint64_t mConnection = 0;
  UpstreamId mUpstream;
  /// Only idempotent work may be sent again on another connection.
  bool mIdempotent = true;
};

/// @brief Open a new connection to the upstream and ask for its state.
struct ProbeUpstream
{
  UpstreamId mUpstream;
};

/// @brief The connection is dead: close it and end its exchange as `connection-lost`.
struct CloseConnection
{
  WatchedExchange mExchange;
  /// Whether the work of the exchange may be sent again.
  bool mIsRetryable = false;
};

/// @brief The upstream answers neither on old nor on new connections.
struct MarkSuspect
{
  UpstreamId mUpstream;
};

/// @brief The upstream answers again.
struct ClearSuspect
{
  UpstreamId mUpstream;
};

using WatchAction =
  std::variant<ProbeUpstream, CloseConnection, MarkSuspect, ClearSuspect>;

/// @brief Settings of ExchangeWatch.
struct ExchangeWatchOptions
{
  /// The time after which an exchange with the upstream is overdue. Called without a
  /// lock; should be well above the p99 of the upstream.
  std::function<Duration(const UpstreamId&)> mSuspicionTime = [](const UpstreamId&) {
    return std::chrono::milliseconds(500);
  };
  /// A probe without an answer after this time has failed.
  Duration mProbeTimeout = std::chrono::milliseconds(300);
  /// Pause between probes of a suspect upstream.
  Duration mProbeInterval = std::chrono::milliseconds(500);
};

/// @brief The detection rule for unresponsive connections. When an exchange is overdue
/// by the suspicion time, it asks for one probe on a new connection. If the probe
/// answers, the connections whose exchanges were overdue when the probe started are dead;
/// if it fails, the upstream is suspect and is probed until it answers. Not thread-safe;
/// one for each worker.
class ExchangeWatch
{
public:
  explicit ExchangeWatch(ExchangeWatchOptions aOptions = {});

  void OnStarted(const WatchedExchange& aExchange, TimePoint aNow);
  /// @brief The exchange ended in any way. Unknown exchanges are ignored.
  void OnEnded(std::uint64_t aExchange);
  /// @brief The upstream became suspect for another reason, for example a failed
  /// connection; it is probed until it answers.
  std::vector<WatchAction> OnSuspected(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief The probe asked for by ProbeUpstream ended. An answer after the time-out of
  /// the probe still counts.
  std::vector<WatchAction> OnProbeEnded(const UpstreamId& aUpstream, bool aAnswered,
                                        TimePoint aNow);
  /// @brief Finds overdue exchanges and probes. Call at NextDue() or periodically.
  std::vector<WatchAction> OnTimer(TimePoint aNow);
  /// @brief When OnTimer() has something to do; empty when nothing is watched.
  std::optional<TimePoint> NextDue() const;

private:
  struct Entry
  {
    WatchedExchange mExchange;
    TimePoint mOverdueAt;
  };
  struct Probe
  {
    /// Set while a probe runs.
    std::optional<TimePoint> mTimeoutAt;
    /// Set while the upstream is suspect and no probe runs.
    std::optional<TimePoint> mNextAt;
    bool mSuspect = false;
    /// The exchanges that were overdue when the probe started.
    std::set<std::uint64_t> mOverdue;
  };

  void StartProbe(const UpstreamId& aUpstream, TimePoint aNow,
                  std::vector<WatchAction>& aActions);
  void FailProbe(const UpstreamId& aUpstream, TimePoint aNow,
                 std::vector<WatchAction>& aActions);

  ExchangeWatchOptions mOptions;
  std::map<std::uint64_t, Entry> mEntries;
  /// Upstreams that are being probed or are suspect.
  std::map<UpstreamId, Probe> mProbes;
};

} // namespace wasabispar
