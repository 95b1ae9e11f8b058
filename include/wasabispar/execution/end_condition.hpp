/// @file
/// @brief The table of all ways in which an execution ends: outcome, HTTP status and
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

/// @brief One row of the table.
struct EndConditionRow
{
  EndCondition mEnd;
  Outcome mOutcome;
  /// HTTP status of the answer to the caller.
  unsigned mStatus;
  Step mStep;
  /// The cause as callers see it, in lower case with dashes.
  std::string_view mCause;
  /// One line for the page of callers.
  std::string_view mMeaning;
};

/// @brief All rows, in the order of the enumeration.
std::span<const EndConditionRow>
EndConditionTable();

/// @brief The row of @p aEnd.
const EndConditionRow&
RowOf(EndCondition aEnd);

/// @brief The condition with number @p aValue; empty when there is none.
std::optional<EndCondition>
ParseEndCondition(std::uint64_t aValue);

/// @brief The condition to report for @p aEnd when a byte may have left: an end that says
/// `not-run` without word from the upstream becomes one that says `outcome-unknown`.
EndCondition
EndConditionAfterSend(EndCondition aEnd);

/// @brief The table in Markdown, as docs/callers/outcomes.md contains it.
std::string
EndConditionMarkdown();

/// @brief What an outcome is said of.
enum class AnswerScope : std::uint8_t
{
  /// Only of the request that is answered: other requests with the same ticket may have
  /// another outcome.
  Request = 0,
  /// Of all requests with this ticket up to now: the ledger of the issuer decided.
  Ticket = 1,
};

/// @brief `request` or `ticket`.
std::string_view
ToText(AnswerScope aScope);

/// @brief The answer to one request for an execution.
struct ExecutionAnswer
{
  EndCondition mEnd = EndCondition::BadRequest;
  AnswerScope mScope = AnswerScope::Request;
  /// Id or address of the other side; empty when there is none.
  std::string mPeer = {};
  /// Body of the upstream's reply; empty on refusal.
  std::string mBody = {};

  Outcome Result() const { return RowOf(mEnd).mOutcome; }
  unsigned Status() const { return RowOf(mEnd).mStatus; }
  /// @brief The answer as an error, with the step and the cause of its row.
  Error AsError() const;

  bool operator==(const ExecutionAnswer&) const = default;
};

} // namespace wasabispar
