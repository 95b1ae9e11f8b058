/// @file
/// @brief Records which tickets of one incarnation are outstanding, running or ended, and
/// thereby ensures that a ticket runs at most once.
#pragma once

#include "wasabispar/base/ids.hpp"
#include "wasabispar/execution/end_condition.hpp"
#include "wasabispar/execution/ticket.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief Lifetime of the tickets and limits of an ExecutionLedger.
struct ExecutionLedgerOptions
{
  /// Time from issue to expiry; until then the outcome is replayed to duplicates.
  Duration mTicketLifetime = std::chrono::minutes(5);
  /// Limit of outstanding tickets (issued and not yet removed) of all callers together.
  /// See ExecutionLedger for the memory that they take.
  std::size_t mMaxTickets = 50'000;
  std::size_t mMaxTicketsPerCaller = 5'000;
  /// Longest reply body that is kept for replay. A longer one is delivered to the first
  /// request and to waiting duplicates, but is replayed as `reply-not-retained`.
  std::size_t mMaxReplyBytes = 64 * 1024;
  /// Limits of the reply bodies kept for all callers together and for one caller.
  std::size_t mMaxRetainedBytes = 48 * 1024 * 1024;
  std::size_t mMaxRetainedBytesPerCaller = 8 * 1024 * 1024;
  /// Limit of the duplicates that wait for one running execution.
  std::size_t mMaxWaiters = 16;
  std::size_t mShards = 16;
};

/// @brief Receives the answer of the running execution. Called exactly once, without a
/// lock held, on the thread that ends the execution. It must tolerate a call after its
/// request has stopped waiting.
using ExecutionAnswerFn = std::function<void(const ExecutionAnswer&)>;

/// @brief Result of ExecutionLedger::Issue().
struct IssueResult
{
  /// Text of the ticket; empty when refused.
  std::string mTicket;
  /// Time until the ticket expires.
  Duration mExpiresIn{};
  /// Set when refused: TicketLimitOfCaller, TicketLimit or BadRequest.
  ExecutionAnswer mRefusal;

  bool IsIssued() const { return !mTicket.empty(); }
};

/// @brief One attempt to run a ticket, from Begin() to Complete().
struct ExecutionAttempt
{
  std::uint64_t mSequence = 0;
  /// Counts the attempts of this ticket, so that a late Complete() of an earlier attempt
  /// cannot end a later one.
  std::uint32_t mNumber = 0;
};

/// @brief What to do with a request that presents a ticket.
enum class BeginAction
{
  /// Run the execution, then call Complete() with mAttempt.
  Start,
  /// The execution is running; the callback receives its answer.
  Wait,
  /// The execution has ended; mAnswer is its answer.
  Replay,
  /// The request is refused with mAnswer.
  Refuse,
};

/// @brief Result of ExecutionLedger::Begin().
struct BeginResult
{
  BeginAction mAction = BeginAction::Refuse;
  ExecutionAttempt mAttempt;
  ExecutionAnswer mAnswer;
};

/// @brief Memory and counts of a ledger, for metrics and tests.
struct LedgerUsage
{
  std::size_t mTickets = 0;
  std::size_t mRetainedBytes = 0;
  std::size_t mCallers = 0;
};

/// @brief Tracks each ticket from issue to expiry. Thread-safe.
///
/// States of a ticket: issued; running (unsent, then sent: a byte may have left); ended
/// with an outcome and a reply body; removed. An execution starts only with an issued
/// ticket. Removing tickets is safe because a ticket without an entry never starts one.
///
/// Memory (see bench/ledger_memory): 189 bytes for an issued ticket, 205 bytes and the
/// reply for a ticket that ended. At 100 tickets/s on one VM and the default lifetime of
/// 300 s, 30,000 tickets with replies of 1 KB take 37 MB. The default limits bound it to
/// 50,000 tickets (10 MB) and 48 MB of replies, and one caller to a tenth of the tickets
/// and a sixth of the replies.
class ExecutionLedger
{
public:
  /// @param aIssuer this VM and its incarnation.
  /// @param aSecret authenticates the tickets.
  ExecutionLedger(TicketIssuer aIssuer, const TicketSecret& aSecret,
                  ExecutionLedgerOptions aOptions = {});
  ~ExecutionLedger();
  ExecutionLedger(const ExecutionLedger&) = delete;
  ExecutionLedger& operator=(const ExecutionLedger&) = delete;

  /// @brief Issues a ticket; refuses with `not-run` when a limit is reached.
  IssueResult Issue(const ProfileName& aProfile, const CallerId& aCaller, TimePoint aNow);

  /// @brief Starts, joins, replays or refuses the execution of an authentic ticket.
  /// @param aTicket as TicketCodec::Verify() returned it, expired or not.
  /// @param aFingerprint of profile and body.
  /// @param aDeadline of this request; nothing is sent after it.
  /// @param aOnAnswer is stored for BeginAction::Wait and discarded otherwise.
  BeginResult Begin(const Ticket& aTicket, RequestFingerprint aFingerprint,
                    TimePoint aDeadline, TimePoint aNow, ExecutionAnswerFn aOnAnswer);

  /// @brief Marks an attempt as sent if it may still be sent. Call right before the first
  /// byte is written, with the time read at that moment.
  /// @returns true at most once for each attempt; permits one send, and from then on a
  /// byte may have left. False when the deadline or the expiry has passed (also during a
  /// pause of the process), the attempt has ended, or the ticket was removed.
  bool TryMarkSent(const ExecutionAttempt& aAttempt, TimePoint aNow);

  /// @brief Ends an attempt and passes its answer to the waiting duplicates.
  ///
  /// An end with outcome `not-run` makes the ticket usable again until it expires. After
  /// a permitted send, EndConditionAfterSend() replaces each `not-run` end that is not
  /// the upstream's own refusal. A second Complete() of an attempt changes nothing.
  /// @returns the answer for the caller.
  ExecutionAnswer Complete(const ExecutionAttempt& aAttempt, ExecutionAnswer aAnswer,
                           TimePoint aNow);

  /// @brief Removes expired tickets, except those that have been sent and have not ended.
  /// Call at least once per second.
  /// @returns the number of removed tickets.
  std::size_t Sweep(TimePoint aNow);

  /// @brief The attempts in progress. At the end of the shutdown grace period, complete
  /// each with ShutdownBeforeSend, which becomes ShutdownAfterSend for those that were
  /// sent.
  std::vector<ExecutionAttempt> Running() const;

  /// @brief Outstanding tickets, bytes of retained replies and callers with tickets.
  LedgerUsage Usage() const;
  /// @brief Signs and verifies the tickets of this ledger.
  const TicketCodec& Codec() const { return mCodec; }

private:
  struct State;

  TicketCodec mCodec;
  std::unique_ptr<State> mState;
};

} // namespace wasabispar
