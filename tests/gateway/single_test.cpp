/// @file
/// @brief Requests to one service: pass-through, retries, what may be sent twice, callers
/// that leave.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// Two upstreams of service `s`, a route that may be repeated and one that may not.
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
  /// Only the upstream that the next request would go to first.
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

TEST_CASE_FIXTURE(TwoUpstreams, "an answer is passed on unchanged")
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

TEST_CASE_FIXTURE(TwoUpstreams, "a request that all upstreams shed is refused at once")
{
  SetBoth(FakeBehaviour::Shed);
  const auto answer = SendAndWait("/hold/1");
  CHECK(answer.mResponse.mBody == "unavailable");
  CHECK_FALSE(answer.mResponse.Header("Test-Retry-Ms").empty());
  CHECK(answer.mTook < 200ms);
}

/// Lost answers: the request has run, so it is not sent again and not called `not run`.
TEST_CASE_FIXTURE(TwoUpstreams, "a request that may run once is not sent again")
{
  SetBoth(FakeBehaviour::LoseAnswer);
  const auto answer = SendAndWait("/hold/1");
  CHECK(answer.mResponse.mBody == "lost");
  CHECK(Requests() == 1);
}

TEST_CASE_FIXTURE(TwoUpstreams,
                  "an idempotent request whose answer is lost is sent again")
{
  SetFirst(FakeBehaviour::LoseAnswer);
  for (int i = 0; i < 4; ++i) {
    CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  }
}

TEST_CASE_FIXTURE(TwoUpstreams, "at most the configured number of upstreams may run it")
{
  auto& third = Add("s", "third");
  SetBoth(FakeBehaviour::LoseAnswer);
  OnWorker([&] { third.mBehaviour = FakeBehaviour::LoseAnswer; });
  CHECK(SendAndWait("/read/1").mResponse.mBody == "lost");
  CHECK(Requests() + third.Requests() == 2);
}

TEST_CASE_FIXTURE(TwoUpstreams, "an answer to another request never reaches the caller")
{
  SetBoth(FakeBehaviour::WrongRequestId);
  CHECK(SendAndWait("/read/1").mResponse.mBody == "lost");
  // The connections are not used again.
  SetBoth(FakeBehaviour::Answer);
  const auto before = mFirst.Connections() + mSecond.Connections();
  CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  CHECK(mFirst.Connections() + mSecond.Connections() == before + 1);
}

TEST_CASE_FIXTURE(TwoUpstreams, "an upstream that is not the expected one is left alone")
{
  SetFirst(FakeBehaviour::WrongUpstream);
  // Otherwise the other one would be preferred for its speed.
  OnWorker([this] { mSecond.mDelay = 60ms; });
  for (int i = 0; i < 6; ++i) {
    CHECK(SendAndWait("/hold/1").mResponse.mStatus == 200);
  }
  CHECK(mFirst.Requests() <= 1);
}

TEST_CASE_FIXTURE(TwoUpstreams, "a failure of the last upstream is passed on")
{
  SetBoth(FakeBehaviour::Fail);
  const auto answer = SendAndWait("/hold/1");
  CHECK(answer.mResponse.mStatus == 500);
  CHECK(answer.mResponse.Header("Test-Signature").starts_with("signed-by-"));
  CHECK(Requests() == 1);
}

TEST_CASE_FIXTURE(TwoUpstreams, "a second upstream is asked when the first is silent")
{
  SetFirst(FakeBehaviour::Silent);
  for (int i = 0; i < 3; ++i) {
    const auto answer = SendAndWait("/read/1");
    CHECK(answer.mResponse.mStatus == 200);
    CHECK(answer.mTook < 250ms);
  }
}

TEST_CASE_FIXTURE(TwoUpstreams,
                  "upstreams get the time that is left, and it ends in time")
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

TEST_CASE_FIXTURE(TwoUpstreams, "when the caller leaves the upstream is told at once")
{
  SetBoth(FakeBehaviour::Silent);
  auto answer = Send("/hold/1", 2s);
  REQUIRE(Eventually([this] { return Requests() == 1; }));
  DisconnectCaller();
  // At once, not when a hanging exchange would be closed anyway.
  CHECK(
    Eventually([this] { return mFirst.Abandoned() + mSecond.Abandoned() == 1; }, 200ms));
  // The responder was dropped without a response.
  CHECK_THROWS_AS(answer.get(), std::future_error);
  OnWorker([this] { CHECK(GatewayUnderTest().ActiveRequestCount() == 0); });
}

TEST_CASE_FIXTURE(TwoUpstreams,
                  "without a reachable upstream a request is refused at once")
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

/// The time is over before a connection opened: the request has not run, and its caller
/// may send it again although it may run once only.
TEST_CASE_FIXTURE(GatewayFixture, "what was never sent is refused as not run")
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

TEST_CASE_FIXTURE(TwoUpstreams, "more requests than exchanges wait and are all answered")
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

TEST_CASE_FIXTURE(TwoUpstreams, "a process that exits answers what is running")
{
  SetBoth(FakeBehaviour::Silent);
  auto answer = Send("/hold/1", 2s);
  REQUIRE(Eventually([this] { return Requests() == 1; }));
  OnWorker([this] { GatewayUnderTest().RefuseActiveRequests(); });
  CHECK(answer.get().mResponse.mBody == "lost");
}
