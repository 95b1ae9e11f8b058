/// @file
/// @brief Tests of which changes of the registry are applied, deferred or ignored.
#include "wasabispar/routing/upstream_directory.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };
using Kind = UpstreamChange::Kind;

UpstreamRecord
RecordOf(const std::string& aId)
{
  UpstreamRecord record;
  record.mId = UpstreamId(aId);
  record.mService = ServiceName("s");
  record.mAddress = UpstreamAddress("10.0.0.1:80");
  record.mStartedUnixMs = 1000;
  return record;
}

/// A directory of upstreams `u0`, `u1`, ...
UpstreamDirectory
DirectoryOf(std::size_t aCount)
{
  UpstreamDirectory directory;
  for (std::size_t i = 0; i < aCount; ++i) {
    directory.Upsert(RecordOf("u" + std::to_string(i)), Revision(10 + i));
  }
  return directory;
}

std::vector<UpstreamId>
Ids(std::size_t aCount)
{
  std::vector<UpstreamId> ids;
  for (std::size_t i = 0; i < aCount; ++i) {
    ids.emplace_back("u" + std::to_string(i));
  }
  return ids;
}

/// The removals of `u0`, `u1`, ... at one revision.
std::vector<RegistryRemoval>
Removals(std::size_t aCount, Revision aRevision)
{
  std::vector<RegistryRemoval> removals;
  for (const auto& id : Ids(aCount)) {
    removals.push_back({ id, aRevision });
  }
  return removals;
}

} // namespace

TEST_CASE("a removal while the registry is available is applied at once")
{
  auto directory = DirectoryOf(20);
  const auto changes = directory.Remove(Removals(1, Revision(50)), kNow, kNow);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mKind == Kind::Removed);
  CHECK(directory.Upstreams().size() == 19);
}

/// Entries expire while the registry is unavailable, and running upstreams register again
/// within 2 s after it has recovered.
TEST_CASE("a removal right after the registry has recovered is deferred")
{
  auto directory = DirectoryOf(20);
  directory.OnRegistryRecovered(kNow);
  CHECK(directory.Remove(Removals(2, Revision(50)), kNow + 10ms, kNow + 10ms).empty());
  CHECK(directory.Tick(kNow + 2s).empty());

  auto reregistered = RecordOf("u0");
  CHECK(directory.Upsert(reregistered, Revision(60)).empty());
  const auto changes = directory.Tick(kNow + 2500ms);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mRecord.mId == UpstreamId("u1"));
  CHECK(directory.Upstreams().contains(UpstreamId("u0")));
}

TEST_CASE("a bulk removal of upstreams that did not drain is deferred")
{
  auto directory = DirectoryOf(20);
  CHECK(directory.Remove(Removals(10, Revision(50)), kNow, kNow).empty());
  CHECK(directory.Upstreams().size() == 20);
  CHECK(directory.Tick(kNow + 3s).size() == 10);
}

TEST_CASE("a bulk removal of draining upstreams is applied at once")
{
  auto directory = DirectoryOf(20);
  for (const auto& id : Ids(10)) {
    auto record = RecordOf(id.Text());
    record.mState = UpstreamState::Draining;
    const auto changes = directory.Upsert(record, Revision(40));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].mKind == Kind::Draining);
  }
  CHECK(directory.Remove(Removals(10, Revision(50)), kNow, kNow).size() == 10);
}

TEST_CASE("an older event does not undo a newer one")
{
  auto directory = DirectoryOf(1);
  directory.Remove(Removals(1, Revision(50)), kNow, kNow);
  CHECK(directory.Upsert(RecordOf("u0"), Revision(40)).empty());
  CHECK(directory.Upstreams().empty());
}

/// Guards against an upstream that stays unused although it is registered: its entry was
/// written again after its removal, and another entry was removed after that.
TEST_CASE("a removal counts with its own revision among removals that arrive together")
{
  auto directory = DirectoryOf(2);
  directory.Upsert(RecordOf("u0"), Revision(55));
  const auto changes = directory.Remove(
    { { UpstreamId("u0"), Revision(50) }, { UpstreamId("u1"), Revision(60) } }, kNow,
    kNow);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mRecord.mId == UpstreamId("u1"));
  CHECK(directory.Upstreams().contains(UpstreamId("u0")));
}

/// Guards against removals that are deferred without need: those of entries that were
/// written again do not count.
TEST_CASE("removals that are not in effect do not make others a bulk removal")
{
  auto directory = DirectoryOf(10);
  for (const auto& id : Ids(9)) {
    directory.Upsert(RecordOf(id.Text()), Revision(55));
  }
  auto removals = Removals(9, Revision(50));
  removals.push_back({ UpstreamId("u9"), Revision(60) });
  CHECK(directory.Remove(removals, kNow, kNow).size() == 1);
}

TEST_CASE("a new incarnation or address of an id replaces the upstream")
{
  auto directory = DirectoryOf(1);
  auto restarted = RecordOf("u0");
  restarted.mStartedUnixMs = 2000;
  CHECK(directory.Upsert(restarted, Revision(60)).at(0).mKind == Kind::Replaced);
  auto moved = restarted;
  moved.mAddress = UpstreamAddress("10.0.0.2:80");
  CHECK(directory.Upsert(moved, Revision(61)).at(0).mKind == Kind::Replaced);
}

