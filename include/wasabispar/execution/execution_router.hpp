/// @file
/// @brief Decides where a request for an execution runs, and maps the end of a forward or
/// of an upstream exchange to the caller's answer.
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

/// @brief State of a ticket's issuer in this VM's membership view.
enum class IssuerState
{
  /// The VM is alive or suspect, with the incarnation that issued the ticket.
  Alive,
  Dead,
  /// The VM runs with another incarnation.
  Replaced,
  /// The VM is not in the view, or there is no path to it.
  Unreachable,
};

/// @brief Looks up an issuer in the membership view. Called without a lock of the router,
/// the ledger or the quarantine held.
using IssuerStateFn = std::function<IssuerState(const TicketIssuer&)>;

/// @brief A parsed request for an execution.
struct ExecutionRequest
{
  ProfileName mProfile;
  CallerId mCaller;
  /// The ticket as received; empty optional when the caller sent none.
  std::optional<std::string> mTicket;
  /// Fingerprint of profile and body.
  RequestFingerprint mBody;
  TimePoint mDeadline;
  /// True when another VM forwarded the request; it is then not forwarded again.
  bool mIsForwarded = false;
};

/// @brief A permitted run on this VM. Copies share no state, so keep a single one.
struct ExecutionRun
{
  /// Empty for a request without a ticket.
  std::optional<ExecutionAttempt> mAttempt;
  TimePoint mDeadline;
  /// True once TryMarkSent() has permitted the send.
  bool mIsSent = false;
};

/// @brief What to do with a request after ExecutionRouter::Route().
enum class RouteAction
{
  /// Pass the request to admission and then to an upstream; mRun is set.
  Run,
  /// Another request with this ticket is running; the callback receives its answer.
  Wait,
  /// Forward the request to mIssuer with a deadline.
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
  /// The message was not passed to the transport: no byte left.
  NotHandedOver,
  /// The message was passed to the transport, and no reply came in time.
  NoReply,
  /// A reply that does not parse.
  InvalidReply,
  /// The receiving VM did not issue the ticket.
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

/// @brief Routes requests by their ticket, as section 8 of the design page specifies.
/// Thread-safe: all state is in the ledger and the quarantine.
///
/// A request with a ticket reaches the ledger before admission and quarantine, so that
/// the resend of a request that ran is replayed and never refused as `not-run`. For the
/// same reason its profile is checked after Route(); a refusal is reported with EndRun().
class ExecutionRouter
{
public:
  /// The ledger and the quarantine must outlive the router.
  ExecutionRouter(ExecutionLedger& aLedger, Quarantine& aQuarantine,
                  IssuerStateFn aIssuerState);

  /// @brief Decides how to handle a new request. @p aOnAnswer is used for
  /// RouteAction::Wait only.
  RouteDecision Route(const ExecutionRequest& aRequest, TimePoint aNow,
                      ExecutionAnswerFn aOnAnswer);

  /// @brief Call right before the first byte is written to an upstream; see
  /// ExecutionLedger::TryMarkSent().
  bool TryMarkSent(ExecutionRun& aRun, TimePoint aNow);

  /// @brief Ends a run for a reason other than its exchange: profile refused, shed, queue
  /// deadline, deadline, shutdown.
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

  /// @brief The answer to a duplicate whose deadline passed while it waited.
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
