/// @file
/// @brief Tests that no request reaches an upstream outside its permitted regions.
#include "gateway_fixture.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

Route
LimitedRoute(const std::string& aName, RouteTarget aTarget, std::set<RegionId> aRegions)
{
  auto route = MakeRoute(aName, std::move(aTarget));
  route.mPermittedRegions = PermittedRegions::Only(std::move(aRegions));
  return route;
}

/// One upstream of service `s` in each of two regions.
struct TwoRegions : GatewayFixture
{
  FakeUpstream& mNorth;
  FakeUpstream& mSouth;

  TwoRegions()
    : mNorth(Add("s", "n", "north"))
    , mSouth(Add("s", "s", "south"))
  {
  }

  void RouteToNorth()
  {
    SetRoutes({ LimitedRoute("read", ServiceName("s"), { RegionId("north") }) });
  }
};

} // namespace

/// Guards against a choice outside the permitted regions, whatever was tried before.
TEST_CASE("no choice lies outside the permitted regions")
{
  const std::vector<std::string> regions{ "", "a", "b", "c" };
  CHECK(rc::check([&regions] {
    boost::asio::io_context context;
    ServicePoolOptions options;
    options.mRegionOf = [](const DataCentreId& aDataCentre) {
      return RegionId(aDataCentre.Text());
    };
    ServicePool pool(context, options);
    pool.SetBalanced(*rc::gen::arbitrary<bool>());
    std::map<UpstreamId, RegionId> usable;
    const auto count = *rc::gen::inRange(0, 8);
    for (int i = 0; i < count; ++i) {
      UpstreamRecord record;
      record.mId = UpstreamId("u" + std::to_string(i));
      record.mAddress = UpstreamAddress("127.0.0.1:1");
      record.mDataCentre = DataCentreId(*rc::gen::elementOf(regions));
      record.mState =
        *rc::gen::arbitrary<bool>() ? UpstreamState::Serving : UpstreamState::Draining;
      std::ignore = pool.OnChange({ UpstreamChange::Kind::Added, record });
      if (record.mState == UpstreamState::Serving) {
        usable[record.mId] = RegionId(record.mDataCentre.Text());
      }
    }
    pool.UpdateQuotas();
    std::set<RegionId> permitted;
    for (const auto& region : regions) {
      if (*rc::gen::arbitrary<bool>()) {
        permitted.emplace(region);
      }
    }
    PlacementScope scope{ PermittedRegions::Only(permitted), {} };
    const auto now = BootClock::now();
    std::size_t chosen = 0;
    while (true) {
      const auto result = pool.Choose(scope, now);
      if (result.mKind != PlacementResult::Kind::Found) {
        RC_ASSERT(result.mKind == PlacementResult::Kind::None);
        break;
      }
      const auto& id = result.mReplica->mRecord.mId;
      RC_ASSERT(scope.mRegions.Permits(usable.at(id)));
      RC_ASSERT(std::ranges::find(scope.mTried, id) == scope.mTried.end());
      scope.mTried.push_back(id);
      ++chosen;
    }
    const auto expected = std::ranges::count_if(usable, [&scope](const auto& aItem) {
      return scope.mRegions.Permits(aItem.second);
    });
    RC_ASSERT(chosen == static_cast<std::size_t>(expected));
  }));
}

/// Guards against a retry or a hedge that leaves the permitted regions.
TEST_CASE_FIXTURE(TwoRegions, "retries and hedges stay in the permitted regions")
{
  RouteToNorth();
  for (const auto behaviour : { FakeBehaviour::Shed, FakeBehaviour::LoseAnswer,
                                FakeBehaviour::Silent, FakeBehaviour::WrongUpstream }) {
    OnWorker([&] { mNorth.mBehaviour = behaviour; });
    CHECK(SendAndWait("/read/1", 700ms).mResponse.mStatus == 599);
  }
  CHECK(mNorth.Requests() > 0);
  CHECK(mSouth.Requests() == 0);
}

/// Guards against a region that is remembered from an upstream's first entry.
TEST_CASE_FIXTURE(TwoRegions,
                  "an entry that names another data centre moves its upstream")
{
  RouteToNorth();
  CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  OnWorker([&] { mNorth.mDataCentre = "south"; });
  WriteAgain(mNorth, "s");
  const auto before = mNorth.Requests();
  CHECK(SendAndWait("/read/1").mResponse.mStatus == 599);
  CHECK(mNorth.Requests() == before);
}

/// Guards against a request that waits until its deadline although no upstream may run
/// it.
TEST_CASE_FIXTURE(TwoRegions, "a request without a permitted upstream is refused at once")
{
  SetRoutes({ LimitedRoute("read", ServiceName("s"), { RegionId("east") }) });
  const auto answer = SendAndWait("/read/1");
  CHECK(answer.mResponse.mBody == "no-permitted-upstream");
  CHECK(answer.mTook < 50ms);
  CHECK_FALSE(answer.mResponse.Header("Test-Retry-Ms").empty());
  CHECK(mNorth.Requests() + mSouth.Requests() == 0);
}

/// Guards against a shard outside the permitted regions that is counted as answered.
TEST_CASE_FIXTURE(GatewayFixture, "a part without a permitted upstream is missing")
{
  auto& inside = Add("s0", "inside", "north");
  auto& outside = Add("s1", "outside", "south");
  FanOutTarget target;
  target.mShards = { ServiceName("s0"), ServiceName("s1") };
  target.mMinCoverage = Permille(500);
  SetRoutes({ LimitedRoute("read", target, { RegionId("north") }) });
  const auto answer = SendAndWait("/read/1");
  CHECK(answer.mResponse.mStatus == 200);
  CHECK(answer.mResponse.Header("Test-Missing") == "1");
  CHECK(inside.Requests() == 1);
  CHECK(outside.Requests() == 0);
}

/// Guards against a request that was placed by an older table and is sent after a newer
/// one has narrowed its regions.
TEST_CASE_FIXTURE(TwoRegions, "a waiting request keeps to the regions of a newer table")
{
  SetRoutes({ MakeRoute("read", ServiceName("s")) });
  OnWorker([&] {
    mNorth.mDelay = 150ms;
    mSouth.mDelay = 150ms;
  });
  // Fills the slots of both upstreams; the rest waits.
  std::vector<std::future<GatewayAnswer>> answers;
  for (int i = 0; i < 14; ++i) {
    answers.push_back(Send("/read/1", 2s));
  }
  std::this_thread::sleep_for(30ms);
  RouteToNorth();
  const auto southBefore = mSouth.Requests();
  for (auto& answer : answers) {
    CHECK(answer.get().mResponse.mStatus == 200);
  }
  CHECK(mSouth.Requests() == southBefore);
}
