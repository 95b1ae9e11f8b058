/// @file
/// @brief Tests of CrashLimiter on several VMs that report to each other.
#include "wasabispar/base/random.hpp"
#include "wasabispar/routing/crash_limiter.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1000s };
constexpr std::uint64_t kSeed = 20261205;
constexpr int kVms = 9;
constexpr int kUpstreamsPerShard = 3;
/// Time from a send to the loss of its connection.
constexpr Duration kTimeToCrash = 40ms;
/// Time from a loss to the failed attempt to connect.
constexpr Duration kProbeDelay = 60ms;
/// Time from a send to its hedge.
constexpr Duration kHedgeDelay = 30ms;
/// Time in which an upstream that crashed is back.
constexpr Duration kRestartTime = 1500ms;
constexpr Duration kTickPeriod = 250ms;
/// Time that a report takes to the other VMs.
constexpr Duration kReportTransit = 40ms;
/// From this time after the third crash, at most kMaxLateSends copies are sent.
constexpr Duration kReactionTime = 5s;
constexpr int kMaxLateSends = 3;

/// What a request is sent to.
enum class Target
{
  /// One part to each shard.
  FanOut,
  /// One of the services at random, as on a route that splits its requests.
  Split,
};

/// When a VM sends a part to the next upstream.
enum class NextSend
{
  AfterLoss,
  /// As a hedge, before the first copy is lost.
  AfterDelay,
};

/// A fleet at whose VMs a caller sends a request again and again, which crashes each
/// upstream that runs it.
class CrashingFleet
{
public:
  CrashingFleet(Target aTarget, int aShards, int aAttempts,
                NextSend aNextSend = NextSend::AfterLoss, std::uint64_t aSeed = kSeed)
    : mRandom(SeededRandom(aSeed))
    , mTarget(aTarget)
    , mAttempts(aAttempts)
    , mNextSend(aNextSend)
    , mUpAgainAt(static_cast<std::size_t>(aShards * kUpstreamsPerShard))
  {
    for (int vm = 0; vm < kVms; ++vm) {
      mLimiters.push_back(MakeLimiter(vm));
      Schedule(kStart + vm * kTickPeriod / kVms, [this, vm] { Tick(vm); });
    }
  }

  /// Sends the request @p aCount times to random VMs, one each @p aPeriod. Its caller
  /// retries each of them @p aRetryDelay later, if that is not zero.
  void Run(int aCount, Duration aPeriod, Duration aRetryDelay = {})
  {
    for (int i = 0; i < aCount; ++i) {
      const auto sentAt = kStart + i * aPeriod;
      Schedule(sentAt, [this] { SendParts(Random(kVms)); });
      if (aRetryDelay > Duration{}) {
        Schedule(sentAt + aRetryDelay, [this] { SendParts(Random(kVms)); });
      }
    }
    RunUntil(kStart + aCount * aPeriod + 1s);
  }

