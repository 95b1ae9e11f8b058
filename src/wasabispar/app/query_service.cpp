/// @file
/// @brief QueryService: carries out the actions of Query.
#include "wasabispar/app/query_service.hpp"

#include "wasabispar/base/hash.hpp"
#include "wasabispar/base/log.hpp"

#include <algorithm>
#include <limits>

namespace wasabispar {

namespace {

/// Extra sub-requests that a new budget holds, so that a profile with little traffic can
/// hedge, too.
constexpr std::uint32_t kInitialExtra = 5;

Refusal
AdmissionRefusal(AdmissionReason aReason)
{
  const bool isDeadline =
    aReason == AdmissionReason::QueueDeadline || aReason == AdmissionReason::ExpectedWait;
  return { isDeadline || aReason == AdmissionReason::Shutdown ? 503U : 429U,
           Error{ aReason == AdmissionReason::Shutdown ? Step::Shutdown : Step::Admission,
                  {},
                  Outcome::NotRun,
                  std::string(ToText(aReason)) } };
}

std::string_view
ResultLabel(const QueryResult& aResult)
{
  if (aResult.mRefusal) {
    return "refused";
  }
  return aResult.mAnswer->mPartial ? "partial" : "complete";
}

} // namespace

/// A running search. Used on mWorker only, after admission.
struct QueryService::Running
{
  struct Sub
  {
    std::uint64_t mHandle = 0;
    UpstreamId mUpstream;
  };

  QueryInput mInput;
  DoneFn mDone;
  Worker& mWorker;
  RequestId mRequest;
  TimePoint mArrived;
  TimePoint mAdmitted;
  TimePoint mDeadline;
  RequestFingerprint mFingerprint;
  std::shared_ptr<const Profile> mProfile;
  std::shared_ptr<LoadBudget> mBudget;
  bool mIsIsolated = false;
  SnapshotVersion mVersion;
  std::optional<Query> mQuery;
  std::map<std::uint64_t, Sub> mSubs;
  Subscription mTimer;

