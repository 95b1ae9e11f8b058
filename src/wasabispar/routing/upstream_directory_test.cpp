/// @file
/// @brief Tests of which changes of the registry are applied, deferred or ignored.
#include "wasabispar/routing/upstream_directory.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };
using Kind = UpstreamChange::Kind;

/// A position in a registry that states no era.
RegistryPosition
At(std::uint64_t aRevision)
{
  return { RegistryEra(), Revision(aRevision) };
}

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
    directory.Upsert({ RecordOf("u" + std::to_string(i)), At(10 + i) });
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

/// The removals of `u0`, `u1`, ... at one position.
std::vector<RegistryRemoval>
Removals(std::size_t aCount, const RegistryPosition& aPosition)
{
  std::vector<RegistryRemoval> removals;
  for (const auto& id : Ids(aCount)) {
    removals.push_back({ id, aPosition });
  }
  return removals;
}

} // namespace

TEST_CASE("a removal while the registry is available is applied at once")
{
  auto directory = DirectoryOf(20);
  const auto changes = directory.Remove(Removals(1, At(50)), kNow, kNow);
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
  CHECK(directory.Remove(Removals(2, At(50)), kNow + 10ms, kNow + 10ms).empty());
  CHECK(directory.Tick(kNow + 2s).empty());

  auto reregistered = RecordOf("u0");
  CHECK(directory.Upsert({ reregistered, At(60) }).empty());
  const auto changes = directory.Tick(kNow + 2500ms);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mRecord.mId == UpstreamId("u1"));
  CHECK(directory.Upstreams().contains(UpstreamId("u0")));
}

TEST_CASE("a bulk removal of upstreams that did not drain is deferred")
{
  auto directory = DirectoryOf(20);
  CHECK(directory.Remove(Removals(10, At(50)), kNow, kNow).empty());
  CHECK(directory.Upstreams().size() == 20);
  CHECK(directory.Tick(kNow + 3s).size() == 10);
}

TEST_CASE("a bulk removal of draining upstreams is applied at once")
{
  auto directory = DirectoryOf(20);
  for (const auto& id : Ids(10)) {
    auto record = RecordOf(id.Text());
    record.mState = UpstreamState::Draining;
    const auto changes = directory.Upsert({ record, At(40) });
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].mKind == Kind::Draining);
  }
  CHECK(directory.Remove(Removals(10, At(50)), kNow, kNow).size() == 10);
}

TEST_CASE("an older event does not undo a newer one")
{
  auto directory = DirectoryOf(1);
  directory.Remove(Removals(1, At(50)), kNow, kNow);
  CHECK(directory.Upsert({ RecordOf("u0"), At(40) }).empty());
  CHECK(directory.Upstreams().empty());
}

/// Guards against an upstream that stays unused although it is registered: its entry was
/// written again after its removal, and another entry was removed after that.
TEST_CASE("a removal counts with its own revision among removals that arrive together")
{
  auto directory = DirectoryOf(2);
  directory.Upsert({ RecordOf("u0"), At(55) });
  const auto changes = directory.Remove(
    { { UpstreamId("u0"), At(50) }, { UpstreamId("u1"), At(60) } }, kNow, kNow);
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
    directory.Upsert({ RecordOf(id.Text()), At(55) });
  }
  auto removals = Removals(9, At(50));
  removals.push_back({ UpstreamId("u9"), At(60) });
  CHECK(directory.Remove(removals, kNow, kNow).size() == 1);
}

TEST_CASE("a new incarnation or address of an id replaces the upstream")
{
  auto directory = DirectoryOf(1);
  auto restarted = RecordOf("u0");
  restarted.mStartedUnixMs = 2000;
  CHECK(directory.Upsert({ restarted, At(60) }).at(0).mKind == Kind::Replaced);
  auto moved = restarted;
  moved.mAddress = UpstreamAddress("10.0.0.2:80");
  CHECK(directory.Upsert({ moved, At(61) }).at(0).mKind == Kind::Replaced);
}

