/// @file
/// @brief Tests of requests that crash each upstream which begins to run them.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kUpstreams = 8;
constexpr auto kCrashPath = "/read/crash";
/// Time in which the gateway finds out that a connection was lost by a crash.
constexpr Duration kDetectionTime = 100ms;

/// Eight upstreams of service `s`, which crash when they begin to run `/read/crash`.
struct CrashingUpstreams : GatewayFixture
{
  std::vector<FakeUpstream*> mUpstreams;

  CrashingUpstreams()
  {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      mUpstreams.push_back(&Add("s", "u" + std::to_string(i)));
    }
    OnWorker([this] {
      for (auto* upstream : mUpstreams) {
        upstream->mCrashPath = kCrashPath;
      }
    });
    SetRoutes({ MakeRoute("read", ServiceName("s")) });
  }

  std::uint64_t Requests() const
  {
    std::uint64_t requests = 0;
    for (const auto* upstream : mUpstreams) {
      requests += upstream->Requests();
    }
    return requests;
  }
};

} // namespace

/// Guards against a request that ends one upstream after the other, because its caller
/// sends it again and again.
TEST_CASE_FIXTURE(CrashingUpstreams,
                  "a request that crashes its upstreams reaches three of them")
{
  GatewayAnswer answer;
  for (int i = 0; i < 6; ++i) {
    answer = SendAndWait(kCrashPath);
    std::this_thread::sleep_for(kDetectionTime);
  }
  CHECK(Requests() == 3);
  CHECK(answer.mResponse.mBody == "quarantined");
  CHECK_FALSE(answer.mResponse.Header("Test-Retry-Ms").empty());
  CHECK(answer.mTook < 50ms);
  CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
}
