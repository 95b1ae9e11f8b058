/// @file
/// @brief Tests of answers whose status is a number that HTTP does not define, from an
/// upstream in trouble.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> kInvalidStatuses{ "000", "001", "099", "600", "999" };
/// Before the deadline of SendAndWait(), 1 s: the caller is not kept waiting for it.
constexpr Duration kMaxWait = 900ms;

} // namespace

/// Guards against a caller that gets as an answer what is none, or that waits until its
/// deadline: status 000 was taken for an interim response, 999 was passed on.
TEST_CASE("an answer without a valid status counts as lost")
{
  for (const auto& status : kInvalidStatuses) {
    CAPTURE(status);
    GatewayFixture gateway;
    auto& upstream = gateway.Add("a", "a1");
    upstream.mStatusText = status;
    gateway.SetRoutes({ MakeRoute("once", ServiceName("a"), false) });
    const auto answer = gateway.SendAndWait("/once/1");
    CHECK(answer.mResponse.mBody == "lost");
    CHECK(answer.mTook < kMaxWait);
    CHECK(upstream.Requests() == 1);
  }
}

/// Guards against a success from such an upstream, and against a failure where another
/// upstream could answer.
TEST_CASE("an idempotent request without a valid status is sent to another upstream")
{
  for (const auto& status : kInvalidStatuses) {
    CAPTURE(status);
    GatewayFixture gateway;
    gateway.Add("a", "a1").mStatusText = status;
    gateway.Add("a", "a2");
    gateway.SetRoutes({ MakeRoute("q", ServiceName("a")) });
    for (int i = 0; i < 4; ++i) {
      const auto answer = gateway.SendAndWait("/q/1");
      CHECK(answer.mResponse.mStatus == 200);
      CHECK(answer.mResponse.Header("Test-Signature") == "signed-by-a2");
    }
  }
}
