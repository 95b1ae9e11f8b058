/// @file
/// @brief Detects connections that no longer respond although new connections to the same
/// upstream do.
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

/// @brief One exchange on one connection to an upstream.
struct WatchedExchange
{
  /// Number of the exchange, unique in the process.
  std::uint64_t mExchange = 0;
  /// Number of the connection, unique in the process.
  std::uint64_t mConnection = 0;
  UpstreamId mUpstream;
  /// Only idempotent requests may be sent again on another connection.
  bool mIdempotent = true;
};

/// @brief Action: open a new connection to the upstream and request its state.
struct ProbeUpstream
{
  UpstreamId mUpstream;
};

/// @brief Action: close the unresponsive connection and end its exchange with
/// ExchangeStatus::ConnectionLost.
struct CloseConnection
{
  WatchedExchange mExchange;
  /// Whether the request of the exchange may be sent again.
  bool mIsRetryable = false;
};

/// @brief Action: mark the upstream suspect, because it answers neither on existing nor
/// on new connections.
struct MarkSuspect
{
  UpstreamId mUpstream;
};

/// @brief Action: the suspect upstream has answered a probe; end the suspicion.
struct ClearSuspect
{
  UpstreamId mUpstream;
};

/// @brief What the owner of an ExchangeWatch must do after an event.
using WatchAction =
  std::variant<ProbeUpstream, CloseConnection, MarkSuspect, ClearSuspect>;

/// @brief Settings of ExchangeWatch.
struct ExchangeWatchOptions
{
  /// Time after which an exchange with the upstream is overdue. Should be well above the
  /// p99 latency of the upstream. Called without a lock.
  std::function<Duration(const UpstreamId&)> mSuspicionTime = [](const UpstreamId&) {
    return std::chrono::milliseconds(500);
  };
  /// A probe fails if it is not answered within this time.
  Duration mProbeTimeout = std::chrono::milliseconds(300);
  /// Pause between probes of a suspect upstream.
  Duration mProbeInterval = std::chrono::milliseconds(500);
};

/// @brief Detects unresponsive connections. When an exchange has had no reply for the
/// suspicion time, the upstream is probed once on a new connection. If the probe is
/// answered, the connections whose exchanges were overdue when the probe started are
/// unresponsive; if the probe fails, the upstream is suspect and is probed until it
/// answers. Not thread-safe; each worker has its own instance.
class ExchangeWatch
{
public:
  explicit ExchangeWatch(ExchangeWatchOptions aOptions = {});

  /// @brief Starts to watch the exchange.
  void OnStarted(const WatchedExchange& aExchange, TimePoint aNow);
  /// @brief Stops watching the exchange, however it ended. Unknown exchanges are ignored.
  void OnEnded(std::uint64_t aExchange);
  /// @brief Probes the upstream until it answers, because it became suspect for another
  /// reason than an overdue exchange, for example a failed connection.
  std::vector<WatchAction> OnSuspected(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief Handles the end of the probe that a ProbeUpstream action started. An answer
  /// after the time-out of the probe still counts.
  std::vector<WatchAction> OnProbeEnded(const UpstreamId& aUpstream, bool aAnswered,
                                        TimePoint aNow);
  /// @brief Handles overdue exchanges and due probes. Call at NextDue() or periodically.
  std::vector<WatchAction> OnTimer(TimePoint aNow);
  /// @brief When OnTimer() must be called next; empty when nothing is watched.
  std::optional<TimePoint> NextDue() const;

private:
  struct Entry
  {
    WatchedExchange mExchange;
    TimePoint mOverdueAt;
  };
  struct Probe
  {
    /// When the running probe times out; empty when no probe runs.
    std::optional<TimePoint> mTimeoutAt;
    /// When the next probe starts; set while the upstream is suspect and no probe runs.
    std::optional<TimePoint> mNextProbeAt;
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
