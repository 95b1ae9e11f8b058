/// @file
/// @brief Tests of UpstreamTable and ChooseReplica.
#include "wasabispar/upstream/replica_choice.hpp"
#include "wasabispar/upstream/upstream_table.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const UpstreamId kUpstream("u1");
const ShardId kShard("s1");
const SnapshotVersion kVersion(7);

UpstreamReport
ReportOf(bool aDraining)
{
  return { IndexName("idx"), aDraining, { { kVersion, { kShard }, { kShard } } }, 4, 25 };
}

UpstreamDeclaration
DeclarationOf(const UpstreamId& aUpstream, bool aLeaving)
{
  return { aUpstream, IndexName("idx"), DataCentreId("dc"), "127.0.0.1:1", aLeaving, 25 };
}

struct Fixture
{
  TimePoint mNow{ 100s };
  UpstreamTable mTable;

  Fixture() { Add(kUpstream); }
  void Add(const UpstreamId& aUpstream)
  {
    mTable.OnDeclared(DeclarationOf(aUpstream, false), mNow);
    mTable.OnReport(aUpstream, ReportOf(false), mNow, mNow);
  }
  bool End(const UpstreamId& aUpstream, ExchangeStatus aStatus, bool aDraining = false)
  {
    mTable.OnExchangeStarted(aUpstream, mNow);
    return mTable.OnExchangeEnded(aUpstream,
                                  { aStatus, 5ms, kVersion, kShard, aDraining }, mNow);
  }
  ReplicaChoice Choose(ReplicaRequest aRequest = {}) const
  {
    aRequest.mVersion = kVersion;
    aRequest.mShard = kShard;
    RandomFn random = SeededRandom(1);
    return ChooseReplica(mTable.All(mNow), aRequest, random);
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "each sign of leaving excludes the only replica at once")
{
  // Guards against new work for a leaving upstream, also when no other upstream holds the
  // shard.
  REQUIRE(Choose().mUpstream == kUpstream);
  SUBCASE("platform list")
  {
    CHECK(mTable.OnDeclared(DeclarationOf(kUpstream, true), mNow));
  }
  SUBCASE("state report")
  {
    CHECK(mTable.OnReport(kUpstream, ReportOf(true), mNow, mNow));
  }
  SUBCASE("late state report")
  {
    CHECK(mTable.OnReport(kUpstream, ReportOf(true), mNow - 1s, mNow));
  }
  SUBCASE("503")
  {
    CHECK(End(kUpstream, ExchangeStatus::Draining));
  }
  SUBCASE("header")
  {
    CHECK(End(kUpstream, ExchangeStatus::Ok, true));
  }
  SUBCASE("fact")
  {
    CHECK(mTable.OnLeavingPublished(kUpstream, 1, mNow));
  }
  const auto choice = Choose();
  CHECK_FALSE(choice.mUpstream);
  CHECK(choice.mSkipped ==
        std::vector<SkippedReplica>{ { kUpstream, SkipReason::Leaving } });
  CHECK_FALSE(
    End(kUpstream, ExchangeStatus::Draining)); // only the first sign is a change
}

TEST_CASE_FIXTURE(Fixture, "a leaving upstream recovers only by a newer state report")
{
  // Guards against a wrong state due to a lagging list, an old report or a repeated
  // gossip entry.
  mTable.OnLeavingPublished(kUpstream, 5, mNow);
  mTable.OnDeclared(DeclarationOf(kUpstream, false), mNow + 1s);
  mTable.OnReport(kUpstream, ReportOf(false), mNow - 1ms, mNow + 1s);
  mTable.OnReport(kUpstream, ReportOf(false), mNow, mNow + 1s);
  CHECK_FALSE(Choose().mUpstream);
  mTable.OnReport(kUpstream, ReportOf(false), mNow + 1ms, mNow + 1s);
  CHECK(Choose().mUpstream == kUpstream);
  CHECK_FALSE(mTable.OnLeavingPublished(kUpstream, 5, mNow + 2s));
  CHECK(Choose().mUpstream == kUpstream);
  mTable.OnDeclared(DeclarationOf(kUpstream, true), mNow + 2s);
  mTable.OnReport(kUpstream, ReportOf(false), mNow + 3s, mNow + 3s);
  CHECK_FALSE(Choose().mUpstream); // the list still says leaving
}

TEST_CASE_FIXTURE(
  Fixture, "a failed connection makes the upstream suspect until a newer probe succeeds")
{
  End(kUpstream, ExchangeStatus::ConnectFailed);
  mTable.OnProbeAnswered(kUpstream, mNow - 1ms, mNow);
  CHECK(Choose().mSkipped.at(0).mReason == SkipReason::Suspect);
  mTable.OnProbeAnswered(kUpstream, mNow + 1ms, mNow + 2ms);
  CHECK(Choose().mUpstream == kUpstream);
  // A recovered upstream begins with slow start.
  CHECK(mTable.Find(kUpstream, mNow + 2ms)->mSlowStartWeight == Permille(100));
  CHECK(mTable.Find(kUpstream, mNow + 2ms)->mSlotLimit == 1);
  CHECK(mTable.Find(kUpstream, mNow + 5s + 2ms)->mSlowStartWeight == Permille(550));
  CHECK(mTable.Find(kUpstream, mNow + 11s)->mSlowStartWeight == Permille(1000));
}

TEST_CASE_FIXTURE(Fixture,
                  "a version or shard that a reply reports gone is not requested")
{
  SUBCASE("version")
  {
    End(kUpstream, ExchangeStatus::VersionGone);
  }
  SUBCASE("shard")
  {
    End(kUpstream, ExchangeStatus::ShardGone);
  }
  CHECK(Choose().mSkipped.at(0).mReason == SkipReason::NotHeld);
  mTable.OnReport(kUpstream, ReportOf(false), mNow + 1s, mNow + 1s);
  CHECK(Choose().mUpstream == kUpstream);
}

TEST_CASE_FIXTURE(Fixture, "an isolated replica gets no other work")
{
  REQUIRE(mTable.TryIsolate(kUpstream));
  CHECK_FALSE(mTable.TryIsolate(kUpstream));
  CHECK(Choose().mSkipped.at(0).mReason == SkipReason::Isolated);
  mTable.EndIsolation(kUpstream);
  mTable.OnExchangeStarted(kUpstream, mNow);
  CHECK_FALSE(mTable.TryIsolate(kUpstream));
  ReplicaRequest isolated;
  isolated.mIsolated = true;
  CHECK(Choose(isolated).mSkipped.at(0).mReason == SkipReason::NotIdle);
}

TEST_CASE_FIXTURE(Fixture, "own observations outweigh hints, and load outweighs latency")
{
  // Guards against choices that follow a wrong reply of the health endpoint.
  const UpstreamId other("u2");
  Add(other);
  mNow += 11s; // past slow start
  mTable.OnHints(kUpstream, false, Permille(900));
  CHECK(Choose().mUpstream == other);
  End(kUpstream, ExchangeStatus::Ok);
  End(other, ExchangeStatus::Ok);
  mTable.OnExchangeStarted(other, mNow);
  CHECK(Choose().mUpstream == kUpstream);
  ReplicaRequest tried;
  tried.mTried = { kUpstream };
  CHECK(Choose(tried).mUpstream == other);
  tried.mHedge = true;
  for (int i = 0; i < 20; ++i) {
    mTable.OnExchangeStarted(other, mNow);
  }
  CHECK(Choose(tried).mSkipped.back().mReason == SkipReason::AtSlotLimit);
}

TEST_CASE("exchanges from several threads are all counted")
{
  // Guards against lost updates under the locks of the stripes. Run the test under TSAN.
  UpstreamTable table;
  const SnapshotDirectory directory(table);
  const TimePoint now{ 1s };
  for (int i = 0; i < 8; ++i) {
    table.OnDeclared(DeclarationOf(UpstreamId("u" + std::to_string(i)), false), now);
  }
  const auto work = [&] {
    for (int i = 0; i < 4000; ++i) {
      const UpstreamId id("u" + std::to_string(i % 8));
      table.OnExchangeStarted(id, now);
      if (i % 2 == 0) {
        table.OnExchangeEnded(id, { ExchangeStatus::Ok, 5ms, {}, {}, false }, now);
      }
      if (i % 100 == 0) {
        table.IndexLatency(IndexName("idx"), Permille(950), now);
        table.OnReport(id, ReportOf(false), now, now);
        directory.Choose(IndexName("idx"), Permille(1000), now);
      }
    }
  };
  {
    std::jthread first(work);
    std::jthread second(work);
  }
  std::uint32_t inFlight = 0;
  for (const auto& view : table.All(now)) {
    inFlight += view.mInFlight;
  }
  CHECK(inFlight == 4000);
}

TEST_CASE_FIXTURE(Fixture, "an upstream that is added later starts slowly")
{
  // Guards against a cold upstream that gets its full amount of work at once.
  CHECK(mTable.Find(kUpstream, mNow)->mSlowStartWeight == Permille(1000));
  mNow += 2s;
  Add(UpstreamId("u2"));
  CHECK(mTable.Find(UpstreamId("u2"), mNow)->mSlowStartWeight == Permille(100));
  int cold = 0;
  RandomFn random = SeededRandom(1);
  for (int i = 0; i < 100; ++i) {
    ReplicaRequest request;
    request.mVersion = kVersion;
    request.mShard = kShard;
    const auto choice = ChooseReplica(mTable.All(mNow), request, random);
    mTable.OnExchangeStarted(*choice.mUpstream, mNow);
    cold += choice.mUpstream == UpstreamId("u2") ? 1 : 0;
  }
  CHECK(cold >= 3);
  CHECK(cold <= 20);
}

TEST_CASE_FIXTURE(Fixture, "a report that repeats the last one keeps the generation")
{
  // Guards against cached views that are rebuilt for each state report of each upstream.
  const auto generation = mTable.Generation();
  mTable.OnReport(kUpstream, ReportOf(false), mNow + 500ms, mNow + 500ms);
  CHECK(mTable.Generation() == generation);
  auto other = ReportOf(false);
  other.mVersions[0].mHeldShards.clear();
  mTable.OnReport(kUpstream, other, mNow + 600ms, mNow + 600ms);
  CHECK(mTable.Generation() != generation);
}
