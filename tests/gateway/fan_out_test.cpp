/// @file
/// @brief Requests over several shards: merge, missing parts, hedges, one version.
#include "gateway_fixture.hpp"

#include "wasabispar/routing/record_merge.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

std::string
Record(char aFirst)
{
  return std::string(1, aFirst) + std::string(kRecordBytes - 1, '.');
}

/// Three shards with two upstreams each; two of three parts suffice.
struct ThreeShards : GatewayFixture
{
  std::vector<FakeUpstream*> mUpstreams;

  ThreeShards()
  {
    for (const auto* shard : { "a", "b", "c" }) {
      for (const auto* replica : { "1", "2" }) {
        auto& upstream = Add(shard, std::string(shard) + replica);
        upstream.mBody = Record(shard[0]);
        mUpstreams.push_back(&upstream);
      }
    }
    SetRoutes({ MakeRoute("q", Target({ "a", "b", "c" })) });
  }

  static FanOutTarget Target(const std::vector<std::string>& aShards)
  {
    FanOutTarget target;
    for (const auto& shard : aShards) {
      target.mShards.emplace_back(shard);
    }
    target.mTopRecords = 2;
    target.mMinCoverage = Permille(600);
    return target;
  }

  void SetShardBehaviour(std::size_t aIndex, FakeBehaviour aBehaviour)
  {
    OnWorker([&] {
      mUpstreams[2 * aIndex]->mBehaviour = aBehaviour;
      mUpstreams[2 * aIndex + 1]->mBehaviour = aBehaviour;
    });
  }

  std::uint64_t Requests() const
  {
    std::uint64_t sum = 0;
    for (const auto* upstream : mUpstreams) {
      sum += upstream->Requests();
    }
    return sum;
  }
};

} // namespace

TEST_CASE_FIXTURE(ThreeShards, "the greatest records of all shards are merged")
{
  const auto answer = SendAndWait("/q/1");
  CHECK(answer.mResponse.mStatus == 200);
  CHECK(answer.mResponse.mBody == Record('c') + Record('b'));
  CHECK(answer.mResponse.Header("Test-Parts") == "3");
  CHECK(answer.mResponse.Header("Test-Missing") == "0");
  CHECK(Requests() == 3);
}

/// A paused searcher: the part comes from the other one, before the objective.
TEST_CASE_FIXTURE(ThreeShards, "a silent upstream costs a hedge, not the part")
{
  OnWorker([this] { mUpstreams[0]->mBehaviour = FakeBehaviour::Silent; });
  for (int i = 0; i < 3; ++i) {
    const auto answer = SendAndWait("/q/1");
    CHECK(answer.mResponse.Header("Test-Missing") == "0");
    CHECK(answer.mTook < 300ms);
  }
}

TEST_CASE_FIXTURE(ThreeShards,
                  "a shard that does not answer is left out before it is late")
{
  SetShardBehaviour(0, FakeBehaviour::Silent);
  const auto answer = SendAndWait("/q/1");
  CHECK(answer.mResponse.mStatus == 200);
  CHECK(answer.mResponse.Header("Test-Missing") == "1");
  CHECK(answer.mTook <= 310ms);
  CHECK(answer.mResponse.mBody == Record('c') + Record('b'));
}

TEST_CASE_FIXTURE(ThreeShards, "a shard that fails for good is not waited for")
{
  SetShardBehaviour(0, FakeBehaviour::Fail);
  const auto answer = SendAndWait("/q/1");
  CHECK(answer.mResponse.Header("Test-Missing") == "1");
  CHECK(answer.mTook < 200ms);
}

/// A failure is not a part, although the upstream signed it.
TEST_CASE_FIXTURE(ThreeShards, "below the least coverage the request ends at once")
{
  SetShardBehaviour(0, FakeBehaviour::Fail);
  SetShardBehaviour(1, FakeBehaviour::LoseAnswer);
  const auto answer = SendAndWait("/q/1");
  CHECK(answer.mResponse.mBody == "lost");
  CHECK(answer.mTook < 250ms);
}

TEST_CASE_FIXTURE(ThreeShards, "what cannot reach the least coverage is refused unsent")
{
  SetRoutes({ MakeRoute("q", Target({ "a", "none-1", "none-2" })) });
  const auto answer = SendAndWait("/q/1");
  CHECK(answer.mResponse.mBody == "unavailable");
  CHECK_FALSE(answer.mResponse.Header("Test-Retry-Ms").empty());
  CHECK(Requests() == 0);
}

/// The index is cut anew while a query runs: all parts come from one version.
TEST_CASE_FIXTURE(ThreeShards, "a running request keeps its version of the routes")
{
  auto& fresh = Add("d", "d1");
  fresh.mBody = Record('d');
  OnWorker([this] {
    for (auto* upstream : mUpstreams) {
      upstream->mDelay = 60ms;
    }
  });
  auto running = Send("/q/1", 2s);
  SetRoutes({ MakeRoute("q", Target({ "d" })) });
  const auto later = SendAndWait("/q/1");
  CHECK(later.mResponse.mBody == Record('d'));
  CHECK(running.get().mResponse.mBody == Record('c') + Record('b'));
}

TEST_CASE_FIXTURE(ThreeShards, "an older version of the routes is not taken")
{
  OnWorker([this] {
    CHECK_FALSE(GatewayUnderTest().SetRoutes(std::make_shared<const RouteTable>(
      RouteTableVersion(0), std::vector<Route>{}, std::vector<ServiceDefinition>{},
      CallerLimits{})));
  });
  CHECK(SendAndWait("/q/1").mResponse.mStatus == 200);
}
