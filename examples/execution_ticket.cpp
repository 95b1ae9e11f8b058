/// @file
/// @brief Runs an invoice with a ticket: the reply is lost, the caller resends at another
/// VM, and gets the same invoice.
#include "wasabispar/base/hash.hpp"
#include "wasabispar/execution/execution_router.hpp"

#include <iostream>

using namespace wasabispar;

namespace {

/// One VM; the example calls it where a process would use the network.
struct Vm
{
  explicit Vm(const char* aName)
    : mIssuer{ VmId(aName), Incarnation(1) }
    , mLedger(mIssuer, NewTicketSecret())
    , mRouter(mLedger, mQuarantine,
              [](const TicketIssuer&) { return IssuerState::Alive; })
  {
  }

  TicketIssuer mIssuer;
  ExecutionLedger mLedger;
  Quarantine mQuarantine;
  ExecutionRouter mRouter;
};

void
Print(const char* aWho, const ExecutionAnswer& aAnswer)
{
  std::cout << aWho << ": " << ToText(aAnswer.Result()) << " ("
            << RowOf(aAnswer.mEnd).mCause << ", covers " << ToText(aAnswer.mScope) << ") "
            << aAnswer.mBody << '\n';
}

/// What a VM does with a request that it may run.
ExecutionAnswer
RunInvoice(Vm& aVm, ExecutionRun aRun, TimePoint aNow)
{
  if (!aVm.mRouter.TryMarkSent(aRun, aNow)) {
    return aVm.mRouter.EndRun(aRun, EndCondition::DeadlineBeforeSend, aNow);
  }
  // Here the request goes to the upstream, which answers:
  return aVm.mRouter.EndExchange(aRun, UpstreamEnd::Response, 200, R"({"invoice":4711})",
                                 "upstream-1", aNow);
}

} // namespace

int
main()
{
  Vm first("vm-1");
  Vm second("vm-2");
  const auto now = BootClock::now();
  const ProfileName profile("invoice");
  const CallerId caller("tawzi3");
  const auto issued = first.mLedger.Issue(profile, caller, now);
  ExecutionRequest request{ profile, caller, issued.mTicket,
                            Fingerprint(profile, R"({"order":12})"),
                            now + std::chrono::seconds(2) };

  auto decision = first.mRouter.Route(request, now, nullptr);
  Print("vm-1, reply lost on its way to the caller",
        RunInvoice(first, decision.mRun, now));

  decision = second.mRouter.Route(request, now, nullptr);
  std::cout << "vm-2 forwards to " << decision.mIssuer.mVm.Text() << '\n';
  request.mIsForwarded = true;
  const auto reply = first.mRouter.Route(request, now, nullptr).mAnswer;
  Print("vm-2", second.mRouter.EndForward(ForwardEnd::Reply, decision.mIssuer, reply));

  request.mBody = Fingerprint(profile, R"({"order":13})");
  Print("another body", first.mRouter.Route(request, now, nullptr).mAnswer);
  return reply.Result() == Outcome::Ran ? 0 : 1;
}
