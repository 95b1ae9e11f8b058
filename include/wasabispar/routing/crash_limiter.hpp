/// @file
/// @brief Bounds how many upstreams a request can crash that crashes each upstream which
/// begins to run it and that its caller sends again and again.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/routing/crash_series.hpp"

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

/// @brief What is sent to the upstreams of one service for a request.
struct RequestPart
{
  RequestFingerprint mRequest;
  ServiceFingerprint mService;

  bool operator==(const RequestPart&) const = default;
};

/// @brief A part of a request that an upstream ran to its end.
struct RequestCompletion
{
  ServiceFingerprint mService;
  TimePoint mAt;

  bool operator==(const RequestCompletion&) const = default;
};

/// @brief One run of a VM's process, which reports the crashes that it observed. Those of
/// an earlier run still count.
struct CrashReporter
{
  VmId mVm;
  /// 0 when it is unknown.
  Incarnation mIncarnation;

  auto operator<=>(const CrashReporter&) const = default;
};

/// @brief What one process observed of a request that may crash upstreams. Replaces what
/// it reported before.
struct RequestCrashReport
{
  RequestFingerprint mFingerprint;
  /// The crashes since the last completion; empty once the request is no suspect any
  /// more.
  RequestCrashes mCrashes;
  /// The last completion after a crash; empty if there was none.
  std::optional<RequestCompletion> mCompletion;

  bool operator==(const RequestCrashReport&) const = default;
};

/// @brief Settings of CrashLimiter.
struct CrashLimiterOptions
{
  /// Number of successive crashes after which a request, or a part of it, is blocked.
  std::uint32_t mMaxCrashes = 3;
  /// How long the crashes of a request are remembered after the last one.
  Duration mMemory = std::chrono::minutes(10);
  /// A lost exchange and a failed attempt to connect at most this far apart are a crash.
  Duration mLossWindow = std::chrono::seconds(2);
  /// A connection opened sooner after a loss shows nothing: a process that ends may close
  /// its listener after its connections.
  Duration mListenerCloseTime = std::chrono::milliseconds(50);
  /// Time from a crash to its report, unless it followed another one. A request that was
  /// running on an upstream which crashed for another reason completes elsewhere in this
  /// time.
  Duration mReportDelay = std::chrono::seconds(1);
  /// Time from the last loss until a request on probation is tried: the retries of the
  /// attempt that was lost would meet the same failure.
  Duration mTryDelay = std::chrono::milliseconds(100);
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
  /// The other VMs must learn of the crash at once, see CrashLimiter::Tick().
  bool mIsReportUrgent = false;
};

/// @brief Called with each crash that the VM observes.
using UpstreamCrashFn = std::function<void(const UpstreamCrash&)>;

/// @brief Whether this VM may try a request again that is on probation; see CrashLimiter.
/// True at CrashLimiterOptions::mMaxCrashes VMs of the fleet at most, so that the copies
/// of all VMs together stay within the limit.
using MayTryFn = std::function<bool(RequestFingerprint)>;

/// @brief Tracks on one VM which requests crashed upstreams. Not thread-safe.
///
/// An upstream has crashed when it closed the connection of an exchange without an answer
/// and a new connection to it fails. Each request that ran on it is a suspect. Crashes at
/// all VMs count. mMaxCrashes successive ones, see CountSuccessiveCrashes(), with
/// upstreams of one service block the part of the request for this service until it
/// completes; as many with upstreams of several services, without a completion of any
/// part in between, block all parts. A suspect that is not blocked is sent only as often
/// at a time as upstreams may still crash. Requests are identified by a fingerprint,
/// because each attempt of a caller has a request id of its own.
///
/// mMaxCrashes crashes of several services in one moment, without a completion, may have
/// one common cause other than the request. Such a request is on probation: VMs that may
/// try it send one copy of one part at a time. If that one crashes its upstream, all
/// parts are blocked.
class CrashLimiter
{
public:
  /// Identifies an exchange; unique in the process.
  using ExchangeId = std::uint64_t;

  /// @param aOnCrash may be empty.
  /// @param aMayTry if empty, this VM may try each request.
  explicit CrashLimiter(CrashLimiterOptions aOptions = {}, UpstreamCrashFn aOnCrash = {},
                        MayTryFn aMayTry = {});

  /// @brief Whether one more copy of the part may be sent now.
  bool MaySend(const RequestPart& aPart, TimePoint aNow) const;
  /// @brief When a blocked part may be sent again; empty if it is not blocked.
  std::optional<TimePoint> BlockedUntil(const RequestPart& aPart, TimePoint aNow) const;
  /// @brief Number of successive crashes with the request: of all its parts, or of the
  /// part that has most.
  std::uint32_t SuccessiveCrashes(RequestFingerprint aRequest, TimePoint aNow) const;

