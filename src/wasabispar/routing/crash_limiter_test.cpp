/// @file
/// @brief Tests of which losses are crashes, when a request is blocked and what the other
/// VMs learn of it.
#include "wasabispar/routing/crash_limiter.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };
const RequestPart kRequest{ RequestFingerprint(7), ServiceFingerprint(1) };
const RequestPart kOtherPart{ kRequest.mRequest, ServiceFingerprint(2) };
const CrashReporter kOtherVm{ VmId("10.0.0.2"), Incarnation(1) };

UpstreamIncarnation
Upstream(int aNumber)
{
  return { UpstreamId("u" + std::to_string(aNumber)), 1000 };
}

/// A report of @p aSuccessiveCrashes with kRequest, the last of which was lost at
/// @p aLostAt.
RequestCrashReport
Report(int aSuccessiveCrashes, TimePoint aLostAt = kNow)
{
  RequestCrashReport report{ kRequest.mRequest, {}, {} };
  for (int i = aSuccessiveCrashes; i > 0; --i) {
    const auto lostAt = aLostAt - (i - 1) * 100ms;
    report.mCrashes.push_back({ kRequest.mService, lostAt - 50ms, lostAt });
  }
  return report;
}

/// A limiter of one VM, at which the request is sent again and again.
struct LimiterFixture
{
  CrashLimiter mLimiter;
  CrashLimiter::ExchangeId mLastExchange = 0;

  void Send(int aUpstream, TimePoint aNow = kNow, const RequestPart& aPart = kRequest)
  {
    mLimiter.OnSent(++mLastExchange, aPart, Upstream(aUpstream), aNow);
  }
  /// Sends the request to an upstream, which crashes at once.
  void Crash(int aUpstream, TimePoint aNow = kNow, const RequestPart& aPart = kRequest)
  {
    Send(aUpstream, aNow, aPart);
    mLimiter.OnLost(mLastExchange, aNow);
    mLimiter.OnConnectFailed(Upstream(aUpstream), aNow);
  }
  void Complete(int aUpstream, TimePoint aNow = kNow, const RequestPart& aPart = kRequest)
  {
    Send(aUpstream, aNow, aPart);
    mLimiter.OnCompleted(mLastExchange, aNow);
  }
  bool MaySend(TimePoint aNow = kNow, const RequestPart& aPart = kRequest) const
  {
    return mLimiter.MaySend(aPart, aNow);
  }
};

} // namespace

TEST_CASE_FIXTURE(LimiterFixture, "a request is blocked after three crashes")
{
  Crash(1);
  Crash(2);
  CHECK(MaySend());
  CHECK_FALSE(mLimiter.BlockedUntil(kRequest, kNow));
  Crash(3);
  CHECK_FALSE(MaySend());
  CHECK(mLimiter.BlockedUntil(kRequest, kNow) == kNow + CrashLimiterOptions().mMemory);
  CHECK(MaySend(kNow, { RequestFingerprint(8), kRequest.mService }));
  CHECK(MaySend(kNow + CrashLimiterOptions().mMemory));
}

/// A supervisor starts the upstream again under its id, and the request crashes it again.
TEST_CASE_FIXTURE(LimiterFixture, "each crash of an upstream counts")
{
  for (std::uint64_t started = 1; started <= 3; ++started) {
    const UpstreamIncarnation upstream{ UpstreamId("u"), started };
    mLimiter.OnSent(started, kRequest, upstream, kNow);
    mLimiter.OnLost(started, kNow);
    mLimiter.OnConnectFailed(upstream, kNow);
  }
  CHECK_FALSE(MaySend());
}

TEST_CASE_FIXTURE(LimiterFixture, "a lost exchange is no crash if the upstream accepts")
{
  for (int i = 1; i <= 3; ++i) {
    Send(i);
    mLimiter.OnLost(mLastExchange, kNow);
    mLimiter.OnConnected(Upstream(i), kNow + 50ms);
    mLimiter.OnConnectFailed(Upstream(i), kNow + 60ms);
  }
  CHECK(MaySend(kNow + 60ms));
}

