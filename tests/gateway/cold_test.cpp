/// @file
/// @brief Tests of upstreams that are cold and get few requests.
#include "gateway_fixture.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <future>
#include <thread>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// Requests per second that a cold upstream sustains, which is the limit of the tests.
constexpr std::uint64_t kPerSecond = 5;
constexpr ColdBound kBound{ 20s, kPerSecond };
constexpr auto kWarmupHeader = "Test-Warmup-Ms";

struct ColdFixture : GatewayFixture
{
  FakeUpstream& mFirst;
  FakeUpstream& mSecond;

  ColdFixture()
    : mFirst(Add("s", "first"))
    , mSecond(Add("s", "second"))
  {
    SetRoutes({ MakeRoute("read", ServiceName("s")) }, kBound);
  }

  /// Writes an entry that says that the upstream is cold.
  void MakeCold(FakeUpstream& aUpstream, std::uint64_t aRevision = 100)
  {
    OnWorker([&] {
      aUpstream.mWarmup = WarmupNotice{ 20s, { RegistryEra(), Revision(aRevision) } };
    });
    WriteAgain(aUpstream, "s");
  }

  /// Sends @p aCount requests at once; returns the answers.
  std::vector<GatewayAnswer> SendMany(int aCount)
  {
    std::vector<std::future<GatewayAnswer>> futures;
    for (int i = 0; i < aCount; ++i) {
      futures.push_back(Send("/read/1", 2s));
    }
    std::vector<GatewayAnswer> answers;
    for (auto& future : futures) {
      answers.push_back(future.get());
    }
    return answers;
  }

  static int CountAnswered(const std::vector<GatewayAnswer>& aAnswers)
  {
    return static_cast<int>(std::ranges::count_if(
      aAnswers, [](const auto& aAnswer) { return aAnswer.mResponse.mStatus == 200; }));
  }
};

/// A pool without a worker, with one upstream.
struct ColdPool
{
  boost::asio::io_context mContext;
  ServicePool mPool;
  TimePoint mNow = BootClock::now();

  explicit ColdPool(ServicePoolOptions aOptions = {})
    : mPool(mContext, std::move(aOptions))
  {
    mPool.Configure({ ServiceName("s"), 16, kBound });
  }

  void Add(std::uint64_t aStartedUnixMs, const std::string& aId = "u")
  {
    UpstreamRecord record;
    record.mId = UpstreamId(aId);
    record.mAddress = UpstreamAddress("127.0.0.1:1");
    record.mDataCentre = DataCentreId("a");
    record.mSlots = 16;
    record.mStartedUnixMs = aStartedUnixMs;
    std::ignore = mPool.OnChange({ UpstreamChange::Kind::Added, record });
    mPool.UpdateQuotas();
  }

  PlacementResult Choose() { return mPool.Choose({}, mNow); }

  /// Chooses and reserves as often as possible; returns how often.
  std::uint64_t ReserveAll(ColdLimit::ExchangeId aFirst)
  {
    std::uint64_t count = 0;
    for (auto chosen = Choose(); chosen.mReplica && count < 100; chosen = Choose()) {
      mPool.OnChosen(*chosen.mReplica, aFirst + count, mNow);
      ++count;
    }
    return count;
  }
};

} // namespace

/// Guards against a cold upstream that gets as many requests as a warm one, and against
/// requests that wait for it until they are late.
TEST_CASE_FIXTURE(ColdFixture, "cold upstreams get no more than their limit")
{
  MakeCold(mFirst);
  MakeCold(mSecond);
  const auto answers = SendMany(40);
  CHECK(mFirst.Requests() == kPerSecond);
  CHECK(mSecond.Requests() == kPerSecond);
  CHECK(CountAnswered(answers) == 2 * kPerSecond);
  for (const auto& answer : answers) {
    if (answer.mResponse.mStatus != 200) {
      CHECK(answer.mResponse.mBody == "unavailable");
      CHECK_FALSE(answer.mResponse.Header("Test-Retry-Ms").empty());
      CHECK(answer.mTook < 200ms);
    }
  }
  std::this_thread::sleep_for(1300ms);
  SendMany(40);
  CHECK(mFirst.Requests() == 2 * kPerSecond);
}

