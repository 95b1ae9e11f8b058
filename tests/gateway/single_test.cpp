/// @file
/// @brief Tests of requests to a single service: forwarding, retries, hedges, idempotence
/// and callers that disconnect.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// Two upstreams of service `s` with the idempotent route `read` and the route `hold`,
/// which is not idempotent.
struct TwoUpstreams : GatewayFixture
{
  FakeUpstream& mFirst;
  FakeUpstream& mSecond;

  TwoUpstreams()
    : mFirst(Add("s", "first"))
    , mSecond(Add("s", "second"))
  {
    SetRoutes({ MakeRoute("read", ServiceName("s")),
                MakeRoute("hold", ServiceName("s"), false) });
  }

  void SetBoth(FakeBehaviour aBehaviour)
  {
    OnWorker([&] { mFirst.mBehaviour = mSecond.mBehaviour = aBehaviour; });
  }
  /// Sets the behaviour of the upstream to which the next request is sent first.
  void SetFirst(FakeBehaviour aBehaviour)
  {
    OnWorker([&] { mFirst.mBehaviour = aBehaviour; });
  }
  std::uint64_t Requests() const { return mFirst.Requests() + mSecond.Requests(); }
};

template<class Predicate>
bool
Eventually(Predicate aPredicate, Duration aTimeout = 2s)
{
  const auto end = BootClock::now() + aTimeout;
  while (BootClock::now() < end) {
    if (aPredicate()) {
      return true;
    }
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

} // namespace

TEST_CASE_FIXTURE(TwoUpstreams, "an answer is forwarded unchanged")
{
  const auto answer = SendAndWait("/read/1");
  CHECK(answer.mResponse.mStatus == 200);
  CHECK(answer.mResponse.mBody == "body");
  CHECK(answer.mResponse.Header("Test-Signature").starts_with("signed-by-"));
  CHECK(Requests() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "without a configuration requests are refused")
{
  CHECK(SendAndWait("/read/1").mResponse.mBody == "not-configured");
}

TEST_CASE_FIXTURE(TwoUpstreams, "a path without a route is refused")
{
  CHECK(SendAndWait("/other/1").mResponse.mBody == "no-route");
  CHECK(Requests() == 0);
}

TEST_CASE_FIXTURE(TwoUpstreams, "a shed request is sent to the other upstream")
{
  SetFirst(FakeBehaviour::Shed);
  for (int i = 0; i < 4; ++i) {
    CHECK(SendAndWait("/hold/1").mResponse.mStatus == 200);
  }
}

TEST_CASE_FIXTURE(TwoUpstreams, "a request is refused at once when all upstreams shed it")
{
  SetBoth(FakeBehaviour::Shed);
  const auto answer = SendAndWait("/hold/1");
  CHECK(answer.mResponse.mBody == "unavailable");
  CHECK_FALSE(answer.mResponse.Header("Test-Retry-Ms").empty());
  CHECK(answer.mTook < 200ms);
}

/// A request whose answer is lost has run. Sending it again would run it twice, and
/// refusing it as not run would make the caller send it again.
TEST_CASE_FIXTURE(
  TwoUpstreams, "a request that is not idempotent is not sent again after a lost answer")
{
  SetBoth(FakeBehaviour::LoseAnswer);
  const auto answer = SendAndWait("/hold/1");
  CHECK(answer.mResponse.mBody == "lost");
  CHECK(Requests() == 1);
}

TEST_CASE_FIXTURE(TwoUpstreams, "an idempotent request is sent again after a lost answer")
{
  SetFirst(FakeBehaviour::LoseAnswer);
  for (int i = 0; i < 4; ++i) {
    CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  }
}

TEST_CASE_FIXTURE(TwoUpstreams, "at most mMaxAttempts upstreams may run a request")
{
  auto& third = Add("s", "third");
  SetBoth(FakeBehaviour::LoseAnswer);
  OnWorker([&] { third.mBehaviour = FakeBehaviour::LoseAnswer; });
  CHECK(SendAndWait("/read/1").mResponse.mBody == "lost");
  CHECK(Requests() + third.Requests() == 2);
}

TEST_CASE_FIXTURE(TwoUpstreams, "an answer to another request is never forwarded")
{
  SetBoth(FakeBehaviour::WrongRequestId);
  CHECK(SendAndWait("/read/1").mResponse.mBody == "lost");
  // The connections of the wrong answers are not used again.
  SetBoth(FakeBehaviour::Answer);
  const auto before = mFirst.Connections() + mSecond.Connections();
  CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  CHECK(mFirst.Connections() + mSecond.Connections() == before + 1);
}

TEST_CASE_FIXTURE(TwoUpstreams,
                  "an upstream whose address is another one's gets no further requests")
{
  SetFirst(FakeBehaviour::WrongUpstream);
  // Without the delay the second upstream would be preferred as the faster one.
  OnWorker([this] { mSecond.mDelay = 60ms; });
  for (int i = 0; i < 6; ++i) {
    CHECK(SendAndWait("/hold/1").mResponse.mStatus == 200);
  }
  CHECK(mFirst.Requests() <= 1);
}

TEST_CASE_FIXTURE(TwoUpstreams, "a failure reported by an upstream is forwarded")
{
  SetBoth(FakeBehaviour::Fail);
  const auto answer = SendAndWait("/hold/1");
  CHECK(answer.mResponse.mStatus == 500);
  CHECK(answer.mResponse.Header("Test-Signature").starts_with("signed-by-"));
  CHECK(Requests() == 1);
}

TEST_CASE_FIXTURE(TwoUpstreams, "a hedge is sent when the first upstream is silent")
{
  SetFirst(FakeBehaviour::Silent);
  for (int i = 0; i < 3; ++i) {
    const auto answer = SendAndWait("/read/1");
    CHECK(answer.mResponse.mStatus == 200);
    CHECK(answer.mTook < 250ms);
  }
}

TEST_CASE_FIXTURE(TwoUpstreams,
                  "upstreams get the time left, and the request ends by its deadline")
{
  SetBoth(FakeBehaviour::Silent);
  const auto answer = SendAndWait("/hold/1", 400ms);
  CHECK(answer.mResponse.mBody == "timeout");
  CHECK(answer.mTook >= 350ms);
  CHECK(answer.mTook < 600ms);
  const auto left = std::stoi(mFirst.LastTimeLeft() + mSecond.LastTimeLeft());
  CHECK(left <= 400);
  CHECK(left > 300);
}

TEST_CASE_FIXTURE(TwoUpstreams,
                  "the exchange is aborted at once when the caller disconnects")
{
  SetBoth(FakeBehaviour::Silent);
  auto answer = Send("/hold/1", 2s);
  REQUIRE(Eventually([this] { return Requests() == 1; }));
  DisconnectCaller();
  // The bound is shorter than the time after which hanging exchanges are closed anyway.
  CHECK(
    Eventually([this] { return mFirst.Abandoned() + mSecond.Abandoned() == 1; }, 200ms));
  // The response function was destroyed without a call.
  CHECK_THROWS_AS(answer.get(), std::future_error);
  OnWorker([this] { CHECK(GatewayUnderTest().ActiveRequestCount() == 0); });
}

TEST_CASE_FIXTURE(TwoUpstreams,
                  "a request is refused at once when no upstream is reachable")
{
  CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  OnWorker([this] {
    mFirst.Kill();
    mSecond.Kill();
  });
  REQUIRE(Eventually([this] { return SendAndWait("/read/1").mResponse.mStatus != 200; }));
  const auto answer = SendAndWait("/read/1");
  CHECK(answer.mResponse.mBody == "unavailable");
  CHECK(answer.mTook < 100ms);
}

/// When the deadline passes before a connection opens, the request did not run, and the
/// caller must be able to send it again although it is not idempotent.
TEST_CASE_FIXTURE(GatewayFixture, "a request that was never sent is refused as not run")
{
  AddUnconnectable("s", "full");
  SetRoutes({ MakeRoute("hold", ServiceName("s"), false) });
  const auto answer = SendAndWait("/hold/1", 250ms);
  CHECK(answer.mResponse.mBody == "unavailable");
  CHECK(answer.mTook < 300ms);
}

TEST_CASE_FIXTURE(TwoUpstreams, "a draining upstream gets no new request")
{
  CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  auto record = mFirst.Record("s");
  record.mState = UpstreamState::Draining;
  const auto before = mFirst.Requests();
  OnWorker([&] {
    GatewayUnderTest().OnUpstreamChanges({ { UpstreamChange::Kind::Draining, record } });
  });
  for (int i = 0; i < 5; ++i) {
    CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  }
  CHECK(mFirst.Requests() == before);
}

TEST_CASE_FIXTURE(TwoUpstreams,
                  "requests above the limit of exchanges are queued and answered")
{
  OnWorker([this] { mFirst.mDelay = mSecond.mDelay = 20ms; });
  std::vector<std::future<GatewayAnswer>> answers;
  for (int i = 0; i < 40; ++i) {
    answers.push_back(Send("/hold/1", 900ms));
  }
  for (auto& answer : answers) {
    CHECK(answer.get().mResponse.mStatus == 200);
  }
  CHECK(Requests() == 40);
}

TEST_CASE_FIXTURE(TwoUpstreams, "active requests are refused before the process exits")
{
  SetBoth(FakeBehaviour::Silent);
  auto answer = Send("/hold/1", 2s);
  REQUIRE(Eventually([this] { return Requests() == 1; }));
  OnWorker([this] { GatewayUnderTest().RefuseActiveRequests(); });
  CHECK(answer.get().mResponse.mBody == "lost");
}

/// Guards against an upstream that works for a caller that has left: a busy VM reads the
/// request late, and must not state the time that was left when it was sent.
TEST_CASE_FIXTURE(GatewayFixture,
                  "the time for which a request waited is not stated as left")
{
  auto& upstream = Add("a", "a1");
  SetRoutes({ MakeRoute("q", ServiceName("a")) });
  CHECK(SendAndWait("/q/1", 900ms).mResponse.mStatus == 200);
  CHECK(std::stol(upstream.LastTimeLeft()) > 800);
  std::promise<void> isBusy;
  std::thread blocker([&] {
    OnWorker([&] {
      isBusy.set_value();
      std::this_thread::sleep_for(600ms);
    });
  });
  isBusy.get_future().wait();
  auto late = Send("/q/1", 900ms);
  CHECK(late.get().mResponse.mStatus == 200);
  blocker.join();
  // 0.5 s more than the caller's time is the most that upstreams accept.
  CHECK(std::stol(upstream.LastTimeLeft()) < 300 + 500);
  std::this_thread::sleep_for(200ms);
  CHECK(SendAndWait("/q/1", 900ms).mResponse.mStatus == 200);
  CHECK(std::stol(upstream.LastTimeLeft()) > 800);
}
