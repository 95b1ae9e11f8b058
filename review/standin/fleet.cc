/// @file
/// @brief Stand-ins of the platform: its store, searchers, entry VMs and clients.
#include "fleet.hh"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <iomanip>
#include <sstream>

namespace standin {

namespace {

constexpr int kSlots = 2;
constexpr int kQueueLimit = 8;
constexpr double kGrace = 6.0;
constexpr double kReadinessPeriod = 1.0;

std::string
Quoted(const std::string& aText)
{
  return "\"" + aText + "\"";
}

std::uint64_t
UnixMilliseconds()
{
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                      std::chrono::system_clock::now().time_since_epoch())
                                      .count());
}

/// Records of 16 bytes, which also serve as the body of a single answer.
std::string
MakeBody(const std::string& aRequestId)
{
  std::string body;
  for (int i = 0; i < 12; ++i) {
    body += aRequestId;
  }
  return body;
}

Response
Json(std::string aBody)
{
  return { 200, { { "Content-Type", "application/json" } }, std::move(aBody) };
}

} // namespace

Store::Store(Record& aRecord)
  : mRecord(aRecord)
  , mServer([this](const Request& aRequest) { return Handle(aRequest); })
{
  mPort = mServer.Listen("127.0.0.1");
}

void
Store::Add(const std::string& aKey, std::optional<std::string> aValue)
{
  const std::lock_guard lock(mMutex);
  mEvents.push_back({ Now(), mEvents.size() + 1, aKey, aValue });
  mRecord.Line("store: revision " + std::to_string(mEvents.size()) + " " + aKey +
               (aValue ? " = " + aValue->substr(0, 160) : " removed"));
  mChanged.notify_all();
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  Add(aKey, aValue);
}

void
Store::Delete(const std::string& aKey)
{
  Add(aKey, std::nullopt);
}

void
Store::SetDown(bool aIsDown)
{
  {
    const std::lock_guard lock(mMutex);
    mIsDown = aIsDown;
    mOutages += aIsDown ? 1 : 0;
    mChanged.notify_all();
  }
  mServer.Refuse(aIsDown);
  mRecord.Line(aIsDown ? "store: down" : "store: up");
}

void
Store::SilenceOpenConnections()
{
  mServer.SilenceOpenConnections();
  mRecord.Line("store: open connections are silent");
}

void
Store::SetStaleness(std::function<double(const std::string&)> aStaleness)
{
  const std::lock_guard lock(mMutex);
  mStaleness = std::move(aStaleness);
}

std::string
Store::ItemJson(const Event& aEvent)
{
  const auto revision = std::to_string(aEvent.mRevision);
  if (!aEvent.mValue) {
    return "{\"key\":" + Quoted(aEvent.mKey) + ",\"revision\":" + revision +
           ",\"compacted\":true}";
  }
  return "{\"key\":" + Quoted(aEvent.mKey) +
         ",\"value\":" + Quoted(Base64(*aEvent.mValue)) + ",\"revision\":" + revision +
         ",\"created_rev\":" + revision + ",\"lease_id\":0}";
}

std::optional<Response>
Store::Handle(const Request& aRequest)
{
  if (aRequest.mPath == "/api/kv-watch") {
    return Watch(aRequest);
  }
  if (aRequest.mPath == "/api/kv-range") {
    return Page(aRequest);
  }
  return Response{ 404, {}, "{}" };
}

Response
Store::Page(const Request& aRequest)
{
  const std::lock_guard lock(mMutex);
  const auto after = aRequest.QueryOr("after", "");
  const bool isStale = aRequest.QueryOr("stale_read", "0") == "1";
  const auto age = isStale && mStaleness ? mStaleness(after) : 0.0;
  std::map<std::string, const Event*> items;
  std::uint64_t revision = 0;
  for (const auto& event : mEvents) {
    if (event.mTime > Now() - age) {
      break;
    }
    revision = event.mRevision;
    items[event.mKey] = event.mValue ? &event : nullptr;
  }
  std::string list;
  std::size_t count = 0;
  auto item = items.upper_bound(after);
  for (; item != items.end() && count < kPageSize; ++item) {
    if (item->second) {
      list += (count++ > 0 ? "," : "") + ItemJson(*item->second);
    }
  }
  mRecord.Line("store: read" + std::string(isStale ? " (stale)" : "") + " after '" +
               after + "': " + std::to_string(count) + " items at revision " +
               std::to_string(revision) + " of " + std::to_string(mEvents.size()));
  return Json("{\"items\":[" + list +
              "],\"has_more\":" + (item != items.end() ? "true" : "false") +
              ",\"at\":" + std::to_string(revision) + "}");
}

