/// @file
/// @brief ExecutionRouter: routes by ticket and maps ends to answers.
#include "wasabispar/execution/execution_router.hpp"

#include <utility>

namespace wasabispar {

namespace {

ExecutionAnswer
AnswerOf(EndCondition aEnd, std::string aPeer = {})
{
  return { aEnd, AnswerScope::Request, std::move(aPeer), {} };
}

RouteDecision
Answer(ExecutionAnswer aAnswer)
{
  return { RouteAction::Answer, {}, {}, std::move(aAnswer) };
}

EndCondition
EndOfRefusal(TicketRefusal aRefusal)
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
EndOf(UpstreamEnd aEnd, unsigned aStatus)
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
      return EndOfUpstreamStatus(aStatus);
  }
  return EndCondition::UpstreamReplyInvalid;
}

} // namespace

EndCondition
EndOfUpstreamStatus(unsigned aStatus)
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
                       ExecutionWaitFn aOnAnswer)
{
  if (!aRequest.mTicket) {
    if (aNow >= aRequest.mDeadline) {
      return Answer(AnswerOf(EndCondition::DeadlineBeforeSend));
    }
    if (auto refusal = mQuarantine.Check(aRequest.mBody, aNow)) {
      return Answer(std::move(*refusal));
    }
    return { RouteAction::Run, { {}, aRequest.mDeadline, false }, {}, {} };
  }
  const auto verdict = mLedger.Codec().Verify(*aRequest.mTicket, aNow);
  if (verdict.mRefusal == TicketRefusal::Foreign) {
    return RouteForeign(aRequest, aNow);
  }
  if (!verdict.mTicket) {
    return Answer(AnswerOf(EndOfRefusal(verdict.mRefusal)));
  }
  return RouteOwn(aRequest, *verdict.mTicket, aNow, std::move(aOnAnswer));
}

RouteDecision
ExecutionRouter::RouteForeign(const ExecutionRequest& aRequest, TimePoint aNow) const
{
  const auto issuer = ReadTicketIssuer(*aRequest.mTicket).mIssuer;
  if (!issuer) {
    return Answer(AnswerOf(EndCondition::TicketMalformed));
  }
  const auto& vm = issuer->mVm.Text();
  if (issuer->mVm == mLedger.Codec().Issuer().mVm) {
    return Answer(AnswerOf(EndCondition::IssuerReplaced, vm));
  }
  if (aRequest.mIsForwarded) {
    return Answer(AnswerOf(EndCondition::IssuerUnknowing, vm));
  }
  switch (mIssuerState(*issuer)) {
    case IssuerState::Dead:
      return Answer(AnswerOf(EndCondition::IssuerDead, vm));
    case IssuerState::Replaced:
      return Answer(AnswerOf(EndCondition::IssuerReplaced, vm));
    case IssuerState::Unreachable:
      return Answer(AnswerOf(EndCondition::IssuerUnreachable, vm));
    case IssuerState::Alive:
      break;
  }
  if (aNow >= aRequest.mDeadline) {
    return Answer(AnswerOf(EndCondition::ForwardNotHandedOver, vm));
  }
  return { RouteAction::Forward, {}, *issuer, {} };
}

RouteDecision
ExecutionRouter::RouteOwn(const ExecutionRequest& aRequest, const Ticket& aTicket,
                          TimePoint aNow, ExecutionWaitFn aOnAnswer)
{
  if (aTicket.mCaller != aRequest.mCaller || aTicket.mProfile != aRequest.mProfile) {
    return Answer(AnswerOf(EndCondition::TicketOfOther));
  }
  auto begin = mLedger.Begin(aTicket, aRequest.mBody, aRequest.mDeadline, aNow,
                             std::move(aOnAnswer));
  if (begin.mAction == BeginAction::Wait) {
    return { RouteAction::Wait, {}, {}, {} };
  }
  if (begin.mAction != BeginAction::Start) {
    return Answer(std::move(begin.mAnswer));
  }
  ExecutionRun run{ begin.mAttempt, aRequest.mDeadline, false };
  if (auto refusal = mQuarantine.Check(aRequest.mBody, aNow)) {
    return Answer(End(run, std::move(*refusal), aNow));
  }
  return { RouteAction::Run, run, {}, {} };
}

bool
ExecutionRouter::MayStillSend(ExecutionRun& aRun, TimePoint aNow)
{
  if (aRun.mIsSent || aNow >= aRun.mDeadline) {
    return false;
  }
  aRun.mIsSent = !aRun.mAttempt || mLedger.MayStillSend(*aRun.mAttempt, aNow);
  return aRun.mIsSent;
}

ExecutionAnswer
ExecutionRouter::End(const ExecutionRun& aRun, ExecutionAnswer aAnswer, TimePoint aNow)
{
  if (aRun.mIsSent) {
    aAnswer.mEnd = AfterSend(aAnswer.mEnd);
  }
  if (!aRun.mAttempt) {
    return aAnswer;
  }
  return mLedger.Complete(*aRun.mAttempt, std::move(aAnswer), aNow);
}

ExecutionAnswer
ExecutionRouter::EndRun(const ExecutionRun& aRun, EndCondition aEnd, TimePoint aNow)
{
  return End(aRun, AnswerOf(aEnd), aNow);
}

ExecutionAnswer
ExecutionRouter::EndExchange(const ExecutionRun& aRun, UpstreamEnd aEnd, unsigned aStatus,
                             std::string aBody, std::string aPeer, TimePoint aNow)
{
  auto answer = AnswerOf(EndOf(aEnd, aStatus), std::move(aPeer));
  if (answer.Result() == Outcome::Ran) {
    answer.mBody = std::move(aBody);
  }
  return End(aRun, std::move(answer), aNow);
}

ExecutionAnswer
ExecutionRouter::EndForward(ForwardEnd aEnd, const TicketIssuer& aIssuer,
                            ExecutionAnswer aReply) const
{
  const auto& vm = aIssuer.mVm.Text();
  switch (aEnd) {
    case ForwardEnd::NotHandedOver:
      return AnswerOf(EndCondition::ForwardNotHandedOver, vm);
    case ForwardEnd::NoReply:
      return AnswerOf(EndCondition::ForwardTimedOut, vm);
    case ForwardEnd::InvalidReply:
      return AnswerOf(EndCondition::ForwardReplyInvalid, vm);
    case ForwardEnd::IssuerUnknowing:
      return AnswerOf(EndCondition::IssuerUnknowing, vm);
    case ForwardEnd::Reply:
      return aReply;
  }
  return AnswerOf(EndCondition::ForwardReplyInvalid, vm);
}

ExecutionAnswer
ExecutionRouter::EndWait() const
{
  return { EndCondition::WaitTimedOut, AnswerScope::Ticket, {}, {} };
}

} // namespace wasabispar
