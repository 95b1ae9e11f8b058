/// @file
/// @brief Catalogue and its messages at 1 to 1,000 profiles and near 1 MB.
#include "fixture.hpp"
#include "wasabispar/catalogue/catalogue.hpp"
#include "wasabispar/catalogue/profile_codec.hpp"

#include <benchmark/benchmark.h>

namespace wasabispar::capacity {

namespace {

/// A document with the given number of allowed callers.
std::string
MakeDocument(std::size_t aNumber, std::size_t aCallers)
{
  Profile profile;
  profile.mName = ProfileName(Numbered("fitting", aNumber));
  profile.mIndex = IndexName("counter-app");
  for (std::size_t i = 0; i < aCallers; ++i) {
    profile.mAllowedCallers.emplace_back(Numbered("caller", i));
  }
  return SerializeProfile(profile);
}

/// 1,000 profiles with 40 callers each are about 1 MB.
CatalogueDelta
MakeList(std::size_t aProfiles, std::size_t aCallers)
{
  std::vector<CatalogueItem> items;
  for (std::size_t i = 0; i < aProfiles; ++i) {
    items.push_back({ ProfileName(Numbered("fitting", i)), Revision(i + 1), false,
                      MakeDocument(i, aCallers) });
  }
  return PlatformList(Revision(aProfiles), std::move(items));
}

/// Argument: allowed callers; 10,000 is the limit.
void
ProfileParse(benchmark::State& aState)
{
  const auto document = MakeDocument(0, static_cast<std::size_t>(aState.range(0)));
  const ProfileName name(Numbered("fitting", 0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(Require([&] { return ParseProfile(name, document); }));
  }
  aState.counters["bytes"] = static_cast<double>(document.size());
}
BENCHMARK(ProfileParse)->Arg(0)->Arg(40)->Arg(1000)->Arg(10000);

/// The first list. Arguments: profiles, callers of each.
void
CatalogueFirstList(benchmark::State& aState)
{
  const auto list = MakeList(static_cast<std::size_t>(aState.range(0)),
                             static_cast<std::size_t>(aState.range(1)));
  std::size_t heap = 0;
  for (auto _ : aState) {
    const auto before = HeapBytes();
    Catalogue catalogue;
    benchmark::DoNotOptimize(catalogue.ApplyDelta(list, TimePoint{}));
    heap = HeapBytes() - before;
  }
  aState.counters["bytes"] = static_cast<double>(EncodedSize(list));
  aState.counters["heap_B"] = static_cast<double>(heap);
}
BENCHMARK(CatalogueFirstList)
  ->Args({ 1, 0 })
  ->Args({ 100, 0 })
  ->Args({ 1000, 0 })
  ->Args({ 1000, 40 })
  ->Unit(benchmark::kMicrosecond);

/// One changed document in a catalogue of the given size, and the delta to pass on.
void
CatalogueChange(benchmark::State& aState)
{
  const auto profiles = static_cast<std::size_t>(aState.range(0));
  const auto callers = static_cast<std::size_t>(aState.range(1));
  Catalogue catalogue;
  catalogue.ApplyDelta(MakeList(profiles, callers), TimePoint{});
  auto revision = Revision(profiles);
  const auto document = MakeDocument(0, callers);
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const auto before = revision;
    revision = revision.Next();
    catalogue.ApplyDelta(PlatformChanges(before, revision,
                                         { { ProfileName(Numbered("fitting", 0)),
                                             revision, false, document } }),
                         TimePoint{});
    const auto delta = catalogue.DeltaSince(before);
    aState.PauseTiming();
    bytes = WireBytes(CatalogueDeltaMessage{ 0, delta, std::chrono::seconds(1) });
    aState.ResumeTiming();
  }
  aState.counters["push_B"] = static_cast<double>(bytes);
}
BENCHMARK(CatalogueChange)
  ->Args({ 1, 0 })
  ->Args({ 100, 0 })
  ->Args({ 1000, 0 })
  ->Args({ 1000, 40 })
  ->Unit(benchmark::kMicrosecond);

void
CatalogueDigestExchange(benchmark::State& aState)
{
  Catalogue catalogue;
  catalogue.ApplyDelta(MakeList(1000, 0), TimePoint{});
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = WireBytes(CatalogueDigestMessage{
      1'000'000, false, true, false, catalogue.Digest(), std::chrono::seconds(1) });
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(CatalogueDigestExchange);

void
CatalogueLookup(benchmark::State& aState)
{
  const auto profiles = static_cast<std::size_t>(aState.range(0));
  Catalogue catalogue;
  catalogue.ApplyDelta(MakeList(profiles, 0), TimePoint{});
  const ProfileName name(Numbered("fitting", profiles / 2));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(catalogue.View()->Find(name));
  }
}
BENCHMARK(CatalogueLookup)->Arg(1)->Arg(100)->Arg(1000);

} // namespace

} // namespace wasabispar::capacity
