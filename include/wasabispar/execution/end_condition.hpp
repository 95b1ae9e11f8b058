/// @file
/// @brief End conditions of an execution and the table of their outcome, HTTP status and
/// step.
#pragma once

#include "wasabispar/base/error.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace wasabispar {

/// @brief How an execution ended. The values are sent between VMs: append only.
enum class EndCondition : std::uint8_t
{
  UpstreamAnswered = 0,
  UpstreamFailed = 1,
  ReplyNotRetained = 2,
  BadRequest = 3,
  UnknownProfile = 4,
  RetiredProfile = 5,
  CallerNotAllowed = 6,
  Shed = 7,
  QueueDeadline = 8,
  Quarantined = 9,
  NoUpstreamReachable = 10,
  ConnectFailed = 11,
  DeadlineBeforeSend = 12,
  UpstreamShed = 13,
  UpstreamDraining = 14,
  UpstreamDeadline = 15,
  ConnectionLostAfterSend = 16,
  TimedOutAfterSend = 17,
  UpstreamReplyInvalid = 18,
  TicketMalformed = 19,
  TicketOversized = 20,
  TicketForged = 21,
  TicketOfOther = 22,
  TicketBodyDiffers = 23,
  TicketExpiredUnused = 24,
  TicketExpired = 25,
  TicketLimitOfCaller = 26,
  TicketLimit = 27,
  TooManyWaiters = 28,
  WaitTimedOut = 29,
  IssuerDead = 30,
  IssuerReplaced = 31,
  IssuerUnreachable = 32,
  IssuerUnknowing = 33,
  ForwardNotHandedOver = 34,
  ForwardTimedOut = 35,
  ForwardReplyInvalid = 36,
  ShutdownBeforeSend = 37,
  ShutdownAfterSend = 38,
};

/// @brief What a caller is told about one end condition.
struct EndConditionRow
{
  EndCondition mEnd;
  Outcome mOutcome;
  /// HTTP status of the answer to the caller.
  unsigned mStatus;
  Step mStep;
  /// The cause as callers see it, in lower case with dashes.
  std::string_view mCause;
  /// One sentence for the callers' documentation.
  std::string_view mMeaning;
};

/// @brief The rows of all end conditions, in the order of the enumeration.
std::span<const EndConditionRow>
EndConditionTable();

/// @brief The row of @p aEnd.
const EndConditionRow&
RowOf(EndCondition aEnd);

/// @brief The condition with number @p aValue; empty when there is none.
std::optional<EndCondition>
ParseEndCondition(std::uint64_t aValue);

/// @brief The condition to report instead of @p aEnd once a byte of the request may have
/// been sent. A `not-run` condition that the upstream did not report itself becomes an
/// `outcome-unknown` one.
EndCondition
EndConditionAfterSend(EndCondition aEnd);

/// @brief The table in Markdown, as docs/callers/outcomes.md contains it.
std::string
EndConditionMarkdown();

/// @brief Which requests an outcome applies to.
enum class AnswerScope : std::uint8_t
{
  /// Only the request that is answered; other requests with the same ticket may have
  /// another outcome.
  Request = 0,
  /// All requests with this ticket so far, as decided by the issuer's ledger.
  Ticket = 1,
};

/// @brief `request` or `ticket`.
std::string_view
ToText(AnswerScope aScope);

/// @brief The answer to one request for an execution: how it ended, and the reply.
struct ExecutionAnswer
{
  EndCondition mEnd = EndCondition::BadRequest;
  AnswerScope mScope = AnswerScope::Request;
  /// Id or address of the peer; empty when there is none.
  std::string mPeer = {};
  /// Body of the upstream's reply; empty when there is none.
  std::string mBody = {};

  /// @brief The outcome of mEnd.
  Outcome Result() const { return RowOf(mEnd).mOutcome; }
  /// @brief The HTTP status of mEnd.
  unsigned Status() const { return RowOf(mEnd).mStatus; }
  /// @brief The answer as an error, with the step and the cause of its row.
  Error AsError() const;

  bool operator==(const ExecutionAnswer&) const = default;
};

} // namespace wasabispar
