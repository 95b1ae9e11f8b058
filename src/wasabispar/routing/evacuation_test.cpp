/// @file
/// @brief Tests of the order of evacuations, removals and full reads.
#include "wasabispar/routing/evacuation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace wasabispar;

namespace {

const DataCentreId kA("a");
const DataCentreId kB("b");

/// A position in a registry that states no era.
RegistryPosition
At(std::uint64_t aRevision)
{
  return { RegistryEra(), Revision(aRevision) };
}

/// A change of the key of one data centre; its revision is its position plus one.
struct Change
{
  DataCentreId mDataCentre;
  bool mIsWritten = false;
};

/// The keys of the store after the first @p aRevision changes.
std::map<DataCentreId, RegistryPosition>
KeysAt(const std::vector<Change>& aHistory, std::size_t aRevision)
{
  std::map<DataCentreId, RegistryPosition> keys;
  for (std::size_t i = 0; i < aRevision; ++i) {
    const auto& change = aHistory[i];
    if (change.mIsWritten) {
      keys[change.mDataCentre] = At(i + 1);
    } else {
      keys.erase(change.mDataCentre);
    }
  }
  return keys;
}

} // namespace

/// Guards against a late event that brings an evacuation back or ends it.
TEST_CASE("an older event changes nothing, and each change is reported once")
{
  EvacuationState state;
  CHECK(state.OnWritten(kA, At(5)));
  CHECK_FALSE(state.OnWritten(kA, At(5)));
  CHECK_FALSE(state.OnRemoved(kA, At(4)));
  CHECK(state.IsEvacuated(kA));
  CHECK_FALSE(state.OnWritten(kA, At(6)));
  CHECK_FALSE(state.OnRemoved(kA, At(5)));
  CHECK(state.OnRemoved(kA, At(7)));
  CHECK_FALSE(state.OnWritten(kA, At(6)));
  CHECK(state.Effective().empty());
  CHECK_FALSE(state.OnRemoved(kB, At(9)));
  CHECK_FALSE(state.OnWritten(kB, At(8)));
}

/// Guards against an evacuation that stays in force forever, because its removal was lost
/// with the history of the store.
TEST_CASE("a full read ends the evacuations that it does not contain")
{
  EvacuationState state;
  CHECK(state.OnFullRead({ { kA, At(3) }, { kB, At(4) } }, At(5)));
  CHECK(state.Effective() == std::set{ kA, kB });
  CHECK_FALSE(state.OnFullRead({ { kA, At(3) }, { kB, At(4) } }, At(6)));
  CHECK(state.OnFullRead({ { kB, At(4) } }, At(8)));
  CHECK(state.Effective() == std::set{ kB });
  CHECK_FALSE(state.OnWritten(kA, At(8)));
}

/// Guards against pages of different age: one that lags behind an event does not undo it.
TEST_CASE("a full read does not undo a newer event")
{
  EvacuationState state;
  state.OnWritten(kA, At(9));
  state.OnWritten(kB, At(4));
  state.OnRemoved(kB, At(8));
  CHECK_FALSE(state.OnFullRead({ { kB, At(4) } }, At(7)));
  CHECK(state.Effective() == std::set{ kA });
}

/// Guards against any interleaving of events, pages of different age and full reads after
/// which a VM sends to an evacuated data centre or spares one that is not.
TEST_CASE("the state follows the store through torn reads and events in any order")
{
  CHECK(rc::check([] {
    const std::vector<DataCentreId> dataCentres{ kA, kB, DataCentreId("c") };
    std::vector<Change> history;
    for (auto left = *rc::gen::inRange(1, 12); left > 0; --left) {
      history.push_back(
        { *rc::gen::elementOf(dataCentres), *rc::gen::arbitrary<bool>() });
    }
    EvacuationState state;
    std::size_t followed = 0;
    while (followed < history.size()) {
      if (*rc::gen::arbitrary<bool>()) {
        // Each key is read from a page of its own age; the watch continues after the
        // oldest page.
        const auto lowest = *rc::gen::inRange(followed, history.size() + 1);
        std::map<DataCentreId, RegistryPosition> read;
        for (const auto& dataCentre : dataCentres) {
          const auto page =
            KeysAt(history, *rc::gen::inRange(lowest, history.size() + 1));
          if (const auto key = page.find(dataCentre); key != page.end()) {
            read.insert(*key);
          }
        }
        state.OnFullRead(read, At(lowest));
        followed = lowest;
      }
      // The events of one answer, in any order and with some that are already known. At
      // least one is new, so that the loop ends when rapidcheck shrinks all values.
      const auto end =
        *rc::gen::inRange(std::min(followed + 1, history.size()), history.size() + 1);
      const auto begin = *rc::gen::inRange<std::size_t>(0, followed + 1);
      std::vector<std::size_t> events;
      for (auto i = begin; i < end; ++i) {
        events.push_back(i);
        std::swap(events.back(),
                  events[*rc::gen::inRange<std::size_t>(0, events.size())]);
      }
      for (const auto i : events) {
        const auto& change = history[i];
        const auto before = state.Effective();
        const bool hasChanged = change.mIsWritten
                                  ? state.OnWritten(change.mDataCentre, At(i + 1))
                                  : state.OnRemoved(change.mDataCentre, At(i + 1));
        RC_ASSERT(hasChanged == (state.Effective() != before));
      }
      followed = std::max(followed, end);
    }
    const auto keys = KeysAt(history, history.size());
    for (const auto& dataCentre : dataCentres) {
      RC_ASSERT(state.IsEvacuated(dataCentre) == keys.contains(dataCentre));
    }
  }));
}

namespace {

RegistryPosition
At(std::uint64_t aEra, std::uint64_t aRevision)
{
  return { RegistryEra(aEra), Revision(aRevision) };
}

} // namespace

/// Guards against requests to an evacuated data centre: the store was restored from a
/// copy that is older than the evacuation, and gave its revision out again.
TEST_CASE("an evacuation holds in a new era until its key is written or removed")
{
  EvacuationState state;
  state.OnFullRead({}, At(1, 5));
  CHECK(state.OnWritten(kA, At(1, 9)));
  CHECK_FALSE(state.OnFullRead({}, At(2, 6)));
  CHECK_FALSE(state.OnFullRead({}, At(3, 6)));
  CHECK(state.IsEvacuated(kA));
  CHECK_FALSE(state.OnWritten(kA, At(3, 7)));
  CHECK(state.OnRemoved(kA, At(3, 8)));
  CHECK_FALSE(state.IsEvacuated(kA));
}

/// Guards against an evacuation that a VM ignores, because it has seen a higher revision
/// in an older era.
TEST_CASE("the events of a new era count whatever their revisions are")
{
  EvacuationState state;
  state.OnWritten(kA, At(1, 100));
  state.OnRemoved(kA, At(1, 101));
  CHECK(state.OnFullRead({ { kA, At(2, 50) } }, At(2, 60)));
  CHECK_FALSE(state.OnRemoved(kA, At(1, 200)));
  CHECK(state.OnRemoved(kA, At(2, 61)));
  CHECK(state.OnWritten(kB, At(2, 62)));
}

/// Guards against an evacuation that stays in force for good: once its era wrote it, a
/// full read ends it as before.
TEST_CASE("a full read of the same era ends an evacuation that it does not contain")
{
  EvacuationState state;
  state.OnWritten(kA, At(1, 9));
  state.OnFullRead({ { kA, At(2, 7) } }, At(2, 8));
  CHECK(state.OnFullRead({}, At(2, 9)));
  CHECK_FALSE(state.IsEvacuated(kA));
}