/// Guards against crashes that are missed: an ending process still accepted a connection
/// after it had closed the one of the exchange.
TEST_CASE_FIXTURE(LimiterFixture, "a connection right after the loss shows nothing")
{
  for (int i = 1; i <= 3; ++i) {
    Send(i);
    mLimiter.OnLost(mLastExchange, kNow);
    mLimiter.OnConnected(Upstream(i), kNow + 1ms);
    mLimiter.OnConnectFailed(Upstream(i), kNow + 100ms);
  }
  CHECK_FALSE(MaySend(kNow + 100ms));
}

TEST_CASE_FIXTURE(LimiterFixture, "a failed connection right before the loss is a crash")
{
  for (int i = 1; i <= 3; ++i) {
    const auto now = kNow + i * 10ms;
    Send(i, now);
    mLimiter.OnConnectFailed(Upstream(i), now);
    mLimiter.OnLost(mLastExchange, now + 10ms);
  }
  CHECK_FALSE(MaySend(kNow + 40ms));
}

TEST_CASE_FIXTURE(LimiterFixture, "a failed connection long after the loss is no crash")
{
  for (int i = 1; i <= 3; ++i) {
    Send(i);
    mLimiter.OnLost(mLastExchange, kNow);
    mLimiter.OnConnectFailed(Upstream(i), kNow + 3s);
  }
  CHECK(MaySend(kNow + 3s));
}

/// Guards against a request that is refused although it is harmless: it ran on upstreams
/// that crashed for other reasons, and completes elsewhere.
TEST_CASE_FIXTURE(LimiterFixture, "a completion clears the crashes of a request")
{
  Crash(1);
  Crash(2);
  mLimiter.OnReport(kOtherVm, Report(1), kNow);
  mLimiter.OnReport(kOtherVm, Report(0), kNow);
  Complete(3);
  Crash(4);
  Crash(5);
  CHECK(MaySend());
}

/// Guards against hedges and copies at the same time that crash more upstreams than the
/// limit.
TEST_CASE_FIXTURE(LimiterFixture, "copies that run count towards the limit")
{
  Crash(1);
  Send(2);
  CHECK(MaySend());
  Send(3);
  CHECK_FALSE(MaySend());
  // Whether upstream 3 crashed is not clear yet.
  mLimiter.OnLost(mLastExchange, kNow);
  CHECK_FALSE(MaySend());
  mLimiter.OnConnected(Upstream(3), kNow + 1s);
  CHECK(MaySend(kNow + 1s));
}

TEST_CASE_FIXTURE(LimiterFixture, "a request without crashes may run any number of times")
{
  for (int i = 0; i < 20; ++i) {
    Send(i);
  }
  CHECK(MaySend());
}

/// Guards against a frequent request that is blocked although it is harmless: copies of
/// it were running on upstreams that failed together.
TEST_CASE_FIXTURE(LimiterFixture, "upstreams that fail together count once")
{
  for (int i = 1; i <= 5; ++i) {
    Send(i);
  }
  const auto lostAt = kNow + 10ms;
  for (int i = 1; i <= 5; ++i) {
    mLimiter.OnLost(static_cast<CrashLimiter::ExchangeId>(i), lostAt);
    mLimiter.OnConnectFailed(Upstream(i), lostAt);
  }
  mLimiter.OnReport(kOtherVm, Report(1, lostAt), lostAt);
  CHECK(MaySend(lostAt));
  CHECK(mLimiter.SuccessiveCrashes(kRequest.mRequest, lostAt) == 1);
  CHECK(mLimiter.Tick(lostAt + 1s).front().mCrashes.size() == 1);
}

/// A retry is sent as soon as a connection is lost; whether the upstream crashed is clear
/// a moment later.
TEST_CASE_FIXTURE(LimiterFixture, "a retry follows the loss that it was sent for")
{
  Send(1);
  mLimiter.OnLost(1, kNow);
  Send(2);
  mLimiter.OnLost(2, kNow);
  Send(3);
  mLimiter.OnLost(3, kNow);
  for (int i = 1; i <= 3; ++i) {
    mLimiter.OnConnectFailed(Upstream(i), kNow + 60ms);
  }
  CHECK_FALSE(MaySend(kNow + 60ms));
}

/// Guards against a VM that counts a copy which was running while upstreams failed
/// together at other VMs.
TEST_CASE_FIXTURE(LimiterFixture, "crashes at other VMs count if they came before")
{
  Send(1);
  // The last of the two was lost after the send.
  mLimiter.OnReport(kOtherVm, Report(2, kNow + 10ms), kNow + 10ms);
  mLimiter.OnLost(mLastExchange, kNow + 20ms);
  mLimiter.OnConnectFailed(Upstream(1), kNow + 20ms);
  CHECK(MaySend(kNow + 20ms));
  Crash(2, kNow + 20ms);
  CHECK_FALSE(MaySend(kNow + 20ms));
}

