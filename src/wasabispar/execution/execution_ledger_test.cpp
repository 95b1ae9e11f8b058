/// @file
/// @brief Unit tests of ExecutionLedger: limits, sends, late completions, waiting
/// duplicates and threads.
#include "wasabispar/execution/execution_ledger.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 100s };
const TicketIssuer kIssuer{ VmId("vm-1"), Incarnation(1) };

Ticket
IssueTicket(ExecutionLedger& aLedger, const std::string& aCaller = "house")
{
  const auto issued = aLedger.Issue(ProfileName("hold"), CallerId(aCaller), kNow);
  REQUIRE(issued.IsIssued());
  return *aLedger.Codec().Verify(issued.mTicket, kNow).mTicket;
}

BeginResult
Begin(ExecutionLedger& aLedger, const Ticket& aTicket,
      ExecutionAnswerFn aOnAnswer = nullptr)
{
  return aLedger.Begin(aTicket, RequestFingerprint(1), kNow + 1s, kNow,
                       std::move(aOnAnswer));
}

} // namespace

TEST_CASE("one caller cannot exhaust the tickets or the reply memory of the others")
{
  // Guards against a caller that requests tickets without limit or gets large replies.
  ExecutionLedgerOptions options;
  options.mMaxTicketsPerCaller = 10;
  options.mMaxRetainedBytesPerCaller = 1000;
  ExecutionLedger ledger(kIssuer, NewTicketSecret(), options);
  for (int i = 0; i < 10; ++i) {
    const auto ticket = IssueTicket(ledger);
    const auto attempt = Begin(ledger, ticket).mAttempt;
    CHECK(ledger.TryMarkSent(attempt, kNow));
    ledger.Complete(
      attempt, { EndCondition::UpstreamAnswered, {}, {}, std::string(300, 'x') }, kNow);
    const auto replay = Begin(ledger, ticket).mAnswer;
    CHECK(replay.mBody.size() == (i < 3 ? 300 : 0));
    CHECK(replay.Result() == Outcome::Ran);
  }
  CHECK_FALSE(ledger.Issue(ProfileName("hold"), CallerId("house"), kNow).IsIssued());
  IssueTicket(ledger, "other");
  CHECK(ledger.Usage().mRetainedBytes == 900);
  CHECK(ledger.Sweep(kNow + 5min) == 11);
  CHECK(ledger.Usage().mTickets == 0);
  CHECK(ledger.Usage().mRetainedBytes == 0);
  CHECK(ledger.Usage().mCallers == 0);
}

TEST_CASE("a send is permitted once, before the deadline and before the expiry")
{
  // Guards against a late send by a process that was stopped and continued, and against
  // a second send.
  ExecutionLedger ledger(kIssuer, NewTicketSecret());
  const auto attempt = Begin(ledger, IssueTicket(ledger)).mAttempt;
  CHECK_FALSE(ledger.TryMarkSent(attempt, kNow + 1s));
  CHECK(ledger.TryMarkSent(attempt, kNow + 999ms));
  CHECK_FALSE(ledger.TryMarkSent(attempt, kNow + 999ms));
  const auto late =
    ledger.Begin(IssueTicket(ledger), RequestFingerprint(1), kNow + 10min, kNow, nullptr);
  CHECK_FALSE(ledger.TryMarkSent(late.mAttempt, kNow + 5min));
}

TEST_CASE("a late Complete of an earlier attempt does not end a later one")
{
  // Guards against a late connect failure that makes a ticket usable again although its
  // second attempt was sent.
  ExecutionLedger ledger(kIssuer, NewTicketSecret());
  const auto ticket = IssueTicket(ledger);
  const auto first = Begin(ledger, ticket).mAttempt;
  ledger.Complete(first, { EndCondition::ConnectFailed }, kNow);
  const auto second = Begin(ledger, ticket).mAttempt;
  CHECK_FALSE(ledger.TryMarkSent(first, kNow));
  CHECK(ledger.TryMarkSent(second, kNow));
  ledger.Complete(first, { EndCondition::ConnectFailed }, kNow);
  CHECK(Begin(ledger, ticket).mAction == BeginAction::Wait);
}

TEST_CASE("an execution that ends after its ticket expired answers each duplicate once")
{
  // Guards against waiting callers that get no answer because the sweep removed the
  // running execution.
  ExecutionLedger ledger(kIssuer, NewTicketSecret());
  const auto ticket = IssueTicket(ledger);
  const auto attempt = Begin(ledger, ticket).mAttempt;
  CHECK(ledger.TryMarkSent(attempt, kNow));
  std::vector<std::string> bodies;
  const auto collectBody = [&](const ExecutionAnswer& aAnswer) {
    bodies.push_back(aAnswer.mBody);
  };
  Begin(ledger, ticket, collectBody);
  CHECK(ledger.Sweep(kNow + 5min) == 0);
  Begin(ledger, ticket, collectBody);
  ledger.Complete(attempt, { EndCondition::UpstreamAnswered, {}, {}, "reply" },
                  kNow + 5min);
  ledger.Complete(attempt, { EndCondition::UpstreamAnswered, {}, {}, "twice" },
                  kNow + 5min);
  CHECK(bodies == std::vector<std::string>{ "reply", "reply" });
  CHECK(Begin(ledger, ticket).mAnswer.mEnd == EndCondition::TicketExpired);
  CHECK(ledger.Usage().mTickets == 0);
}

TEST_CASE("threads that use one ticket at the same time send once")
{
  // Guards against a race between Begin, TryMarkSent, Complete and Sweep.
  ExecutionLedger ledger(kIssuer, NewTicketSecret());
  for (int round = 0; round < 200; ++round) {
    const auto ticket = IssueTicket(ledger);
    std::atomic<int> sends = 0;
    std::atomic<int> answers = 0;
    const auto beginAndSend = [&] {
      const auto begin =
        Begin(ledger, ticket, [&](const ExecutionAnswer&) { ++answers; });
      if (begin.mAction == BeginAction::Start &&
          ledger.TryMarkSent(begin.mAttempt, kNow)) {
        ++sends;
        ledger.Complete(begin.mAttempt, { EndCondition::UpstreamAnswered }, kNow);
      }
      answers += begin.mAction == BeginAction::Wait ? 0 : 1;
      ledger.Sweep(kNow);
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < 3; ++i) {
      threads.emplace_back(beginAndSend);
    }
    for (auto& thread : threads) {
      thread.join();
    }
    REQUIRE(sends == 1);
    REQUIRE(answers == 3);
  }
}
