/// @file
/// @brief Tests of requests on VMs that share the connections of their upstreams with
/// more VMs than an upstream accepts.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// The quota for upstreams whose connections are opened on demand.
constexpr ConnectionQuota kOnDemand{ 1, false, false };
constexpr ConnectionQuota kKeptOpen{ 1, true, false };
constexpr ConnectionQuota kOverflow{ 0, false, true };

/// Gives the first upstream @p aFirst and all others @p aOthers.
QuotasFn
Quotas(ConnectionQuota aFirst, ConnectionQuota aOthers)
{
  return [=](const std::vector<UpstreamRecord>& aUpstreams, std::uint32_t) {
    std::vector<ConnectionQuota> quotas(aUpstreams.size(), aOthers);
    if (!quotas.empty()) {
      quotas.front() = aFirst;
    }
    return quotas;
  };
}

struct OneOnDemand : GatewayFixture
{
  FakeUpstream& mUpstream;

  OneOnDemand()
    : GatewayFixture(Quotas(kOnDemand, kOnDemand))
    , mUpstream(Add("a", "a1"))
  {
    SetRoutes({ MakeRoute("q", ServiceName("a")) });
  }
};

struct OneOfTwoAssigned : GatewayFixture
{
  FakeUpstream& mAssigned;
  FakeUpstream& mOther;

  OneOfTwoAssigned()
    : GatewayFixture(Quotas(kKeptOpen, kOverflow))
    , mAssigned(Add("a", "a1"))
    , mOther(Add("a", "a2"))
  {
    SetRoutes({ MakeRoute("q", ServiceName("a")) });
  }
};

} // namespace

/// Guards against an upstream that stays excluded after one refused connection, because
/// no request is sent to it any more and nothing else opens a connection.
TEST_CASE_FIXTURE(OneOnDemand, "an upstream on demand is used again after it was down")
{
  OnWorker([this] { mUpstream.Kill(); });
  CHECK(SendAndWait("/q/1").mResponse.mStatus != 200);
  OnWorker([this] { mUpstream.Restart(); });
  const auto end = BootClock::now() + 3s;
  while (SendAndWait("/q/1").mResponse.mStatus != 200 && BootClock::now() < end) {
    std::this_thread::sleep_for(20ms);
  }
  CHECK(SendAndWait("/q/1").mResponse.mStatus == 200);
}

/// Guards against refusals on a VM whose only assigned upstream fails, while another one
/// is idle.
TEST_CASE_FIXTURE(OneOfTwoAssigned,
                  "a VM overflows its quota when its upstream is silent")
{
  OnWorker([this] { mAssigned.mBehaviour = FakeBehaviour::Silent; });
  const auto answer = SendAndWait("/q/1");
  CHECK(answer.mResponse.mStatus == 200);
  CHECK(answer.mTook < 300ms);
  CHECK(mOther.Requests() == 1);
}

TEST_CASE_FIXTURE(OneOfTwoAssigned, "a VM whose upstream answers does not overflow")
{
  for (int i = 0; i < 10; ++i) {
    CHECK(SendAndWait("/q/1").mResponse.mStatus == 200);
  }
  CHECK(mOther.Requests() == 0);
}

/// Guards against idle connections beyond the quota, which would fill the upstream.
TEST_CASE_FIXTURE(OneOfTwoAssigned, "a connection beyond the quota closes after its use")
{
  OnWorker([this] { mAssigned.Kill(); });
  const auto until = BootClock::now() + 2s;
  while (mOther.Requests() == 0 && BootClock::now() < until) {
    SendAndWait("/q/1");
  }
  CHECK(mOther.Requests() > 0);
  std::size_t open = 1;
  const auto end = BootClock::now() + 2s;
  while (open > 0 && BootClock::now() < end) {
    std::this_thread::sleep_for(50ms);
    OnWorker([&] { open = mOther.OpenConnections(); });
  }
  CHECK(open == 0);
}
