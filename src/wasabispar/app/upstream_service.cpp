/// @file
/// @brief UpstreamService: pools, state polls, probes and forwarding.
#include "wasabispar/app/upstream_service.hpp"

#include "wasabispar/app/crash_fact_codec.hpp"
#include "wasabispar/base/log.hpp"

#include <algorithm>
#include <future>

namespace wasabispar {

namespace {

/// Pools and exchange watches are served this often.
constexpr Duration kServicePeriod = std::chrono::milliseconds(25);
constexpr Duration kStateTimeout = std::chrono::seconds(1);
/// Longer than the lag of the platform's list.
constexpr Duration kLeavingTtl = std::chrono::minutes(10);
/// The caller under which state polls wait in the fair queue.
const CallerId kStateCaller("wasabispar");

ExchangeWatchOptions
WatchOptions(const Settings& aSettings)
{
  ExchangeWatchOptions options;
  options.mSuspicionTime = [suspicion = aSettings.mSuspicionMs](const UpstreamId&) {
    return std::chrono::milliseconds(suspicion);
  };
  return options;
}

ConnectionBudgetOptions
BudgetOptions(const Settings& aSettings)
{
  ConnectionBudgetOptions options;
  options.mMaxOwners = static_cast<std::size_t>(aSettings.mMaxOwners);
  options.mReserve = static_cast<std::uint32_t>(aSettings.mConnectionReserve);
  options.mSettleTime = std::chrono::milliseconds(aSettings.mSettleMs);
  return options;
}

HttpRequest
StateRequest()
{
  HttpRequest request;
  request.mTarget = "/state";
  return request;
}

/// The end of a search that was not sent because of crash suspicion.
HttpExchangeResult
NotStarted(CrashDecision aVerdict)
{
  return { HttpExchangeEnd::Cancelled,
           {},
           "request is suspected of crashing upstreams: " +
             std::string(ToText(aVerdict)) };
}

} // namespace

struct UpstreamService::Lane
{
  Worker& mWorker;
  std::size_t mIndex;
  std::map<UpstreamId, std::shared_ptr<ConnectionPool>> mPools;
  ExchangeWatch mWatch;
  /// Upstream of each watched exchange.
  std::map<std::uint64_t, UpstreamId> mWatched;
  std::map<UpstreamId, TimePoint> mNextPoll;
  /// Handles of state polls that run; at most one for each upstream.
  std::map<UpstreamId, std::uint64_t> mPolls;
  Subscription mService;

  Lane(Worker& aWorker, std::size_t aIndex, ExchangeWatchOptions aOptions)
    : mWorker(aWorker)
    , mIndex(aIndex)
    , mWatch(std::move(aOptions))
  {
  }