TEST_CASE("an entry of an older incarnation is ignored")
{
  auto directory = DirectoryOf(1);
  auto restarted = RecordOf("u0");
  restarted.mStartedUnixMs = 2000;
  directory.Upsert(restarted, Revision(60));
  auto outdated = RecordOf("u0");
  outdated.mState = UpstreamState::Draining;
  CHECK(directory.Upsert(outdated, Revision(61)).empty());
  CHECK(directory.Upstreams().at(UpstreamId("u0")).mStartedUnixMs == 2000);
}

TEST_CASE("a complete read removes the upstreams that it does not contain")
{
  auto directory = DirectoryOf(3);
  const auto changes = directory.ReplaceAll(
    { { RecordOf("u0"), Revision(10) }, { RecordOf("u1"), Revision(11) } }, Revision(70),
    kNow, kNow);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mRecord.mId == UpstreamId("u2"));
}

/// Guards against an upstream that gets requests again after it has announced that it
/// leaves, because the registry learns of it later.
TEST_CASE("nothing that the registry says brings an announced upstream back")
{
  auto directory = DirectoryOf(2);
  const auto record = RecordOf("u0");
  const auto changes = directory.OnLeavingAnnounced(record, kNow);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mKind == Kind::Draining);
  CHECK(changes[0].mRecord.mId == record.mId);
  CHECK(directory.OnLeavingAnnounced(record, kNow + 1s).empty());

  CHECK(directory.Upsert(record, Revision(60)).empty());
  directory.OnRegistryRecovered(kNow);
  const auto read =
    directory.ReplaceAll({ { record, Revision(61) }, { RecordOf("u1"), Revision(11) } },
                         Revision(70), kNow, kNow);
  CHECK(read.empty());
  CHECK(directory.Upstreams().at(record.mId).mState == UpstreamState::Draining);
}

TEST_CASE("an announced upstream whose entry lapsed comes back as draining")
{
  auto directory = DirectoryOf(1);
  directory.OnLeavingAnnounced(RecordOf("u0"), kNow);
  CHECK(directory.Remove(Removals(1, Revision(50)), kNow, kNow).size() == 1);
  directory.Tick(kNow + 5s);
  const auto changes = directory.Upsert(RecordOf("u0"), Revision(60));
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mKind == Kind::Added);
  CHECK(changes[0].mRecord.mState == UpstreamState::Draining);
}

TEST_CASE("an announcement of an upstream that is not registered yet counts")
{
  UpstreamDirectory directory;
  CHECK(directory.OnLeavingAnnounced(RecordOf("u0"), kNow).empty());
  directory.Tick(kNow + 1s);
  CHECK(directory.Upsert(RecordOf("u0"), Revision(60)).at(0).mRecord.mState ==
        UpstreamState::Draining);
}

TEST_CASE("an announcement ends with its incarnation")
{
  auto directory = DirectoryOf(1);
  const auto old = RecordOf("u0");
  directory.OnLeavingAnnounced(old, kNow);
  auto restarted = old;
  restarted.mStartedUnixMs = 2000;
  const auto changes = directory.Upsert(restarted, Revision(60));
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mKind == Kind::Replaced);
  CHECK(changes[0].mRecord.mState == UpstreamState::Serving);
  // An answer of the old incarnation that arrives late.
  CHECK(directory.OnLeavingAnnounced(old, kNow + 1s).empty());
  CHECK(directory.Upsert(restarted, Revision(61)).empty());
  CHECK(directory.Upstreams().at(old.mId).mState == UpstreamState::Serving);
}

/// Guards against a removal that is deferred although the upstream has announced it.
TEST_CASE("a bulk removal of announced upstreams is applied at once")
{
  auto directory = DirectoryOf(20);
  for (const auto& id : Ids(10)) {
    directory.OnLeavingAnnounced(RecordOf(id.Text()), kNow);
  }
  CHECK(directory.Remove(Removals(10, Revision(50)), kNow, kNow).size() == 10);
}

/// Guards against upstreams that get requests too long after their removal, because the
/// VM reads it some time after the registry made it.
TEST_CASE("the grace period of a bulk removal begins when it may have been made")
{
  auto directory = DirectoryOf(20);
  CHECK_FALSE(directory.NextRemovalAt());
  CHECK(directory.Remove(Removals(10, Revision(50)), kNow, kNow + 700ms).empty());
  CHECK(directory.NextRemovalAt() == kNow + 2200ms);
  CHECK(directory.Tick(kNow + 2199ms).empty());
  CHECK(directory.Tick(kNow + 2200ms).size() == 10);
  CHECK_FALSE(directory.NextRemovalAt());
  auto late = DirectoryOf(20);
  CHECK(late.Remove(Removals(10, Revision(50)), kNow, kNow + 3s).size() == 10);
}

/// Guards against the removal of live upstreams whose entries lapsed in an outage: they
/// have two seconds from the registry's return.
TEST_CASE("the grace period does not begin before the registry recovers")
{
  auto directory = DirectoryOf(20);
  directory.OnRegistryRecovered(kNow);
  CHECK(directory.Remove(Removals(10, Revision(50)), kNow - 5s, kNow).empty());
  CHECK(directory.NextRemovalAt() == kNow + 2200ms);
}
