/// @file
/// @brief Tests of upstreams that limit the requests that they take from all VMs.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <future>
#include <thread>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// Requests a second that a limited upstream takes.
constexpr double kLimit = 20;
/// Length of the windows in which requests are counted.
constexpr Duration kWindow = 2s;
/// Most requests in kWindow: one and a half times the limit, and five.
constexpr std::uint64_t kMaxRequests = 65;

/// Two upstreams of service `s`.
struct LimitedUpstreams : GatewayFixture
{
  FakeUpstream& mFirst;
  FakeUpstream& mSecond;

  LimitedUpstreams()
    : mFirst(Add("s", "first"))
    , mSecond(Add("s", "second"))
  {
    SetRoutes({ MakeRoute("read", ServiceName("s")) });
  }

  void SetLimit(FakeUpstream& aUpstream, const std::string& aLimit)
  {
    OnWorker([&] {
      aUpstream.mExtraHeaders.clear();
      if (!aLimit.empty()) {
        aUpstream.mExtraHeaders = { { "Test-Limit", aLimit } };
      }
    });
  }

  /// Sends requests one after the other for kWindow; returns how many were answered.
  int SendForWindow()
  {
    int answered = 0;
    const auto end = BootClock::now() + kWindow;
    while (BootClock::now() < end) {
      answered += SendAndWait("/read/1").mResponse.mStatus == 200 ? 1 : 0;
      std::this_thread::sleep_for(1ms);
    }
    return answered;
  }
};

} // namespace

/// Guards against an upstream in need that gets more requests than it takes.
TEST_CASE_FIXTURE(LimitedUpstreams, "limited upstreams get no more than they take")
{
  SetLimit(mFirst, std::to_string(kLimit));
  SetLimit(mSecond, std::to_string(kLimit));
  SendForWindow();
  const auto first = mFirst.Requests();
  const auto second = mSecond.Requests();
  SendForWindow();
  CHECK(mFirst.Requests() - first <= kMaxRequests);
  CHECK(mSecond.Requests() - second <= kMaxRequests);
}

/// Guards against requests that wait for limited upstreams until they are late, and so
/// use up what others could be answered with in time.
TEST_CASE_FIXTURE(LimitedUpstreams,
                  "what limited upstreams cannot take is refused at once")
{
  SetLimit(mFirst, "4");
  SetLimit(mSecond, "4");
  SendForWindow();
  std::vector<std::future<GatewayAnswer>> answers;
  for (int i = 0; i < 20; ++i) {
    answers.push_back(Send("/read/1", 2s));
  }
  int refused = 0;
  for (auto& future : answers) {
    const auto answer = future.get();
    if (answer.mResponse.mStatus != 200) {
      ++refused;
      CHECK(answer.mResponse.mBody == "unavailable");
      CHECK_FALSE(answer.mResponse.Header("Test-Retry-Ms").empty());
      CHECK(answer.mTook < 50ms);
    }
  }
  // The objective is 300 ms, in which the upstreams take two or three requests.
  CHECK(refused >= 15);
  CHECK(refused < 20);
}

/// Guards against an upstream that is spared for longer than it asked.
TEST_CASE_FIXTURE(LimitedUpstreams, "a limit ends with the first answer without it")
{
  SetLimit(mFirst, "4");
  SetLimit(mSecond, "4");
  SendForWindow();
  SetLimit(mFirst, "");
  SetLimit(mSecond, "");
  SendForWindow();
  const auto sent = mFirst.Requests() + mSecond.Requests();
  SendForWindow();
  CHECK(mFirst.Requests() + mSecond.Requests() - sent > 2 * kMaxRequests);
}

/// Guards against an unlimited upstream that is not used because another one is limited.
TEST_CASE_FIXTURE(LimitedUpstreams, "an upstream without a limit serves all requests")
{
  SetLimit(mFirst, "4");
  SendForWindow();
  for (int i = 0; i < 200; ++i) {
    CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  }
}