  std::shared_ptr<ConnectionPool> Pool(const UpstreamId& aUpstream) const
  {
    const auto found = mPools.find(aUpstream);
    return found == mPools.end() ? nullptr : found->second;
  }
};

UpstreamService::UpstreamService(AppContext& aContext, UpstreamServiceHooks aHooks)
  : mContext(aContext)
  , mHooks(std::move(aHooks))
  , mDirectory(mTable)
  , mBudget(aContext.mSettings.mVm, BudgetOptions(aContext.mSettings), aContext.mNow())
{
  for (std::size_t i = 0; i < aContext.mWorkers.Count(); ++i) {
    mLanes.push_back(std::make_unique<Lane>(aContext.mWorkers.At(i), i,
                                            WatchOptions(aContext.mSettings)));
  }
}

UpstreamService::~UpstreamService() = default;

void
UpstreamService::Start()
{
  for (auto& lane : mLanes) {
    lane->mService = lane->mWorker.Timers().Every(kServicePeriod, [this, &lane = *lane] {
      for (const auto& [upstream, pool] : std::map(lane.mPools)) {
        pool->Tick();
      }
      RunWatchActions(lane, lane.mWatch.OnTimer(mContext.mNow()));
      PollStates(lane);
    });
  }
}

void
UpstreamService::Stop()
{
  for (auto& lane : mLanes) {
    std::promise<void> stopped;
    lane->mWorker.Post([&] {
      lane->mService.Cancel();
      for (const auto& [upstream, pool] : lane->mPools) {
        pool->Stop();
      }
      stopped.set_value();
    });
    stopped.get_future().wait();
  }
}

UpstreamService::Lane&
UpstreamService::LaneOf(const UpstreamId& aUpstream) const
{
  return *mLanes[HashText(aUpstream.Text()) % mLanes.size()];
}

void
UpstreamService::PostTo(const UpstreamId& aUpstream, std::function<void(Lane&)> aFn)
{
  auto& lane = LaneOf(aUpstream);
  lane.mWorker.Dispatch([&lane, fn = std::move(aFn)] { fn(lane); });
}

void
UpstreamService::OnInventory(const std::vector<PlatformUpstream>& aUpstreams)
{
  const auto now = mContext.mNow();
  std::map<UpstreamId, PlatformUpstream> own;
  for (const auto& upstream : aUpstreams) {
    if (upstream.mDataCentre == mContext.mSettings.mDataCentre) {
      own.emplace(upstream.mUpstream, upstream);
    }
  }
  std::vector<PlatformUpstream> added;
  std::vector<UpstreamId> removed;
  {
    std::lock_guard lock(mMutex);
    for (const auto& [id, upstream] : own) {
      const auto known = mListed.find(id);
      if (known != mListed.end() &&
          known->second.mDeclaration.mAddress == upstream.mAddress) {
        known->second.mDeclaration = upstream;
        continue;
      }
      mListed[id] = { upstream, LaneOf(id).mIndex, false, {} };
      added.push_back(upstream);
    }
    for (const auto& [id, listed] : mListed) {
      if (!own.contains(id)) {
        removed.push_back(id);
      }
    }
    for (const auto& id : removed) {
      mListed.erase(id);
    }
  }
  for (const auto& [id, upstream] : own) {
    mBudget.SetLimit(id, upstream.mConnectionLimit);
    if (mTable.OnDeclared({ id, upstream.mIndex, upstream.mDataCentre,
                            upstream.mAddress.Text(), upstream.mLeaving,
                            upstream.mConnectionLimit },
                          now)) {
      PublishLeaving(id);
    }
  }
  for (const auto& upstream : added) {
    AddPool(upstream);
  }
  for (const auto& id : removed) {
    RemovePool(id);
  }
}

ConnectionPoolHooks
UpstreamService::PoolHooks(const UpstreamId& aUpstream)
{
  ConnectionPoolHooks hooks;
  hooks.mNow = mContext.mNow;
  hooks.mTryReserveConnection = [this, aUpstream] {
    return mBudget.TryOpen(aUpstream, mContext.mNow());
  };
  hooks.mOnClosed = [this, aUpstream] { mBudget.OnClosed(aUpstream); };
  hooks.mExcessConnections = [this, aUpstream] {
    return mBudget.SurplusConnections(aUpstream, mContext.mNow());
  };
  hooks.mSlotLimit = [this, aUpstream]() -> std::uint32_t {
    const auto view = mTable.Find(aUpstream, mContext.mNow());
    return view ? view->mSlotLimit : 1;
  };
  hooks.mOnConnected = [this, aUpstream] { mCrashes.OnConnected(aUpstream); };
  hooks.mOnConnectFailed = [this, aUpstream] {
    const auto now = mContext.mNow();
    PublishCrash(mCrashes.OnConnectFailed(aUpstream, now));
    mTable.OnSuspected(aUpstream, now);
    auto& lane = LaneOf(aUpstream);
    RunWatchActions(lane, lane.mWatch.OnSuspected(aUpstream, now));
  };
  return hooks;
}

void
UpstreamService::AddPool(const PlatformUpstream& aUpstream)
{
  PostTo(aUpstream.mUpstream, [this, aUpstream](Lane& aLane) {
    if (const auto old = aLane.Pool(aUpstream.mUpstream)) {
      old->Stop();
    }
    ConnectionPoolOptions options;
    options.mMinConnections =
      static_cast<std::size_t>(mContext.mSettings.mWarmConnections);
    aLane.mPools[aUpstream.mUpstream] =
      std::make_shared<ConnectionPool>(aLane.mWorker.Context(), aUpstream.mAddress,
                                       options, PoolHooks(aUpstream.mUpstream));
    aLane.mNextPoll[aUpstream.mUpstream] = mContext.mNow();
  });
}

void
UpstreamService::RemovePool(const UpstreamId& aUpstream)
{
  mTable.OnRemoved(aUpstream);
  PostTo(aUpstream, [this, aUpstream](Lane& aLane) {
    if (const auto pool = aLane.Pool(aUpstream)) {
      pool->Stop();
    }
    aLane.mPools.erase(aUpstream);
    aLane.mNextPoll.erase(aUpstream);
    mBudget.SetLimit(aUpstream, 0);
  });
}

void
UpstreamService::Search(std::uint64_t aHandle, SubSearch aSearch, ReplyFn aDone)
{
  ++mSearchesSent;
  const auto now = mContext.mNow();
  auto done = [requestId = aSearch.mRequest.mRequestId,
               reply = std::move(aDone)](const HttpExchangeResult& aResult) {
    reply(DecodeSearch(aResult, requestId));
  };
  if (mBudget.AllowedConnections(aSearch.mUpstream, now) == 0) {
    auto owners = mBudget.LiveOwners(aSearch.mUpstream, now);
    std::erase(owners, mContext.mSettings.mVm);
    if (owners.empty()) {
      done({ HttpExchangeEnd::ConnectFailed, {}, "no VM holds connections" });
      return;
    }
    // Spread over all owners, so that none carries the work of all VMs without a share.
    const auto& owner = owners[aHandle % owners.size()];
    mHooks.mForward(aHandle, owner, aSearch, std::move(done));
    return;
  }
  SearchForPeer(aHandle, std::move(aSearch), std::move(done));
}

void
UpstreamService::SearchForPeer(std::uint64_t aHandle, SubSearch aSearch,
                               std::function<void(HttpExchangeResult)> aDone)
{
  const auto upstream = aSearch.mUpstream;
  PostTo(upstream,
         [this, aHandle, search = std::move(aSearch), done = std::move(aDone)](
           Lane& aLane) mutable { Submit(aLane, aHandle, search, std::move(done)); });
}

bool
UpstreamService::MayStart(std::uint64_t aHandle, const SubSearch& aSearch, TimePoint aNow)
{
  if (aNow >= aSearch.mDeadline) {
    return false;
  }
  const auto verdict = mCrashes.TryStart(aHandle, aSearch.mUpstream, aSearch.mFingerprint,
                                         aSearch.mRequest.mShard, aNow);
  return verdict == CrashDecision::Normal || verdict == CrashDecision::RunAlone;
}

void
UpstreamService::Submit(Lane& aLane, std::uint64_t aHandle, const SubSearch& aSearch,
                        std::function<void(HttpExchangeResult)> aDone)
{
  const auto pool = aLane.Pool(aSearch.mUpstream);
  if (!pool) {
    aDone({ HttpExchangeEnd::ConnectFailed, {}, "upstream is no longer listed" });
    return;
  }
  if (aSearch.mIsolated && !mTable.TryIsolate(aSearch.mUpstream)) {
    aDone(NotStarted(CrashDecision::Hold));
    return;
  }
  auto started = std::make_shared<std::optional<TimePoint>>();
  PooledRequest request;
  request.mCaller = aSearch.mRequest.mCaller;
  request.mDeadline = aSearch.mDeadline;
  auto message = aSearch.mRequest;
  message.mDeadline = aSearch.mDeadline - mContext.mNow();
  request.mRequest = EncodeSearch(message);
  request.mMayStillSend = [this, aHandle, aSearch](TimePoint aNow) {
    return MayStart(aHandle, aSearch, aNow);
  };
  request.mOnStarted = [this, &aLane, aHandle, aSearch,
                        started](std::uint64_t aConnection) {
    *started = mContext.mNow();
    OnStarted(aLane, aHandle, aSearch.mUpstream, true, aConnection);
  };
  request.mDone = [this, &aLane, aHandle, aSearch, started,
                   done = std::move(aDone)](HttpExchangeResult aResult, bool) {
    if (*started) {
      OnSearchEnd(aLane, aHandle, aSearch, **started, aResult);
    }
    if (aSearch.mIsolated) {
      mTable.EndIsolation(aSearch.mUpstream);
    }
    done(std::move(aResult));
  };
  pool->Submit(aHandle, std::move(request));
}

void
UpstreamService::OnStarted(Lane& aLane, std::uint64_t aHandle,
                           const UpstreamId& aUpstream, bool aIdempotent,
                           std::uint64_t aConnection)
{
  const auto now = mContext.mNow();
  mTable.OnExchangeStarted(aUpstream, now);
  aLane.mWatch.OnStarted({ aHandle, aConnection, aUpstream, aIdempotent }, now);
  aLane.mWatched.emplace(aHandle, aUpstream);
}

void
UpstreamService::OnSearchEnd(Lane& aLane, std::uint64_t aHandle, const SubSearch& aSearch,
                             TimePoint aStarted, const HttpExchangeResult& aResult)
{
  const auto now = mContext.mNow();
  ExchangeEnd end;
  end.mStatus = ToExchangeStatus(aResult.mEnd, aResult.mResponse.mStatus);
  end.mLatency = now - aStarted;
  end.mVersion = aSearch.mRequest.mVersion;
  end.mShard = aSearch.mRequest.mShard;
  end.mDrainingHeader = aResult.mResponse.Header("Upstream-Draining") == "1";
  aLane.mWatch.OnEnded(aHandle);
  aLane.mWatched.erase(aHandle);
  PublishCrash(mCrashes.OnEnded(aHandle, end.mStatus, now));
  if (mTable.OnExchangeEnded(aSearch.mUpstream, end, now)) {
    PublishLeaving(aSearch.mUpstream);
  }
  if (end.mStatus == ExchangeStatus::ConnectionLost) {
    RunWatchActions(aLane, aLane.mWatch.OnSuspected(aSearch.mUpstream, now));
  }
}

void
UpstreamService::Cancel(std::uint64_t aHandle, const UpstreamId& aUpstream)
{
  PostTo(aUpstream, [aHandle, aUpstream](Lane& aLane) {
    if (const auto pool = aLane.Pool(aUpstream)) {
      pool->Cancel(aHandle);
    }
  });
  mHooks.mForwardCancel(aHandle);
}

std::optional<UpstreamId>
UpstreamService::ChooseForExecute(const IndexName& aIndex,
                                  const std::vector<UpstreamId>& aTried)
{
  const auto now = mContext.mNow();
  std::optional<UpstreamId> best;
  std::uint64_t bestLoad = 0;
  for (const auto& view : mTable.OfIndex(aIndex, now)) {
    const auto& id = view.mDeclaration.mUpstream;
    const bool isTried = std::find(aTried.begin(), aTried.end(), id) != aTried.end();
    if (view.mLeaving || view.mSuspect || view.mIsolated || isTried ||
        mBudget.AllowedConnections(id, now) == 0) {
      continue;
    }
    const auto load = std::uint64_t{ 1000 } * (view.mInFlight + 1) / view.mSlotLimit;
    if (!best || load < bestLoad) {
      best = id;
      bestLoad = load;
    }
  }
  return best;
}

void
UpstreamService::Execute(const UpstreamId& aUpstream, const ExecuteRequest& aRequest,
                         RequestFingerprint aFingerprint, TimePoint aDeadline,
                         std::function<bool(TimePoint)> aMayStillSend,
                         std::function<void(HttpExchangeResult, bool)> aDone)
{
  SubSearch search;
  search.mUpstream = aUpstream;
  search.mFingerprint = aFingerprint;
  search.mDeadline = aDeadline;
  const auto handle = mContext.NextNumber();
  PooledRequest request;
  request.mCaller = aRequest.mCaller;
  request.mDeadline = aDeadline;
  request.mRequest = EncodeExecute(aRequest);
  request.mMayStillSend = [this, handle, search,
                           may = std::move(aMayStillSend)](TimePoint aNow) {
    return MayStart(handle, search, aNow) && may(aNow);
  };
  auto started = std::make_shared<std::optional<TimePoint>>();
  auto& lane = LaneOf(aUpstream);
  request.mOnStarted = [this, &lane, handle, aUpstream,
                        started](std::uint64_t aConnection) {
    *started = mContext.mNow();
    OnStarted(lane, handle, aUpstream, false, aConnection);
  };
  request.mDone = [this, &lane, handle, search, started, done = std::move(aDone)](
                    HttpExchangeResult aResult, bool aMayHaveBeenSent) {
    if (*started) {
      OnSearchEnd(lane, handle, search, **started, aResult);
    }
    done(std::move(aResult), aMayHaveBeenSent);
  };
  PostTo(
    aUpstream, [handle, aUpstream, pooled = std::move(request)](Lane& aLane) mutable {
      if (const auto pool = aLane.Pool(aUpstream)) {
        pool->Submit(handle, std::move(pooled));
        return;
      }
      pooled.mDone({ HttpExchangeEnd::ConnectFailed, {}, "upstream is no longer listed" },
                   false);
    });
}

void
UpstreamService::PollStates(Lane& aLane)
{
  const auto now = mContext.mNow();
  for (auto& [upstream, next] : std::map(aLane.mNextPoll)) {
    if (now < next || aLane.mPolls.contains(upstream)) {
      continue;
    }
    aLane.mNextPoll[upstream] =
      now + std::chrono::milliseconds(mContext.mSettings.mStatePollMs);
    if (mBudget.AllowedConnections(upstream, now) > 0) {
      PollDirect(aLane, upstream);
      continue;
    }
    for (const auto& owner : mBudget.LiveOwners(upstream, now)) {
      if (owner != mContext.mSettings.mVm) {
        PollForwarded(upstream, owner);
        break;
      }
    }
  }
}

void
UpstreamService::PollDirect(Lane& aLane, const UpstreamId& aUpstream)
{
  const auto pool = aLane.Pool(aUpstream);
  if (!pool) {
    return;
  }
  const auto handle = mContext.NextNumber();
  const auto now = mContext.mNow();
  PooledRequest request;
  request.mCaller = kStateCaller;
  request.mRequest = StateRequest();
  request.mDeadline = now + kStateTimeout;
  auto started = std::make_shared<std::optional<TimePoint>>();
  request.mOnStarted = [this, &aLane, handle, aUpstream,
                        started](std::uint64_t aConnection) {
    *started = mContext.mNow();
    aLane.mWatch.OnStarted({ handle, aConnection, aUpstream, true }, **started);
    aLane.mWatched.emplace(handle, aUpstream);
  };
  request.mDone = [this, &aLane, handle, aUpstream, started](HttpExchangeResult aResult,
                                                             bool) {
    aLane.mPolls.erase(aUpstream);
    aLane.mWatch.OnEnded(handle);
    aLane.mWatched.erase(handle);
    if (*started && aResult.mEnd == HttpExchangeEnd::Response &&
        aResult.mResponse.mStatus == 200) {
      OnReportBody(aUpstream, aResult.mResponse.mBody, **started);
      mTable.OnProbeAnswered(aUpstream, **started, mContext.mNow());
    } else if (aResult.mEnd == HttpExchangeEnd::ConnectionLost) {
      const auto lostAt = mContext.mNow();
      mTable.OnSuspected(aUpstream, lostAt);
      RunWatchActions(aLane, aLane.mWatch.OnSuspected(aUpstream, lostAt));
    }
    std::lock_guard lock(mMutex);
    if (const auto listed = mListed.find(aUpstream); listed != mListed.end()) {
      listed->second.mIsPolled = true;
    }
  };
  aLane.mPolls.emplace(aUpstream, handle);
  pool->Submit(handle, std::move(request));
}

void
UpstreamService::PollForwarded(const UpstreamId& aUpstream, const VmId& aOwner)
{
  const auto requested = mContext.mNow();
  mHooks.mForwardState(aOwner, aUpstream,
                       [this, aUpstream, requested](const std::string& aBody) {
                         if (!aBody.empty()) {
                           OnReportBody(aUpstream, aBody, requested);
                           mTable.OnProbeAnswered(aUpstream, requested, mContext.mNow());
                         }
                       });
}

void
UpstreamService::OnReportBody(const UpstreamId& aUpstream, const std::string& aBody,
                              TimePoint aRequested)
{
  const auto report = HandleError(
    [&]() -> Result<std::optional<UpstreamReport>> {
      BOOST_LEAF_AUTO(parsed, ParseUpstreamReport(aBody, aUpstream.Text()));
      return std::optional<UpstreamReport>(std::move(parsed));
    },
    [&](const Error& aError) {
      LogEvent(LogLevel::Warning, "upstream-report-malformed",
               { { "upstream", aUpstream.Text() }, { "cause", aError.mCause } });
      return std::optional<UpstreamReport>();
    });
  if (!report) {
    return;
  }
  if (mTable.OnReport(aUpstream, *report, aRequested, mContext.mNow())) {
    PublishLeaving(aUpstream);
  }
  std::lock_guard lock(mMutex);
  if (const auto listed = mListed.find(aUpstream); listed != mListed.end()) {
    listed->second.mIsPolled = true;
    listed->second.mReport = aBody;
  }
}

std::string
UpstreamService::LatestReport(const UpstreamId& aUpstream) const
{
  std::lock_guard lock(mMutex);
  const auto listed = mListed.find(aUpstream);
  return listed == mListed.end() ? std::string() : listed->second.mReport;
}

void
UpstreamService::RunWatchActions(Lane& aLane, const std::vector<WatchAction>& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* probe = std::get_if<ProbeUpstream>(&action)) {
      Probe(aLane, probe->mUpstream);
    } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
      const auto& exchange = close->mExchange;
      LogEvent(LogLevel::Warning, "connection-unresponsive",
               { { "upstream", exchange.mUpstream.Text() },
                 { "connection", exchange.mConnection } });
      if (const auto pool = aLane.Pool(exchange.mUpstream)) {
        pool->CloseConnectionOf(exchange.mExchange);
      }
    } else if (const auto* suspect = std::get_if<MarkSuspect>(&action)) {
      LogEvent(LogLevel::Warning, "upstream-suspect",
               { { "upstream", suspect->mUpstream.Text() } });
      mTable.OnSuspected(suspect->mUpstream, mContext.mNow());
    } else if (const auto* clear = std::get_if<ClearSuspect>(&action)) {
      LogEvent(LogLevel::Info, "upstream-answers-again",
               { { "upstream", clear->mUpstream.Text() } });
    }
  }
}

