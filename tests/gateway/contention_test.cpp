/// @file
/// @brief Tests of requests whose callers contend for insufficient capacity.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <future>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// A gateway whose capacity is stated if @p HasCapacity, with an upstream of service `s`
/// that takes four requests a second.
template<bool HasCapacity>
struct LimitedService : GatewayFixture
{
  LimitedService()
    : GatewayFixture({}, nullptr, 0, HasCapacity ? VmCapacity{ {}, 0.12 } : VmCapacity{})
  {
    auto& upstream = Add("s", "u");
    SetRoutes({ MakeRoute("read", ServiceName("s")) });
    OnWorker([&upstream] { upstream.mExtraHeaders = { { "Test-Limit", "4" } }; });
    SendAndWait("/read/1");
  }

  /// Sends ten copies of a request at the same time, and again as soon as all have ended;
  /// returns whether a request was counted as returning early.
  bool HasEarlyReturns()
  {
    for (int i = 0; i < 2; ++i) {
      std::vector<std::future<GatewayAnswer>> answers;
      for (int k = 0; k < 10; ++k) {
        answers.push_back(Send("/read/2", 2s));
      }
      for (auto& answer : answers) {
        answer.get();
      }
    }
    return MetricsUnderTest().Text().find("wasabispar_gateway_early_returns_total") !=
           std::string::npos;
  }
};

/// Links of 33 kB/s and of unknown bandwidth, and responses that take the first 0.3 s.
constexpr VmCapacity kSlowLink{ 33'000, {} };
constexpr VmCapacity kUnknownLink{ {}, 0.12 };

struct BusyLink : GatewayFixture
{
  explicit BusyLink(const VmCapacity& aCapacity)
    : GatewayFixture({}, nullptr, 0, aCapacity)
  {
    auto& upstream = Add("s", "u");
    OnWorker([&upstream] {
      upstream.mBody = std::string(10'000, 'x');
      upstream.mDelay = 200ms;
    });
    auto route = MakeRoute("read", ServiceName("s"));
    route.mObjective = 1s;
    route.mTimeout = 2s;
    SetRoutes({ route });
    SendAndWait("/read/0");
  }

  /// Sends five requests at the same time; returns how many were answered.
  int AnsweredOfFive()
  {
    std::vector<std::future<GatewayAnswer>> answers;
    for (int i = 1; i <= 5; ++i) {
      answers.push_back(Send("/read/" + std::to_string(i), 3s));
    }
    int answered = 0;
    for (auto& answer : answers) {
      answered += answer.get().mResponse.mStatus == 200 ? 1 : 0;
    }
    return answered;
  }
};

} // namespace

/// Guards against requests that the link makes late, and against callers that are
/// rejected for this again and again. Load pattern: the link carries three of five
/// requests in time.
TEST_CASE("a VM rejects what its link cannot carry in time, each request once")
{
  BusyLink gateway(kSlowLink);
  CHECK(gateway.AnsweredOfFive() == 3);
  CHECK(gateway.AnsweredOfFive() == 5);
}

/// Guards against rejections where the settings state no bandwidth.
TEST_CASE("without a stated bandwidth nothing is rejected for the link")
{
  BusyLink gateway(kUnknownLink);
  CHECK(gateway.AnsweredOfFive() == 5);
}

/// Guards against callers that gain by retrying immediately.
TEST_CASE_FIXTURE(LimitedService<true>, "a rejected request that returns early is known")
{
  CHECK(HasEarlyReturns());
}

/// Guards against a change of behaviour where the settings state no capacity.
TEST_CASE_FIXTURE(LimitedService<false>, "without a stated capacity nothing is recorded")
{
  CHECK_FALSE(HasEarlyReturns());
}
