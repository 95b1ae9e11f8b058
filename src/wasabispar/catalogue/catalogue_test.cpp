/// @file
/// @brief Tests of Catalogue, DeltaAssembler and ProfileUsage. The catalogue is compared
/// with a replay of the platform's history.
#include "wasabispar/catalogue/catalogue.hpp"

#include "history_fake.hpp"
#include "wasabispar/catalogue/delta_assembler.hpp"
#include "wasabispar/catalogue/profile_usage.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <thread>

using namespace wasabispar;

namespace {

const ProfileName kFit("fit");

CatalogueItem
Item(std::uint64_t aRevision, std::string aDocument = R"({"index":"x"})")
{
  return { kFit, Revision(aRevision), false, std::move(aDocument) };
}

CatalogueDelta
Changes(std::uint64_t aFrom, std::uint64_t aTo, std::vector<CatalogueItem> aItems)
{
  return PlatformChanges(Revision(aFrom), Revision(aTo), std::move(aItems));
}

} // namespace

TEST_CASE("an invalid document advances the revision and keeps the last valid one")
{
  // Guards against different revisions on VMs after a document was rejected, and against
  // an outage caused by a typing error in a document.
  Catalogue catalogue;
  catalogue.ApplyDelta(Changes(0, 1, { Item(1) }), TimePoint{});
  const auto result = catalogue.ApplyDelta(Changes(1, 2, { Item(2, "{") }), TimePoint{});
  CHECK(result.mStatus == ApplyStatus::Applied);
  CHECK(result.mChanged.empty());
  CHECK(catalogue.Digest().mRevision == Revision(2));
  CHECK(catalogue.View()->Find(kFit).mRevision == Revision(1));
  REQUIRE(catalogue.View()->Rejected().size() == 1);
  CHECK(catalogue.View()->Rejected()[0].mRevision == Revision(2));

  // A VM that starts later also gets the valid document.
  Catalogue fresh;
  fresh.ApplyDelta(catalogue.DeltaSince(Revision(0)), TimePoint{});
  CHECK(fresh.Digest() == catalogue.Digest());
  CHECK(fresh.View()->Find(kFit).mRevision == Revision(1));
}

TEST_CASE("a delta is applied as a whole or not at all")
{
  Catalogue catalogue;
  catalogue.ApplyDelta(Changes(0, 6, { Item(5) }), TimePoint{});
  CHECK(catalogue.ApplyDelta(Changes(7, 9, { Item(9) }), TimePoint{}).mStatus ==
        ApplyStatus::NeedsPull);
  CHECK(catalogue.ApplyDelta(Changes(0, 4, { Item(4) }), TimePoint{}).mStatus ==
        ApplyStatus::Stale);
  CHECK(catalogue.ApplyDelta(PlatformList(Revision(5), {}), TimePoint{}).mStatus ==
        ApplyStatus::Stale);
  CatalogueDelta malformed;
  malformed.mTo = Revision(7);
  malformed.mItems = { Item(8) };
  CHECK(catalogue.ApplyDelta(malformed, TimePoint{}).mStatus == ApplyStatus::Malformed);
  CHECK(catalogue.View()->Find(kFit).mStatus == ProfileStatus::Active);
  catalogue.ApplyDelta(PlatformList(Revision(6), {}), TimePoint{});
  CHECK(catalogue.View()->Find(kFit).mStatus == ProfileStatus::Retired);
}

TEST_CASE("a deletion found by a watch and one found by a full list have equal digests")
{
  // Guards against full pulls between VMs that hold the same profiles.
  Catalogue watched;
  Catalogue listed;
  for (auto* catalogue : { &watched, &listed }) {
    catalogue->ApplyDelta(Changes(0, 1, { Item(1) }), TimePoint{});
  }
  watched.ApplyDelta(Changes(1, 3, { { kFit, Revision(2), true, "" } }), TimePoint{});
  listed.ApplyDelta(PlatformList(Revision(3), {}), TimePoint{});
  CHECK(watched.Digest() == listed.Digest());
}

TEST_CASE("a full list of a peer retires a profile of which it has an older deletion")
{
  // Guards against a deleted profile that stays active: the key was created and deleted
  // again after the deletion that the peer holds.
  Catalogue peer;
  peer.ApplyDelta(Changes(0, 2, { { kFit, Revision(2), true, "" } }), TimePoint{});
  peer.ApplyDelta(PlatformList(Revision(6), {}), TimePoint{});
  Catalogue catalogue;
  catalogue.ApplyDelta(Changes(0, 5, { Item(4) }), TimePoint{});
  catalogue.ApplyDelta(peer.DeltaSince(Revision(5)), TimePoint{});
  CHECK(catalogue.Digest().mRevision == Revision(6));
  CHECK(catalogue.View()->Find(kFit).mStatus == ProfileStatus::Retired);
}

TEST_CASE("views are read and usage is counted while deltas are applied")
{
  // Guards against data races; finds them under ThreadSanitizer.
  Catalogue catalogue;
  ProfileUsage usage;
  std::thread writer([&] {
    for (std::uint64_t i = 1; i <= 200; ++i) {
      catalogue.ApplyDelta(Changes(i - 1, i, { Item(i) }), TimePoint{});
      usage.Report(*catalogue.View());
    }
  });
  Revision last;
  while (last < Revision(200)) {
    const auto found = catalogue.View()->Find(kFit);
    usage.Record(kFit, found.mStatus, CallerId("c"), TimePoint{});
    REQUIRE(found.mRevision >= last);
    last = found.mRevision;
  }
  writer.join();
}

