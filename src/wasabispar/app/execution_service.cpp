/// @file
/// @brief ExecutionService: carries out the decisions of ExecutionRouter.
#include "wasabispar/app/execution_service.hpp"

#include "wasabispar/base/hash.hpp"
#include "wasabispar/base/log.hpp"
#include "wasabispar/net/json_reader.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <atomic>

namespace wasabispar {

namespace {

/// Deadline of a request whose profile is not known here.
constexpr Duration kDefaultDeadline = std::chrono::seconds(5);
/// Upstreams that are tried while no byte has left.
constexpr std::size_t kMaxConnectTries = 3;

ExecutionLedgerOptions
LedgerOptions(const Settings& aSettings)
{
  ExecutionLedgerOptions options;
  options.mTicketLifetime = std::chrono::milliseconds(aSettings.mTicketExpiryMs);
  options.mMaxTicketsPerCaller = static_cast<std::size_t>(aSettings.mTicketsPerCaller);
  return options;
}

EndCondition
EndOfGate(const Refusal& aRefusal)
{
  switch (aRefusal.mStatus) {
    case 404:
      return EndCondition::UnknownProfile;
    case 410:
      return EndCondition::RetiredProfile;
    case 403:
      return EndCondition::CallerNotAllowed;
    case 503:
      return EndCondition::Shed;
    default:
      return EndCondition::BadRequest;
  }
}

EndCondition
EndOfAdmission(AdmissionReason aReason)
{
  switch (aReason) {
    case AdmissionReason::QueueDeadline:
    case AdmissionReason::ExpectedWait:
      return EndCondition::QueueDeadline;
    case AdmissionReason::Shutdown:
      return EndCondition::ShutdownBeforeSend;
    default:
      return EndCondition::Shed;
  }
}

UpstreamEnd
EndOfExchange(HttpExchangeEnd aEnd)
{
  switch (aEnd) {
    case HttpExchangeEnd::Response:
      return UpstreamEnd::Response;
    case HttpExchangeEnd::ConnectFailed:
      return UpstreamEnd::ConnectFailed;
    case HttpExchangeEnd::TimedOut:
      return UpstreamEnd::TimedOut;
    default:
      return UpstreamEnd::ConnectionLost;
  }
}

/// The `result` field of the upstream's reply as JSON text. Empty if the reply is
/// malformed or names another request.
std::optional<std::string>
ResultOf(const std::string& aBody, const std::string& aRequestId)
{
  return HandleError(
    [&]() -> Result<std::optional<std::string>> {
      BOOST_LEAF_AUTO(object, ParseJsonObject(aBody, Step::UpstreamReply, {}));
      JsonReader reader(object, Step::UpstreamReply, {});
      const auto id = reader.Text("request_id");
      BOOST_LEAF_CHECK(reader.Status());
      const auto* result = object.if_contains("result");
      if (id != aRequestId || !result) {
        return std::optional<std::string>();
      }
      return std::optional<std::string>(boost::json::serialize(*result));
    },
    [](const Error&) { return std::optional<std::string>(); });
}

} // namespace

/// A request from its arrival to its answer. After the ledger has decided, its members
/// are used by one step after the other, never at the same time.
struct ExecutionService::Running
{
  ExecutionInput mInput;
  DoneFn mDone;
  TimePoint mDeadline;
  TimePoint mAdmitted;
  RequestFingerprint mFingerprint;
  std::string mRequestId;
  IndexName mIndex;
  ExecutionRun mRun;
  std::vector<UpstreamId> mTried;
  Subscription mWaitTimer;
};

ExecutionService::ExecutionService(AppContext& aContext, ConfigService& aConfig,
                                   UpstreamService& aUpstreams,
                                   AdmissionControl& aAdmission, ProfileUsage& aUsage,
                                   IssuerStateFn aIssuerState)
  : mContext(aContext)
  , mConfig(aConfig)
  , mUpstreams(aUpstreams)
  , mAdmission(aAdmission)
  , mUsage(aUsage)
  , mLedger({ aContext.mSettings.mVm, aContext.mIncarnation }, NewTicketSecret(),
            LedgerOptions(aContext.mSettings))
  , mRouter(mLedger, mQuarantine, std::move(aIssuerState))
{
}

GateResult
ExecutionService::Check(const ProfileName& aProfile, const CallerId& aCaller)
{
  return CheckRequest(
    *mConfig.Profiles().View(), mUsage,
    { aProfile, aCaller, Operation::Execute, mConfig.PlatformAge(),
      std::chrono::seconds(mContext.mSettings.mScheduledFreshnessSeconds) },
    mContext.mNow());
}

IssueResult
ExecutionService::Issue(const ProfileName& aProfile, const CallerId& aCaller)
{
  const auto gate = Check(aProfile, aCaller);
  if (gate.mRefusal) {
    IssueResult refused;
    refused.mRefusal.mEnd = EndOfGate(*gate.mRefusal);
    refused.mRefusal.mPeer = aProfile.Text();
    return refused;
  }
  return mLedger.Issue(aProfile, aCaller, mContext.mNow());
}

Duration
ExecutionService::DeadlineOf(const ExecutionInput& aInput) const
{
  const auto found = mConfig.Profiles().View()->Find(aInput.mProfile);
  const auto limit = found.mProfile ? found.mProfile->mDeadline : kDefaultDeadline;
  return std::min(limit, aInput.mDeadline.value_or(limit));
}

/// The first answer counts: a duplicate that waits is answered by the execution or by
/// its own deadline.
ExecutionService::DoneFn
ExecutionService::AnswerOnce(DoneFn aDone)
{
  auto isAnswered = std::make_shared<std::atomic<bool>>(false);
  return [this, isAnswered, done = std::move(aDone)](ExecutionAnswer aAnswer) {
    if (isAnswered->exchange(true)) {
      return;
    }
    mContext.mMetrics
      .Counter("wasabispar_executions_total", "Executions by outcome and cause.",
               { { "outcome", std::string(ToText(aAnswer.Result())) },
                 { "cause", std::string(RowOf(aAnswer.mEnd).mCause) } })
      .Increment();
    done(std::move(aAnswer));
  };
}

void
ExecutionService::Run(ExecutionInput aInput, DoneFn aDone)
{
  auto running = std::make_shared<Running>();
  running->mInput = std::move(aInput);
  running->mDone = AnswerOnce(std::move(aDone));
  running->mDeadline = mContext.mNow() + DeadlineOf(running->mInput);
  running->mFingerprint = Fingerprint(running->mInput.mProfile, running->mInput.mBody);
  running->mRequestId = RequestId{ mContext.mIncarnation, mContext.NextNumber() }.Text();
  Route(running);
}

void
ExecutionService::Route(const std::shared_ptr<Running>& aRunning)
{
  const auto& input = aRunning->mInput;
  const auto now = mContext.mNow();
  // A ticket reaches the ledger before the gate, so that the resend of a request that
  // ran is replayed even after its profile was retired.
  auto decision = mRouter.Route(
    { input.mProfile, input.mCaller, input.mTicket, aRunning->mFingerprint,
      aRunning->mDeadline, input.mIsForwarded },
    now, [done = aRunning->mDone](const ExecutionAnswer& aAnswer) { done(aAnswer); });
  switch (decision.mAction) {
    case RouteAction::Answer:
      aRunning->mDone(std::move(decision.mAnswer));
      return;
    case RouteAction::Forward:
      Forward(aRunning, decision.mIssuer);
      return;
    case RouteAction::Wait:
      aRunning->mWaitTimer = mContext.mWorkers.At(0).Timers().After(
        aRunning->mDeadline - now, [this, running = aRunning] {
          running->mDone(mRouter.EndWait());
          // Moved out, so that the timer does not keep its own object alive.
          const auto timer = std::move(running->mWaitTimer);
        });
      return;
    case RouteAction::Run:
      aRunning->mRun = decision.mRun;
      Admit(aRunning);
      return;
  }
}

void
ExecutionService::Forward(const std::shared_ptr<Running>& aRunning,
                          const TicketIssuer& aIssuer)
{
  const auto& input = aRunning->mInput;
  ForwardExecutionMessage message;
  message.mTicket = *input.mTicket;
  message.mCaller = input.mCaller;
  message.mProfile = input.mProfile;
  message.mBody = input.mBody;
  mForwarder->Execute(aIssuer, std::move(message), aRunning->mDeadline,
                      [this, aRunning, aIssuer](ForwardEnd aEnd, ExecutionAnswer aReply) {
                        aRunning->mDone(
                          mRouter.EndForward(aEnd, aIssuer, std::move(aReply)));
                      });
}

void
ExecutionService::Admit(const std::shared_ptr<Running>& aRunning)
{
  const auto& input = aRunning->mInput;
  const auto gate = Check(input.mProfile, input.mCaller);
  const auto now = mContext.mNow();
  if (gate.mRefusal) {
    aRunning->mDone(mRouter.EndRun(aRunning->mRun, EndOfGate(*gate.mRefusal), now));
    return;
  }
  aRunning->mIndex = gate.mProfile->mIndex;
  mAdmission.Submit(input.mCaller, 1, aRunning->mDeadline, now,
                    [this, aRunning](AdmissionReason aReason) {
                      if (aReason != AdmissionReason::Admitted) {
                        aRunning->mDone(mRouter.EndRun(
                          aRunning->mRun, EndOfAdmission(aReason), mContext.mNow()));
                        return;
                      }
                      Send(aRunning);
                    });
}

void
ExecutionService::Send(const std::shared_ptr<Running>& aRunning)
{
  const auto now = mContext.mNow();
  const auto upstream = mUpstreams.ChooseForExecute(aRunning->mIndex, aRunning->mTried);
  if (!upstream) {
    const auto end = aRunning->mTried.empty() ? EndCondition::NoUpstreamReachable
                                              : EndCondition::ConnectFailed;
    EndAdmitted(aRunning, mRouter.EndRun(aRunning->mRun, end, now));
    return;
  }
  aRunning->mTried.push_back(*upstream);
  const auto left = aRunning->mDeadline - now;
  ExecuteRequest request;
  request.mRequestId = aRunning->mRequestId;
  request.mCaller = aRunning->mInput.mCaller;
  request.mBody = aRunning->mInput.mBody;
  request.mDeadline = left;
  request.mNotAfterUnixMs =
    UnixMilliseconds() +
    static_cast<std::uint64_t>(std::max<std::int64_t>(0, ToMilliseconds(left)));
  mUpstreams.Execute(
    *upstream, request, aRunning->mFingerprint, aRunning->mDeadline,
    [this, aRunning](TimePoint aNow) {
      return mRouter.TryMarkSent(aRunning->mRun, aNow);
    },
    [this, aRunning, upstream = *upstream](HttpExchangeResult aResult,
                                           bool aMayHaveBeenSent) {
      OnExchangeEnd(aRunning, upstream, std::move(aResult), aMayHaveBeenSent);
    });
}

void
ExecutionService::OnExchangeEnd(const std::shared_ptr<Running>& aRunning,
                                const UpstreamId& aUpstream, HttpExchangeResult aResult,
                                bool aMayHaveBeenSent)
{
  const auto now = mContext.mNow();
  const bool isUnsent = !aMayHaveBeenSent && !aRunning->mRun.mIsSent;
  if (isUnsent && aResult.mEnd == HttpExchangeEnd::ConnectFailed &&
      aRunning->mTried.size() < kMaxConnectTries && now < aRunning->mDeadline) {
    Send(aRunning);
    return;
  }
  if (isUnsent && aResult.mEnd != HttpExchangeEnd::ConnectFailed) {
    EndAdmitted(aRunning,
                mRouter.EndRun(aRunning->mRun, EndCondition::DeadlineBeforeSend, now));
    return;
  }
  auto end = EndOfExchange(aResult.mEnd);
  std::string body;
  if (aResult.mEnd == HttpExchangeEnd::Response && aResult.mResponse.mStatus == 200) {
    auto result = ResultOf(aResult.mResponse.mBody, aRunning->mRequestId);
    if (result) {
      body = std::move(*result);
    } else {
      end = UpstreamEnd::ConnectionLost;
    }
  }
  EndAdmitted(aRunning,
              mRouter.EndExchange(aRunning->mRun, end, aResult.mResponse.mStatus,
                                  std::move(body), aUpstream.Text(), now));
}

void
ExecutionService::EndAdmitted(const std::shared_ptr<Running>& aRunning,
                              ExecutionAnswer aAnswer)
{
  const auto now = mContext.mNow();
  mAdmission.Finish(now - aRunning->mAdmitted, now);
  aRunning->mDone(std::move(aAnswer));
}

void
ExecutionService::OnCrashFact(const CrashReport& aFact)
{
  if (aFact.mQuarantined) {
    mQuarantine.AddFromPeer({ aFact.mFingerprint, aFact.mTimeToLive }, mContext.mNow());
  }
}

void
ExecutionService::Sweep()
{
  const auto now = mContext.mNow();
  mLedger.Sweep(now);
  mQuarantine.Sweep(now);
}

} // namespace wasabispar
