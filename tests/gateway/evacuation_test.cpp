/// @file
/// @brief Tests that nothing more is sent to the upstreams of an evacuated data centre.
#include "gateway_fixture.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

struct EvacuationFixture : GatewayFixture
{
  void Evacuate(const std::set<std::string>& aDataCentres)
  {
    std::set<DataCentreId> dataCentres;
    for (const auto& name : aDataCentres) {
      dataCentres.emplace(name);
    }
    OnWorker([&] { GatewayUnderTest().SetEvacuated(dataCentres); });
  }

  bool Eventually(const std::function<bool()>& aPredicate)
  {
    const auto end = BootClock::now() + 2s;
    bool isTrue = false;
    while (!isTrue && BootClock::now() < end) {
      std::this_thread::sleep_for(10ms);
      OnWorker([&] { isTrue = aPredicate(); });
    }
    return isTrue;
  }
};

/// One upstream of service `s` in each of two data centres.
struct TwoDataCentres : EvacuationFixture
{
  FakeUpstream& mNorth;
  FakeUpstream& mSouth;

  TwoDataCentres()
    : mNorth(Add("s", "n", "north"))
    , mSouth(Add("s", "s", "south"))
  {
    auto northOnly = MakeRoute("north", ServiceName("s"));
    northOnly.mPermittedRegions = PermittedRegions::Only({ RegionId("north") });
    SetRoutes({ MakeRoute("read", ServiceName("s")),
                MakeRoute("once", ServiceName("s"), false), northOnly });
  }

  void SetDelay(Duration aDelay)
  {
    OnWorker([&] { mNorth.mDelay = mSouth.mDelay = aDelay; });
  }
};

} // namespace

/// Guards against a choice in an evacuated data centre, whatever the order of evacuations
/// and changes of upstreams.
TEST_CASE("no choice lies in an evacuated data centre")
{
  const std::vector<std::string> names{ "a", "b", "c" };
  CHECK(rc::check([&names] {
    boost::asio::io_context context;
    ServicePool pool(context, {});
    std::map<UpstreamId, DataCentreId> upstreams;
    std::set<DataCentreId> evacuated;
    const auto steps = *rc::gen::inRange(1, 12);
    for (int step = 0; step < steps; ++step) {
      if (*rc::gen::arbitrary<bool>()) {
        evacuated.clear();
        for (const auto& name : names) {
          if (*rc::gen::arbitrary<bool>()) {
            evacuated.emplace(name);
          }
        }
        pool.SetEvacuated(evacuated);
        continue;
      }
      UpstreamRecord record;
      record.mId = UpstreamId("u" + std::to_string(*rc::gen::inRange(0, 4)));
      record.mAddress = UpstreamAddress("127.0.0.1:1");
      record.mDataCentre = DataCentreId(*rc::gen::elementOf(names));
      const bool isNew = !upstreams.contains(record.mId);
      const auto kind = isNew ? UpstreamChange::Kind::Added
                              : *rc::gen::element(UpstreamChange::Kind::Updated,
                                                  UpstreamChange::Kind::Replaced);
      std::ignore = pool.OnChange({ kind, record });
      upstreams[record.mId] = record.mDataCentre;
    }
    pool.UpdateQuotas();
    PlacementScope scope;
    const auto now = BootClock::now();
    for (auto result = pool.Choose(scope, now); result.mReplica;
         result = pool.Choose(scope, now)) {
      RC_ASSERT(!evacuated.contains(upstreams.at(result.mReplica->mRecord.mId)));
      scope.mTried.push_back(result.mReplica->mRecord.mId);
    }
    const auto usable = std::ranges::count_if(
      upstreams, [&](const auto& aItem) { return !evacuated.contains(aItem.second); });
    RC_ASSERT(scope.mTried.size() == static_cast<std::size_t>(usable));
    RC_ASSERT(pool.UsableCount({}) == static_cast<std::size_t>(usable));
  }));
}