TEST_CASE("Diff returns the changed profile and its changed fields")
{
  Catalogue catalogue;
  catalogue.ApplyDelta(Changes(0, 1, { Item(1) }), TimePoint{});
  const auto before = catalogue.View();
  catalogue.ApplyDelta(Changes(1, 2, { Item(2, R"({"index":"x","deadline_ms":500})") }),
                       TimePoint{});
  const auto changes = Diff(*before, *catalogue.View());
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mFields ==
        std::vector<FieldChange>{ { "deadline_ms", "1000", "500" } });
  CHECK(Diff(*before, *before).empty());
}

TEST_CASE("a split delta is joined in any order and only with its own parts")
{
  // Guards against a catalogue that exceeds the message limit, and against applying a
  // delta whose parts are not complete.
  CatalogueDelta delta;
  delta.mTo = Revision(20);
  for (std::uint64_t i = 1; i <= 20; ++i) {
    delta.mItems.push_back(Item(i, std::string(100, 'x')));
  }
  const auto parts = SplitDelta(delta, 1000);
  REQUIRE(parts.size() > 2);
  DeltaAssembler assembler;
  CHECK_FALSE(assembler.Add("a", parts[1]));
  CHECK_FALSE(assembler.Add("a", parts[1]));
  CHECK_FALSE(assembler.Add("b", parts[0]));
  for (std::size_t i = parts.size() - 1; i > 0; --i) {
    CHECK_FALSE(assembler.Add("a", parts[i]));
  }
  CHECK(assembler.Add("a", parts[0]) == delta);
}

TEST_CASE("the catalogue equals a replay of the history up to its revision")
{
  // Old and new deltas arrive in random order. Guards against a profile that reverts to a
  // lower revision, a deleted profile that is restored and a profile that stays active
  // after its deletion.
  CHECK(rc::check([] {
    HistoryFake history;
    std::vector<Catalogue> catalogues(3);
    std::vector<CatalogueDelta> delayed;
    const auto anyRevision = [&] {
      return Revision(*rc::gen::inRange<std::uint64_t>(0, history.Head().Value() + 1));
    };
    const auto operations =
      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 8));
    for (const auto operation : operations) {
      auto& catalogue = catalogues[*rc::gen::inRange<std::size_t>(0, 3)];
      const auto before = catalogue.View();
      if (operation < 3) {
        history.Write(*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 4));
      } else if (operation == 3) {
        catalogue.ApplyDelta(history.List(anyRevision()), TimePoint{});
      } else if (operation == 4) {
        catalogue.ApplyDelta(history.Changes(anyRevision(), anyRevision()), TimePoint{});
      } else if (operation == 5) {
        delayed.push_back(catalogue.DeltaSince(anyRevision()));
      } else if (operation == 6 && !delayed.empty()) {
        catalogue.ApplyDelta(delayed[*rc::gen::inRange<std::size_t>(0, delayed.size())],
                             TimePoint{});
      } else {
        const auto& peer = catalogues[*rc::gen::inRange<std::size_t>(0, 3)];
        catalogue.ApplyDelta(peer.DeltaSince(before->AppliedRevision()), TimePoint{});
      }
      RC_ASSERT(history.DescribeMismatch(*catalogue.View()) == "");
      RC_ASSERT(HistoryFake::FindReverted(*before, *catalogue.View()) == "");
    }
    // After each catalogue has pulled from each other one, all are equal.
    for (int round = 0; round < 2; ++round) {
      for (auto& puller : catalogues) {
        for (const auto& peer : catalogues) {
          puller.ApplyDelta(peer.DeltaSince(Revision(0)), TimePoint{});
        }
      }
    }
    RC_ASSERT(catalogues[0].Digest() == catalogues[1].Digest());
    RC_ASSERT(catalogues[0].Digest() == catalogues[2].Digest());
    RC_ASSERT(Diff(*catalogues[0].View(), *catalogues[1].View()).empty());
  }));
}

TEST_CASE("usage reports callers of retired profiles and profiles without requests")
{
  // Guards against unbounded memory if callers use random profile names.
  Catalogue catalogue;
  auto unused = Item(2);
  unused.mName = ProfileName("unused");
  catalogue.ApplyDelta(Changes(0, 2, { Item(1), unused }), TimePoint{});
  catalogue.ApplyDelta(Changes(2, 3, { { kFit, Revision(3), true, "" } }), TimePoint{});
  ProfileUsage usage({ 2, 1 });
  for (int i = 0; i < 5; ++i) {
    const auto number = std::to_string(i % 3);
    usage.Record(kFit, ProfileStatus::Retired, CallerId("shop-" + number), TimePoint{});
    for (int name = 0; name < 100; ++name) {
      usage.Record(ProfileName("no" + std::to_string(name)), ProfileStatus::Unknown,
                   CallerId("c"), TimePoint{});
    }
  }
  const auto report = usage.Report(*catalogue.View());
  const auto find = [&](const ProfileName& aName) {
    return *std::find_if(report.mProfiles.begin(), report.mProfiles.end(),
                         [&](const auto& aProfile) { return aProfile.mName == aName; });
  };
  CHECK(find(kFit).mStatus == ProfileStatus::Retired);
  CHECK(find(kFit).mRefused == 5);
  REQUIRE(find(kFit).mCallers.size() == 2);
  CHECK(find(kFit).mCallers[0].mCaller == CallerId("shop-0"));
  CHECK(find(kFit).mOtherCallers == 1);
  CHECK(find(unused.mName).mRequests == 0);
  CHECK(report.mProfiles.size() <= 2 + 16);
  CHECK(report.mOtherUnknown >= 500 - 16 * 5);
}
