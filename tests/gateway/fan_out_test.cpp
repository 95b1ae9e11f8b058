/// @file
/// @brief Tests of requests to several shards: merge, missing parts, hedges and changes
/// of the routes.
#include "gateway_fixture.hpp"

#include "wasabispar/routing/record_merge.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// A record that begins with the given character.
std::string
Record(char aFirst)
{
  return std::string(1, aFirst) + std::string(kRecordBytes - 1, '.');
}

/// Three shards with two upstreams each. An answer needs at least two parts.
struct ThreeShards : GatewayFixture
{
  /// Both upstreams of the first shard, then those of the second and the third.
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

/// When a searcher pauses, a hedge gets the part from the other one before the objective.
TEST_CASE_FIXTURE(ThreeShards, "a hedge replaces the answer of a silent upstream")
{
  OnWorker([this] { mUpstreams[0]->mBehaviour = FakeBehaviour::Silent; });
  for (int i = 0; i < 3; ++i) {
    const auto answer = SendAndWait("/q/1");
    CHECK(answer.mResponse.Header("Test-Missing") == "0");
    CHECK(answer.mTook < 300ms);
  }
}

TEST_CASE_FIXTURE(ThreeShards, "the answer omits a silent shard rather than being late")
{
  SetShardBehaviour(0, FakeBehaviour::Silent);
  const auto answer = SendAndWait("/q/1");
  CHECK(answer.mResponse.mStatus == 200);
  CHECK(answer.mResponse.Header("Test-Missing") == "1");
  CHECK(answer.mTook <= 310ms);
  CHECK(answer.mResponse.mBody == Record('c') + Record('b'));
}

TEST_CASE_FIXTURE(ThreeShards, "the answer does not wait for a shard that failed")
{
  SetShardBehaviour(0, FakeBehaviour::Fail);
  const auto answer = SendAndWait("/q/1");
  CHECK(answer.mResponse.Header("Test-Missing") == "1");
  CHECK(answer.mTook < 200ms);
}

/// A failure must not count as an answered part, although the upstream signed it.
TEST_CASE_FIXTURE(ThreeShards,
                  "the request fails as soon as the minimum coverage is out of reach")
{
  SetShardBehaviour(0, FakeBehaviour::Fail);
  SetShardBehaviour(1, FakeBehaviour::LoseAnswer);
  const auto answer = SendAndWait("/q/1");
  CHECK(answer.mResponse.mBody == "lost");
  CHECK(answer.mTook < 250ms);
}

TEST_CASE_FIXTURE(ThreeShards,
                  "a request that cannot reach the minimum coverage is not sent")
{
  SetRoutes({ MakeRoute("q", Target({ "a", "none-1", "none-2" })) });
  const auto answer = SendAndWait("/q/1");
  CHECK(answer.mResponse.mBody == "unavailable");
  CHECK_FALSE(answer.mResponse.Header("Test-Retry-Ms").empty());
  CHECK(Requests() == 0);
}

/// When the index is split into new shards while a query runs, all parts of the answer
/// must come from the same version of the routes.
TEST_CASE_FIXTURE(ThreeShards, "an active request keeps its version of the routes")
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

TEST_CASE_FIXTURE(ThreeShards, "an older version of the routes is ignored")
{
  OnWorker([this] {
    CHECK_FALSE(GatewayUnderTest().SetRoutes(std::make_shared<const RouteTable>(
      RouteTableVersion(0), std::vector<Route>{}, std::vector<ServiceDefinition>{},
      CallerLimits{})));
  });
  CHECK(SendAndWait("/q/1").mResponse.mStatus == 200);
}
