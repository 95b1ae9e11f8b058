/// @file
/// @brief Differential test of routers and ledgers under faults: compares them with the
/// model "a ticket runs unless it is in the set of executed tickets" and with the
/// executions that the simulated upstream counted.
#include "wasabispar/execution/execution_router.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kVmCount = 3;
constexpr Duration kTicketLifetime = 10s;

struct Vm
{
  TicketIssuer mIssuer;
  std::unique_ptr<ExecutionLedger> mLedger;
  std::unique_ptr<Quarantine> mQuarantine;
  std::unique_ptr<ExecutionRouter> mRouter;
};

struct IssuedTicket
{
  std::string mText;
  TicketIssuer mIssuer;
  std::size_t mVm = 0;
  TimePoint mExpiry;
};

struct Arrival
{
  std::size_t mTicket = 0;
  RequestFingerprint mFingerprint;
  TimePoint mDeadline;
};

/// A run that the ledger started and that has not ended.
struct Running
{
  std::size_t mVm = 0;
  std::size_t mArrival = 0;
  ExecutionRun mRun;
  UpstreamEnd mEnd = UpstreamEnd::ConnectFailed;
  unsigned mStatus = 0;
};

struct PendingForward
{
  std::size_t mArrival = 0;
  TicketIssuer mIssuer;
};

/// What really happened with a ticket, for comparison with the answers.
struct GroundTruth
{
  int mExecutions = 0;
  std::string mReply;
  /// A request was answered with `ticket-expired` or `ticket-expired-unused`, so the
  /// ticket must not execute any more.
  bool mIsAnsweredExpired = false;
};

class SimulatedFleet
{
public:
  SimulatedFleet()
  {
    for (std::size_t vm = 0; vm < kVmCount; ++vm) {
      Restart(vm);
    }
  }

  /// Performs a random event, which @p aRandomBits selects.
  void Step(std::uint32_t aRandomBits)
  {
    const auto kind = aRandomBits % 16;
    mRandomBits = aRandomBits / 16;
    switch (kind) {
      case 0:
      case 1:
        return IssueTicket(Draw(kVmCount));
      case 2:
      case 3:
      case 4:
      case 5:
        return SendRequest();
      case 6:
      case 7:
        return DeliverForward();
      case 8:
      case 9:
      case 10:
        return SendUpstream();
      case 11:
      case 12:
        return EndExchange();
      case 13:
        mNow += Draw(8) == 0 ? 11s : 300ms;
        return;
      case 14:
        mVms[Draw(kVmCount)].mLedger->Sweep(mNow);
        return;
      default:
        if (Draw(8) == 0) {
          Restart(Draw(kVmCount));
        }
    }
  }

private:
  /// The next random number below @p aBound.
  std::size_t Draw(std::size_t aBound)
  {
    const auto value = mRandomBits % aBound;
    mRandomBits /= static_cast<std::uint32_t>(aBound);
    return value;
  }

  void Restart(std::size_t aVm)
  {
    auto& vm = mVms[aVm];
    std::erase_if(mRunning, [&](const Running& aRun) { return aRun.mVm == aVm; });
    vm.mIssuer = { VmId("vm-" + std::to_string(aVm)), Incarnation(++mIncarnation) };
    ExecutionLedgerOptions options;
    options.mTicketLifetime = kTicketLifetime;
    options.mMaxWaiters = 3;
    options.mShards = 2;
    vm.mLedger =
      std::make_unique<ExecutionLedger>(vm.mIssuer, NewTicketSecret(), options);
    vm.mQuarantine = std::make_unique<Quarantine>();
    // A stale view: each issuer is reported alive, even after it has restarted.
    vm.mRouter = std::make_unique<ExecutionRouter>(
      *vm.mLedger, *vm.mQuarantine,
      [](const TicketIssuer&) { return IssuerState::Alive; });
  }

  void IssueTicket(std::size_t aVm)
  {
    const auto issued =
      mVms[aVm].mLedger->Issue(ProfileName("invoice"), CallerId("house"), mNow);
    RC_ASSERT(issued.IsIssued());
    mTickets.push_back(
      { issued.mTicket, mVms[aVm].mIssuer, aVm, mNow + kTicketLifetime });
  }

  void SendRequest()
  {
    if (mTickets.empty()) {
      return;
    }
    // Prefers recent tickets, so that most requests use a ticket that is in use already.
    const auto ticket =
      mTickets.size() - 1 - Draw(std::min<std::size_t>(4, mTickets.size()));
    const auto isOtherBody = Draw(16) == 0;
    mArrivals.push_back({ ticket, RequestFingerprint(ticket * 2 + (isOtherBody ? 1 : 0)),
                          mNow + (Draw(4) == 0 ? 200ms : 5s) });
    // Half of the requests go to the issuer's VM, the others to any VM.
    const auto vm = Draw(2) == 0 ? mTickets[ticket].mVm : Draw(kVmCount);
    Route(vm, mArrivals.size() - 1, false);
  }