TEST_CASE("an entry of an older incarnation is ignored")
{
  auto directory = DirectoryOf(1);
  auto restarted = RecordOf("u0");
  restarted.mStartedUnixMs = 2000;
  directory.Upsert({ restarted, At(60) });
  auto outdated = RecordOf("u0");
  outdated.mState = UpstreamState::Draining;
  CHECK(directory.Upsert({ outdated, At(61) }).empty());
  CHECK(directory.Upstreams().at(UpstreamId("u0")).mStartedUnixMs == 2000);
}

TEST_CASE("a complete read removes the upstreams that it does not contain")
{
  auto directory = DirectoryOf(3);
  const auto changes = directory.ReplaceAll(
    { { RecordOf("u0"), At(10) }, { RecordOf("u1"), At(11) } }, At(70), kNow, kNow);
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

  CHECK(directory.Upsert({ record, At(60) }).empty());
  directory.OnRegistryRecovered(kNow);
  const auto read = directory.ReplaceAll(
    { { record, At(61) }, { RecordOf("u1"), At(11) } }, At(70), kNow, kNow);
  CHECK(read.empty());
  CHECK(directory.Upstreams().at(record.mId).mState == UpstreamState::Draining);
}

TEST_CASE("an announced upstream whose entry lapsed comes back as draining")
{
  auto directory = DirectoryOf(1);
  directory.OnLeavingAnnounced(RecordOf("u0"), kNow);
  CHECK(directory.Remove(Removals(1, At(50)), kNow, kNow).size() == 1);
  directory.Tick(kNow + 5s);
  const auto changes = directory.Upsert({ RecordOf("u0"), At(60) });
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mKind == Kind::Added);
  CHECK(changes[0].mRecord.mState == UpstreamState::Draining);
}

TEST_CASE("an announcement of an upstream that is not registered yet counts")
{
  UpstreamDirectory directory;
  CHECK(directory.OnLeavingAnnounced(RecordOf("u0"), kNow).empty());
  directory.Tick(kNow + 1s);
  CHECK(directory.Upsert({ RecordOf("u0"), At(60) }).at(0).mRecord.mState ==
        UpstreamState::Draining);
}

TEST_CASE("an announcement ends with its incarnation")
{
  auto directory = DirectoryOf(1);
  const auto old = RecordOf("u0");
  directory.OnLeavingAnnounced(old, kNow);
  auto restarted = old;
  restarted.mStartedUnixMs = 2000;
  const auto changes = directory.Upsert({ restarted, At(60) });
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mKind == Kind::Replaced);
  CHECK(changes[0].mRecord.mState == UpstreamState::Serving);
  // An answer of the old incarnation that arrives late.
  CHECK(directory.OnLeavingAnnounced(old, kNow + 1s).empty());
  CHECK(directory.Upsert({ restarted, At(61) }).empty());
  CHECK(directory.Upstreams().at(old.mId).mState == UpstreamState::Serving);
}

/// Guards against a removal that is deferred although the upstream has announced it.
TEST_CASE("a bulk removal of announced upstreams is applied at once")
{
  auto directory = DirectoryOf(20);
  for (const auto& id : Ids(10)) {
    directory.OnLeavingAnnounced(RecordOf(id.Text()), kNow);
  }
  CHECK(directory.Remove(Removals(10, At(50)), kNow, kNow).size() == 10);
}

/// Guards against upstreams that get requests too long after their removal, because the
/// VM reads it some time after the registry made it.
TEST_CASE("the grace period of a bulk removal begins when it may have been made")
{
  auto directory = DirectoryOf(20);
  CHECK_FALSE(directory.NextRemovalAt());
  CHECK(directory.Remove(Removals(10, At(50)), kNow, kNow + 700ms).empty());
  CHECK(directory.NextRemovalAt() == kNow + 2200ms);
  CHECK(directory.Tick(kNow + 2199ms).empty());
  CHECK(directory.Tick(kNow + 2200ms).size() == 10);
  CHECK_FALSE(directory.NextRemovalAt());
  auto late = DirectoryOf(20);
  CHECK(late.Remove(Removals(10, At(50)), kNow, kNow + 3s).size() == 10);
}