void
UpstreamService::Probe(Lane& aLane, const UpstreamId& aUpstream)
{
  Endpoint address;
  {
    std::lock_guard lock(mMutex);
    const auto listed = mListed.find(aUpstream);
    if (listed == mListed.end()) {
      return;
    }
    address = listed->second.mDeclaration.mAddress;
  }
  const auto started = mContext.mNow();
  // A probe is one short connection from the reserve of the connection limit.
  HttpFetch(aLane.mWorker.Context(), address, StateRequest(),
            ExchangeWatchOptions{}.mProbeTimeout,
            [this, &aLane, aUpstream, started](const HttpExchangeResult& aResult) {
              const auto now = mContext.mNow();
              const bool isAnswered = aResult.mEnd == HttpExchangeEnd::Response;
              if (isAnswered) {
                mTable.OnProbeAnswered(aUpstream, started, now);
                if (aResult.mResponse.mStatus == 200) {
                  OnReportBody(aUpstream, aResult.mResponse.mBody, started);
                }
                mCrashes.OnConnected(aUpstream);
              } else if (aResult.mEnd == HttpExchangeEnd::ConnectFailed) {
                PublishCrash(mCrashes.OnConnectFailed(aUpstream, now));
              }
              RunWatchActions(aLane,
                              aLane.mWatch.OnProbeEnded(aUpstream, isAnswered, now));
            });
}

