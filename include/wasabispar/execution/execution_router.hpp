/// @file
/// @brief Decides where a request for an execution runs, and what each end of a forward
/// or of an upstream exchange means to the caller.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/execution/end_condition.hpp"
#include "wasabispar/execution/execution_ledger.hpp"
#include "wasabispar/execution/quarantine.hpp"
#include "wasabispar/execution/ticket.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace wasabispar {

/// @brief What this VM believes about the issuer of a ticket.
enum class IssuerState
{
  /// This incarnation of the VM is alive or suspect.
  Alive,
  Dead,
  /// The VM runs, as another incarnation.
  Replaced,
  /// Not in the view, or no path to it.
  Unreachable,
};

/// @brief Answers from the membership view. Called without a lock of this layer held.
using IssuerStateFn = std::function<IssuerState(const TicketIssuer&)>;

/// @brief A request for an execution that was parsed.
struct ExecutionRequest
{
  ProfileName mProfile;
  CallerId mCaller;
  /// The ticket as received; empty optional when the caller sent none.
  std::optional<std::string> mTicket;
  RequestFingerprint mBody;
  TimePoint mDeadline;
  /// True when it came from another VM; it is then never forwarded again.
  bool mIsForwarded = false;
};

/// @brief A permitted run on this VM. Copies share no state: keep one.
struct ExecutionRun
{
  /// Empty for a request without a ticket.
  std::optional<ExecutionAttempt> mAttempt;
  TimePoint mDeadline;
  /// True once TryMarkSent() permitted the send.
  bool mIsSent = false;
};

enum class RouteAction
{
  /// Pass it to admission and then to an upstream; mRun is set.
  Run,
  /// Another request with this ticket runs; the callback gets the answer.
  Wait,
  /// Send it to mIssuer with a deadline.
  Forward,
  /// Answer the caller with mAnswer.
  Answer,
};

/// @brief Result of ExecutionRouter::Route().
struct RouteDecision
{
  RouteAction mAction = RouteAction::Answer;
  ExecutionRun mRun;
  TicketIssuer mIssuer;
  ExecutionAnswer mAnswer;
};

/// @brief How a forward to the issuer ended, as the transport saw it.
enum class ForwardEnd
{
  /// The message was not handed to the transport: no byte left.
  NotHandedOver,
  /// Handed over, and no reply came in time.
  NoReply,
  /// A reply that does not parse.
  InvalidReply,
  /// The other side does not hold the ticket's incarnation or its ledger entry.
  IssuerUnknowing,
  /// A reply with an answer.
  Reply,
};

/// @brief How an exchange with an upstream ended, as the connection saw it.
enum class UpstreamEnd
{
  /// No upstream to connect to.
  NoneReachable,
  /// No connection was made; no byte left.
  ConnectFailed,
  /// The connection was lost, or the exchange was cancelled, after a byte may have left.
  ConnectionLost,
  /// No response in time after a byte may have left.
  TimedOut,
  /// A response with a status.
  Response,
};

/// @brief The end condition of a response with status @p aStatus.
EndCondition
EndConditionOfStatus(unsigned aStatus);

/// @brief The decisions of section 8 of the design page. Thread-safe; it holds no state
/// but the ledger's and the quarantine's.
///
/// A request with a ticket reaches the ledger before admission and quarantine, so that
/// the resend of a request that ran is replayed and never refused as `not-run`. For the
/// same reason its profile is checked after Route(), with EndRun() on a refusal.
class ExecutionRouter
{
public:
  /// The ledger and the quarantine must outlive the router.
  ExecutionRouter(ExecutionLedger& aLedger, Quarantine& aQuarantine,
                  IssuerStateFn aIssuerState);

  /// @brief Decides about an arriving request. @p aOnAnswer is used for Wait only.
  RouteDecision Route(const ExecutionRequest& aRequest, TimePoint aNow,
                      ExecutionAnswerFn aOnAnswer);

  /// @brief Call right before the first byte is written to an upstream; see
  /// ExecutionLedger::TryMarkSent().
  bool TryMarkSent(ExecutionRun& aRun, TimePoint aNow);

  /// @brief Ends a run without an exchange: profile refused, shed, queue deadline,
  /// deadline, shutdown.
  ExecutionAnswer EndRun(const ExecutionRun& aRun, EndCondition aEnd, TimePoint aNow);

  /// @brief Ends a run with the end of its exchange.
  /// @param aStatus, aBody of the response for UpstreamEnd::Response, otherwise unused.
  ExecutionAnswer EndExchange(const ExecutionRun& aRun, UpstreamEnd aEnd,
                              unsigned aStatus, std::string aBody, std::string aPeer,
                              TimePoint aNow);

  /// @brief The answer to the caller after a forward.
  /// @param aReply the issuer's answer for ForwardEnd::Reply, otherwise unused.
  ExecutionAnswer EndForward(ForwardEnd aEnd, const TicketIssuer& aIssuer,
                             ExecutionAnswer aReply) const;

  /// @brief The answer to a request whose Wait has not ended by its deadline.
  ExecutionAnswer EndWait() const;

private:
  RouteDecision RouteForeignTicket(const ExecutionRequest& aRequest,
                                   TimePoint aNow) const;
  RouteDecision RouteOwnTicket(const ExecutionRequest& aRequest, const Ticket& aTicket,
                               TimePoint aNow, ExecutionAnswerFn aOnAnswer);
  ExecutionAnswer CompleteRun(const ExecutionRun& aRun, ExecutionAnswer aAnswer,
                              TimePoint aNow);

  ExecutionLedger& mLedger;
  Quarantine& mQuarantine;
  IssuerStateFn mIssuerState;
};

} // namespace wasabispar