/// Guards against the removal of live upstreams whose entries lapsed in an outage: they
/// have two seconds from the registry's return.
TEST_CASE("the grace period does not begin before the registry recovers")
{
  auto directory = DirectoryOf(20);
  directory.OnRegistryRecovered(kNow);
  CHECK(directory.Remove(Removals(10, At(50)), kNow - 5s, kNow).empty());
  CHECK(directory.NextRemovalAt() == kNow + 2200ms);
}

namespace {

RegistryPosition
At(std::uint64_t aEra, std::uint64_t aRevision)
{
  return { RegistryEra(aEra), Revision(aRevision) };
}

UpstreamRecord
DrainingRecordOf(const std::string& aId)
{
  auto record = RecordOf(aId);
  record.mState = UpstreamState::Draining;
  return record;
}

/// A directory that holds `u0`, written at revision 107 of era 1 as the 7th time, and
/// `u1`.
UpstreamDirectory
DirectoryOfEra()
{
  UpstreamDirectory directory;
  directory.Upsert({ RecordOf("u0"), At(1, 107), 7 });
  directory.Upsert({ RecordOf("u1"), At(1, 20), 1 });
  return directory;
}

/// Reads `u0` as @p aEntry, and `u1`, in the era of the entry.
UpstreamDirectory::Changes
Read(UpstreamDirectory& aDirectory, const RegistryEntry& aEntry, TimePoint aNow = kNow)
{
  const auto era = aEntry.mPosition.mEra.Value();
  return aDirectory.ReplaceAll({ aEntry, { RecordOf("u1"), At(era, 20), 1 } },
                               At(era, 110), aNow, aNow);
}

const UpstreamId kId("u0");

} // namespace

/// Guards against an upstream that gets requests although it drains (review/12): the
/// registry gave the revision out before it was restored.
TEST_CASE("a draining or removal counts in a new era whatever its revision is")
{
  auto directory = DirectoryOfEra();
  CHECK(Read(directory, { RecordOf("u0"), At(2, 104), 7 }).empty());
  const auto drained = directory.Upsert({ DrainingRecordOf("u0"), At(2, 105), 8 });
  REQUIRE(drained.size() == 1);
  CHECK(drained[0].mKind == Kind::Draining);

  auto other = DirectoryOfEra();
  CHECK(other.Upsert({ DrainingRecordOf("u0"), At(2, 90), 8 }).size() == 1);
  CHECK(other.Remove({ { kId, At(2, 91) } }, kNow, kNow).size() == 1);
}

TEST_CASE("an event of an older era changes nothing")
{
  auto directory = DirectoryOfEra();
  directory.Upsert({ RecordOf("u0"), At(2, 50), 8 });
  CHECK(directory.Upsert({ DrainingRecordOf("u0"), At(1, 200), 9 }).empty());
  CHECK(directory.Remove({ { kId, At(1, 201) } }, kNow, kNow).empty());
}

/// Guards against requests to an upstream that drains, because the copy from which the
/// registry was restored is older than the draining.
TEST_CASE("the entry of a copy does not end a draining, in any number of eras")
{
  auto directory = DirectoryOfEra();
  directory.Upsert({ DrainingRecordOf("u0"), At(1, 108), 8 });
  for (const auto era : { 2, 3 }) {
    for (int reads = 0; reads < 2; ++reads) {
      CHECK(Read(directory, { RecordOf("u0"), At(era, 107), 7 }).empty());
      CHECK(directory.Upstreams().at(kId).mState == UpstreamState::Draining);
    }
  }
  // The incarnation has counted further than when it drained.
  const auto changes = Read(directory, { RecordOf("u0"), At(4, 107), 9 });
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mRecord.mState == UpstreamState::Serving);
}