/// Guards against requests that are refused because the upstream became limited while
/// they waited for a connection, although it takes them in time.
TEST_CASE_FIXTURE(ColdFixture, "requests withdrawn at a new limit are sent later")
{
  auto& upstream = Add("t", "third");
  auto route = MakeRoute("read", ServiceName("t"));
  route.mObjective = 2s;
  route.mTimeout = 3s;
  SetRoutes({ route }, kBound);
  const VmId self("a");
  SetRateShare(std::make_shared<FleetRateShare>(self, std::vector{ self, VmId("b") }));
  upstream.mWarmup = WarmupNotice{ 20s, { RegistryEra(), Revision(100) } };
  // All requests are chosen before the worker sees an open connection.
  GatewayWorker().Post([] { std::this_thread::sleep_for(50ms); });
  std::vector<std::future<GatewayAnswer>> futures;
  for (int i = 0; i < 4; ++i) {
    futures.push_back(Send("/read/1", 4s));
  }
  WriteAgain(upstream, "t");
  CHECK(upstream.Requests() < 4);
  for (auto& future : futures) {
    CHECK(future.get().mResponse.mStatus == 200);
  }
}

/// Guards against a warm upstream that is not used because another one is cold.
TEST_CASE_FIXTURE(ColdFixture, "a warm upstream serves what a cold one may not get")
{
  MakeCold(mFirst);
  for (int i = 0; i < 60; ++i) {
    CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  }
  CHECK(mFirst.Requests() <= 2 * kPerSecond);
}

/// Guards against retries that a cold upstream gets beyond its limit.
TEST_CASE_FIXTURE(ColdFixture, "retries and hedges count as requests to a cold upstream")
{
  MakeCold(mSecond);
  SUBCASE("retries")
  {
    OnWorker([this] { mFirst.mBehaviour = FakeBehaviour::Shed; });
  }
  SUBCASE("hedges")
  {
    OnWorker([this] { mFirst.mDelay = 400ms; });
  }
  const auto start = BootClock::now();
  SendMany(30);
  const auto seconds = 1 + static_cast<std::uint64_t>((BootClock::now() - start) / 1s);
  CHECK(mSecond.Requests() >= 1);
  CHECK(mSecond.Requests() <= kPerSecond * seconds);
}

/// Guards against a VM without a share that sends to a cold upstream all the same.
TEST_CASE_FIXTURE(ColdFixture, "a VM without a share sends nothing to cold upstreams")
{
  SetRateShare(nullptr);
  MakeCold(mFirst);
  CHECK(CountAnswered(SendMany(20)) == 20);
  CHECK(mFirst.Requests() == 0);
  MakeCold(mSecond);
  for (const auto& answer : SendMany(10)) {
    CHECK(answer.mResponse.mBody == "unavailable");
    CHECK(answer.mTook < 200ms);
  }
}

/// Guards against a change for services without a limit.
TEST_CASE_FIXTURE(ColdFixture, "without a limit of the service cold upstreams are used")
{
  SetRoutes({ MakeRoute("read", ServiceName("s")) }, ColdBound{ 20s, 0 });
  SetRateShare(nullptr);
  MakeCold(mFirst);
  MakeCold(mSecond);
  OnWorker([this] {
    mFirst.mExtraHeaders = { { kWarmupHeader, "20000" } };
    mSecond.mExtraHeaders = { { kWarmupHeader, "20000" } };
  });
  CHECK(CountAnswered(SendMany(40)) == 40);
}

/// Guards against an upstream that becomes cold again without a new entry.
TEST_CASE_FIXTURE(ColdFixture, "a response that states a cold time limits the upstream")
{
  OnWorker([this] {
    mFirst.mExtraHeaders = { { kWarmupHeader, "20000" } };
    mSecond.mExtraHeaders = { { kWarmupHeader, "20000" } };
  });
  SendAndWait("/read/1");
  SendAndWait("/read/1");
  SendMany(40);
  CHECK(mFirst.Requests() <= kPerSecond);
  CHECK(mSecond.Requests() <= kPerSecond);
}