  void Route(std::size_t aVm, std::size_t aArrival, bool aIsForwarded)
  {
    const auto& arrival = mArrivals[aArrival];
    const auto& ticket = mTickets[arrival.mTicket];
    const ExecutionRequest request{ ProfileName("invoice"), CallerId("house"),
                                    ticket.mText,           arrival.mFingerprint,
                                    arrival.mDeadline,      aIsForwarded };
    auto decision = mVms[aVm].mRouter->Route(
      request, mNow,
      [this, aArrival](const ExecutionAnswer& aAnswer) { OnAnswer(aArrival, aAnswer); });
    CheckAgainstModel(aVm, arrival, decision);
    if (decision.mAction == RouteAction::Run) {
      mFirstFingerprints.try_emplace(arrival.mTicket, arrival.mFingerprint);
      mRunning.push_back({ aVm, aArrival, decision.mRun });
    } else if (decision.mAction == RouteAction::Forward) {
      RC_ASSERT(!aIsForwarded);
      mForwards.push_back({ aArrival, decision.mIssuer });
    } else if (decision.mAction == RouteAction::Answer) {
      OnAnswer(aArrival, decision.mAnswer);
    }
  }

  /// Compares a decision with the model, which applies at the issuer, before expiry and
  /// deadline, and to the body of the first execution.
  void CheckAgainstModel(std::size_t aVm, const Arrival& aArrival,
                         const RouteDecision& aDecision)
  {
    const auto& ticket = mTickets[aArrival.mTicket];
    const auto firstFingerprint = mFirstFingerprints.find(aArrival.mTicket);
    if (mVms[aVm].mIssuer != ticket.mIssuer || mNow >= ticket.mExpiry ||
        mNow >= aArrival.mDeadline ||
        (firstFingerprint != mFirstFingerprints.end() &&
         firstFingerprint->second != aArrival.mFingerprint)) {
      RC_ASSERT(aDecision.mAction != RouteAction::Run);
      return;
    }
    const auto isRunning = std::ranges::any_of(mRunning, [&](const Running& aRun) {
      return mArrivals[aRun.mArrival].mTicket == aArrival.mTicket;
    });
    if (mPossiblyExecuted.contains(aArrival.mTicket)) {
      RC_ASSERT(aDecision.mAction == RouteAction::Answer);
      RC_ASSERT(aDecision.mAnswer.Result() != Outcome::NotRun);
    } else if (isRunning) {
      RC_ASSERT(aDecision.mAction == RouteAction::Wait ||
                aDecision.mAnswer.mEnd == EndCondition::TooManyWaiters);
    } else {
      RC_ASSERT(aDecision.mAction == RouteAction::Run);
    }
  }

  void DeliverForward()
  {
    if (mForwards.empty()) {
      return;
    }
    const auto index = Draw(mForwards.size());
    const auto forward = mForwards[index];
    mForwards.erase(mForwards.begin() + static_cast<std::ptrdiff_t>(index));
    const auto deliveryCase = Draw(8);
    if (deliveryCase == 0) {
      OnAnswer(forward.mArrival, mVms[0].mRouter->EndForward(ForwardEnd::NotHandedOver,
                                                             forward.mIssuer, {}));
      return;
    }
    if (deliveryCase == 1) {
      // The message arrives, but its reply is lost.
      OnAnswer(forward.mArrival,
               mVms[0].mRouter->EndForward(ForwardEnd::NoReply, forward.mIssuer, {}));
    }
    for (std::size_t vm = 0; vm < kVmCount; ++vm) {
      if (mVms[vm].mIssuer.mVm == forward.mIssuer.mVm) {
        Route(vm, forward.mArrival, true);
      }
    }
  }

  Running* PickRunning(bool aIsSent)
  {
    std::vector<Running*> candidates;
    for (auto& running : mRunning) {
      if (running.mRun.mIsSent == aIsSent) {
        candidates.push_back(&running);
      }
    }
    return candidates.empty() ? nullptr : candidates[Draw(candidates.size())];
  }

  void SendUpstream()
  {
    auto* running = PickRunning(false);
    if (running == nullptr) {
      return;
    }
    if (Draw(8) == 0) {
      return CompleteExchange(*running, UpstreamEnd::ConnectFailed, 0);
    }
    // Simulates a thread that was paused between reading the clock and the check.
    const auto clockReading = Draw(4) == 0 ? mNow - 3s : mNow;
    auto& vm = mVms[running->mVm];
    if (!vm.mRouter->TryMarkSent(running->mRun, clockReading)) {
      const auto arrival = running->mArrival;
      const auto answer =
        vm.mRouter->EndRun(running->mRun, EndCondition::DeadlineBeforeSend, mNow);
      RemoveRunning(*running);
      return OnAnswer(arrival, answer);
    }
    RC_ASSERT(clockReading < mArrivals[running->mArrival].mDeadline);
    Exchange(*running, Draw(8));
  }

