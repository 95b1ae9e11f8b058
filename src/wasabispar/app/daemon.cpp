/// @file
/// @brief Wiring, readiness and graceful shutdown of wasabispard.
#include "wasabispar/app/daemon.hpp"

#include "wasabispar/app/caller_api.hpp"
#include "wasabispar/app/config_service.hpp"
#include "wasabispar/app/crash_fact_codec.hpp"
#include "wasabispar/app/execution_service.hpp"
#include "wasabispar/app/fleet_link.hpp"
#include "wasabispar/app/fleet_service.hpp"
#include "wasabispar/app/forwarder.hpp"
#include "wasabispar/app/operator_api.hpp"
#include "wasabispar/app/query_service.hpp"
#include "wasabispar/app/upstream_service.hpp"
#include "wasabispar/base/log.hpp"
#include "wasabispar/net/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <condition_variable>
#include <csignal>
#include <future>
#include <iostream>
#include <mutex>

namespace wasabispar {

namespace {

constexpr Duration kSweepPeriod = std::chrono::seconds(1);
constexpr Duration kAdmissionPeriod = std::chrono::milliseconds(10);
constexpr auto kStopPoll = std::chrono::milliseconds(20);
/// A gap between two timer runs above this is a delay of the worker.
constexpr Duration kDelayProbePeriod = std::chrono::milliseconds(10);

AdmissionControlOptions
AdmissionOptions(const Settings& aSettings)
{
  AdmissionControlOptions options;
  const auto limit = static_cast<std::size_t>(aSettings.mConcurrency);
  options.mLimit.mMax = limit;
  options.mLimit.mInitial = limit;
  options.mLimit.mMin = std::min<std::size_t>(options.mLimit.mMin, limit);
  options.mQueue.mMaxLength = static_cast<std::size_t>(aSettings.mQueueLimit);
  options.mQueue.mMaxLengthPerCaller =
    std::min(options.mQueue.mMaxLengthPerCaller, options.mQueue.mMaxLength);
  return options;
}

} // namespace

/// All parts of the daemon, in the order of their dependencies. The workers are declared
/// first, so that they outlive all parts whose work runs on them.
struct Daemon::Parts
{
  Settings mSettings;
  Metrics mMetrics;
  WorkerPool mWorkers;
  AppContext mContext;
  AdmissionControl mAdmission;
  ProfileUsage mUsage;
  SloTracker mSlo;
  ExplainStore mExplains;
  FleetLink mLink;
  FleetService mFleet;
  ConfigService mConfig;
  UpstreamService mUpstreams;
  ExecutionService mExecutions;
  Forwarder mForwarder;
  QueryService mQueries;
  CallerApi mCallerApi;
  OperatorApi mOperatorApi;
  HttpServer mCallerServer;
  HttpServer mOperatorServer;

  /// Guards mStopRequests and mIsSuperseded.
  std::mutex mStopMutex;
  std::condition_variable mStopSignal;
  int mStopRequests = 0;
  std::atomic<bool> mIsDraining{ false };
  TimePoint mServingSince{};
  std::vector<Subscription> mTimers;
  std::optional<boost::asio::signal_set> mSignals;

  explicit Parts(Settings aSettings);

