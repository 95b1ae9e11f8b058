/// @file
/// @brief Tests of upstreams that limit the requests that they take from all VMs.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <thread>

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
