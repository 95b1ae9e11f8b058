/// @file
/// @brief Tests that router and ledger reach each end condition of the table, and the
/// limits of the quarantine.
#include "wasabispar/execution/execution_router.hpp"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 100s };
const RequestFingerprint kFingerprint(5);

ExecutionLedgerOptions
LowLimitOptions()
{
  ExecutionLedgerOptions options;
  options.mMaxTickets = 3;
  options.mMaxTicketsPerCaller = 2;
  options.mMaxReplyBytes = 4;
  options.mMaxWaiters = 0;
  return options;
}

/// One VM with a router.
struct Vm
{
  explicit Vm(std::uint64_t aIncarnation = 1, std::string aName = "vm-1")
    : mLedger({ VmId(std::move(aName)), Incarnation(aIncarnation) }, NewTicketSecret(),
              LowLimitOptions())
    , mRouter(mLedger, mQuarantine, [this](const TicketIssuer&) { return mIssuerState; })
  {
  }

  std::string Issue(const std::string& aCaller = "house")
  {
    return mLedger.Issue(ProfileName("hold"), CallerId(aCaller), kNow).mTicket;
  }

  RouteDecision Route(std::optional<std::string> aTicket, TimePoint aNow = kNow,
                      RequestFingerprint aFingerprint = kFingerprint)
  {
    const ExecutionRequest request{ ProfileName("hold"), CallerId("house"),
                                    std::move(aTicket),  aFingerprint,
                                    aNow + 1s,           mIsForwarded };
    return mRouter.Route(request, aNow, nullptr);
  }

  /// The answer to a run that was sent and ended with @p aEnd.
  ExecutionAnswer Exchange(UpstreamEnd aEnd, unsigned aStatus = 0)
  {
    auto run = Route(Issue()).mRun;
    if (aEnd != UpstreamEnd::ConnectFailed && aEnd != UpstreamEnd::NoneReachable) {
      CHECK(mRouter.TryMarkSent(run, kNow));
    }
    return mRouter.EndExchange(run, aEnd, aStatus, "body", "upstream-1", kNow);
  }

  ExecutionAnswer EndRun(EndCondition aEnd)
  {
    return mRouter.EndRun(Route(Issue()).mRun, aEnd, kNow);
  }

  ExecutionAnswer RouteTicketOfOtherVm(IssuerState aState)
  {
    mIssuerState = aState;
    return Route(Vm(1, "vm-2").Issue()).mAnswer;
  }

  ExecutionAnswer EndForward(ForwardEnd aEnd)
  {
    const auto decision = Route(Vm(1, "vm-2").Issue());
    CHECK(decision.mAction == RouteAction::Forward);
    return mRouter.EndForward(aEnd, decision.mIssuer, {});
  }

  ExecutionLedger mLedger;
  Quarantine mQuarantine;
  IssuerState mIssuerState = IssuerState::Alive;
  bool mIsForwarded = false;
  ExecutionRouter mRouter;
};

using ProduceAnswerFn = std::function<ExecutionAnswer(Vm&)>;
struct Expectation
{
  Outcome mOutcome;
  ProduceAnswerFn mProduceAnswer;
};

Expectation
ExpectAfterRun(Outcome aOutcome, EndCondition aEnd)
{
  return { aOutcome, [aEnd](Vm& aVm) { return aVm.EndRun(aEnd); } };
}

Expectation
ExpectAfterExchange(Outcome aOutcome, UpstreamEnd aEnd, unsigned aStatus = 0)
{
  return { aOutcome, [=](Vm& aVm) { return aVm.Exchange(aEnd, aStatus); } };
}

ExecutionAnswer
ReplayTooLargeReply(Vm& aVm)
{
  const auto ticket = aVm.Issue();
  auto run = aVm.Route(ticket).mRun;
  CHECK(aVm.mRouter.TryMarkSent(run, kNow));
  aVm.mRouter.EndExchange(run, UpstreamEnd::Response, 200, "too large", "", kNow);
  return aVm.Route(ticket).mAnswer;
}

ExecutionAnswer
RouteExpired(Vm& aVm, bool aIsRemoved)
{
  const auto ticket = aVm.Issue();
  if (aIsRemoved) {
    CHECK(aVm.mLedger.Sweep(kNow + 5min) == 1);
  }
  return aVm.Route(ticket, kNow + 5min).mAnswer;
}

ExecutionAnswer
RouteAtLimit(Vm& aVm, int aOutstanding, const std::string& aCaller)
{
  for (int i = 0; i < aOutstanding; ++i) {
    aVm.Issue(i == 2 ? "third" : "house");
  }
  const auto issued = aVm.mLedger.Issue(ProfileName("hold"), CallerId(aCaller), kNow);
  CHECK_FALSE(issued.IsIssued());
  return issued.mRefusal;
}

ExecutionAnswer
RouteTwice(Vm& aVm, RequestFingerprint aSecondFingerprint)
{
  const auto ticket = aVm.Issue();
  CHECK(aVm.Route(ticket).mAction == RouteAction::Run);
  return aVm.Route(ticket, kNow, aSecondFingerprint).mAnswer;
}