/// Guards against a data centre that gets the full load when its evacuation ends: its
/// upstreams count as cold from that moment on, and only they.
TEST_CASE_FIXTURE(TwoDataCentres, "upstreams are cold after the end of an evacuation")
{
  constexpr double kPerSecond = 3;
  auto southOnly = MakeRoute("south", ServiceName("s"));
  southOnly.mPermittedRegions = PermittedRegions::Only({ RegionId("south") });
  auto northOnly = MakeRoute("north", ServiceName("s"));
  northOnly.mPermittedRegions = PermittedRegions::Only({ RegionId("north") });
  SetRoutes({ northOnly, southOnly }, { 20s, kPerSecond });
  const auto answered = [this](const std::string& aPath) {
    int count = 0;
    for (int i = 0; i < 10; ++i) {
      count += SendAndWait(aPath).mResponse.mStatus == 200 ? 1 : 0;
    }
    return count;
  };
  CHECK(answered("/north/1") == 10);
  Evacuate({ "north" });
  CHECK(answered("/north/1") == 0);
  Evacuate({});
  CHECK(answered("/north/1") <= kPerSecond);
  CHECK(answered("/south/1") == 10);
}

/// Guards against a first send, a retry or a hedge that goes to an evacuated data centre.
TEST_CASE_FIXTURE(TwoDataCentres, "an evacuated upstream gets nothing until the end")
{
  Evacuate({ "north" });
  for (const auto behaviour :
       { FakeBehaviour::Answer, FakeBehaviour::Shed, FakeBehaviour::LoseAnswer,
         FakeBehaviour::Silent, FakeBehaviour::WrongUpstream }) {
    OnWorker([&] { mSouth.mBehaviour = behaviour; });
    const auto status = SendAndWait("/read/1", 700ms).mResponse.mStatus;
    CHECK(status == (behaviour == FakeBehaviour::Answer ? 200 : 599));
  }
  CHECK(mNorth.Requests() == 0);
  CHECK(mSouth.Requests() > 0);
  Evacuate({});
  CHECK(SendAndWait("/read/2").mResponse.mStatus == 200);
  CHECK(mNorth.Requests() == 1);
}

/// Guards against running requests that are cut off by an evacuation and sent twice.
TEST_CASE_FIXTURE(TwoDataCentres, "running requests finish in an evacuated data centre")
{
  Evacuate({ "south" });
  SetDelay(150ms);
  auto answer = Send("/once/1", 2s);
  std::this_thread::sleep_for(50ms);
  Evacuate({ "north", "south" });
  CHECK(answer.get().mResponse.mStatus == 200);
  CHECK(mNorth.Requests() == 1);
  CHECK(mSouth.Requests() == 0);
}

/// Guards against requests that wait until their deadline although no upstream is left
/// for them, also behind others that still may run.
TEST_CASE_FIXTURE(TwoDataCentres, "waiting requests move on, or are refused at once")
{
  SetDelay(300ms);
  std::vector<std::future<GatewayAnswer>> running;
  for (int i = 0; i < 8; ++i) {
    running.push_back(Send("/once/1", 3s));
  }
  std::this_thread::sleep_for(50ms);
  std::vector<std::future<GatewayAnswer>> waiting;
  for (int i = 0; i < 6; ++i) {
    waiting.push_back(Send("/once/2", 3s));
  }
  auto northOnly = Send("/north/1", 3s);
  std::this_thread::sleep_for(50ms);
  const auto before = mNorth.Requests();
  Evacuate({ "north" });
  const auto refused = northOnly.get();
  CHECK(refused.mResponse.mBody == "no-permitted-upstream");
  CHECK(refused.mTook < 200ms);
  for (auto* answers : { &running, &waiting }) {
    for (auto& answer : *answers) {
      CHECK(answer.get().mResponse.mStatus == 200);
    }
  }
  CHECK(mNorth.Requests() == before);
  Evacuate({ "north", "south" });
  const auto last = SendAndWait("/read/3");
  CHECK(last.mResponse.mBody == "unavailable");
  CHECK(last.mTook < 50ms);
}

/// Guards against a request that is sent to an evacuated upstream as soon as its
/// connection opens, and against one that waits there until the attempt times out.
TEST_CASE_FIXTURE(
  EvacuationFixture,
  "a request that waits for a connection is placed in another data centre")
{
  AddUnconnectable("s", "first");
  SetRoutes({ MakeRoute("once", ServiceName("s"), false) });
  auto answer = Send("/once/1", 2s);
  std::this_thread::sleep_for(50ms);
  const auto& second = Add("s", "second", "south");
  // The record of an upstream that cannot be connected names no data centre.
  Evacuate({ "" });
  const auto received = answer.get();
  CHECK(received.mResponse.mStatus == 200);
  CHECK(received.mTook < 300ms);
  CHECK(second.Requests() == 1);
}

