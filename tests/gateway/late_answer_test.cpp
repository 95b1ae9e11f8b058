/// @file
/// @brief Tests of answers that an upstream sends more than once on a kept connection.
/// The next request must not get an answer that is not its own.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// The header by which an answer of the test protocol names its request.
constexpr auto kRequestIdHeader = "Test-Id";

struct OneUpstream : GatewayFixture
{
  FakeUpstream& mUpstream;

  OneUpstream()
    : mUpstream(Add("a", "a1"))
  {
    SetRoutes(
      { MakeRoute("q", ServiceName("a")), MakeRoute("once", ServiceName("a"), false) });
  }

  void SetBehaviour(FakeBehaviour aBehaviour)
  {
    OnWorker([&] { mUpstream.mBehaviour = aBehaviour; });
  }

  /// Sends request number @p aNumber; if it gets an answer, checks that it is its own.
  /// Returns whether it got one.
  bool SendNumber(int aNumber, const std::string& aPath)
  {
    const auto answer = SendAndWait(aPath);
    if (answer.mResponse.mStatus != 200) {
      return false;
    }
    CHECK(answer.mResponse.Header(kRequestIdHeader) ==
          "request-" + std::to_string(aNumber));
    return true;
  }
};

} // namespace

TEST_CASE_FIXTURE(OneUpstream,
                  "a second copy in the packet of an answer is not delivered")
{
  SetBehaviour(FakeBehaviour::AnswerTwice);
  for (int i = 1; i <= 20; ++i) {
    CHECK(SendNumber(i, "/q/1"));
  }
  // No connection with surplus bytes carries another request.
  CHECK(mUpstream.Connections() == 20);
}

/// The copy arrives where the next answer is expected: the request was already written.
TEST_CASE_FIXTURE(OneUpstream, "a late second copy does not answer the next request")
{
  auto& other = Add("a", "a2");
  SetBehaviour(FakeBehaviour::RepeatPrevious);
  int answered = 0;
  for (int i = 1; i <= 20; ++i) {
    answered += SendNumber(i, "/q/1") ? 1 : 0;
  }
  // An idempotent request is sent to the other upstream instead.
  CHECK(answered == 20);
  CHECK(mUpstream.Requests() + other.Requests() >= 20);
}

/// A request that may run once has run; the caller must not be told that it has not.
TEST_CASE_FIXTURE(OneUpstream, "a late second copy makes a request that runs once lost")
{
  SetBehaviour(FakeBehaviour::RepeatPrevious);
  CHECK(SendNumber(1, "/once/1"));
  const auto answer = SendAndWait("/once/1");
  CHECK(answer.mResponse.mBody == "lost");
  CHECK(mUpstream.Requests() == 2);
}

/// The answer to a request whose caller has left, or that was answered by a hedge, must
/// not reach the next request.
TEST_CASE_FIXTURE(OneUpstream, "the answer to an abandoned request is not delivered")
{
  OnWorker([this] { mUpstream.mDelay = 100ms; });
  for (int i = 1; i <= 10; i += 2) {
    auto abandoned = Send("/q/1", 2s);
    std::this_thread::sleep_for(30ms);
    DisconnectCaller();
    SendNumber(i + 1, "/q/1");
  }
}