ExecutionAnswer
ShutDownAfterSend(Vm& aVm)
{
  auto run = aVm.Route(aVm.Issue()).mRun;
  CHECK(aVm.mRouter.TryMarkSent(run, kNow));
  CHECK(aVm.mLedger.Running().size() == 1);
  return aVm.mLedger.Complete(aVm.mLedger.Running().front(),
                              { EndCondition::ShutdownBeforeSend }, kNow);
}

/// The outcomes of section 8 of the design page, independent of EndConditionTable().
std::map<EndCondition, Expectation>
Expectations()
{
  using enum EndCondition;
  const auto notRun = Outcome::NotRun;
  const auto unknown = Outcome::OutcomeUnknown;
  const auto ran = Outcome::Ran;
  return {
    { UpstreamAnswered, ExpectAfterExchange(ran, UpstreamEnd::Response, 200) },
    { UpstreamFailed, ExpectAfterExchange(ran, UpstreamEnd::Response, 500) },
    { ReplyNotRetained, { ran, ReplayTooLargeReply } },
    { BadRequest,
      { notRun,
        [](Vm& aVm) {
          return aVm.mLedger.Issue(ProfileName(std::string(200, 'x')), {}, kNow).mRefusal;
        } } },
    { UnknownProfile, ExpectAfterRun(notRun, UnknownProfile) },
    { RetiredProfile, ExpectAfterRun(notRun, RetiredProfile) },
    { CallerNotAllowed, ExpectAfterRun(notRun, CallerNotAllowed) },
    { Shed, ExpectAfterRun(notRun, Shed) },
    { QueueDeadline, ExpectAfterRun(notRun, QueueDeadline) },
    { Quarantined,
      { notRun,
        [](Vm& aVm) {
          aVm.mQuarantine.Add(kFingerprint, kNow);
          return aVm.Route(aVm.Issue()).mAnswer;
        } } },
    { NoUpstreamReachable, ExpectAfterExchange(notRun, UpstreamEnd::NoneReachable) },
    { ConnectFailed, ExpectAfterExchange(notRun, UpstreamEnd::ConnectFailed) },
    { DeadlineBeforeSend,
      { notRun,
        [](Vm& aVm) {
          // The process was stopped after Route() and continued after the deadline.
          auto run = aVm.Route(aVm.Issue()).mRun;
          CHECK_FALSE(aVm.mRouter.TryMarkSent(run, kNow + 1s));
          return aVm.mRouter.EndRun(run, DeadlineBeforeSend, kNow + 1s);
        } } },
    { UpstreamShed, ExpectAfterExchange(notRun, UpstreamEnd::Response, 429) },
    { UpstreamDraining, ExpectAfterExchange(notRun, UpstreamEnd::Response, 503) },
    { UpstreamDeadline, ExpectAfterExchange(notRun, UpstreamEnd::Response, 504) },
    { ConnectionLostAfterSend,
      ExpectAfterExchange(unknown, UpstreamEnd::ConnectionLost) },
    { TimedOutAfterSend, ExpectAfterExchange(unknown, UpstreamEnd::TimedOut) },
    { UpstreamReplyInvalid, ExpectAfterExchange(unknown, UpstreamEnd::Response, 418) },
    { TicketMalformed, { notRun, [](Vm& aVm) { return aVm.Route("x").mAnswer; } } },
    { TicketOversized,
      { notRun, [](Vm& aVm) { return aVm.Route(std::string(9999, 'A')).mAnswer; } } },
    { TicketForged, { notRun, [](Vm& aVm) { return aVm.Route(Vm().Issue()).mAnswer; } } },
    { TicketOfOther,
      { notRun, [](Vm& aVm) { return aVm.Route(aVm.Issue("third")).mAnswer; } } },
    { TicketBodyDiffers,
      { notRun, [](Vm& aVm) { return RouteTwice(aVm, RequestFingerprint(6)); } } },
    { TicketExpiredUnused, { notRun, [](Vm& aVm) { return RouteExpired(aVm, false); } } },
    { TicketExpired, { unknown, [](Vm& aVm) { return RouteExpired(aVm, true); } } },
    { TicketLimitOfCaller,
      { notRun, [](Vm& aVm) { return RouteAtLimit(aVm, 2, "house"); } } },
    { TicketLimit, { notRun, [](Vm& aVm) { return RouteAtLimit(aVm, 3, "fourth"); } } },
    { TooManyWaiters,
      { unknown, [](Vm& aVm) { return RouteTwice(aVm, kFingerprint); } } },
    { WaitTimedOut, { unknown, [](Vm& aVm) { return aVm.mRouter.EndWait(); } } },
    { IssuerDead,
      { unknown, [](Vm& aVm) { return aVm.RouteTicketOfOtherVm(IssuerState::Dead); } } },
    { IssuerReplaced,
      { unknown,
        [](Vm& aVm) {
          const auto replaced = aVm.RouteTicketOfOtherVm(IssuerState::Replaced);
          CHECK(replaced ==
                ExecutionAnswer{ IssuerReplaced, AnswerScope::Request, "vm-2" });
          return aVm.Route(Vm(2).Issue()).mAnswer;
        } } },
    { IssuerUnreachable,
      { unknown,
        [](Vm& aVm) { return aVm.RouteTicketOfOtherVm(IssuerState::Unreachable); } } },
    { IssuerUnknowing,
      { unknown,
        [](Vm& aVm) {
          CHECK(aVm.EndForward(ForwardEnd::IssuerUnknowing).mEnd == IssuerUnknowing);
          aVm.mIsForwarded = true;
          return aVm.Route(Vm(1, "vm-2").Issue()).mAnswer;
        } } },
    { ForwardNotHandedOver,
      // Not `not-run`: a copy that the caller sent through another VM may have run.
      { unknown, [](Vm& aVm) { return aVm.EndForward(ForwardEnd::NotHandedOver); } } },
    { ForwardTimedOut,
      { unknown, [](Vm& aVm) { return aVm.EndForward(ForwardEnd::NoReply); } } },
    { ForwardReplyInvalid,
      { unknown, [](Vm& aVm) { return aVm.EndForward(ForwardEnd::InvalidReply); } } },
    { ShutdownBeforeSend, ExpectAfterRun(notRun, ShutdownBeforeSend) },
    { ShutdownAfterSend, { unknown, ShutDownAfterSend } },
  };
}

} // namespace