std::optional<Response>
Store::Watch(const Request& aRequest)
{
  const auto after = std::stoull(aRequest.QueryOr("after", "0"));
  const auto wait = std::stod(aRequest.QueryOr("wait_ms", "0")) / 1000;
  std::unique_lock lock(mMutex);
  const auto outages = mOutages;
  mChanged.wait_for(lock, std::chrono::duration<double>(wait), [&] {
    return mEvents.size() > after || mOutages != outages || mIsDown;
  });
  if (mIsDown || mOutages != outages) {
    return std::nullopt;
  }
  std::string list;
  std::size_t count = 0;
  for (const auto& event : mEvents) {
    if (event.mRevision > after) {
      list += (count++ > 0 ? "," : "") + ItemJson(event);
    }
  }
  if (count > 0) {
    mRecord.Line("store: watch after " + std::to_string(after) + " gets " +
                 std::to_string(count) + " events at revision " +
                 std::to_string(mEvents.size()));
  }
  return Json("{\"events\":[" + list + "],\"at\":" + std::to_string(mEvents.size()) +
              "}");
}

void
Arrivals::Add(Arrival aArrival)
{
  const std::lock_guard lock(mMutex);
  mItems.push_back(std::move(aArrival));
}

std::vector<Arrival>
Arrivals::All()
{
  const std::lock_guard lock(mMutex);
  return mItems;
}

Searcher::Searcher(Store& aStore, Arrivals& aArrivals, std::string aId,
                   std::string aService, std::string aZone, double aWork,
                   CrashFn aCrashes)
  : mStore(aStore)
  , mArrivals(aArrivals)
  , mId(std::move(aId))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mWork(aWork)
  , mCrashes(std::move(aCrashes))
  , mBorn(UnixMilliseconds())
  , mServer([this](const Request& aRequest) { return Handle(aRequest); })
{
  mPort = mServer.Listen("127.0.0.1");
}

void
Searcher::Register(const std::string& aState)
{
  mStore.Put("servers/" + mId,
             "{\"service\":" + Quoted(mService) + ",\"address\":\"127.0.0.1:" +
               std::to_string(mPort) + "\",\"zone\":" + Quoted(mZone) +
               ",\"version\":\"v1\",\"capacity\":" + std::to_string(kSlots) +
               ",\"state\":" + Quoted(aState) +
               ",\"warmup_left_ms\":0,\"sequence\":1,\"born\":" + std::to_string(mBorn) +
               "}");
}

void
Searcher::Deregister()
{
  mStore.Delete("servers/" + mId);
}

void
Searcher::End()
{
  mServer.Abort();
}

bool
Searcher::TakeSlot()
{
  std::unique_lock lock(mMutex);
  if (mRunning >= kSlots) {
    if (mQueued >= kQueueLimit) {
      return false;
    }
    ++mQueued;
    mSlotFree.wait(lock, [this] { return mRunning < kSlots; });
    --mQueued;
  }
  ++mRunning;
  return true;
}

void
Searcher::FreeSlot()
{
  const std::lock_guard lock(mMutex);
  --mRunning;
  mSlotFree.notify_one();
}

std::optional<Response>
Searcher::Handle(const Request& aRequest)
{
  const auto id = aRequest.Header("x-request-id");
  const auto expected = aRequest.Header("x-expected-instance");
  if (!expected.empty() && expected != mId) {
    return Response{ 421, { { "X-Instance-Id", mId } }, "" };
  }
  Arrival arrival{ Now(), id, mId, mService, aRequest.mPath, false };
  if (!TakeSlot()) {
    mArrivals.Add(arrival);
    return Response{ 503, { { "X-Not-Executed", "1" }, { "X-Request-Id", id } }, "" };
  }
  arrival.mHasRun = true;
  mArrivals.Add(arrival);
  if (mCrashes && mCrashes(aRequest)) {
    FreeSlot();
    return std::nullopt;
  }
  SleepFor(mWork);
  FreeSlot();
  const auto seal = mId + "." + std::to_string(++mRuns);
  return Response{ 200,
                   { { "X-Request-Id", id }, { "X-Response-Seal", seal } },
                   MakeBody(id) };
}

