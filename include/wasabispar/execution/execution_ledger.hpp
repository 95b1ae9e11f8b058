/// @file
/// @brief The ledger of one incarnation: which tickets are outstanding, which run, and
/// how the others ended. It is the reason that a ticket runs at most once.
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

struct ExecutionLedgerOptions
{
  /// Time from issue to expiry; the outcome is replayed until then.
  Duration mTicketLifetime = std::chrono::minutes(5);
  /// Tickets outstanding (issued and not yet forgotten) in all. See
  /// ExecutionLedger for the memory that this allows.
  std::size_t mMaxTickets = 50'000;
  std::size_t mMaxTicketsPerCaller = 5'000;
  /// Longest reply body that is kept for replay. A longer one reaches the caller of the
  /// first request and those that wait, but is replayed as `reply-not-retained`.
  std::size_t mMaxReplyBytes = 64 * 1024;
  /// Reply bodies kept in all and for one caller.
  std::size_t mMaxRetainedBytes = 48 * 1024 * 1024;
  std::size_t mMaxRetainedBytesPerCaller = 8 * 1024 * 1024;
  /// Duplicates that wait for one running execution.
  std::size_t mMaxWaiters = 16;
  std::size_t mShards = 16;
};

/// @brief Called exactly once with the answer of the first request, without a lock held,
/// on the thread that ends the execution. A caller that stopped waiting ignores it.
using ExecutionAnswerFn = std::function<void(const ExecutionAnswer&)>;

/// @brief Result of ExecutionLedger::Issue().
struct IssueResult
{
  /// Text of the ticket; empty when refused.
  std::string mTicket;
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

enum class BeginAction
{
  /// Run it, then call Complete() with mAttempt.
  Start,
  /// The callback gets the answer of the request that runs.
  Wait,
  /// mAnswer is the answer of the execution, which ended.
  Replay,
  /// mAnswer is the refusal.
  Refuse,
};

/// @brief Result of ExecutionLedger::Begin().
struct BeginResult
{
  BeginAction mAction = BeginAction::Refuse;
  ExecutionAttempt mAttempt;
  ExecutionAnswer mAnswer;
};

/// @brief Memory and counts, for metrics and tests.
struct LedgerUsage
{
  std::size_t mTickets = 0;
  std::size_t mRetainedBytes = 0;
  std::size_t mCallers = 0;
};

/// @brief Remembers each ticket from issue to expiry. Thread-safe.
///
/// States of a ticket: issued; running (unsent, then sent: a byte may have left); ended
/// with an outcome and a reply body; forgotten. Only an issued ticket starts, and
/// a ticket that the ledger does not hold never starts, so forgetting is safe.
///
/// Memory, measured with bench/ledger_memory: 189 bytes for an issued ticket, 205 bytes
/// and the reply for one that ended. At 100 tickets/s on one VM and the default lifetime
/// of 300 s, 30,000 tickets with replies of 1 KB take 37 MB. The default limits bound it
/// to 50,000 tickets (10 MB) and 48 MB of replies, and one caller to a tenth and a sixth.
class ExecutionLedger
{
public:
  ExecutionLedger(TicketIssuer aIssuer, const TicketSecret& aSecret,
                  ExecutionLedgerOptions aOptions = {});
  ~ExecutionLedger();
  ExecutionLedger(const ExecutionLedger&) = delete;
  ExecutionLedger& operator=(const ExecutionLedger&) = delete;

  /// @brief Issues a ticket, or refuses `not-run` at a limit.
  IssueResult Issue(const ProfileName& aProfile, const CallerId& aCaller, TimePoint aNow);

  /// @brief Decides about a request with an authentic ticket.
  /// @param aTicket as TicketCodec::Verify() returned it, expired or not.
  /// @param aFingerprint the fingerprint of profile and body.
  /// @param aDeadline of this request; nothing is sent after it.
  /// @param aOnAnswer is kept for BeginAction::Wait and dropped otherwise.
  BeginResult Begin(const Ticket& aTicket, RequestFingerprint aFingerprint,
                    TimePoint aDeadline, TimePoint aNow, ExecutionAnswerFn aOnAnswer);

  /// @brief Call right before the first byte is written, with the time read at that
  /// moment. True permits one send and is returned once for each attempt; from then on a
  /// byte may have left. False when the deadline or the expiry has passed (also during a
  /// pause of the process), the attempt has ended, or the ticket is forgotten.
  bool TryMarkSent(const ExecutionAttempt& aAttempt, TimePoint aNow);

  /// @brief Ends an attempt and answers those that wait; returns the answer to give.
  ///
  /// An end with outcome `not-run` makes the ticket usable again. After a permitted send
  /// only the upstream's own refusal counts as `not-run`; any other end that claims it
  /// becomes AfterSend() of it. A second Complete() of an attempt changes nothing.
  ExecutionAnswer Complete(const ExecutionAttempt& aAttempt, ExecutionAnswer aAnswer,
                           TimePoint aNow);

  /// @brief Forgets expired tickets, except those that have been sent and have not
  /// ended. Call at least each second.
  /// @returns the number forgotten.
  std::size_t Sweep(TimePoint aNow);

  /// @brief Attempts that run now. At the end of the shutdown grace, complete each with
  /// ShutdownBeforeSend, which becomes ShutdownAfterSend for those that were sent.
  std::vector<ExecutionAttempt> Running() const;

  LedgerUsage Usage() const;
  const TicketCodec& Codec() const { return mCodec; }

private:
  struct State;

  TicketCodec mCodec;
  std::unique_ptr<State> mState;
};

} // namespace wasabispar
