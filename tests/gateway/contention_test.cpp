/// @file
/// @brief Tests of requests whose callers contend for insufficient capacity.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <future>
#include <string>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// A link of 33 kB/s, and a capacity without a known link.
constexpr VmCapacity kSlowLink{ 33'000, {} };
constexpr VmCapacity kUnknownLink{ {}, 0.12 };

/// A gateway with an upstream of service `s` that answers after 200 ms with 10,000 bytes,
/// which take a slow link 0.3 s. Answers are on time for nearly 1 s.
struct Contention : GatewayFixture
{
  explicit Contention(const VmCapacity& aCapacity, const std::string& aLimit = "")
    : GatewayFixture({}, nullptr, 0, aCapacity)
  {
    auto& upstream = Add("s", "u");
    OnWorker([&upstream, &aLimit] {
      upstream.mBody = std::string(10'000, 'x');
      upstream.mDelay = 200ms;
      if (!aLimit.empty()) {
        upstream.mExtraHeaders = { { "Test-Limit", aLimit } };
      }
    });
    auto route = MakeRoute("read", ServiceName("s"));
    route.mObjective = 1s;
    route.mTimeout = 2s;
    SetRoutes({ route });
    SendAndWait("/read/0");
  }

  /// Sends requests at the same time, of which @p aDifferent differ; returns how many
  /// were answered.
  int Answered(int aRequests, int aDifferent)
  {
    std::vector<std::future<GatewayAnswer>> answers;
    for (int i = 0; i < aRequests; ++i) {
      answers.push_back(Send("/read/" + std::to_string(i % aDifferent), 3s));
    }
    return static_cast<int>(std::ranges::count_if(
      answers, [](auto& aAnswer) { return aAnswer.get().mResponse.mStatus == 200; }));
  }
};

} // namespace

/// Guards against requests that the link makes late, callers that are rejected for this
/// again and again, and rejections where no bandwidth is stated. Load pattern: the link
/// carries three of five requests in time.
TEST_CASE("a VM rejects what its link cannot carry in time, each request once")
{
  Contention gateway(kSlowLink);
  CHECK(gateway.Answered(5, 5) == 3);
  CHECK(gateway.Answered(5, 5) == 5);
  CHECK(Contention(kUnknownLink).Answered(5, 5) == 5);
}

/// Guards against callers that gain by retrying immediately, and against a change of
/// behaviour where the settings state no capacity.
TEST_CASE("a rejected request that returns early is known if the capacity is stated")
{
  for (const bool isStated : { true, false }) {
    Contention gateway(isStated ? kUnknownLink : VmCapacity{}, "4");
    CHECK(gateway.Answered(20, 10) < 20);
    CHECK((gateway.MetricsUnderTest().Text().find("early_returns") !=
           std::string::npos) == isStated);
  }
}
