/// @file
/// @brief One running request: its parts, their exchanges and its timers.
#pragma once

#include "wasabispar/gateway/gateway.hpp"
#include "wasabispar/routing/fan_out_state.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief A request with one part for each service that it asks. Used on the worker of
/// the gateway.
///
/// Invariants: Finish() acts once; no upstream is asked twice for the same part; at most
/// Route::mMaxAttempts upstreams may run a part; after a part of a request that is not
/// idempotent may have run, it is not sent again.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest>
{
public:
  ActiveRequest(Gateway& aGateway, CallerRequest aRequest, RouteTablePtr aTable,
                const Route& aRoute, std::vector<ServiceName> aServices,
                HttpRespondFn aRespond, TimePoint aNow);

  /// @brief Sends the parts, or refuses at once what cannot be served.
  void Start();
  /// @brief The caller closed its connection: running exchanges are aborted.
  void OnCallerDisconnected();
  /// @brief Ends the request because the process exits.
  void Abort();

private:
  using ExchangeId = ReplicaLoad::ExchangeId;

  /// An exchange that has not ended.
  struct Exchange
  {
    ExchangeId mId = 0;
    ReplicaPtr mReplica;
    TimePoint mSent;
    /// A connection has been found for it; until then no byte can have left.
    bool mHasStarted = false;
  };

  struct Part
  {
    ServicePool* mPool = nullptr;
    /// Upstreams that were asked.
    std::vector<UpstreamId> mTried;
    std::vector<Exchange> mOpenExchanges;
    /// Upstreams that may have run or may run the part.
    std::uint32_t mPossibleRunCount = 0;
    /// Set while the part waits in the queue of its service.
    std::optional<WaitQueue::EntryId> mQueueEntry;
    /// When to ask a second upstream; empty when none is to be asked.
    std::optional<TimePoint> mHedgeAt;
    std::optional<UpstreamReply> mReply;
    /// The last failure that an upstream reported.
    std::optional<UpstreamReply> mFailure;
  };

  bool AbandonUnservableParts(TimePoint aNow);
  void Launch(std::size_t aPart, TraceStep aStep);
  bool TryLaunch(std::size_t aPart, TraceStep aStep);
  /// No upstream is left to ask for the part.
  void AbandonPart(std::size_t aPart, TimePoint aNow);
  void Enqueue(std::size_t aPart, TraceStep aStep);
  void LeaveQueue(Part& aPart);
  void Send(std::size_t aPart, const ReplicaPtr& aReplica, TraceStep aStep);
  void PlanHedge(Part& aPart, Duration aExpected, TimePoint aNow);
  void Hedge(std::size_t aPart, TimePoint aNow);
  void OnStarted(std::size_t aPart, ExchangeId aExchange);
  void OnExchangeEnd(std::size_t aPart, ExchangeId aExchange, HttpExchangeResult aResult,
                     bool aMayHaveBeenSent);
  TraceStep Classify(Part& aPart, const Exchange& aExchange, HttpExchangeResult aResult,
                     bool aMayHaveBeenSent, TimePoint aNow);
  TraceStep ClassifyReply(Part& aPart, const Exchange& aExchange, UpstreamReply aReply,
                          TimePoint aNow);
  void RetryOrAbandon(std::size_t aPart, TraceStep aEnd, TimePoint aNow);
  bool MayRetry(const Part& aPart, TimePoint aNow) const;
  void Decide();
  void ArmTimer(TimePoint aNow);
  void OnTimer();
  void Answer();
  void Refuse(RefusalReason aReason);
  RefusalReason FailureReason() const;
  bool MayHaveRun() const;
  Duration RetryAfter(TimePoint aNow) const;
  void Finish(HttpResponse aResponse, std::string_view aOutcome);
  void CloseOpenExchanges();
  void AbortUnstartedExchanges();
  void ScheduleClose();

  Gateway& mGateway;
  CallerRequest mRequest;
  /// Keeps mRoute alive.
  RouteTablePtr mRouteTable;
  const Route& mRoute;
  const FanOutTarget* mFanOut;
  HttpRespondFn mRespond;
  RequestTrace mTrace;
  std::vector<Part> mParts;
  FanOutState mFanOutState;
  /// No verdict while the parts are launched.
  bool mIsStarting = true;
  bool mIsFinished = false;
  /// Ends of exchanges say nothing about their upstreams any more.
  bool mIsCallerDisconnected = false;
  std::optional<TimePoint> mTimerAt;
  Subscription mTimer;
};

} // namespace wasabispar
