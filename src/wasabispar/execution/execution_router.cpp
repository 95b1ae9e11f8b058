/// @file
/// @brief ExecutionRouter: routes requests by ticket and maps ends to answers.
#include "wasabispar/execution/execution_router.hpp"

#include <utility>

namespace wasabispar {

namespace {

ExecutionAnswer
MakeAnswer(EndCondition aEnd, std::string aPeer = {})
{
  return { aEnd, AnswerScope::Request, std::move(aPeer), {} };
}

RouteDecision
DecideAnswer(ExecutionAnswer aAnswer)
{
  return { RouteAction::Answer, {}, {}, std::move(aAnswer) };
}

EndCondition
EndConditionOfRefusal(TicketRefusal aRefusal)
{
  switch (aRefusal) {
    case TicketRefusal::Oversized:
      return EndCondition::TicketOversized;
    case TicketRefusal::Forged:
      return EndCondition::TicketForged;
    default:
      return EndCondition::TicketMalformed;
  }
}

EndCondition
EndConditionOfExchange(UpstreamEnd aEnd, unsigned aStatus)
{
  switch (aEnd) {
    case UpstreamEnd::NoneReachable:
      return EndCondition::NoUpstreamReachable;
    case UpstreamEnd::ConnectFailed:
      return EndCondition::ConnectFailed;
    case UpstreamEnd::ConnectionLost:
      return EndCondition::ConnectionLostAfterSend;
    case UpstreamEnd::TimedOut:
      return EndCondition::TimedOutAfterSend;
    case UpstreamEnd::Response:
      return EndConditionOfStatus(aStatus);
  }
  return EndCondition::UpstreamReplyInvalid;
}

} // namespace

EndCondition
EndConditionOfStatus(unsigned aStatus)
{
  switch (aStatus) {
    case 200:
      return EndCondition::UpstreamAnswered;
    case 500:
      return EndCondition::UpstreamFailed;
    case 429:
      return EndCondition::UpstreamShed;
    case 503:
      return EndCondition::UpstreamDraining;
    case 504:
      return EndCondition::UpstreamDeadline;
    default:
      return EndCondition::UpstreamReplyInvalid;
  }
}

ExecutionRouter::ExecutionRouter(ExecutionLedger& aLedger, Quarantine& aQuarantine,
                                 IssuerStateFn aIssuerState)
  : mLedger(aLedger)
  , mQuarantine(aQuarantine)
  , mIssuerState(std::move(aIssuerState))
{
}

RouteDecision
ExecutionRouter::Route(const ExecutionRequest& aRequest, TimePoint aNow,
                       ExecutionAnswerFn aOnAnswer)
{
  if (!aRequest.mTicket) {
    if (aNow >= aRequest.mDeadline) {
      return DecideAnswer(MakeAnswer(EndCondition::DeadlineBeforeSend));
    }
    if (auto refusal = mQuarantine.Check(aRequest.mBody, aNow)) {
      return DecideAnswer(std::move(*refusal));
    }
    return { RouteAction::Run, { {}, aRequest.mDeadline, false }, {}, {} };
  }
  const auto verification = mLedger.Codec().Verify(*aRequest.mTicket, aNow);
  if (verification.mRefusal == TicketRefusal::Foreign) {
    return RouteForeignTicket(aRequest, aNow);
  }
  if (!verification.mTicket) {
    return DecideAnswer(MakeAnswer(EndConditionOfRefusal(verification.mRefusal)));
  }
  return RouteOwnTicket(aRequest, *verification.mTicket, aNow, std::move(aOnAnswer));
}

RouteDecision
ExecutionRouter::RouteForeignTicket(const ExecutionRequest& aRequest,
                                    TimePoint aNow) const
{
  const auto issuer = ParseTicketIssuer(*aRequest.mTicket).mIssuer;
  if (!issuer) {
    return DecideAnswer(MakeAnswer(EndCondition::TicketMalformed));
  }
  const auto& vm = issuer->mVm.Text();
  if (issuer->mVm == mLedger.Codec().Issuer().mVm) {
    return DecideAnswer(MakeAnswer(EndCondition::IssuerReplaced, vm));
  }
  if (aRequest.mIsForwarded) {
    return DecideAnswer(MakeAnswer(EndCondition::IssuerUnknowing, vm));
  }
  switch (mIssuerState(*issuer)) {
    case IssuerState::Dead:
      return DecideAnswer(MakeAnswer(EndCondition::IssuerDead, vm));
    case IssuerState::Replaced:
      return DecideAnswer(MakeAnswer(EndCondition::IssuerReplaced, vm));
    case IssuerState::Unreachable:
      return DecideAnswer(MakeAnswer(EndCondition::IssuerUnreachable, vm));
    case IssuerState::Alive:
      break;
  }
  if (aNow >= aRequest.mDeadline) {
    return DecideAnswer(MakeAnswer(EndCondition::ForwardNotHandedOver, vm));
  }
  return { RouteAction::Forward, {}, *issuer, {} };
}

RouteDecision
ExecutionRouter::RouteOwnTicket(const ExecutionRequest& aRequest, const Ticket& aTicket,
                                TimePoint aNow, ExecutionAnswerFn aOnAnswer)
{
  if (aTicket.mCaller != aRequest.mCaller || aTicket.mProfile != aRequest.mProfile) {
    return DecideAnswer(MakeAnswer(EndCondition::TicketOfOther));
  }
  auto begin = mLedger.Begin(aTicket, aRequest.mBody, aRequest.mDeadline, aNow,
                             std::move(aOnAnswer));
  if (begin.mAction == BeginAction::Wait) {
    return { RouteAction::Wait, {}, {}, {} };
  }
  if (begin.mAction != BeginAction::Start) {
    return DecideAnswer(std::move(begin.mAnswer));
  }
  ExecutionRun run{ begin.mAttempt, aRequest.mDeadline, false };
  if (auto refusal = mQuarantine.Check(aRequest.mBody, aNow)) {
    return DecideAnswer(CompleteRun(run, std::move(*refusal), aNow));
  }
  return { RouteAction::Run, run, {}, {} };
}

bool
ExecutionRouter::TryMarkSent(ExecutionRun& aRun, TimePoint aNow)
{
  if (aRun.mIsSent || aNow >= aRun.mDeadline) {
    return false;
  }
  aRun.mIsSent = !aRun.mAttempt || mLedger.TryMarkSent(*aRun.mAttempt, aNow);
  return aRun.mIsSent;
}

ExecutionAnswer
ExecutionRouter::CompleteRun(const ExecutionRun& aRun, ExecutionAnswer aAnswer,
                             TimePoint aNow)
{
  if (aRun.mIsSent) {
    aAnswer.mEnd = EndConditionAfterSend(aAnswer.mEnd);
  }
  if (!aRun.mAttempt) {
    return aAnswer;
  }
  return mLedger.Complete(*aRun.mAttempt, std::move(aAnswer), aNow);
}

ExecutionAnswer
ExecutionRouter::EndRun(const ExecutionRun& aRun, EndCondition aEnd, TimePoint aNow)
{
  return CompleteRun(aRun, MakeAnswer(aEnd), aNow);
}

ExecutionAnswer
ExecutionRouter::EndExchange(const ExecutionRun& aRun, UpstreamEnd aEnd, unsigned aStatus,
                             std::string aBody, std::string aPeer, TimePoint aNow)
{
  auto answer = MakeAnswer(EndConditionOfExchange(aEnd, aStatus), std::move(aPeer));
  if (answer.Result() == Outcome::Ran) {
    answer.mBody = std::move(aBody);
  }
  return CompleteRun(aRun, std::move(answer), aNow);
}

ExecutionAnswer
ExecutionRouter::EndForward(ForwardEnd aEnd, const TicketIssuer& aIssuer,
                            ExecutionAnswer aReply) const
{
  const auto& vm = aIssuer.mVm.Text();
  switch (aEnd) {
    case ForwardEnd::NotHandedOver:
      return MakeAnswer(EndCondition::ForwardNotHandedOver, vm);
    case ForwardEnd::NoReply:
      return MakeAnswer(EndCondition::ForwardTimedOut, vm);
    case ForwardEnd::InvalidReply:
      return MakeAnswer(EndCondition::ForwardReplyInvalid, vm);
    case ForwardEnd::IssuerUnknowing:
      return MakeAnswer(EndCondition::IssuerUnknowing, vm);
    case ForwardEnd::Reply:
      return aReply;
  }
  return MakeAnswer(EndCondition::ForwardReplyInvalid, vm);
}

ExecutionAnswer
ExecutionRouter::EndWait() const
{
  return { EndCondition::WaitTimedOut, AnswerScope::Ticket, {}, {} };
}

} // namespace wasabispar