Vms::Vms(Record& aRecord, const std::string& aProgram, const std::string& aFolder,
         std::size_t aCount, int aStorePort)
  : mRecord(aRecord)
  , mProgram(aProgram)
  , mFolder(aFolder)
  , mStorePort(aStorePort)
{
  const std::vector<std::string> zones{ "harju-a", "tartu-a", "parnu-a" };
  std::vector<std::string> ips;
  for (std::size_t i = 0; i < aCount; ++i) {
    auto& vm = mVms.emplace_back();
    vm.mZone = zones[i % zones.size()];
    vm.mName = "edge-" + vm.mZone + "-" + std::to_string(1 + i / zones.size());
    vm.mIp = "127.0.0." + std::to_string(11 + i);
    ips.push_back(vm.mIp);
  }
  mCallerPort = FreePort(ips);
  mReadinessPort = FreePort(ips);
  mAdminPort = FreePort(ips);
  mFleetPort = FreePort(ips);
  std::thread([this] { CheckReadiness(); }).detach();
}

void
Vms::Finish(Verdict aVerdict)
{
  for (auto& vm : mVms) {
    if (vm.mPid > 0) {
      kill(vm.mPid, SIGKILL);
      waitpid(vm.mPid, nullptr, 0);
    }
  }
  _exit(static_cast<int>(aVerdict));
}

void
Vms::Start(std::size_t aVm)
{
  auto& vm = mVms[aVm];
  const auto address = [&vm](int aPort) { return vm.mIp + ":" + std::to_string(aPort); };
  std::string seeds;
  for (const auto& seed : mVms) {
    seeds += (seeds.empty() ? "" : ",") + seed.mIp + ":" + std::to_string(mAdminPort);
  }
  const auto path = mFolder + "/" + vm.mName + ".conf";
  std::ofstream(path) << "node_name=" << vm.mName << "\nrole=query\nmachine_class=edge"
                      << "\nserves=edge,control_plane\nip=" << vm.mIp
                      << "\nzone=" << vm.mZone
                      << "\nzones.harju-a=harju\nzones.tartu-a=tartu\nzones.parnu-a=parnu"
                      << "\nbind_addrs.http=" << address(mCallerPort)
                      << "\nbind_addrs.readiness=" << address(mReadinessPort)
                      << "\nbind_addrs.admin=" << address(mAdminPort)
                      << "\nport_range=" << mFleetPort << "," << mFleetPort
                      << "\nseed_nodes=" << seeds
                      << "\ndiscovery=platform\nentry_mode=vip"
                      << "\nheartbeat_ms=1200\nparameters.stable_ms=5000"
                      << "\nparameters.drain_ms=3000\nparameters.grace_s=6"
                      << "\nparameters.config_apply_ms=3000\nparameters.retry_budget=0.2"
                      << "\nparameters.retry_window_s=10\nparameters.budget_slack=58"
                      << "\nparameters.recovery_s=12\nplatform.address=127.0.0.1:"
                      << mStorePort << "\nplatform.form=read\n";
  const auto log = mFolder + "/" + vm.mName + ".log";
  const auto config = "WASABISPAR_CONFIG=" + path;
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, 1);
    dup2(file, 2);
    const char* arguments[] = { mProgram.c_str(), nullptr };
    const char* environment[] = { config.c_str(), nullptr };
    execve(mProgram.c_str(), const_cast<char**>(arguments),
           const_cast<char**>(environment));
    _exit(127);
  }
  vm.mPid = pid;
  vm.mStartedAt = Now();
  mRecord.Line(vm.mName + ": started");
}

void
Vms::Terminate(std::size_t aVm)
{
  auto& vm = mVms[aVm];
  mRecord.Line(vm.mName + ": SIGTERM");
  kill(vm.mPid, SIGTERM);
  const auto until = Now() + kGrace;
  while (waitpid(vm.mPid, nullptr, WNOHANG) == 0) {
    if (Now() > until) {
      kill(vm.mPid, SIGKILL);
      waitpid(vm.mPid, nullptr, 0);
      mRecord.Line(vm.mName + ": SIGKILL at the end of the grace period");
      break;
    }
    SleepFor(0.01);
  }
  vm.mPid = 0;
  mRecord.Line(vm.mName + ": ended");
}