  int LateSends() const { return mLateSends; }
  int Crashes() const { return mCrashes; }

private:
  void RunUntil(TimePoint aEnd)
  {
    while (mEvents.begin()->first < aEnd) {
      const auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
  }

  /// The limiter of a VM. Three VMs may try a request that is on probation.
  CrashLimiter MakeLimiter(int aVm)
  {
    return CrashLimiter(
      {},
      [this, aVm](const UpstreamCrash& aCrash) {
        if (aCrash.mIsReportUrgent) {
          Schedule(mNow, [this, aVm] { Report(aVm); });
        }
      },
      [aVm](RequestFingerprint) { return aVm % 3 == 0; });
  }

  void Schedule(TimePoint aAt, std::function<void()> aFn)
  {
    mEvents.emplace(aAt, std::move(aFn));
  }

  int Random(int aBound)
  {
    return static_cast<int>(mRandom(static_cast<std::uint64_t>(aBound)));
  }

  int ShardCount() const
  {
    return static_cast<int>(mUpAgainAt.size()) / kUpstreamsPerShard;
  }

  static RequestPart Part(int aShard)
  {
    return { RequestFingerprint(1),
             ServiceFingerprint(static_cast<std::uint64_t>(aShard)) };
  }

  void SendParts(int aVm)
  {
    if (mTarget == Target::Split) {
      Send(aVm, Random(ShardCount()), mAttempts);
      return;
    }
    for (int shard = 0; shard < ShardCount(); ++shard) {
      Send(aVm, shard, mAttempts);
    }
  }

  /// Sends a part to a random upstream of the shard that is up.
  void Send(int aVm, int aShard, int aAttemptsLeft)
  {
    std::vector<int> up;
    for (int i = 0; i < kUpstreamsPerShard; ++i) {
      const int upstream = aShard * kUpstreamsPerShard + i;
      if (mUpAgainAt[static_cast<std::size_t>(upstream)] <= mNow) {
        up.push_back(upstream);
      }
    }
    auto& limiter = mLimiters[static_cast<std::size_t>(aVm)];
    if (up.empty() || aAttemptsLeft == 0 || !limiter.MaySend(Part(aShard), mNow)) {
      return;
    }
    const int upstream =
      up[static_cast<std::size_t>(Random(static_cast<int>(up.size())))];
    const auto exchange = ++mLastExchange;
    mLateSends += mThirdCrashAt && mNow > *mThirdCrashAt + kReactionTime ? 1 : 0;
    limiter.OnSent(exchange, Part(aShard), Incarnation(upstream), mNow);
    Schedule(mNow + kTimeToCrash + Random(20) * 1ms,
             [=, this] { Crash(aVm, aShard, upstream, exchange, aAttemptsLeft); });
    if (mNextSend == NextSend::AfterDelay) {
      Schedule(mNow + kHedgeDelay, [=, this] { Send(aVm, aShard, aAttemptsLeft - 1); });
    }
  }

  void Crash(int aVm, int aShard, int aUpstream, CrashLimiter::ExchangeId aExchange,
             int aAttemptsLeft)
  {
    auto& upAgainAt = mUpAgainAt[static_cast<std::size_t>(aUpstream)];
    mCrashes += upAgainAt <= mNow ? 1 : 0;
    upAgainAt = std::max(upAgainAt, mNow + kRestartTime);
    if (mCrashes == 3 && !mThirdCrashAt) {
      mThirdCrashAt = mNow;
    }
    mLimiters[static_cast<std::size_t>(aVm)].OnLost(aExchange, mNow);
    Schedule(mNow + kProbeDelay, [=, this] {
      mLimiters[static_cast<std::size_t>(aVm)].OnConnectFailed(Incarnation(aUpstream),
                                                               mNow);
    });
    if (mNextSend == NextSend::AfterLoss) {
      Send(aVm, aShard, aAttemptsLeft - 1);
    }
  }

  void Tick(int aVm)
  {
    Report(aVm);
    Schedule(mNow + kTickPeriod, [=, this] { Tick(aVm); });
  }

  void Report(int aVm)
  {
    for (const auto& report : mLimiters[static_cast<std::size_t>(aVm)].Tick(mNow)) {
      Schedule(mNow + kReportTransit, [=, this] { Deliver(aVm, report); });
    }
  }

  void Deliver(int aFrom, const RequestCrashReport& aReport)
  {
    for (int vm = 0; vm < kVms; ++vm) {
      if (vm != aFrom) {
        mLimiters[static_cast<std::size_t>(vm)].OnReport(
          { VmId(std::to_string(aFrom)), wasabispar::Incarnation(1) }, aReport, mNow);
      }
    }
  }

  static UpstreamIncarnation Incarnation(int aUpstream)
  {
    return { UpstreamId(std::to_string(aUpstream)), 1 };
  }

  RandomFn mRandom;
  Target mTarget;
  int mAttempts;
  NextSend mNextSend;
  TimePoint mNow = kStart;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  /// By upstream.
  std::vector<TimePoint> mUpAgainAt;
  /// By VM.
  std::vector<CrashLimiter> mLimiters;
  CrashLimiter::ExchangeId mLastExchange = 0;
  int mCrashes = 0;
  std::optional<TimePoint> mThirdCrashAt;
  int mLateSends = 0;
};

/// Checks requests that come with different periods and may run on so many upstreams of
/// a service.
void
CheckLateSends(Target aTarget, int aShards)
{
  for (const auto period : { 60ms, 200ms, 500ms, 900ms, 1700ms, 3000ms, 7000ms }) {
    for (const int attempts : { 1, 2, 3 }) {
      CAPTURE(period.count());
      CAPTURE(attempts);
      CrashingFleet fleet(aTarget, aShards, attempts);
      fleet.Run(60, period);
      CHECK(fleet.Crashes() >= 3);
      CHECK(fleet.LateSends() <= kMaxLateSends);
    }
  }
}

} // namespace

/// Guards against a request that goes on crashing upstreams because no VM sees three of
/// its crashes.
TEST_CASE("a request that crashes upstreams at many VMs is blocked in time")
{
  CheckLateSends(Target::FanOut, 1);
}

/// Guards against a fan-out that may crash three upstreams of each of its shards.
TEST_CASE("a fan-out that crashes upstreams at many VMs is blocked in time")
{
  CheckLateSends(Target::FanOut, 10);
  CheckLateSends(Target::FanOut, 40);
}

/// Guards against a request that may crash three upstreams of each service that its
/// route names.
TEST_CASE("a split request that crashes upstreams at many VMs is blocked in time")
{
  CheckLateSends(Target::Split, 2);
  CheckLateSends(Target::Split, 5);
}

/// Guards against a fan-out whose first attempt crashes all shards in one moment, which
/// counted as one crash, and that comes again, with its caller's retry, when no VM
/// expects it any more.
TEST_CASE("a fan-out that comes seldom and is retried at once is blocked in time")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const auto retryDelay : { 30ms, 70ms, 150ms }) {
      CAPTURE(seed);
      CAPTURE(retryDelay.count());
      CrashingFleet fleet(Target::FanOut, 10, 2, NextSend::AfterDelay, seed);
      fleet.Run(10, 5400ms, retryDelay);
      CHECK(fleet.Crashes() >= 3);
      CHECK(fleet.LateSends() <= kMaxLateSends);
    }
  }
}
