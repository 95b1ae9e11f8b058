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

} // namespace

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