  /// Simulates the upstream: whether it executes, and how the exchange will end.
  void Exchange(Running& aRunning, std::size_t aOutcomeIndex)
  {
    static constexpr std::array kStatuses{ 200U, 200U, 500U, 429U, 503U, 504U, 200U, 0U };
    aRunning.mStatus = kStatuses[aOutcomeIndex];
    aRunning.mEnd =
      aOutcomeIndex < 6 ? UpstreamEnd::Response : UpstreamEnd::ConnectionLost;
    if (aRunning.mStatus == 200 || aRunning.mStatus == 500) {
      const auto ticket = mArrivals[aRunning.mArrival].mTicket;
      auto& truth = mGroundTruth[ticket];
      RC_ASSERT(++truth.mExecutions == 1);
      RC_ASSERT(!truth.mIsAnsweredExpired);
      RC_ASSERT(!mRefused.contains(aRunning.mArrival));
      truth.mReply = "reply-" + std::to_string(mReplies++);
    }
  }

  void EndExchange()
  {
    if (auto* running = PickRunning(true)) {
      CompleteExchange(*running, running->mEnd, running->mStatus);
    }
  }

  void CompleteExchange(Running& aRunning, UpstreamEnd aEnd, unsigned aStatus)
  {
    const auto arrival = aRunning.mArrival;
    const auto ticket = mArrivals[arrival].mTicket;
    const auto vm = aRunning.mVm;
    const auto run = aRunning.mRun;
    RemoveRunning(aRunning);
    if (EndConditionOfStatus(aStatus) == EndCondition::UpstreamAnswered ||
        aEnd == UpstreamEnd::ConnectionLost || aStatus == 500) {
      mPossiblyExecuted.insert(ticket);
    }
    const auto answer = mVms[vm].mRouter->EndExchange(
      run, aEnd, aStatus, mGroundTruth[ticket].mReply, "upstream-1", mNow);
    OnAnswer(arrival, answer);
  }

  void RemoveRunning(Running& aRunning)
  {
    mRunning.erase(mRunning.begin() + (&aRunning - mRunning.data()));
  }

  /// Checks an answer. A request may have been answered before, when the reply of its
  /// forward was lost.
  void OnAnswer(std::size_t aArrival, const ExecutionAnswer& aAnswer)
  {
    const auto& arrival = mArrivals[aArrival];
    auto& truth = mGroundTruth[arrival.mTicket];
    const auto outcome = aAnswer.Result();
    if (outcome == Outcome::NotRun) {
      mRefused.insert(aArrival);
      RC_ASSERT(aAnswer.mScope == AnswerScope::Request || truth.mExecutions == 0);
    } else if (outcome == Outcome::Ran) {
      RC_ASSERT(truth.mExecutions == 1);
      RC_ASSERT(aAnswer.mBody == truth.mReply);
    }
    if (aAnswer.mEnd == EndCondition::TicketExpired ||
        aAnswer.mEnd == EndCondition::TicketExpiredUnused) {
      truth.mIsAnsweredExpired = true;
    }
  }

  std::uint32_t mRandomBits = 0;
  std::uint64_t mIncarnation = 0;
  int mReplies = 0;
  TimePoint mNow{ 100s };
  std::array<Vm, kVmCount> mVms;
  std::vector<IssuedTicket> mTickets;
  std::vector<Arrival> mArrivals;
  std::vector<Running> mRunning;
  std::vector<PendingForward> mForwards;
  std::map<std::size_t, GroundTruth> mGroundTruth;
  std::map<std::size_t, RequestFingerprint> mFirstFingerprints;
  /// State of the model: tickets that have or may have executed.
  std::set<std::size_t> mPossiblyExecuted;
  /// Requests that were answered with `not-run`.
  std::set<std::size_t> mRefused;
};

} // namespace

TEST_CASE("no ticket runs twice under resends, restarts, pauses, lost replies and expiry")
{
  // Guards against a second execution of a ticket, a replay that differs from the first
  // reply, `not-run` for an executed request, and the execution of a ticket that was
  // already reported as expired.
  CHECK(rc::check([] {
    const auto steps = *rc::gen::resize(
      600, rc::gen::container<std::vector<std::uint32_t>>(
             rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1U << 31U))));
    SimulatedFleet fleet;
    for (const auto randomBits : steps) {
      fleet.Step(randomBits);
    }
  }));
}
