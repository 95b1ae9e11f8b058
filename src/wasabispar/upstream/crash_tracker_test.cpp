/// @file
/// @brief Tests of CrashTracker, including the bound on the number of upstreams that one
/// request crashes.
#include "wasabispar/base/random.hpp"
#include "wasabispar/upstream/crash_tracker.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const RequestFingerprint kCrashingRequest(13);
const ShardId kShard("s");

/// Simulates VMs that resend one crashing request as often as CrashTracker allows. Each
/// execution crashes its upstream after a random time. Reports between VMs are delayed.
struct Fleet
{
  struct Vm
  {
    CrashTracker mTracker;
    /// Reports from other VMs with the time of their arrival.
    std::vector<std::pair<TimePoint, CrashReport>> mInbox;
    /// Running exchanges with the time at which each crashes its upstream.
    std::vector<std::pair<TimePoint, std::uint64_t>> mRunning;
  };

  RandomFn mRandom;
  std::vector<Vm> mVms;
  Duration mMaxDelay;
  bool mReportsArrive;
  /// Number of upstreams to which a VM sends the request at once before suspicion.
  std::uint32_t mWidth;
  /// Number of upstreams. With few of them the VMs often crash the same one.
  std::uint32_t mUpstreams;
  TimePoint mNow{ 100s };
  std::uint64_t mNextExchange = 1;
  std::map<std::uint64_t, UpstreamId> mTargets;
  std::set<UpstreamId> mDown;

  Fleet(std::uint64_t aSeed, std::size_t aVms, std::uint32_t aWidth, bool aReportsArrive,
        Duration aMaxDelay)
    : mRandom(SeededRandom(aSeed))
    , mVms(aVms)
    , mMaxDelay(aMaxDelay)
    , mReportsArrive(aReportsArrive)
    , mWidth(aWidth)
    , mUpstreams(aSeed % 2 == 0 ? 12 : 100)
  {
  }

  void Publish(const std::vector<CrashReport>& aReports)
  {
    if (!mReportsArrive) {
      return;
    }
    for (auto& vm : mVms) {
      for (const auto& report : aReports) {
        const auto delay = 1ms * mRandom(ToMilliseconds(mMaxDelay));
        vm.mInbox.emplace_back(mNow + delay, report);
      }
    }
  }
  void Crash(Vm& aVm)
  {
    for (auto i = aVm.mRunning.size(); i-- > 0;) {
      const auto [at, exchange] = aVm.mRunning[i];
      const auto& target = mTargets.at(exchange);
      if (at <= mNow || mDown.contains(target)) {
        aVm.mRunning.erase(aVm.mRunning.begin() + static_cast<std::ptrdiff_t>(i));
        mDown.insert(target);
        Publish(aVm.mTracker.OnEnded(exchange, ExchangeStatus::ConnectionLost, mNow));
        Publish(aVm.mTracker.OnConnectFailed(target, mNow));
      }
    }
  }
  void Send(Vm& aVm)
  {
    // All VMs choose from the same set of upstreams. One that is down gets no request.
    const auto decision = aVm.mTracker.Decide(kCrashingRequest, mNow);
    if (decision == CrashDecision::Hold || decision == CrashDecision::Quarantined ||
        !aVm.mRunning.empty()) {
      return;
    }
    const auto width = decision == CrashDecision::Normal ? mWidth : 1;
    for (std::uint32_t i = 0; i < width; ++i) {
      const UpstreamId target("u" + std::to_string(mRandom(mUpstreams)));
      if (mDown.contains(target)) {
        continue;
      }
      const auto exchange = mNextExchange++;
      const auto started =
        aVm.mTracker.TryStart(exchange, target, kCrashingRequest, kShard, mNow);
      if (started == CrashDecision::Normal || started == CrashDecision::RunAlone) {
        mTargets[exchange] = target;
        aVm.mRunning.emplace_back(mNow + 1ms * mRandom(4000), exchange);
      }
    }
  }
  std::size_t Run(Duration aTime)
  {
    for (const auto end = mNow + aTime; mNow < end; mNow += 10ms) {
      for (auto& vm : mVms) {
        std::erase_if(vm.mInbox, [&](const auto& aItem) {
          if (aItem.first <= mNow) {
            vm.mTracker.OnCrashReport(aItem.second, mNow);
          }
          return aItem.first <= mNow;
        });
        Crash(vm);
        if (mRandom(20) == 0) {
          Send(vm);
        }
      }
    }
    return mDown.size();
  }
};

} // namespace

TEST_CASE("one crashing request crashes at most V * W + 1 upstreams")
{
  // Guards against a request that is resent by all VMs until it has crashed every
  // upstream. The run is shorter than one quarantine period; reports take up to the
  // report wait time.
  std::size_t worst = 0;
  for (std::uint64_t seed = 0; seed < 540; ++seed) {
    const std::size_t vms = 1 + seed % 9;
    const std::uint32_t width = 1 + seed / 9 % 3;
    Fleet fleet(seed, vms, width, true, 3s);
    const auto down = fleet.Run(60s);
    CAPTURE(seed);
    CHECK(down >= 1);
    CHECK(down <= vms * width + 1);
    worst = vms == 9 && width == 1 ? std::max(worst, down) : worst;
  }
  MESSAGE("worst of 9 VMs, one upstream at a time: " << worst);
}

TEST_CASE("without reports from other VMs one VM crashes at most W + 1 upstreams")
{
  // Guards against an unlimited number of crashes during a partition of the fleet.
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    const std::size_t vms = 1 + seed % 4;
    const std::uint32_t width = 1 + seed % 3;
    CAPTURE(seed);
    CHECK(Fleet(seed, vms, width, false, 1s).Run(60s) <= vms * (width + 1));
  }
}

