/// @file
/// @brief Tests of upstreams that turn requests away and ask to get nothing for a while.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr Duration kQuietTime = 600ms;

/// Two upstreams of service `s`, each of which may be made to ask for quiet.
struct QuietUpstreams : GatewayFixture
{
  FakeUpstream& mFirst;
  FakeUpstream& mSecond;

  QuietUpstreams()
    : mFirst(Add("s", "first"))
    , mSecond(Add("s", "second"))
  {
    SetRoutes({ MakeRoute("read", ServiceName("s")),
                MakeRoute("hold", ServiceName("s"), false) });
  }

  void AskForQuiet(FakeUpstream& aUpstream)
  {
    OnWorker([&] {
      aUpstream.mBehaviour = FakeBehaviour::Shed;
      aUpstream.mExtraHeaders = { { "Test-Quiet-Ms",
                                    std::to_string(ToMilliseconds(kQuietTime)) } };
    });
  }
  void Serve(FakeUpstream& aUpstream)
  {
    OnWorker([&] {
      aUpstream.mBehaviour = FakeBehaviour::Answer;
      aUpstream.mExtraHeaders.clear();
    });
  }
  /// Sends requests until the upstream has got one.
  void SendUntilReached(const FakeUpstream& aUpstream)
  {
    const auto before = aUpstream.Requests();
    while (aUpstream.Requests() == before) {
      SendAndWait("/read/1");
    }
  }
};

} // namespace

TEST_CASE_FIXTURE(QuietUpstreams, "an upstream that asked for quiet gets nothing so long")
{
  // The first upstream is the faster one, so that it would be preferred.
  OnWorker([this] { mSecond.mDelay = 60ms; });
  SendUntilReached(mFirst);
  AskForQuiet(mFirst);
  SendUntilReached(mFirst);
  Serve(mFirst);
  const auto before = mFirst.Requests();
  const auto end = BootClock::now() + kQuietTime - 100ms;
  while (BootClock::now() < end) {
    CHECK(SendAndWait("/read/2").mResponse.mStatus == 200);
  }
  CHECK(mFirst.Requests() == before);
  // At the latest a quarter later it is used again.
  std::this_thread::sleep_for(kQuietTime / 4 + 150ms);
  SendUntilReached(mFirst);
}

/// Guards against requests that wait until their deadline though no upstream may get
/// them, and against callers who are all told to come back at one moment before it can
/// work.
TEST_CASE_FIXTURE(QuietUpstreams, "when all ask for quiet, requests are refused at once")
{
  AskForQuiet(mFirst);
  AskForQuiet(mSecond);
  SendAndWait("/hold/1");
  const auto sent = mFirst.Requests() + mSecond.Requests();
  REQUIRE(sent == 2);
  const auto answer = SendAndWait("/hold/2");
  CHECK(answer.mResponse.mBody == "unavailable");
  CHECK(answer.mTook < 50ms);
  CHECK(mFirst.Requests() + mSecond.Requests() == sent);
  const auto retryMs = std::stoll(std::string(answer.mResponse.Header("Test-Retry-Ms")));
  CHECK(retryMs >= ToMilliseconds(kQuietTime) - 100);
}

/// Guards against a burst that was placed before the upstream asked for quiet: what waits
/// for a connection must not be sent.
TEST_CASE_FIXTURE(QuietUpstreams,
                  "a burst at the moment of the answer reaches it no more")
{
  AskForQuiet(mFirst);
  AskForQuiet(mSecond);
  OnWorker([this] { mFirst.mDelay = mSecond.mDelay = 50ms; });
  std::vector<std::future<GatewayAnswer>> answers;
  for (int i = 0; i < 40; ++i) {
    answers.push_back(Send("/read/" + std::to_string(i), 2s));
  }
  for (auto& answer : answers) {
    answer.get();
  }
  const auto sent = mFirst.Requests() + mSecond.Requests();
  // Two exchanges for each of two slots were running when the first answer came.
  CHECK(sent <= 8);
  std::this_thread::sleep_for(kQuietTime / 2);
  CHECK(mFirst.Requests() + mSecond.Requests() == sent);
}

TEST_CASE_FIXTURE(QuietUpstreams, "a new incarnation starts without a quiet period")
{
  AskForQuiet(mFirst);
  AskForQuiet(mSecond);
  SendAndWait("/hold/1");
  Serve(mFirst);
  auto record = mFirst.Record("s");
  record.mStartedUnixMs = 2000;
  OnWorker([&] {
    GatewayUnderTest().OnUpstreamChanges({ { UpstreamChange::Kind::Replaced, record } });
  });
  CHECK(SendAndWait("/hold/2").mResponse.mStatus == 200);
}