/// Guards against requests to an upstream that has left, and against one that is unused
/// for good although it runs and its entry is in the copy.
TEST_CASE("the entry of a copy undoes a removal only if it does not lapse")
{
  const auto removed = [] {
    auto directory = DirectoryOfEra();
    directory.Remove({ { kId, At(1, 108) } }, kNow, kNow);
    CHECK(Read(directory, { RecordOf("u0"), At(2, 107), 7 }).empty());
    CHECK(Read(directory, { RecordOf("u0"), At(2, 107), 7 }).empty());
    CHECK(directory.HeldEntryCount() == 1);
    CHECK(directory.Tick(kNow + 9s).empty());
    return directory;
  };
  auto running = removed();
  CHECK(running.Tick(kNow + 10s).at(0).mKind == Kind::Added);
  CHECK(running.HeldEntryCount() == 0);

  auto lapsed = removed();
  lapsed.Remove({ { kId, At(2, 111) } }, kNow, kNow + 4s);
  CHECK(lapsed.HeldEntryCount() == 0);
  CHECK(lapsed.Tick(kNow + 20s).empty());

  auto missing = removed();
  missing.ReplaceAll({ { RecordOf("u1"), At(2, 20), 1 } }, At(2, 112), kNow, kNow);
  CHECK(missing.Tick(kNow + 20s).empty());

  auto registered = removed();
  CHECK(registered.Upsert({ RecordOf("u0"), At(2, 111), 7 }).at(0).mKind == Kind::Added);
  auto counted = DirectoryOfEra();
  counted.Remove({ { kId, At(1, 108) } }, kNow, kNow);
  CHECK(Read(counted, { RecordOf("u0"), At(2, 108), 8 }).at(0).mKind == Kind::Added);
}

TEST_CASE("a pending removal holds against the entry of a copy")
{
  auto directory = DirectoryOfEra();
  directory.OnRegistryRecovered(kNow);
  CHECK(directory.Remove({ { kId, At(1, 108) } }, kNow, kNow).empty());
  CHECK(Read(directory, { RecordOf("u0"), At(2, 107), 7 }).empty());
  CHECK(directory.Tick(kNow + 2200ms).at(0).mKind == Kind::Removed);
  CHECK(directory.Tick(kNow + 10s).at(0).mKind == Kind::Added);
}

/// Guards against an incarnation that has ended and gets requests again: the copy is
/// older than the restart of its upstream.
TEST_CASE("the entry of a copy does not bring an older incarnation back")
{
  auto directory = DirectoryOfEra();
  auto restarted = RecordOf("u0");
  restarted.mStartedUnixMs = 2000;
  directory.Upsert({ restarted, At(1, 108), 1 });
  CHECK(Read(directory, { RecordOf("u0"), At(2, 107), 7 }).empty());
  CHECK(directory.Upstreams().at(kId).mStartedUnixMs == 2000);
  directory.Remove({ { kId, At(2, 111) } }, kNow, kNow);
  CHECK(Read(directory, { RecordOf("u0"), At(3, 107), 7 }).empty());
  CHECK_FALSE(directory.Upstreams().contains(kId));
}

/// Guards against an upstream that is limited as a cold one again: the copy states how
/// cold it was some seconds ago.
TEST_CASE("the entry of a copy does not renew the warm-up time")
{
  UpstreamDirectory directory;
  auto cold = RecordOf("u0");
  cold.mWarmup = WarmupNotice{ 1s, At(1, 107) };
  directory.Upsert({ cold, At(1, 107), 7 });
  auto colder = RecordOf("u0");
  colder.mWarmup = WarmupNotice{ 3s, At(2, 105) };
  CHECK(
    directory.ReplaceAll({ { colder, At(2, 105), 5 } }, At(2, 106), kNow, kNow).empty());
  CHECK(directory.Upstreams().at(kId).mWarmup == cold.mWarmup);
  auto again = RecordOf("u0");
  again.mWarmup = WarmupNotice{ 1s, At(2, 107) };
  CHECK(directory.Upsert({ again, At(2, 107), 8 }).size() == 1);
}

/// Guards against requests to an upstream that has left: the registry was restored a
/// second time, and the entry had less time to lapse.
TEST_CASE("an entry that is held back has the time to lapse after each return")
{
  auto directory = DirectoryOfEra();
  directory.Remove({ { kId, At(1, 108) } }, kNow, kNow);
  CHECK(Read(directory, { RecordOf("u0"), At(2, 107), 7 }).empty());
  CHECK(Read(directory, { RecordOf("u0"), At(3, 107), 7 }, kNow + 8s).empty());
  CHECK(directory.Tick(kNow + 17s).empty());
  CHECK(directory.Tick(kNow + 18s).size() == 1);
}