void
UpstreamService::OnView(const MemberView& aView)
{
  mBudget.OnView(aView, mContext.mNow());
}

void
UpstreamService::OnPause(Duration aGap)
{
  mBudget.OnPause(aGap, mContext.mNow());
}

void
UpstreamService::OnFact(const GossipEntry& aFact)
{
  const auto now = mContext.mNow();
  if (aFact.mKey.starts_with(kLeavingFactPrefix)) {
    const UpstreamId upstream(aFact.mKey.substr(kLeavingFactPrefix.size()));
    mTable.OnLeavingPublished(upstream, aFact.mVersion, now);
    LogEvent(
      LogLevel::Info, "upstream-leaving",
      { { "upstream", upstream.Text() }, { "learnt_from", aFact.mOrigin.Text() } });
  } else if (aFact.mKey.starts_with(kCrashFactPrefix)) {
    if (const auto fact = DecodeCrashFact(aFact)) {
      mCrashes.OnCrashReport(*fact, now);
      mHooks.mOnCrashFact(*fact);
    }
  }
}

void
UpstreamService::PublishLeaving(const UpstreamId& aUpstream)
{
  LogEvent(LogLevel::Info, "upstream-leaving",
           { { "upstream", aUpstream.Text() }, { "learnt_from", "own observation" } });
  mHooks.mPublish(std::string(kLeavingFactPrefix) + aUpstream.Text(), std::string(),
                  kLeavingTtl);
}