  Running(QueryInput aInput, DoneFn aDone, Worker& aWorker)
    : mInput(std::move(aInput))
    , mDone(std::move(aDone))
    , mWorker(aWorker)
  {
  }
};

QueryService::QueryService(AppContext& aContext, ConfigService& aConfig,
                           UpstreamService& aUpstreams, AdmissionControl& aAdmission,
                           ProfileUsage& aUsage, SloTracker& aSlo,
                           ExplainStore& aExplains)
  : mContext(aContext)
  , mConfig(aConfig)
  , mUpstreams(aUpstreams)
  , mAdmission(aAdmission)
  , mUsage(aUsage)
  , mSlo(aSlo)
  , mExplains(aExplains)
{
}

QueryService::~QueryService() = default;

GateResult
QueryService::Check(const QueryInput& aInput, TimePoint aNow)
{
  return CheckRequest(
    *mConfig.Profiles().View(), mUsage,
    { aInput.mProfile, aInput.mCaller, Operation::Search, mConfig.PlatformAge(),
      std::chrono::seconds(mContext.mSettings.mScheduledFreshnessSeconds) },
    aNow);
}

void
QueryService::Run(QueryInput aInput, DoneFn aDone)
{
  const auto now = mContext.mNow();
  const auto number = mContext.NextNumber();
  auto running = std::make_shared<Running>(std::move(aInput), std::move(aDone),
                                           mContext.mWorkers.At(number));
  running->mRequest = { mContext.mIncarnation, number };
  running->mArrived = now;
  auto gate = Check(running->mInput, now);
  if (gate.mRefusal) {
    Refuse(running, std::move(*gate.mRefusal));
    return;
  }
  running->mProfile = gate.mProfile;
  running->mDeadline =
    now + std::min(gate.mProfile->mDeadline,
                   running->mInput.mDeadline.value_or(gate.mProfile->mDeadline));
  running->mFingerprint = Fingerprint(running->mInput.mProfile, running->mInput.mQuery);
  mAdmission.Submit(running->mInput.mCaller, 1, running->mDeadline, now,
                    [this, running](AdmissionReason aReason) {
                      if (aReason != AdmissionReason::Admitted) {
                        Refuse(running, AdmissionRefusal(aReason));
                        return;
                      }
                      running->mAdmitted = mContext.mNow();
                      running->mWorker.Dispatch([this, running] { Begin(running); });
                    });
}

std::shared_ptr<LoadBudget>
QueryService::BudgetOf(const Profile& aProfile)
{
  const auto limit =
    std::min(aProfile.mExtraLoad,
             Permille(static_cast<std::uint32_t>(mContext.mSettings.mExtraLoadPermille)));
  std::lock_guard lock(mMutex);
  auto& [known, budget] = mBudgets[aProfile.mName];
  if (!budget || known != limit) {
    LoadBudgetOptions options;
    options.mBudget = limit;
    options.mInitialTokens = limit.Value() > 0 ? kInitialExtra : 0;
    budget = std::make_shared<LoadBudget>(options);
    known = limit;
  }
  return budget;
}

bool
QueryService::IsActive(const ProfileName& aProfile) const
{
  return mConfig.Profiles().View()->Find(aProfile).mStatus == ProfileStatus::Active;
}

void
QueryService::Begin(const std::shared_ptr<Running>& aRunning)
{
  const auto now = mContext.mNow();
  const auto end = [&](Refusal aRefusal) {
    mAdmission.Finish(now - aRunning->mAdmitted, now);
    Refuse(aRunning, std::move(aRefusal));
  };
  // The profile may have been retired while the request was queued.
  if (!IsActive(aRunning->mInput.mProfile)) {
    end({ 410,
          { Step::FindProfile, aRunning->mInput.mProfile.Text(), Outcome::NotRun,
            "profile was retired while the request was queued" } });
    return;
  }
  const auto verdict = mUpstreams.Crashes().Decide(aRunning->mFingerprint, now);
  if (verdict == CrashDecision::Hold || verdict == CrashDecision::Quarantined) {
    end({ verdict == CrashDecision::Hold ? 503U : 422U,
          { Step::Quarantine,
            {},
            Outcome::NotRun,
            "request is suspected of crashing upstreams: " +
              std::string(ToText(verdict)) } });
    return;
  }
  aRunning->mIsIsolated = verdict == CrashDecision::RunAlone;
  const auto& profile = *aRunning->mProfile;
  auto snapshot =
    mUpstreams.Directory().Choose(profile.mIndex, profile.mWantedCoverage, now);
  if (!snapshot) {
    end({ 503,
          { Step::ChooseSnapshot, profile.mIndex.Text(), Outcome::NotRun,
            "no upstream of the index is known" } });
    return;
  }
  aRunning->mBudget = BudgetOf(profile);
  QueryPlan plan;
  plan.mVm = mContext.mSettings.mVm;
  plan.mRequest = aRunning->mRequest;
  plan.mSnapshot = std::move(*snapshot);
  plan.mPolicy = profile.mPartialPolicy;
  plan.mTarget = aRunning->mArrived + profile.mLatencyTarget;
  plan.mDeadline = aRunning->mDeadline;
  plan.mCoverageWanted = profile.mWantedCoverage;
  plan.mCoverageMinimum = profile.mMinimumCoverage;
  plan.mHedging = profile.mHedging;
  plan.mIsolated = aRunning->mIsIsolated;
  plan.mLimit = aRunning->mInput.mLimit.value_or(std::numeric_limits<std::size_t>::max());
  aRunning->mVersion = plan.mSnapshot.mVersion;
  aRunning->mQuery.emplace(std::move(plan), HooksOf(aRunning));
  Apply(aRunning, aRunning->mQuery->Start(now));
}

QueryHooks
QueryService::HooksOf(const std::shared_ptr<Running>& aRunning)
{
  auto hooks =
    MakeQueryHooks(mUpstreams.Table(), mUpstreams.Directory(), *aRunning->mBudget,
                   SeededRandom(aRunning->mRequest.mCounter),
                   Permille(aRunning->mProfile->mHedgePercentile * 10));
  // Without enough samples for an estimate, a hedge at half the target can still answer
  // in time.
  hooks.mHedgeDelay = [estimate = hooks.mHedgeDelay,
                       fallback = aRunning->mProfile->mLatencyTarget /
                                  2](const IndexName& aIndex, TimePoint aNow) {
    const auto delay = estimate(aIndex, aNow);
    return delay ? delay : std::optional<Duration>(fallback);
  };
  hooks.mTakeBudget = [this, name = aRunning->mInput.mProfile,
                       budget = aRunning->mBudget](ExtraLoadKind aKind, TimePoint aNow) {
    // Hedges of a retired profile stop at once.
    return (aKind != ExtraLoadKind::Hedge || IsActive(name)) &&
           budget->TryTake(aKind, aNow);
  };
  return hooks;
}

void
QueryService::Apply(const std::shared_ptr<Running>& aRunning,
                    std::vector<QueryAction> aActions)
{
  for (auto& action : aActions) {
    if (const auto* send = std::get_if<SendSubRequest>(&action)) {
      aRunning->mVersion = send->mVersion;
      Send(aRunning, *send);
    } else if (const auto* cancel = std::get_if<CancelSubRequest>(&action)) {
      const auto sub = aRunning->mSubs.find(cancel->mSubRequestId);
      if (sub != aRunning->mSubs.end()) {
        mUpstreams.Cancel(sub->second.mHandle, sub->second.mUpstream);
        aRunning->mSubs.erase(sub);
      }
    } else if (const auto* timer = std::get_if<ArmTimer>(&action)) {
      const auto delay = std::max<Duration>(timer->mAt - mContext.mNow(), Duration{ 1 });
      aRunning->mTimer =
        aRunning->mWorker.Timers().After(delay, [this, running = aRunning] {
          // The timer keeps the query alive while no sub-request runs.
          if (!running->mQuery->IsFinished()) {
            Apply(running, running->mQuery->OnTimer(mContext.mNow()));
          }
        });
    } else if (auto* finish = std::get_if<wasabispar::Finish>(&action)) {
      Finish(aRunning, std::move(finish->mAnswer));
    }
  }
}

void
QueryService::Send(const std::shared_ptr<Running>& aRunning, const SendSubRequest& aSend)
{
  const auto handle = mContext.NextNumber();
  aRunning->mSubs[aSend.mSubRequestId] = { handle, aSend.mUpstream };
  SubSearch search;
  search.mUpstream = aSend.mUpstream;
  search.mRequest.mRequestId =
    aRunning->mRequest.Text() + "/" + std::to_string(aSend.mSubRequestId);
  search.mRequest.mIndex = aRunning->mProfile->mIndex;
  search.mRequest.mVersion = aSend.mVersion;
  search.mRequest.mShard = aSend.mShard;
  search.mRequest.mCaller = aRunning->mInput.mCaller;
  search.mRequest.mQuery = aRunning->mInput.mQuery;
  search.mProfile = aRunning->mInput.mProfile;
  search.mFingerprint = aRunning->mFingerprint;
  search.mDeadline = aSend.mDeadline;
  search.mIsolated = aRunning->mIsIsolated;
  mUpstreams.Search(handle, std::move(search),
                    [this, aRunning, sub = aSend.mSubRequestId](SearchReply aReply) {
                      // Posted, so that a reply never re-enters Apply().
                      aRunning->mWorker.Post(
                        [this, aRunning, sub, reply = std::move(aReply)]() mutable {
                          OnReply(aRunning, sub, std::move(reply));
                        });
                    });
}

/// Whether no upstream declares the pinned version any more.
bool
QueryService::IsVersionGone(const Running& aRunning, const SearchReply& aReply) const
{
  if (aReply.mStatus != ExchangeStatus::VersionGone) {
    return false;
  }
  const auto versions =
    mUpstreams.Directory().Versions(aRunning.mProfile->mIndex, mContext.mNow());
  return std::none_of(versions.begin(), versions.end(), [&](const Snapshot& aSnapshot) {
    return aSnapshot.mVersion == aRunning.mVersion;
  });
}

void
QueryService::OnReply(const std::shared_ptr<Running>& aRunning, std::uint64_t aSub,
                      SearchReply aReply)
{
  const auto now = mContext.mNow();
  aRunning->mSubs.erase(aSub);
  if (aReply.mStatus == ExchangeStatus::Shed) {
    aRunning->mBudget->OnShed(now);
  }
  if (aRunning->mQuery->IsFinished()) {
    return;
  }
  const bool isVersionGone = IsVersionGone(*aRunning, aReply);
  SubReply reply{ aSub, aReply.mStatus, aReply.mVersion, aReply.mShard,
                  std::move(aReply.mHits) };
  Apply(aRunning, aRunning->mQuery->OnReply(reply, now));
  if (isVersionGone && !aRunning->mQuery->IsFinished()) {
    Apply(aRunning, aRunning->mQuery->OnSnapshotGone(now));
  }
}

void
QueryService::Finish(const std::shared_ptr<Running>& aRunning, Answer aAnswer)
{
  aRunning->mTimer.Cancel();
  const auto now = mContext.mNow();
  mAdmission.Finish(now - aRunning->mAdmitted, now);
  QueryResult result;
  result.mRequest = aRunning->mRequest;
  if (aAnswer.mRefusal) {
    result.mRefusal = Refusal{ 504, *aAnswer.mRefusal };
  }
  mExplains.Add({ aRunning->mInput.mProfile, aRunning->mInput.mCaller, aAnswer.mTrace });
  result.mAnswer = std::move(aAnswer);
  RecordEnd(*aRunning, result);
  const auto done = std::move(aRunning->mDone);
  done(std::move(result));
}

void
QueryService::Refuse(const std::shared_ptr<Running>& aRunning, Refusal aRefusal)
{
  QueryResult result;
  result.mRequest = aRunning->mRequest;
  result.mRefusal = std::move(aRefusal);
  RecordEnd(*aRunning, result);
  const auto done = std::move(aRunning->mDone);
  done(std::move(result));
}

void
QueryService::RecordEnd(const Running& aRunning, const QueryResult& aResult)
{
  const auto now = mContext.mNow();
  const auto took = now - aRunning.mArrived;
  // A name that is not in the catalogue is chosen by the caller and is no label.
  const auto profile =
    aRunning.mProfile ? aRunning.mInput.mProfile.Text() : std::string("none");
  mContext.mMetrics
    .Counter("wasabispar_queries_total", "Searches by profile and result.",
             { { "profile", profile }, { "result", std::string(ResultLabel(aResult)) } })
    .Increment();
  if (!aRunning.mProfile) {
    return;
  }
  mContext.mMetrics
    .Latency("wasabispar_query_seconds", "Time to answer.", { { "profile", profile } })
    .Observe(std::chrono::duration<double>(took).count());
  const bool isAnswered = !aResult.mRefusal;
  const bool isCovered = isAnswered && aResult.mAnswer->mCoverage.Ratio() >=
                                         aRunning.mProfile->mWantedCoverage;
  mSlo.Record(aRunning.mInput.mProfile,
              isAnswered && took <= aRunning.mProfile->mLatencyTarget, isCovered, now);
}

LoadCounts
QueryService::Load() const
{
  LoadCounts sum;
  std::lock_guard lock(mMutex);
  for (const auto& [name, entry] : mBudgets) {
    const auto counts = entry.second->Counts();
    sum.mNeeded += counts.mNeeded;
    sum.mHedges += counts.mHedges;
    sum.mRetries += counts.mRetries;
    sum.mForced += counts.mForced;
    sum.mRefused += counts.mRefused;
  }
  return sum;
}

} // namespace wasabispar