/// Guards against an upstream that becomes cold again for the same time, so that only the
/// revision of its entry differs.
TEST_CASE_FIXTURE(ColdFixture, "an entry that is written again counts again")
{
  OnWorker([this] {
    mFirst.mWarmup = WarmupNotice{ 400ms, { RegistryEra(), Revision(5) } };
  });
  WriteAgain(mFirst, "s");
  std::this_thread::sleep_for(450ms);
  MakeCold(mSecond);
  OnWorker([this] {
    mFirst.mWarmup = WarmupNotice{ 400ms, { RegistryEra(), Revision(6) } };
  });
  SetRateShare(nullptr);
  CHECK(SendAndWait("/read/1").mResponse.mStatus == 200);
  WriteAgain(mFirst, "s");
  CHECK(SendAndWait("/read/1").mResponse.mStatus != 200);
}

/// Guards against an upstream that a data centre's evacuation cooled down.
TEST_CASE("upstreams are cold after the evacuation of their data centre")
{
  ColdPool pool;
  pool.Add(0);
  CHECK(pool.ReserveAll(1) > kPerSecond);
  ColdPool other;
  other.Add(0);
  other.mPool.OnEvacuationEnded(DataCentreId("b"), other.mNow);
  CHECK(other.ReserveAll(1) > kPerSecond);
  ColdPool returned;
  returned.Add(0);
  returned.mPool.OnEvacuationEnded(DataCentreId("a"), returned.mNow);
  CHECK(returned.ReserveAll(1) == kPerSecond);
  returned.mNow += kBound.mWarmup;
  CHECK(returned.Choose().mKind == PlacementResult::Kind::Found);
}

/// Guards against a limit that is used up by exchanges which never started.
TEST_CASE("an exchange that ends unsent is given back")
{
  ColdPool pool;
  pool.Add(UnixMilliseconds());
  auto& replica = *pool.Choose().mReplica;
  CHECK(pool.ReserveAll(1) == kPerSecond);
  CHECK(pool.Choose().mKind == PlacementResult::Kind::Busy);
  ServicePool::OnExchangeEnd(replica, 1);
  CHECK(pool.Choose().mKind == PlacementResult::Kind::Found);
  CHECK(pool.mPool.MayStart(replica, 2, pool.mNow));
  ServicePool::OnExchangeEnd(replica, 2);
  CHECK(pool.ReserveAll(50) == 1);
}

/// Guards against a fleet that starts and takes all upstreams for cold.
TEST_CASE("only upstreams that are added in service are cold from their start")
{
  ServicePoolOptions options;
  options.mIsInService = [] { return false; };
  ColdPool atStart(options);
  atStart.Add(UnixMilliseconds());
  CHECK(atStart.ReserveAll(1) > kPerSecond);
  ColdPool inService;
  inService.Add(UnixMilliseconds());
  CHECK(inService.ReserveAll(1) == kPerSecond);
}

/// Guards against an entry that lapses and is written again, and its upstream is warm.
TEST_CASE("a cold upstream stays cold when its entry lapses")
{
  ColdPool pool;
  pool.Add(0);
  pool.mPool.OnEvacuationEnded(DataCentreId("a"), pool.mNow);
  CHECK(pool.ReserveAll(1) == kPerSecond);
  UpstreamRecord record;
  record.mId = UpstreamId("u");
  std::ignore = pool.mPool.OnChange({ UpstreamChange::Kind::Removed, record });
  pool.Add(0);
  CHECK(pool.Choose().mKind == PlacementResult::Kind::Busy);
}

/// Guards against requests that are chosen at different times, wait for a connection, and
/// reach an upstream together that has named a limit.
TEST_CASE("requests that wait for a connection start within the upstream's own limit")
{
  ColdPool pool;
  pool.Add(0);
  auto& replica = *pool.Choose().mReplica;
  ColdLimit::ExchangeId chosen = 1;
  // One was chosen before the limit was known.
  pool.mPool.OnChosen(replica, chosen, pool.mNow);
  pool.mPool.OnRequestLimit(replica, 20, pool.mNow, pool.mNow);
  for (int i = 0; i < 20; ++i) {
    pool.mNow += 50ms;
    chosen += pool.ReserveAll(chosen + 1);
  }
  int started = 0;
  for (ColdLimit::ExchangeId i = 1; i <= chosen; ++i) {
    started += pool.mPool.MayStart(replica, i, pool.mNow) ? 1 : 0;
    ServicePool::OnExchangeEnd(replica, i);
  }
  // This VM saves up 250 ms of its share.
  CHECK(started == 5);
  CHECK(chosen == 5);
  CHECK(pool.Choose().mKind == PlacementResult::Kind::Busy);
}