/// Guards against VMs that each know of one crash and each allow two more.
TEST_CASE_FIXTURE(LimiterFixture, "crashes at several VMs add up")
{
  mLimiter.OnReport(kOtherVm, Report(1, kNow - 2s), kNow - 1s);
  mLimiter.OnReport({ VmId("10.0.0.3"), Incarnation(1) }, Report(1, kNow - 1s), kNow);
  CHECK(MaySend());
  Crash(1);
  CHECK_FALSE(MaySend());
}

/// Guards against a request that may crash three upstreams of each service.
TEST_CASE_FIXTURE(LimiterFixture, "crashes of several parts add up and block all parts")
{
  Crash(1, kNow);
  Crash(2, kNow + 1s, kOtherPart);
  CHECK(MaySend(kNow + 1s));
  Send(3, kNow + 1s);
  // The last copy that is allowed runs alone.
  CHECK_FALSE(MaySend(kNow + 1s, kOtherPart));
  mLimiter.OnLost(mLastExchange, kNow + 2s);
  mLimiter.OnConnectFailed(Upstream(3), kNow + 2s);
  CHECK_FALSE(MaySend(kNow + 2s));
  CHECK_FALSE(MaySend(kNow + 2s, kOtherPart));
  CHECK_FALSE(MaySend(kNow + 2s, { kRequest.mRequest, ServiceFingerprint(3) }));
  CHECK(mLimiter.BlockedUntil(kOtherPart, kNow + 2s) ==
        kNow + 2s + CrashLimiterOptions().mMemory);
}

/// Guards against a query that loses all parts because of the upstreams of one shard.
TEST_CASE_FIXTURE(LimiterFixture, "crashes of one part do not block the others")
{
  Crash(1);
  Crash(2);
  Crash(3);
  CHECK_FALSE(MaySend());
  CHECK(MaySend(kNow, kOtherPart));
}

/// Guards against a query that is refused although only some of its shards crash: before
/// the first crash is known, another part has completed.
TEST_CASE_FIXTURE(LimiterFixture,
                  "a completion of another part clears what parts add up to")
{
  const RequestPart thirdPart{ kRequest.mRequest, ServiceFingerprint(3) };
  for (int i = 0; i < 2; ++i) {
    const auto now = kNow + i * 1s;
    Send(1, now);
    const auto first = mLastExchange;
    Send(2, now, kOtherPart);
    const auto second = mLastExchange;
    Complete(3, now + 10ms, thirdPart);
    mLimiter.OnLost(first, now + 40ms);
    mLimiter.OnLost(second, now + 50ms);
    mLimiter.OnConnectFailed(Upstream(1), now + 100ms);
    mLimiter.OnConnectFailed(Upstream(2), now + 100ms);
  }
  Crash(4, kNow + 3s);
  CHECK_FALSE(MaySend(kNow + 3s));
  CHECK(MaySend(kNow + 3s, kOtherPart));
  CHECK(MaySend(kNow + 3s, thirdPart));
}

/// Guards against a fan-out that crashes many upstreams in one moment, which counts as
/// one crash, and is sent again to several shards at several VMs.
TEST_CASE("a request that crashed many upstreams at once is tried with one copy")
{
  for (const bool mayTry : { true, false }) {
    std::size_t urgentReports = 0;
    CrashLimiter limiter(
      {},
      [&urgentReports](const UpstreamCrash& aCrash) {
        urgentReports += aCrash.mIsReportUrgent ? 1 : 0;
      },
      [mayTry](RequestFingerprint) { return mayTry; });
    const auto part = [](int aNumber) {
      return RequestPart{ kRequest.mRequest,
                          ServiceFingerprint(static_cast<std::uint64_t>(aNumber)) };
    };
    for (int i = 1; i <= 6; ++i) {
      limiter.OnSent(static_cast<CrashLimiter::ExchangeId>(i), part(i), Upstream(i),
                     kNow);
    }
    for (int i = 1; i <= 6; ++i) {
      limiter.OnLost(static_cast<CrashLimiter::ExchangeId>(i), kNow + 10ms);
      limiter.OnConnectFailed(Upstream(i), kNow + 70ms);
    }
    const auto now = kNow + 5s;
    CHECK(urgentReports == 1);
    CHECK(limiter.SuccessiveCrashes(kRequest.mRequest, now) == 1);
    CHECK(limiter.MaySend(part(1), now) == mayTry);
    CHECK(limiter.BlockedUntil(part(1), now).has_value() == !mayTry);
    limiter.OnSent(7, part(1), Upstream(7), now);
    CHECK_FALSE(limiter.MaySend(part(2), now));
    limiter.OnLost(7, now + 10ms);
    limiter.OnConnectFailed(Upstream(7), now + 70ms);
    CHECK_FALSE(limiter.MaySend(part(2), now + 1s));
    CHECK(limiter.BlockedUntil(part(2), now + 1s));
    CHECK(urgentReports == 2);
  }
}