  FleetLinkHooks LinkHooks();
  FleetServiceHooks FleetHooks();
  UpstreamServiceHooks UpstreamHooks();
  ForwarderHooks ForwardHooks();
  void OnFleetMessage(const FleetEnvelope& aEnvelope);
  void OnView(const MemberView& aView);
  void OnFact(const GossipEntry& aFact);
  bool IsReady(std::string& aReason) const;
  bool MayServe() const;
  Result<void> Start();
  void StartTimers();
  void AwaitSignals();
  void WaitForStop();
  void Drain();
  void Stop();
  void RequestStop();
  void CountRejection(const std::string& aPort, std::string_view aReason);
  HttpServerOptions ServerOptions(std::int64_t aPort) const;
};

Daemon::Parts::Parts(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mWorkers(static_cast<std::size_t>(mSettings.mWorkers))
  , mContext{ mSettings, mMetrics, mWorkers, Incarnation(UnixMilliseconds()),
              [] { return BootClock::now(); } }
  , mAdmission(AdmissionOptions(mSettings))
  , mExplains(static_cast<std::size_t>(mSettings.mExplainRecords))
  , mLink(mContext, LinkHooks())
  , mFleet(mContext, mLink, FleetHooks())
  , mConfig(mContext, mLink, { [this](const PlatformInventory& aInventory) {
              mFleet.OnInventory(aInventory);
              mUpstreams.OnInventory(aInventory.mUpstreams);
            } })
  , mUpstreams(mContext, UpstreamHooks())
  , mExecutions(mContext, mConfig, mUpstreams, mAdmission, mUsage,
                [this](const TicketIssuer& aIssuer) { return mFleet.StateOf(aIssuer); })
  , mForwarder(mContext, mLink, ForwardHooks())
  , mQueries(mContext, mConfig, mUpstreams, mAdmission, mUsage, mSlo, mExplains)
  , mCallerApi(
      mContext, mQueries, mExecutions,
      [this](std::string& aReason) { return IsReady(aReason); },
      [this] { return MayServe(); })
  , mOperatorApi(mContext,
                 { mConfig, mFleet, mLink, mUpstreams, mQueries, mExecutions, mAdmission,
                   mUsage, mSlo, mExplains },
                 [this](std::string& aReason) { return IsReady(aReason); })
  , mCallerServer(
      mWorkers.Contexts(), ServerOptions(mSettings.mCallerPort),
      [this](HttpRequest aRequest, HttpRespondFn aRespond) {
        mCallerApi.Handle(std::move(aRequest), std::move(aRespond));
      },
      [this](std::string_view aReason) { CountRejection("caller", aReason); })
  , mOperatorServer(
      mWorkers.Contexts(), ServerOptions(mSettings.mOperatorPort),
      [this](HttpRequest aRequest, HttpRespondFn aRespond) {
        mOperatorApi.Handle(std::move(aRequest), std::move(aRespond));
      },
      [this](std::string_view aReason) { CountRejection("operator", aReason); })
{
  mExecutions.SetForwarder(mForwarder);
}

HttpServerOptions
Daemon::Parts::ServerOptions(std::int64_t aPort) const
{
  HttpServerOptions options;
  options.mAddress = mSettings.mListen;
  options.mPort = static_cast<std::uint16_t>(aPort);
  options.mMaxBodyBytes = static_cast<std::size_t>(mSettings.mMaxBodyBytes);
  options.mMaxConnections = static_cast<std::size_t>(mSettings.mMaxConnections);
  return options;
}

void
Daemon::Parts::CountRejection(const std::string& aPort, std::string_view aReason)
{
  mMetrics
    .Counter("wasabispar_http_rejected_total",
             "Requests and connections that a limit ended, by port and reason.",
             { { "port", aPort }, { "reason", std::string(aReason) } })
    .Increment();
}

FleetLinkHooks
Daemon::Parts::LinkHooks()
{
  FleetLinkHooks hooks;
  hooks.mAddress = [this](const VmId& aVm) { return mFleet.AddressOf(aVm); };
  hooks.mAccepts = [this](const VmId& aVm, Incarnation aIncarnation,
                          std::string_view aIp) {
    return mFleet.Accepts(aVm, aIncarnation, aIp);
  };
  hooks.mOnMessage = [this](const FleetEnvelope& aEnvelope) {
    OnFleetMessage(aEnvelope);
  };
  return hooks;
}

FleetServiceHooks
Daemon::Parts::FleetHooks()
{
  FleetServiceHooks hooks;
  hooks.mOnView = [this](const MemberView& aView) { OnView(aView); };
  hooks.mOnFact = [this](const GossipEntry& aFact) { OnFact(aFact); };
  hooks.mOnPause = [this](Duration aGap) { mUpstreams.OnPause(aGap); };
  hooks.mOnSuperseded = [this] {
    LogEvent(LogLevel::Error, "superseded-by-newer-incarnation");
    RequestStop();
  };
  return hooks;
}

UpstreamServiceHooks
Daemon::Parts::UpstreamHooks()
{
  UpstreamServiceHooks hooks;
  hooks.mPublish = [this](std::string aKey, std::string aValue, Duration aTtl) {
    mFleet.Publish(std::move(aKey), std::move(aValue), aTtl);
  };
  hooks.mForward = [this](std::uint64_t aHandle, const VmId& aOwner,
                          const SubSearch& aSearch,
                          std::function<void(HttpExchangeResult)> aDone) {
    mForwarder.Search(aHandle, aOwner, aSearch, std::move(aDone));
  };
  hooks.mForwardCancel = [this](std::uint64_t aHandle) { mForwarder.Cancel(aHandle); };
  hooks.mForwardState = [this](const VmId& aOwner, const UpstreamId& aUpstream,
                               std::function<void(std::string)> aDone) {
    mForwarder.State(aOwner, aUpstream, std::move(aDone));
  };
  hooks.mOnCrashFact = [this](const CrashReport& aFact) {
    mExecutions.OnCrashFact(aFact);
  };
  return hooks;
}

ForwarderHooks
Daemon::Parts::ForwardHooks()
{
  ForwarderHooks hooks;
  hooks.mServeSearch = [this](std::uint64_t aHandle, SubSearch aSearch,
                              std::function<void(HttpExchangeResult)> aDone) {
    mUpstreams.SearchForPeer(aHandle, std::move(aSearch), std::move(aDone));
  };
  hooks.mServeCancel = [this](std::uint64_t aHandle, const UpstreamId& aUpstream) {
    mUpstreams.Cancel(aHandle, aUpstream);
  };
  hooks.mServeState = [this](const UpstreamId& aUpstream) {
    return mUpstreams.LatestReport(aUpstream);
  };
  hooks.mServeExecution = [this](
                            const ForwardExecutionMessage& aMessage,
                            std::function<void(ForwardExecutionReplyMessage)> aDone) {
    mExecutions.Run({ aMessage.mProfile, aMessage.mCaller, aMessage.mTicket,
                      aMessage.mBody, std::chrono::milliseconds(aMessage.mDeadlineMs),
                      true },
                    [done = std::move(aDone)](ExecutionAnswer aAnswer) {
                      const bool isKnown = aAnswer.mEnd != EndCondition::IssuerUnknowing;
                      done({ isKnown, std::move(aAnswer) });
                    });
  };
  return hooks;
}

void
Daemon::Parts::OnFleetMessage(const FleetEnvelope& aEnvelope)
{
  if (!mFleet.OnMessage(aEnvelope) && !mConfig.OnMessage(aEnvelope)) {
    mForwarder.OnMessage(aEnvelope);
  }
}

void
Daemon::Parts::OnView(const MemberView& aView)
{
  mUpstreams.OnView(aView);
  mForwarder.OnView(aView);
  mConfig.OnView(aView, mFleet.Members().IsBridge(), mFleet.Members().RemoteBridges());
}

void
Daemon::Parts::OnFact(const GossipEntry& aFact)
{
  mUpstreams.OnFact(aFact);
}

/// Whether requests can be answered. Draining does not count: requests that still arrive
/// are served.
bool
Daemon::Parts::MayServe() const
{
  return mConfig.IsStarted() && mConfig.HasInventory();
}

bool
Daemon::Parts::IsReady(std::string& aReason) const
{
  if (mIsDraining) {
    aReason = "draining";
  } else if (!mConfig.IsStarted()) {
    aReason = "configuration is not known yet";
  } else if (!mConfig.HasInventory()) {
    aReason = "list of upstreams is not known yet";
  } else if (!mUpstreams.HasPolledAll()) {
    aReason = "upstreams have not been asked for their state yet";
  }
  return aReason.empty();
}

Result<void>
Daemon::Parts::Start()
{
  BOOST_LEAF_CHECK(mLink.Start());
  std::promise<void> started;
  mWorkers.At(0).Post([&] {
    mFleet.Start();
    mConfig.Start();
    mForwarder.Start();
    started.set_value();
  });
  started.get_future().wait();
  mUpstreams.Start();
  StartTimers();
  BOOST_LEAF_CHECK(mCallerServer.Start());
  BOOST_LEAF_CHECK(mOperatorServer.Start());
  AwaitSignals();
  return {};
}

void
Daemon::Parts::StartTimers()
{
  mTimers.push_back(mWorkers.At(0).Timers().Every(kSweepPeriod, [this] {
    mExecutions.Sweep();
    mUpstreams.Crashes().Expire(mContext.mNow());
  }));
  mTimers.push_back(mWorkers.At(0).Timers().Every(
    kAdmissionPeriod, [this] { mAdmission.Expire(mContext.mNow()); }));
  for (std::size_t i = 0; i < mWorkers.Count(); ++i) {
    auto& worker = mWorkers.At(i);
    mTimers.push_back(worker.Timers().Every(kDelayProbePeriod, [this, &worker] {
      const auto posted = mContext.mNow();
      worker.Post([this, posted] {
        const auto now = mContext.mNow();
        mAdmission.OnWorkerDelay(now - posted, now);
      });
    }));
  }
}

void
Daemon::Parts::RequestStop()
{
  std::lock_guard lock(mStopMutex);
  ++mStopRequests;
  mStopSignal.notify_all();
}

void
Daemon::Parts::AwaitSignals()
{
  if (!mSignals) {
    mSignals.emplace(mWorkers.At(0).Context(), SIGTERM, SIGINT);
  }
  mSignals->async_wait([this](const boost::system::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    LogEvent(LogLevel::Info, "stop-requested",
             { { "signal", static_cast<std::uint64_t>(aSignal) } });
    RequestStop();
    AwaitSignals();
  });
}

void
Daemon::Parts::WaitForStop()
{
  std::unique_lock lock(mStopMutex);
  mStopSignal.wait(lock, [this] { return mStopRequests > 0; });
}

/// Readiness turns false at once; the listener stays open until the balancer has
/// noticed; then running requests finish and tickets are answered until the grace ends.
void
Daemon::Parts::Drain()
{
  const auto isCut = [this](std::chrono::milliseconds aTime) {
    std::unique_lock lock(mStopMutex);
    return mStopSignal.wait_for(lock, aTime, [this] { return mStopRequests > 1; });
  };
  mIsDraining = true;
  mWorkers.At(0).Post([this] { mFleet.Leave(); });
  mCallerServer.BeginDrain();
  LogEvent(LogLevel::Info, "draining");
  bool cut = isCut(std::chrono::milliseconds(mSettings.mDrainDelayMs));
  mCallerServer.StopAccepting();
  const auto end = BootClock::now() + std::chrono::milliseconds(mSettings.mGraceMs);
  const auto isBusy = [this] {
    return mCallerServer.RunningRequests() > 0 || mCallerServer.OpenConnections() > 0 ||
           mExecutions.Usage().mTickets > 0;
  };
  while (!cut && isBusy() && BootClock::now() < end) {
    cut = isCut(kStopPoll);
  }
  LogEvent(LogLevel::Info, "stopped",
           { { "requests_cut", std::uint64_t{ mCallerServer.RunningRequests() } },
             { "executions_cut", std::uint64_t{ mExecutions.RunningCount() } },
             { "tickets_forgotten", std::uint64_t{ mExecutions.Usage().mTickets } } });
}

void
Daemon::Parts::Stop()
{
  mTimers.clear();
  mUpstreams.Stop();
  std::promise<void> stopped;
  mWorkers.At(0).Post([&] {
    mSignals.reset();
    mForwarder.Stop();
    mConfig.Stop();
    mFleet.Stop();
    stopped.set_value();
  });
  stopped.get_future().wait();
  mLink.Stop();
  mWorkers.Stop();
}

Daemon::Daemon(Settings aSettings)
  : mParts(std::make_unique<Parts>(std::move(aSettings)))
{
}

Daemon::~Daemon() = default;

int
Daemon::Run()
{
  const bool isStarted = HandleError(
    [this]() -> Result<bool> {
      BOOST_LEAF_CHECK(mParts->Start());
      return true;
    },
    [](const Error& aError) {
      LogEvent(LogLevel::Error, "start-failed", { { "cause", ToText(aError) } });
      return false;
    });
  if (!isStarted) {
    mParts->Stop();
    return 1;
  }
  std::cout << boost::json::serialize(
                 boost::json::object{ { "event", "started" },
                                      { "vm", mParts->mSettings.mVm.Text() },
                                      { "caller_port", mParts->mCallerServer.Port() },
                                      { "operator_port", mParts->mOperatorServer.Port() },
                                      { "fleet_port", mParts->mLink.Port() } })
            << std::endl;
  mParts->WaitForStop();
  mParts->Drain();
  mParts->Stop();
  return 0;
}

} // namespace wasabispar