/// Guards against a share that is used twice in a window, because the requests to a warm
/// upstream were forgotten when its entry lapsed.
TEST_CASE("requests from before an entry lapsed count when the upstream returns cold")
{
  ColdPool pool;
  pool.Add(0);
  auto& replica = *pool.Choose().mReplica;
  for (ColdLimit::ExchangeId i = 1; i <= kPerSecond; ++i) {
    CHECK(pool.mPool.MayStart(replica, i, pool.mNow));
  }
  std::ignore = pool.mPool.OnChange({ UpstreamChange::Kind::Removed, replica.mRecord });
  pool.mPool.Tick();
  pool.Add(UnixMilliseconds());
  CHECK(pool.ReserveAll(10) == 0);
  // The window of 1 s, and the variation of the transit.
  pool.mNow += 1200ms;
  CHECK(pool.ReserveAll(10) == kPerSecond);
}

/// Guards against upstreams that are cold, and not limited when a configuration sets a
/// limit, because what was known of them was discarded while there was none.
TEST_CASE("a limit that is configured later applies to upstreams that are cold by then")
{
  std::vector<ColdSource> reported;
  ServicePoolOptions options;
  options.mOnCold = [&](const auto&, ColdSource aSource, auto, const auto&) {
    reported.push_back(aSource);
  };
  ColdPool pool(options);
  pool.mPool.Configure({ ServiceName("s"), 16, {} });
  SUBCASE("added")
  {
    pool.Add(UnixMilliseconds());
  }
  SUBCASE("response")
  {
    pool.Add(0);
    pool.mPool.OnWarmupStated(*pool.Choose().mReplica, 20s, pool.mNow);
  }
  SUBCASE("entry")
  {
    pool.Add(0);
    auto record = pool.Choose().mReplica->mRecord;
    record.mWarmup = WarmupNotice{ 20s, { RegistryEra(), Revision(7) } };
    std::ignore = pool.mPool.OnChange({ UpstreamChange::Kind::Updated, record });
  }
  SUBCASE("evacuation")
  {
    pool.Add(0);
    pool.mPool.OnEvacuationEnded(DataCentreId("a"), pool.mNow);
  }
  CHECK(pool.ReserveAll(1) > kPerSecond);
  CHECK(reported.empty());
  pool.mPool.Configure({ ServiceName("s"), 16, kBound });
  CHECK(pool.ReserveAll(200) == kPerSecond);
  CHECK(reported == std::vector{ ColdSource::Configured });
}

/// Guards against an upstream that restarts cold and is sent all requests until its entry
/// is read, and against upstreams that count as cold because this VM was cut off.
TEST_CASE("an upstream that returns from an outage of its own is cold for a moment")
{
  const auto isColdAfterOutage = [](bool aIsOtherReachable) {
    ColdPool pool;
    pool.Add(0, "u");
    pool.Add(0, "v");
    const auto fail = [&pool](const std::string& aId) {
      pool.mPool.Find(UpstreamId(aId))->mLoad.OnConnectFailed(pool.mNow);
      pool.mPool.OnConnectEnd(UpstreamId(aId), false, pool.mNow);
    };
    const auto connect = [&pool](const std::string& aId) {
      pool.mPool.Find(UpstreamId(aId))->mLoad.OnConnected();
      pool.mPool.OnConnectEnd(UpstreamId(aId), true, pool.mNow);
    };
    fail("u");
    if (!aIsOtherReachable) {
      fail("v");
    }
    pool.mNow += 3s;
    if (!aIsOtherReachable) {
      connect("v");
    }
    connect("u");
    return pool.mPool.Find(UpstreamId("u"))->mCold->mState.IsCold(pool.mNow);
  };
  CHECK(isColdAfterOutage(true));
  CHECK_FALSE(isColdAfterOutage(false));
}
