/// @file
/// @brief The table of end conditions.
#include "wasabispar/execution/end_condition.hpp"

#include <array>
#include <sstream>

namespace wasabispar {

namespace {

using enum EndCondition;

constexpr auto kNotRun = Outcome::NotRun;
constexpr auto kUnknown = Outcome::OutcomeUnknown;
constexpr auto kRan = Outcome::Ran;

constexpr std::array kTable{
  EndConditionRow{ UpstreamAnswered, kRan, 200, Step::UpstreamReply, "answered",
                   "The upstream ran it and answered 200." },
  EndConditionRow{ UpstreamFailed, kRan, 502, Step::UpstreamReply, "upstream-failed",
                   "The upstream ran it and answered 500." },
  EndConditionRow{ ReplyNotRetained, kRan, 502, Step::Ticket, "reply-not-retained",
                   "It ran; the reply was too large to keep for a replay." },
  EndConditionRow{ BadRequest, kNotRun, 400, Step::ParseRequest, "bad-request",
                   "The request does not parse or exceeds a limit." },
  EndConditionRow{ UnknownProfile, kNotRun, 404, Step::FindProfile, "unknown-profile",
                   "No profile has this name." },
  EndConditionRow{ RetiredProfile, kNotRun, 410, Step::FindProfile, "retired-profile",
                   "The profile is retired." },
  EndConditionRow{ CallerNotAllowed, kNotRun, 403, Step::FindProfile,
                   "caller-not-allowed", "The profile does not allow this caller." },
  EndConditionRow{ Shed, kNotRun, 429, Step::Admission, "shed",
                   "The queue is full, or the wait would exceed the deadline." },
  EndConditionRow{ QueueDeadline, kNotRun, 503, Step::Admission, "queue-deadline",
                   "It did not leave the queue in time." },
  EndConditionRow{ Quarantined, kNotRun, 503, Step::Quarantine, "quarantined",
                   "Requests with this body crashed upstreams." },
  EndConditionRow{ NoUpstreamReachable, kNotRun, 503, Step::Connect,
                   "no-upstream-reachable", "No upstream could be tried." },
  EndConditionRow{ ConnectFailed, kNotRun, 503, Step::Connect, "connect-failed",
                   "No connection was made; no byte left." },
  EndConditionRow{ DeadlineBeforeSend, kNotRun, 504, Step::Deadline,
                   "deadline-before-send", "The deadline passed before the send." },
  EndConditionRow{ UpstreamShed, kNotRun, 503, Step::UpstreamReply, "upstream-shed",
                   "The upstream answered 429." },
  EndConditionRow{ UpstreamDraining, kNotRun, 503, Step::UpstreamReply,
                   "upstream-draining", "The upstream answered 503." },
  EndConditionRow{ UpstreamDeadline, kNotRun, 504, Step::UpstreamReply,
                   "upstream-deadline", "The upstream answered 504." },
  EndConditionRow{ ConnectionLostAfterSend, kUnknown, 502, Step::Receive,
                   "connection-lost-after-send",
                   "The connection was lost after a byte may have left." },
  EndConditionRow{ TimedOutAfterSend, kUnknown, 504, Step::Receive,
                   "timed-out-after-send", "No reply came in time after the send." },
  EndConditionRow{ UpstreamReplyInvalid, kUnknown, 502, Step::UpstreamReply,
                   "upstream-reply-invalid",
                   "The upstream's reply has no defined meaning." },
  EndConditionRow{ TicketMalformed, kNotRun, 400, Step::Ticket, "ticket-malformed",
                   "The text is not a ticket." },
  EndConditionRow{ TicketOversized, kNotRun, 400, Step::Ticket, "ticket-oversized",
                   "The text is longer than any ticket." },
  EndConditionRow{ TicketForged, kNotRun, 403, Step::Ticket, "ticket-forged",
                   "The issuer did not issue this ticket." },
  EndConditionRow{ TicketOfOther, kNotRun, 403, Step::Ticket, "ticket-of-other",
                   "The ticket was issued to another caller or for another profile." },
  EndConditionRow{ TicketBodyDiffers, kNotRun, 403, Step::Ticket, "ticket-body-differs",
                   "The ticket was used with a different body; this body did not run." },
  EndConditionRow{ TicketExpiredUnused, kNotRun, 410, Step::Ticket,
                   "ticket-expired-unused",
                   "The ticket expired and nothing ran with it." },
  EndConditionRow{ TicketExpired, kUnknown, 410, Step::Ticket, "ticket-expired",
                   "The ticket expired and its outcome is no longer known." },
  EndConditionRow{ TicketLimitOfCaller, kNotRun, 429, Step::Ticket,
                   "ticket-limit-of-caller", "The caller has too many tickets." },
  EndConditionRow{ TicketLimit, kNotRun, 503, Step::Ticket, "ticket-limit",
                   "The VM has issued too many tickets." },
  EndConditionRow{ TooManyWaiters, kUnknown, 503, Step::Ticket, "too-many-waiters",
                   "It runs, and too many duplicates wait for its answer." },
  EndConditionRow{ WaitTimedOut, kUnknown, 504, Step::Ticket, "wait-timed-out",
                   "It runs, and did not end by the deadline of this duplicate." },
  EndConditionRow{ IssuerDead, kUnknown, 502, Step::Forward, "issuer-dead",
                   "The VM that issued the ticket is gone." },
  EndConditionRow{ IssuerReplaced, kUnknown, 502, Step::Forward, "issuer-replaced",
                   "The VM that issued the ticket has restarted." },
  EndConditionRow{ IssuerUnreachable, kUnknown, 502, Step::Forward, "issuer-unreachable",
                   "There is no path to the VM that issued the ticket." },
  EndConditionRow{ IssuerUnknowing, kUnknown, 502, Step::Forward, "issuer-unknowing",
                   "The VM that was asked did not issue the ticket." },
  EndConditionRow{ ForwardNotHandedOver, kUnknown, 503, Step::Forward,
                   "forward-not-handed-over",
                   "This copy did not leave this VM; an earlier one may have run." },
  EndConditionRow{ ForwardTimedOut, kUnknown, 504, Step::Forward, "forward-timed-out",
                   "The issuer did not reply in time." },
  EndConditionRow{ ForwardReplyInvalid, kUnknown, 502, Step::Forward,
                   "forward-reply-invalid", "The issuer's reply does not parse." },
  EndConditionRow{ ShutdownBeforeSend, kNotRun, 503, Step::Shutdown,
                   "shutdown-before-send", "The VM shut down before the send." },
  EndConditionRow{ ShutdownAfterSend, kUnknown, 502, Step::Shutdown,
                   "shutdown-after-send", "The VM shut down after the send." },
};

constexpr bool
IsInOrder()
{
  for (std::size_t i = 0; i < kTable.size(); ++i) {
    if (static_cast<std::size_t>(kTable[i].mEnd) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsInOrder(), "a row's index is the value of its end condition");

} // namespace

std::span<const EndConditionRow>
EndConditionTable()
{
  return kTable;
}

const EndConditionRow&
RowOf(EndCondition aEnd)
{
  return kTable.at(static_cast<std::size_t>(aEnd));
}

std::optional<EndCondition>
ParseEndCondition(std::uint64_t aValue)
{
  if (aValue >= kTable.size()) {
    return std::nullopt;
  }
  return kTable[aValue].mEnd;
}

EndCondition
EndConditionAfterSend(EndCondition aEnd)
{
  const auto& row = RowOf(aEnd);
  if (row.mOutcome != Outcome::NotRun || row.mStep == Step::UpstreamReply) {
    return aEnd;
  }
  return aEnd == ShutdownBeforeSend ? ShutdownAfterSend : ConnectionLostAfterSend;
}

std::string
EndConditionMarkdown()
{
  std::ostringstream text;
  text
    << "| cause | outcome | status | step | meaning |\n| --- | --- | --- | --- | --- |\n";
  for (const auto& row : kTable) {
    text << "| `" << row.mCause << "` | " << ToText(row.mOutcome) << " | " << row.mStatus
         << " | " << ToText(row.mStep) << " | " << row.mMeaning << " |\n";
  }
  return text.str();
}

std::string_view
ToText(AnswerScope aScope)
{
  return aScope == AnswerScope::Ticket ? "ticket" : "request";
}

Error
ExecutionAnswer::AsError() const
{
  const auto& row = RowOf(mEnd);
  return Error{ row.mStep, mPeer, row.mOutcome, std::string(row.mCause) };
}

} // namespace wasabispar