void
Vms::CheckReadiness()
{
  while (true) {
    const auto next = Now() + kReadinessPeriod;
    for (auto& vm : mVms) {
      const auto answer = Call(vm.mIp, mReadinessPort, "GET", "/api/readyz",
                               { { "Host", vm.mIp } }, "", 0.5);
      vm.mMisses = answer.mStatus == 200 ? 0 : vm.mMisses + 1;
    }
    SleepUntil(next);
  }
}

bool
Vms::AwaitReady(double aTimeout)
{
  const auto until = Now() + aTimeout;
  const auto isReady = [this] {
    for (std::size_t i = 0; i < Count(); ++i) {
      if (!IsInRotation(i)) {
        return false;
      }
    }
    return true;
  };
  while (!isReady()) {
    if (Now() > until) {
      return false;
    }
    SleepFor(0.05);
  }
  return true;
}

bool
Vms::HasUnexpectedEnd()
{
  for (auto& vm : mVms) {
    if (vm.mPid > 0 && waitpid(vm.mPid, nullptr, WNOHANG) != 0) {
      mRecord.Line(vm.mName + ": ended by itself");
      vm.mPid = 0;
      return true;
    }
  }
  return false;
}

Clients::Clients(Vms& aVms)
  : mVms(aVms)
{
}

std::size_t
Clients::NextVm()
{
  const std::lock_guard lock(mMutex);
  for (std::size_t i = 0; i < mVms.Count(); ++i) {
    mNextVm = (mNextVm + 1) % mVms.Count();
    if (mVms.IsInRotation(mNextVm)) {
      break;
    }
  }
  return mNextVm;
}

Attempt
Clients::Send(const std::string& aMethod, const std::string& aHost,
              const std::string& aTarget, const std::string& aBody, int aDeadlineMs,
              std::optional<std::size_t> aVm)
{
  Attempt attempt;
  attempt.mVm = aVm ? *aVm : NextVm();
  attempt.mTarget = aTarget;
  {
    const std::lock_guard lock(mMutex);
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(mNextId++));
    attempt.mRequestId = id;
  }
  attempt.mSentAt = Now();
  const auto answer = Call(mVms.Ip(attempt.mVm), mVms.CallerPort(), aMethod, aTarget,
                           { { "Host", aHost },
                             { "X-Request-Id", attempt.mRequestId },
                             { "X-Deadline-Ms", std::to_string(aDeadlineMs) } },
                           aBody, aDeadlineMs / 1000.0);
  attempt.mStatus = answer.mStatus;
  attempt.mAnsweredAt = Now();
  const std::lock_guard lock(mMutex);
  mAttempts.push_back(attempt);
  return attempt;
}

void
Clients::StartLoad(const std::string& aHost, const std::string& aPrefix, int aDeadlineMs,
                   double aInterval)
{
  mLoads.emplace_back([=, this] {
    auto next = Now();
    for (std::uint64_t i = 0; !mIsStopped; ++i) {
      ++mOpen;
      std::thread([=, this] {
        const auto target = aPrefix + std::to_string(i);
        const auto first = Send("GET", aHost, target, "", aDeadlineMs);
        if (first.mStatus == 0 || first.mStatus >= 500) {
          Send("GET", aHost, target, "", aDeadlineMs);
        }
        --mOpen;
      }).detach();
      next += aInterval;
      SleepUntil(next);
    }
  });
}

void
Clients::Stop()
{
  mIsStopped = true;
  for (auto& load : mLoads) {
    load.join();
  }
  mLoads.clear();
  while (mOpen > 0) {
    SleepFor(0.01);
  }
}

std::vector<Attempt>
Clients::All()
{
  const std::lock_guard lock(mMutex);
  return mAttempts;
}

void
RecordRequests(Record& aRecord, Vms& aVms, const std::vector<Attempt>& aAttempts,
               const std::vector<Arrival>& aArrivals)
{
  std::map<std::string, std::string> runs;
  for (const auto& arrival : aArrivals) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << " " << arrival.mSearcher
         << (arrival.mHasRun ? "@" : " (not run)@") << arrival.mTime;
    runs[arrival.mRequestId] += text.str();
  }
  for (const auto& attempt : aAttempts) {
    std::ostringstream line;
    line << std::fixed << std::setprecision(3) << "request " << attempt.mRequestId << " "
         << attempt.mTarget << " sent to " << aVms.Ip(attempt.mVm) << " at "
         << attempt.mSentAt << ", answered " << attempt.mStatus << " at "
         << attempt.mAnsweredAt << ", run by" << runs[attempt.mRequestId];
    aRecord.Line(line.str());
  }
}

} // namespace standin