  /// @brief A copy of the part is sent to the upstream.
  void OnSent(ExchangeId aExchange, const RequestPart& aPart,
              const UpstreamIncarnation& aUpstream, TimePoint aNow);
  /// @brief The upstream ran the part to its end: the part is no suspect any more, nor
  /// are all parts together.
  void OnCompleted(ExchangeId aExchange, TimePoint aNow);
  /// @brief The upstream closed the connection before the end of its answer. A new
  /// connection must be tried mListenerCloseTime later.
  void OnLost(ExchangeId aExchange, TimePoint aNow);
  /// @brief The exchange ended in another way, which says nothing about a crash.
  void OnEnded(ExchangeId aExchange);
  /// @brief A new connection was opened, so earlier losses were no crash.
  void OnConnected(const UpstreamIncarnation& aUpstream, TimePoint aNow);
  /// @brief A new connection could not be opened.
  void OnConnectFailed(const UpstreamIncarnation& aUpstream, TimePoint aNow);

  /// @brief Replaces what @p aReporter reported about the request before.
  void OnReport(const CrashReporter& aReporter, const RequestCrashReport& aReport,
                TimePoint aNow);
  /// @brief Forgets what has expired and returns what the other VMs must learn. Call it
  /// several times a second.
  std::vector<RequestCrashReport> Tick(TimePoint aNow);

private:
  struct Exchange
  {
    RequestPart mPart;
    UpstreamIncarnation mUpstream;
    TimePoint mSentAt;
    /// When the upstream closed the connection; empty while the exchange runs.
    std::optional<TimePoint> mLostAt;
  };
  /// A request with exchanges in mExchanges.
  struct RunningRequest
  {
    std::size_t mExchanges = 0;
    /// Last completion of a part since the first of the exchanges was sent.
    std::optional<TimePoint> mCompletedAt;
  };
  /// What crashes of upstreams of several services mean for all parts of a request. In
  /// ascending order of severity.
  enum class Restriction : std::uint8_t
  {
    None,
    /// One copy of one part at a time is tried.
    Probation,
    Blocked,
  };
  /// A request with which upstreams crashed.
  struct Suspect
  {
    /// Crashes that this process observed, and those that others reported.
    RequestCrashes mObserved;
    std::map<CrashReporter, RequestCrashes> mReported;
    /// Last completion of a part at any VM. Crashes with copies that were sent before do
    /// not count for all parts together.
    std::optional<TimePoint> mCompletedAt;
    /// Last completion of a part at this VM after a crash.
    std::optional<RequestCompletion> mOwnCompletion;
    TimePoint mLastCrashAt{};
    /// Time of the first change that the other VMs were not told; empty if there is none.
    std::optional<TimePoint> mChangedAt;
    bool mWasPublished = false;
    /// What the other VMs know, or are being told at once.
    Restriction mPublished = Restriction::None;
  };
  using ExchangeMap = std::map<ExchangeId, Exchange>;

  static RequestCrashes AllCrashes(const Suspect& aSuspect);
  /// Successive crashes with upstreams of the service.
  static std::uint32_t PartCrashes(const Suspect& aSuspect, ServiceFingerprint aService);
  /// Successive crashes of all parts together; 0 if only one service had crashes.
  static std::uint32_t JointCrashes(const Suspect& aSuspect);
  /// Crashes with upstreams of several services since the last completion of a part;
  /// empty if only one service had crashes.
  static RequestCrashes UncompletedCrashes(const Suspect& aSuspect);
  Restriction RestrictionOf(const Suspect& aSuspect) const;
  /// Whether this VM may try a request that is on probation at some time.
  bool MayTry(RequestFingerprint aRequest) const;
  /// Whether enough time has passed for it.
  bool IsTryDue(const Suspect& aSuspect, TimePoint aNow) const;
  /// Number of copies of all parts that run, or were lost without it being clear whether
  /// the upstream crashed.
  std::size_t RunningCopies(RequestFingerprint aRequest) const;
  static std::uint32_t MostCrashes(const Suspect& aSuspect);
  static void EraseCrashes(RequestCrashes& aCrashes, const RequestCompletion& aBefore);
  /// A part of a suspect completed at this VM.
  static void OnSuspectCompleted(Suspect& aSuspect, const RequestCompletion& aCompletion);
  /// A part of a suspect completed at another VM.
  static void OnReportedCompletion(Suspect& aSuspect,
                                   const RequestCompletion& aCompletion, TimePoint aNow);
  /// Copies of the part that run, or were lost without it being clear whether the
  /// upstream crashed.
  std::size_t RunningCopies(const RequestPart& aPart) const;
  const Suspect* FindSuspect(RequestFingerprint aRequest, TimePoint aNow) const;
  Suspect& MakeSuspect(RequestFingerprint aRequest, TimePoint aNow);
  void AddCrash(ExchangeMap::const_iterator aExchange, TimePoint aNow);
  void Erase(ExchangeMap::iterator aExchange);
  bool IsReportDue(const Suspect& aSuspect, TimePoint aNow) const;
  void Expire(TimePoint aNow);

  CrashLimiterOptions mOptions;
  UpstreamCrashFn mOnCrash;
  MayTryFn mMayTry;
  /// Exchanges that run, or were lost without it being clear whether the upstream
  /// crashed.
  ExchangeMap mExchanges;
  std::map<RequestFingerprint, RunningRequest> mRunning;
  std::map<RequestFingerprint, Suspect> mSuspects;
  /// Time of the last failed attempt to connect, by upstream.
  std::map<UpstreamIncarnation, TimePoint> mFailedConnects;
};

} // namespace wasabispar
