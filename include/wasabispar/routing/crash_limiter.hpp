/// @file
/// @brief Bounds how many upstreams a request can crash that crashes each upstream which
/// begins to run it and that its caller sends again and again.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace wasabispar {

/// @brief One run of an upstream's process.
struct UpstreamIncarnation
{
  UpstreamId mId;
  /// Unix time in milliseconds at which the upstream started; 0 when it is unknown.
  std::uint64_t mStartedUnixMs = 0;

  auto operator<=>(const UpstreamIncarnation&) const = default;
};

/// @brief The crashes of upstreams with a request as one VM knows them.
struct RequestCrashes
{
  RequestFingerprint mFingerprint;
  /// Number of upstreams that crashed one after the other, each with a copy of the
  /// request that was sent when the crash before was seen. 0 once the request has
  /// completed at the VM, which clears its earlier crashes.
  std::uint32_t mSuccessiveCrashes = 0;

  bool operator==(const RequestCrashes&) const = default;
};

/// @brief Settings of CrashLimiter.
struct CrashLimiterOptions
{
  /// Number of successive crashes after which a request is blocked.
  std::uint32_t mMaxCrashes = 3;
  /// How long the crashes of a request are remembered after the last one.
  Duration mMemory = std::chrono::minutes(10);
  /// A lost exchange and a failed attempt to connect at most this far apart are a crash.
  Duration mLossWindow = std::chrono::seconds(2);
  /// A connection opened sooner after a loss shows nothing: a process that ends may close
  /// its listener after its connections.
  Duration mListenerCloseTime = std::chrono::milliseconds(50);
  /// Time from the first crash to its report. A request that was running on an upstream
  /// which crashed for another reason completes elsewhere in this time.
  Duration mReportDelay = std::chrono::seconds(1);
  /// Number of requests whose crashes are remembered.
  std::size_t mMaxRequests = 1000;
};

/// @brief An upstream that crashed while it ran a request.
struct UpstreamCrash
{
  RequestFingerprint mFingerprint;
  UpstreamIncarnation mUpstream;
  /// From the send of the request to the loss of its connection.
  Duration mRanFor{};
};

/// @brief Called with each crash that the VM observes.
using UpstreamCrashFn = std::function<void(const UpstreamCrash&)>;

/// @brief Tracks on one VM which requests crashed upstreams. Not thread-safe.
///
/// An upstream has crashed when it closed the connection of an exchange without an answer
/// and a new connection to it fails. Each request that ran on it is a suspect. A request
/// is blocked when, without a completion in between, mMaxCrashes upstreams crashed with
/// it in succession: each copy but the first was sent when the loss of the one before was
/// seen, or when another VM had reported it. Upstreams that fail together, while copies
/// of a frequent request run on each of them, are one crash in this sense. A suspect that
/// is not blocked is sent only as often at a time as upstreams may still crash, so that
/// hedges and concurrent copies do not exceed the limit. Requests are identified by a
/// fingerprint, because each attempt of a caller has a request id of its own.
class CrashLimiter
{
public:
  /// Identifies an exchange; unique in the process.
  using ExchangeId = std::uint64_t;

  /// @param aOnCrash may be empty.
  explicit CrashLimiter(CrashLimiterOptions aOptions = {}, UpstreamCrashFn aOnCrash = {});

  /// @brief Whether one more copy of the request may be sent now.
  bool MaySend(RequestFingerprint aRequest, TimePoint aNow) const;
  /// @brief When a blocked request may be sent again; empty if it is not blocked.
  std::optional<TimePoint> BlockedUntil(RequestFingerprint aRequest,
                                        TimePoint aNow) const;

  /// @brief A copy of the request is sent to the upstream.
  void OnSent(ExchangeId aExchange, RequestFingerprint aRequest,
              const UpstreamIncarnation& aUpstream, TimePoint aNow);
  /// @brief The upstream ran the request to its end: the request is no suspect any more.
  void OnCompleted(ExchangeId aExchange);
  /// @brief The upstream closed the connection before the end of its answer. A new
  /// connection must be tried mListenerCloseTime later.
  void OnLost(ExchangeId aExchange, TimePoint aNow);
  /// @brief The exchange ended in another way, which says nothing about a crash.
  void OnEnded(ExchangeId aExchange);
  /// @brief A new connection was opened, so earlier losses were no crash.
  void OnConnected(const UpstreamIncarnation& aUpstream, TimePoint aNow);
  /// @brief A new connection could not be opened.
  void OnConnectFailed(const UpstreamIncarnation& aUpstream, TimePoint aNow);

  /// @brief Replaces what @p aVm reported about the request before.
  void OnReport(const VmId& aVm, const RequestCrashes& aReport, TimePoint aNow);
  /// @brief Forgets what has expired and returns what the other VMs must learn. Call it
  /// several times a second.
  std::vector<RequestCrashes> Tick(TimePoint aNow);

private:
  struct Exchange
  {
    RequestFingerprint mRequest;
    UpstreamIncarnation mUpstream;
    TimePoint mSentAt;
    /// Successive crashes that were known when the copy was sent.
    std::uint32_t mKnownCrashes = 0;
    /// The last exchange of the request that had been lost then without it being clear
    /// whether the upstream had crashed; 0 if there was none.
    ExchangeId mPredecessor = 0;
    /// When the upstream closed the connection; empty while the exchange runs.
    std::optional<TimePoint> mLostAt;
  };
  /// A request with which upstreams crashed.
  struct Suspect
  {
    /// Successive crashes, the last of which this VM observed, and those that other VMs
    /// reported.
    std::uint32_t mObserved = 0;
    std::map<VmId, std::uint32_t> mReported;
    /// Successive crashes up to each exchange that ended in a crash.
    std::map<ExchangeId, std::uint32_t> mCrashedExchanges;
    TimePoint mFirstObservedAt{};
    TimePoint mLastCrashAt{};
    /// What the other VMs have learned from this one.
    std::uint32_t mPublished = 0;
  };
  using ExchangeMap = std::map<ExchangeId, Exchange>;

  static std::uint32_t CrashCount(const Suspect& aSuspect);
  ExchangeId LastUnclearLoss(RequestFingerprint aRequest) const;
  const Suspect* FindSuspect(RequestFingerprint aRequest, TimePoint aNow) const;
  Suspect& MakeSuspect(RequestFingerprint aRequest, TimePoint aNow);
  void AddCrash(ExchangeMap::const_iterator aExchange, TimePoint aNow);
  void Erase(ExchangeMap::iterator aExchange);
  bool IsReportDue(const Suspect& aSuspect, TimePoint aNow) const;
  void Expire(TimePoint aNow);

  CrashLimiterOptions mOptions;
  UpstreamCrashFn mOnCrash;
  /// Exchanges that run, or were lost without it being clear whether the upstream
  /// crashed.
  ExchangeMap mExchanges;
  /// Number of elements of mExchanges by request.
  std::map<RequestFingerprint, std::size_t> mExchangeCounts;
  std::map<RequestFingerprint, Suspect> mSuspects;
  /// Time of the last failed attempt to connect, by upstream.
  std::map<UpstreamIncarnation, TimePoint> mFailedConnects;
};

} // namespace wasabispar