TEST_CASE("each end condition is reached, with the outcome of the design page")
{
  // Guards against an end condition that is never reported or has the wrong outcome.
  auto expectations = Expectations();
  CHECK(expectations.size() == EndConditionTable().size());
  for (const auto& row : EndConditionTable()) {
    CAPTURE(row.mCause);
    REQUIRE(expectations.contains(row.mEnd));
    Vm vm;
    const auto answer = expectations.at(row.mEnd).mProduceAnswer(vm);
    CHECK(RowOf(answer.mEnd).mCause == row.mCause);
    CHECK(answer.Result() == expectations.at(row.mEnd).mOutcome);
    CHECK(answer.Status() == row.mStatus);
    CHECK(answer.AsError().mStep == row.mStep);
    CHECK((answer.Status() == 200) == (row.mEnd == EndCondition::UpstreamAnswered));
  }
}

TEST_CASE("after a permitted send only a reply of the upstream can mean not-run")
{
  // Guards against `not-run` for a request of which a byte may have left.
  for (const auto& row : EndConditionTable()) {
    CAPTURE(row.mCause);
    Vm vm;
    auto withTicket = vm.Route(vm.Issue()).mRun;
    auto withoutTicket = vm.Route(std::nullopt).mRun;
    for (auto* run : { &withTicket, &withoutTicket }) {
      CHECK_FALSE(vm.mRouter.TryMarkSent(*run, kNow + 1s));
      CHECK(vm.mRouter.TryMarkSent(*run, kNow));
      CHECK_FALSE(vm.mRouter.TryMarkSent(*run, kNow));
      const auto answer = vm.mRouter.EndRun(*run, row.mEnd, kNow);
      CHECK((answer.Result() != Outcome::NotRun || row.mStep == Step::UpstreamReply));
    }
  }
}

TEST_CASE("the page for callers contains the table of end conditions")
{
  auto root = std::filesystem::current_path();
  while (!std::filesystem::exists(root / "docs/callers") && root != root.parent_path()) {
    root = root.parent_path();
  }
  std::ifstream file(root / "docs/callers/outcomes.md");
  REQUIRE(file);
  std::stringstream text;
  text << file.rdbuf();
  CHECK_MESSAGE(text.str().find(EndConditionMarkdown()) != std::string::npos,
                "expected table:\n", EndConditionMarkdown());
}

TEST_CASE("the quarantine limits its entries and the time of an entry from a peer")
{
  // Guards against unbounded memory when many requests crash upstreams, and against a
  // peer that makes this VM refuse a request for longer than the period.
  Quarantine quarantine({ 10min, 2 });
  quarantine.AddFromPeer({ RequestFingerprint(1), 24h }, kNow);
  CHECK(quarantine.Check(RequestFingerprint(1), kNow + 9min));
  CHECK_FALSE(quarantine.Check(RequestFingerprint(1), kNow + 10min));
  quarantine.AddFromPeer({ RequestFingerprint(2), 1min }, kNow);
  quarantine.AddFromPeer({ RequestFingerprint(1), 1min }, kNow);
  quarantine.Add(RequestFingerprint(3), kNow);
  CHECK(quarantine.Count() == 2);
  CHECK_FALSE(quarantine.Check(RequestFingerprint(2), kNow));
  CHECK(quarantine.ActiveEntries(kNow).size() == 2);
  CHECK(quarantine.Sweep(kNow + 10min) == 2);
}