TEST_CASE_FIXTURE(LimiterFixture, "a completion at another VM clears the crashes before")
{
  Crash(1);
  Crash(2, kNow + 100ms);
  RequestCrashReport report = Report(0);
  report.mCompletion = RequestCompletion{ kRequest.mService, kNow + 200ms };
  mLimiter.OnReport(kOtherVm, report, kNow + 300ms);
  Crash(3, kNow + 300ms);
  CHECK(MaySend(kNow + 300ms));
  CHECK(mLimiter.SuccessiveCrashes(kRequest.mRequest, kNow + 300ms) == 1);
}

TEST_CASE_FIXTURE(LimiterFixture, "crashes are reported after a delay, or at the limit")
{
  Crash(1);
  CHECK(mLimiter.Tick(kNow + 900ms).empty());
  const auto first = mLimiter.Tick(kNow + 1s);
  REQUIRE(first.size() == 1);
  CHECK(first.front().mFingerprint == kRequest.mRequest);
  CHECK(first.front().mCrashes == RequestCrashes{ { kRequest.mService, kNow, kNow } });
  CHECK(mLimiter.Tick(kNow + 2s).empty());
  Crash(2, kNow + 2s);
  CHECK(mLimiter.Tick(kNow + 2s).size() == 1);
}

TEST_CASE_FIXTURE(LimiterFixture, "the third crash is reported without a delay")
{
  mLimiter.OnReport(kOtherVm, Report(2), kNow);
  Crash(3);
  const auto reports = mLimiter.Tick(kNow);
  REQUIRE(reports.size() == 1);
  CHECK(mLimiter.SuccessiveCrashes(kRequest.mRequest, kNow) == 3);
  CrashLimiter other;
  other.OnReport(kOtherVm, Report(2), kNow);
  CHECK(other.MaySend(kRequest, kNow));
  other.OnReport({ VmId("10.0.0.3"), Incarnation(1) }, reports.front(), kNow);
  CHECK_FALSE(other.MaySend(kRequest, kNow));
}

TEST_CASE_FIXTURE(LimiterFixture, "a completion is reported if the crashes were")
{
  Crash(1);
  Complete(2);
  CHECK(mLimiter.Tick(kNow + 2s).empty());
  Crash(3, kNow + 2s);
  REQUIRE(mLimiter.Tick(kNow + 3s).size() == 1);
  Complete(4, kNow + 4s);
  const auto reports = mLimiter.Tick(kNow + 4s);
  REQUIRE(reports.size() == 1);
  CHECK(reports.front().mCrashes.empty());
  CHECK(reports.front().mCompletion == RequestCompletion{ kRequest.mService, kNow + 4s });
}

TEST_CASE("the number of remembered requests is bounded")
{
  CrashLimiterOptions options;
  options.mMaxRequests = 2;
  options.mMaxCrashes = 1;
  CrashLimiter limiter(options);
  for (int i = 1; i <= 3; ++i) {
    auto report = Report(1, kNow + i * 1s);
    report.mFingerprint = RequestFingerprint(static_cast<std::uint64_t>(i));
    limiter.OnReport(kOtherVm, report, kNow + i * 1s);
  }
  const auto maySend = [&limiter](std::uint64_t aRequest) {
    return limiter.MaySend({ RequestFingerprint(aRequest), kRequest.mService },
                           kNow + 4s);
  };
  CHECK(maySend(1));
  CHECK_FALSE(maySend(2));
  CHECK_FALSE(maySend(3));
}
