/// @file
/// @brief Tests of upstreams that announce in an answer that they leave.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// Two upstreams of service `s`. The second one is slower, so that requests go to the
/// first one.
struct LeavingUpstream : GatewayFixture
{
  FakeUpstream& mFirst;
  FakeUpstream& mSecond;

  LeavingUpstream()
    : mFirst(Add("s", "first"))
    , mSecond(Add("s", "second"))
  {
    SetRoutes({ MakeRoute("read", ServiceName("s")),
                MakeRoute("hold", ServiceName("s"), false) });
    OnWorker([this] { mSecond.mDelay = 60ms; });
    while (mFirst.Requests() == 0) {
      SendAndWait("/read/warm-up");
    }
  }

  void AnnounceLeaving(FakeBehaviour aBehaviour = FakeBehaviour::Answer)
  {
    OnWorker([&] {
      mFirst.mExtraHeaders = { { "Test-Leaving", "1" } };
      mFirst.mBehaviour = aBehaviour;
    });
  }
  /// Sends requests until the first upstream has got one more, and returns how many it
  /// gets of ten requests after that.
  std::uint64_t RequestsAfterAnnouncement()
  {
    const auto before = mFirst.Requests();
    while (mFirst.Requests() == before) {
      SendAndWait("/read/1");
    }
    const auto announced = mFirst.Requests();
    for (int i = 0; i < 10; ++i) {
      CHECK(SendAndWait("/read/2").mResponse.mStatus == 200);
    }
    return mFirst.Requests() - announced;
  }
};

} // namespace

TEST_CASE_FIXTURE(LeavingUpstream,
                  "an upstream that announces in an answer that it leaves gets no more")
{
  AnnounceLeaving();
  CHECK(RequestsAfterAnnouncement() == 0);
}

TEST_CASE_FIXTURE(LeavingUpstream, "a failure and a rejection announce it, too")
{
  SUBCASE("failure")
  {
    AnnounceLeaving(FakeBehaviour::Fail);
  }
  SUBCASE("rejection")
  {
    AnnounceLeaving(FakeBehaviour::Shed);
  }
  CHECK(RequestsAfterAnnouncement() == 0);
}

/// Guards against a leaving upstream that is used again because the registry, which
/// learns of it later, writes its entry.
TEST_CASE_FIXTURE(LeavingUpstream, "its entry in the registry does not bring it back")
{
  AnnounceLeaving();
  REQUIRE(RequestsAfterAnnouncement() == 0);
  WriteAgain(mFirst, "s");
  const auto before = mFirst.Requests();
  for (int i = 0; i < 10; ++i) {
    SendAndWait("/read/3");
  }
  CHECK(mFirst.Requests() == before);
}

/// Guards against requests that are sent late to an upstream, because they waited for a
/// connection to it when it started to drain.
TEST_CASE_FIXTURE(GatewayFixture, "a request that waits for a connection is placed again")
{
  auto record = AddUnconnectable("s", "first");
  SetRoutes({ MakeRoute("hold", ServiceName("s"), false) });
  auto answer = Send("/hold/1", 2s);
  std::this_thread::sleep_for(50ms);
  const auto& second = Add("s", "second");
  OnWorker([&] {
    record.mState = UpstreamState::Draining;
    GatewayUnderTest().OnUpstreamChanges({ { UpstreamChange::Kind::Draining, record } });
  });
  const auto received = answer.get();
  CHECK(received.mResponse.mStatus == 200);
  // Sooner than the attempt to connect times out.
  CHECK(received.mTook < 300ms);
  CHECK(second.Requests() == 1);
}

/// Guards against requests that wait until their deadline because all upstreams leave.
TEST_CASE_FIXTURE(LeavingUpstream, "a request is refused at once when all have left")
{
  AnnounceLeaving();
  OnWorker([this] { mSecond.mExtraHeaders = { { "Test-Leaving", "1" } }; });
  for (int i = 0; i < 2; ++i) {
    CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  }
  const auto answer = SendAndWait("/read/2");
  CHECK(answer.mResponse.mBody == "unavailable");
  CHECK(answer.mTook < 50ms);
}

/// Guards against an announcement that is overlooked because its request was answered by
/// a hedge before.
TEST_CASE_FIXTURE(LeavingUpstream, "an answer that comes after the hedge's announces it")
{
  OnWorker([this] {
    mFirst.mDelay = 150ms;
    mFirst.mExtraHeaders = { { "Test-Leaving", "1" } };
    mSecond.mDelay = 5ms;
  });
  const auto before = mFirst.Requests();
  CHECK(SendAndWait("/read/1").mTook < 150ms);
  REQUIRE(mFirst.Requests() == before + 1);
  std::this_thread::sleep_for(200ms);
  OnWorker([this] {
    mFirst.mDelay = {};
    mSecond.mDelay = 60ms;
  });
  for (int i = 0; i < 10; ++i) {
    SendAndWait("/read/2");
  }
  CHECK(mFirst.Requests() == before + 1);
}
