/// @file
/// @brief A request from its arrival to its response: the parts, their exchanges and the
/// timer.
#pragma once

#include "wasabispar/gateway/gateway.hpp"
#include "wasabispar/routing/fan_out_state.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief A request with one part for each service that it is sent to. All functions must
/// be called on the worker of the gateway.
///
/// Invariants: the request finishes once; a part is sent to each upstream at most once;
/// at most Route::mMaxAttempts upstreams may run a part; a part of a request that is not
/// idempotent is not sent again once it may have run.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest>
{
public:
  /// @param aServices the services to send the parts to, one for each part.
  /// @param aNow time at which the request arrived.
  ActiveRequest(Gateway& aGateway, CallerRequest aRequest, RouteTablePtr aTable,
                const Route& aRoute, std::vector<ServiceName> aServices,
                HttpRespondFn aRespond, TimePoint aNow);

  /// @brief Sends or queues the parts. Refuses the request at once when too few parts can
  /// be answered in time.
  void Start();
  /// @brief The caller closed its connection. Finishes without a response and aborts the
  /// running exchanges.
  void OnCallerDisconnected();
  /// @brief A newer table is in effect. What is sent from now on keeps to the regions
  /// that both the table of the request and the newer one permit.
  void OnRoutesChanged(const RouteTable& aTable);
  /// @brief Upstreams were evacuated. Abandons the queued parts that no upstream is left
  /// for.
  void OnEvacuation();
  /// @brief Refuses the request because the process exits.
  void Abort();

private:
  using ExchangeId = ReplicaLoad::ExchangeId;

  /// An exchange that has not ended.
  struct Exchange
  {
    ExchangeId mId = 0;
    ReplicaPtr mReplica;
    TimePoint mSentAt;
    /// A connection was assigned to the exchange; before that no byte can have been sent.
    bool mHasStarted = false;
  };

  /// The part of the request for one service.
  struct Part
  {
    ServicePool* mServicePool = nullptr;
    /// The same for each attempt of a caller.
    RequestPart mIdentity;
    /// The upstreams to which the part may still be sent.
    PlacementScope mScope;
    /// Time to the response that was expected at the start of the request.
    Duration mUpstreamTime{};
    /// Bytes counted in Gateway::mLinkLoad for the response.
    std::uint64_t mExpectedBytes = 0;
    std::vector<Exchange> mOpenExchanges;
    /// Number of upstreams that may have run or may still run the part.
    std::uint32_t mPossibleRunCount = 0;
    /// Set while the part waits in the queue of its service.
    std::optional<WaitQueue::EntryId> mQueueEntry;
    /// Set while the part waits for the end of another exchange of the request, because
    /// upstreams crashed with the request; how it is sent then.
    std::optional<TraceStep> mHeldStep;
    /// When to send a hedge to another upstream; empty when no hedge is planned.
    std::optional<TimePoint> mHedgeAt;
    /// The first answer.
    std::optional<UpstreamReply> mReply;
    /// The last failure reported by an upstream.
    std::optional<UpstreamReply> mFailure;
  };

  /// Sets mRank: a caller that returns earlier than it was told waits behind the others.
  void RankCaller(TimePoint aNow);
  /// Remembers the request, whose rejection states this time.
  void RecordRejection(Duration aRetryAfter, TimePoint aNow);
  /// The time until this VM's link and processor are expected to be free, if the request
  /// would be late because of them and was not rejected for it before; else empty.
  std::optional<Duration> VmBusyTime(TimePoint aNow);
  LinkDemand DemandOnLink(TimePoint aNow) const;
  void RefuseAsBusy(Duration aWait, TimePoint aNow);
  /// Counts the responses of the open parts as expected.
  void ExpectResponses();
  /// The response of the part is no longer expected.
  void EndExpectation(Part& aPart);
  void RecordResponseSize(const Part& aPart, const HttpExchangeResult& aResult);
  /// The same for each attempt of a caller.
  RequestFingerprint Fingerprint() const;
  /// Abandons the parts that no upstream can answer in time; returns false when too few
  /// parts are left.
  bool AbandonUnservableParts(TimePoint aNow);
  /// Until when a part that arrives now must be sent; else it is abandoned at once.
  TimePoint LatestSend(const Part& aPart, Duration aExpectedLatency) const;
  /// Sends a part to the best upstream. Queues the part when all upstreams are busy or
  /// other requests are ahead, and abandons it when no upstream is left.
  void Launch(std::size_t aPart, TraceStep aStep);
  /// Sends a queued part; returns false when the part must stay in the queue.
  bool TryLaunch(std::size_t aPart, TraceStep aStep);
  /// Abandons a queued part whose upstreams are all cold and at their limit for too long;
  /// returns false when the part must stay in the queue.
  bool AbandonIfCold(std::size_t aPart, TimePoint aNow);
  /// Whether the part may be sent although upstreams may have crashed with it; otherwise
  /// adds a step to the trace.
  bool IsCrashLimitKept(std::size_t aPart, TimePoint aNow);
  /// Holds a part that the crash limit allows only when other copies have completed.
  /// Abandons it if it is blocked, or if no exchange of this request is open.
  void HoldOrAbandon(std::size_t aPart, TraceStep aStep, TimePoint aNow);
  /// Tries to send the parts that are held.
  void LaunchHeldParts();
  bool HasOpenExchanges() const;
  /// Decides right before the first byte is written; records the exchange if it starts.
  bool MayStillSend(std::size_t aPart, ExchangeId aExchange, Replica& aReplica,
                    TimePoint aNow);
  /// Tells the crash limiter how an exchange ended that had started.
  void RecordEnd(const Exchange& aExchange, HttpExchangeEnd aEnd,
                 std::optional<TraceStep> aStep);
  /// Finds out a moment later whether the upstream still accepts connections.
  void ProbeLater(Replica& aReplica);
  /// Marks a part as lost because no upstream is left for it.
  void AbandonPart(std::size_t aPart, TimePoint aNow);
  void Enqueue(std::size_t aPart, TraceStep aStep);
  void LeaveQueue(Part& aPart);
  void Send(std::size_t aPart, const ReplicaPtr& aReplica, TraceStep aStep);
  /// Sets mHedgeAt if the part may be hedged. @p aExpected is the expected response time
  /// of the upstream to which the part was just sent.
  void PlanHedge(Part& aPart, Duration aExpected, TimePoint aNow);
  /// Plans an immediate hedge if a copy of the part was withdrawn from an evacuated
  /// upstream while another one runs.
  void ReplaceWithdrawn(Part& aPart, TraceStep aEnd, const Replica& aReplica,
                        TimePoint aNow);
  /// Sends the part to another upstream if one is free and the budget allows it.
  void Hedge(std::size_t aPart, TimePoint aNow);
  /// A connection was assigned to the exchange.
  void OnStarted(std::size_t aPart, ExchangeId aExchange);
  /// @param aMayHaveBeenSent whether a byte of the request may have been sent.
  void OnExchangeEnd(std::size_t aPart, ExchangeId aExchange, HttpExchangeResult aResult,
                     bool aMayHaveBeenSent);
  /// Records the end of an exchange in the load of its upstream and in the part; returns
  /// the step for the trace.
  TraceStep Classify(Part& aPart, const Exchange& aExchange, HttpExchangeResult aResult,
                     bool aMayHaveBeenSent, TimePoint aNow);
  /// The same for an exchange that ended with a response.
  TraceStep ClassifyReply(Part& aPart, const Exchange& aExchange, UpstreamReply aReply,
                          TimePoint aNow);
  /// Sends a part to another upstream after an exchange ended without an answer, or
  /// abandons the part. Does nothing while another exchange of the part is open or the
  /// part is queued.
  void RetryOrAbandon(std::size_t aPart, TraceStep aEnd, TimePoint aNow);
  /// Whether the part may be sent to another upstream.
  bool MayRetry(const Part& aPart, TimePoint aNow) const;
  /// Waits, answers or refuses according to FanOutState::Decide().
  void ApplyDecision();
  /// Sets the timer to the next decision or hedge.
  void ArmTimer(TimePoint aNow);
  void OnTimer();
  void Answer();
  void Refuse(RefusalReason aReason);
  /// The reason of a refusal before the deadline.
  RefusalReason FailureReason() const;
  /// When the last blocked part may be sent again; empty if no part is blocked.
  std::optional<TimePoint> BlockedUntil(TimePoint aNow) const;
  /// Whether a part has usable upstreams, but none in the permitted regions.
  bool IsOutsideRegions() const;
  /// Whether an upstream may have run a part.
  bool MayHaveRun() const;
  /// Time after which the caller should return.
  Duration RetryAfter(TimePoint aNow) const;
  /// Time after which the parts can be expected to find a free upstream, extended at
  /// random if the capacity of the VM is stated: as many parts as an answer needs, else
  /// all.
  Duration CapacityDelay(TimePoint aNow) const;
  /// The delay to state for a wait, extended at random.
  Duration StatedDelay(Duration aWait) const;
  /// Sends the response, writes the trace and removes the request from the gateway. Only
  /// the first call has an effect.
  void Finish(HttpResponse aResponse, std::string_view aOutcome);
  void CloseOpenExchanges();
  /// Aborts the exchanges that have no connection yet.
  void AbortUnstartedExchanges();
  /// Closes the exchanges that are still open after a delay.
  void ScheduleClose();

  Gateway& mGateway;
  CallerRequest mRequest;
  /// Keeps mRoute alive.
  RouteTablePtr mRouteTable;
  const Route& mRoute;
  /// Null when the request goes to a single service.
  const FanOutTarget* mFanOut;
  HttpRespondFn mRespond;
  RequestTrace mTrace;
  std::vector<Part> mParts;
  FanOutState mFanOutState;
  /// The rank of the parts among those that wait.
  WaitRank mRank = WaitRank::Regular;
  /// The service of each part.
  std::vector<ServiceName> mServices;
  /// Start() is sending the parts; no decision is made until all were sent.
  bool mIsStarting = true;
  bool mIsFinished = false;
  /// This side has closed the open exchanges; their upstreams did not crash.
  bool mAreExchangesClosed = false;
  /// The caller closed its connection. Exchanges that end from then on are not counted
  /// for or against their upstreams.
  bool mIsCallerDisconnected = false;
  /// When mTimer fires; empty when no decision or hedge is scheduled.
  std::optional<TimePoint> mTimerAt;
  /// For the next decision or hedge; after the request has finished, for closing its open
  /// exchanges.
  Subscription mTimer;
};

} // namespace wasabispar