/// Guards against a slow request that loses its hedge, because the hedge waited for a
/// connection to an upstream that was evacuated.
TEST_CASE_FIXTURE(EvacuationFixture, "a withdrawn hedge goes to another data centre")
{
  auto& slow = Add("s", "slow", "south");
  auto route = MakeRoute("read", ServiceName("s"));
  route.mMaxAttempts = 3;
  SetRoutes({ route });
  REQUIRE(SendAndWait("/read/1").mResponse.mStatus == 200);
  OnWorker([&] { slow.mBehaviour = FakeBehaviour::Silent; });
  AddUnconnectable("s", "first");
  auto answer = Send("/read/2", 2s);
  REQUIRE(Eventually([&] { return slow.Requests() == 2; }));
  std::this_thread::sleep_for(150ms);
  const auto& third = Add("s", "third", "south");
  Evacuate({ "" });
  const auto received = answer.get();
  CHECK(received.mResponse.mStatus == 200);
  CHECK(received.mTook < 300ms);
  CHECK(third.Requests() == 1);
}

/// Guards against a shard in an evacuated data centre that is counted as answered.
TEST_CASE_FIXTURE(EvacuationFixture,
                  "a shard whose last upstream is evacuated is missing")
{
  auto& kept = Add("s0", "kept", "south");
  auto& evacuated = Add("s1", "evacuated", "north");
  FanOutTarget target;
  target.mShards = { ServiceName("s0"), ServiceName("s1") };
  target.mMinCoverage = Permille(500);
  SetRoutes({ MakeRoute("read", target) });
  Evacuate({ "north" });
  const auto answer = SendAndWait("/read/1");
  CHECK(answer.mResponse.mStatus == 200);
  CHECK(answer.mResponse.Header("Test-Missing") == "1");
  CHECK(kept.Requests() == 1);
  CHECK(evacuated.Requests() == 0);
}

/// Guards against upstreams that a VM starts to use because they, or their service, are
/// registered during the evacuation.
TEST_CASE_FIXTURE(EvacuationFixture, "upstreams and services added later are evacuated")
{
  Evacuate({ "north" });
  auto& north = Add("s", "n", "north");
  SetRoutes({ MakeRoute("read", ServiceName("s")) });
  CHECK(SendAndWait("/read/1").mResponse.mBody == "unavailable");
  auto& south = Add("s", "s", "south");
  auto& second = Add("s", "n2", "north");
  for (int i = 0; i < 5; ++i) {
    CHECK(SendAndWait("/read/2").mResponse.mStatus == 200);
  }
  CHECK(south.Requests() == 5);
  CHECK(north.Requests() + second.Requests() == 0);
}

/// Guards against connections that stay open to, or are opened to, a data centre that may
/// be switched off, and which are dead when it returns.
TEST_CASE_FIXTURE(TwoDataCentres, "idle connections are closed until the end")
{
  REQUIRE(Eventually([this] { return mNorth.OpenConnections() == 1; }));
  Evacuate({ "north" });
  CHECK(Eventually([this] { return mNorth.OpenConnections() == 0; }));
  std::this_thread::sleep_for(600ms);
  OnWorker([this] { CHECK(mNorth.OpenConnections() == 0); });
  Evacuate({});
  CHECK(Eventually([this] { return mNorth.OpenConnections() == 1; }));
}

/// Guards against a connection that is opened to an evacuated upstream to find out
/// whether it has crashed.
TEST_CASE_FIXTURE(TwoDataCentres, "a lost exchange opens no connection")
{
  Evacuate({ "south" });
  OnWorker([this] { mNorth.mBehaviour = FakeBehaviour::Silent; });
  auto answer = Send("/once/1", 2s);
  REQUIRE(Eventually([this] { return mNorth.Requests() == 1; }));
  Evacuate({ "north", "south" });
  OnWorker([this] {
    mNorth.Kill();
    mNorth.Restart();
  });
  CHECK(answer.get().mResponse.mBody == "lost");
  std::size_t connections = 0;
  for (int i = 0; i < 15; ++i) {
    std::this_thread::sleep_for(10ms);
    OnWorker([&] { connections += mNorth.OpenConnections(); });
  }
  CHECK(connections == 0);
}