void
UpstreamService::PublishCrash(const std::vector<CrashReport>& aFacts)
{
  for (const auto& fact : aFacts) {
    LogEvent(LogLevel::Warning,
             fact.mQuarantined ? "request-quarantined" : "request-suspect",
             { { "fingerprint", fact.mFingerprint.Value() },
               { "upstreams", std::uint64_t{ fact.mUpstreams.size() } } });
    mHooks.mOnCrashFact(fact);
    mHooks.mPublish(CrashFactKey(fact), EncodeCrashFact(fact), fact.mTimeToLive);
  }
}

bool
UpstreamService::HasPolledAll() const
{
  std::lock_guard lock(mMutex);
  return std::all_of(mListed.begin(), mListed.end(),
                     [](const auto& aEntry) { return aEntry.second.mIsPolled; });
}

std::vector<UpstreamStatus>
UpstreamService::Status() const
{
  const auto now = mContext.mNow();
  std::vector<UpstreamStatus> statuses;
  for (auto& view : mTable.All(now)) {
    const auto id = view.mDeclaration.mUpstream;
    statuses.push_back({ std::move(view), mBudget.AllowedConnections(id, now),
                         mBudget.OpenConnections(id), mBudget.LiveOwners(id, now) });
  }
  return statuses;
}

} // namespace wasabispar