TEST_CASE("with prompt reports one request crashes at most V + 1 upstreams")
{
  // Guards the bound in the failure table of the design page: two upstreams, plus one for
  // each further VM that had already sent the request.
  CHECK(Fleet(1, 1, 1, true, 1ms).Run(60s) == 2);
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    CHECK(Fleet(seed, 3, 1, true, 20ms).Run(60s) <= 4);
  }
}

TEST_CASE("unrelated requests are cleared when they complete")
{
  // Guards against a quarantine of requests that were only in flight during a crash, also
  // when a rack with two upstreams of one query fails.
  CrashTracker tracker;
  TimePoint now{ 100s };
  const RequestFingerprint good(1);
  const ShardId other("t");
  tracker.TryStart(1, UpstreamId("a"), good, kShard, now);
  tracker.TryStart(2, UpstreamId("b"), good, other, now);
  tracker.TryStart(3, UpstreamId("a"), kCrashingRequest, kShard, now);
  for (const std::uint64_t exchange : { 1, 2, 3 }) {
    tracker.OnEnded(exchange, ExchangeStatus::ConnectionLost, now);
  }
  CHECK(tracker.Decide(good, now) == CrashDecision::Hold); // crash or connection reset
  CHECK(tracker.OnConnectFailed(UpstreamId("a"), now).size() == 2);
  CHECK(tracker.OnConnectFailed(UpstreamId("b"), now).size() == 1);
  now += 2999ms;
  CHECK(tracker.Decide(good, now) == CrashDecision::Hold);
  now += 1ms;
  CHECK(tracker.TryStart(4, UpstreamId("c"), good, kShard, now) ==
        CrashDecision::RunAlone);
  CHECK(tracker.TryStart(5, UpstreamId("d"), good, other, now) == CrashDecision::Hold);
  tracker.OnEnded(4, ExchangeStatus::Ok, now);
  CHECK(tracker.Decide(good, now) == CrashDecision::RunAlone); // not completed on shard t
  tracker.TryStart(6, UpstreamId("d"), good, other, now);
  tracker.OnEnded(6, ExchangeStatus::Ok, now);
  CHECK(tracker.Decide(good, now) == CrashDecision::Normal);
  // A second crash quarantines the crashing request, even if the upstream restarts fast
  // enough for a new connection to succeed.
  tracker.TryStart(7, UpstreamId("c"), kCrashingRequest, kShard, now);
  const auto reports = tracker.OnEnded(7, ExchangeStatus::ConnectionLost, now);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].mQuarantined);
  tracker.OnConnected(UpstreamId("c"));
  CHECK(tracker.Decide(kCrashingRequest, now + 9min) == CrashDecision::Quarantined);
  CHECK(tracker.Quarantined(now).size() == 1);
  CHECK(tracker.Decide(kCrashingRequest, now + 10min) == CrashDecision::Normal);
}

TEST_CASE("a lost connection is no crash while others work or a new one succeeds")
{
  // Guards against suspicion after an idle time-out or a connection reset by a proxy.
  CrashTracker tracker;
  const TimePoint now{ 100s };
  const UpstreamId up("a");
  tracker.TryStart(1, up, kCrashingRequest, kShard, now);
  tracker.TryStart(2, up, RequestFingerprint(2), kShard, now);
  tracker.OnEnded(1, ExchangeStatus::ConnectionLost, now);
  CHECK(tracker.OnConnectFailed(up, now).empty()); // exchange 2 still runs
  CHECK(tracker.OnEnded(2, ExchangeStatus::Ok, now).empty());
  tracker.OnConnected(up);
  CHECK(tracker.Decide(kCrashingRequest, now) == CrashDecision::Normal);
}

TEST_CASE("one reported incident makes a request suspect, two quarantine it")
{
  CrashTracker tracker;
  const TimePoint now{ 100s };
  tracker.OnCrashReport(
    { kCrashingRequest, false, { UpstreamId("a") }, { kShard }, 1min }, now);
  tracker.OnCrashReport(
    { kCrashingRequest, false, { UpstreamId("a") }, { kShard }, 1min }, now);
  CHECK(tracker.Decide(kCrashingRequest, now) == CrashDecision::Hold);
  CHECK(tracker.Decide(kCrashingRequest, now + 3s) == CrashDecision::RunAlone);
  tracker.OnCrashReport(
    { kCrashingRequest, false, { UpstreamId("b") }, { kShard }, 1min }, now);
  CHECK(tracker.Decide(kCrashingRequest, now + 3s) == CrashDecision::Quarantined);
}

TEST_CASE("two workers never run a suspect request at the same time")
{
  // Guards against a second crash because two workers decide before either of them
  // records its exchange. Run the test under TSAN.
  CrashTracker tracker;
  const TimePoint now{ 100s };
  tracker.OnCrashReport(
    { kCrashingRequest, false, { UpstreamId("a") }, { kShard, ShardId("t") }, 1min },
    now);
  std::atomic<int> running = 0;
  std::atomic<int> worst = 0;
  const auto work = [&](std::uint64_t aFirst) {
    for (std::uint64_t i = aFirst; i < aFirst + 2000; ++i) {
      const auto decision =
        tracker.TryStart(i, UpstreamId("b"), kCrashingRequest, kShard, now + 5s);
      if (decision == CrashDecision::RunAlone) {
        worst = std::max(worst.load(), ++running);
        std::this_thread::yield(); // lets the other worker try to start the request
        --running;
        tracker.OnEnded(i, ExchangeStatus::Shed, now + 5s);
      }
    }
  };
  {
    std::jthread first(work, 1);
    std::jthread second(work, 10'000);
  }
  CHECK(worst == 1);
}
