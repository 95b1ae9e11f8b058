/// @file
/// @brief Differential test of SnapshotDirectory on generated tables.
#include "wasabispar/upstream/snapshot_directory.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const IndexName kIndex("idx");

/// The last reported state of one upstream.
struct NaiveUpstream
{
  bool mDeclared = false;
  bool mLeaving = false;
  bool mSuspect = false;
  std::optional<TimePoint> mLastReply;
  std::vector<DeclaredVersion> mVersions;
};

std::optional<Snapshot>
NaiveChoose(const std::map<UpstreamId, NaiveUpstream>& aUpstreams,
            Permille aWantedCoverage, TimePoint aNow)
{
  std::optional<Snapshot> best;
  for (std::uint64_t number = 0; number < 8; ++number) {
    std::set<ShardId> map;
    std::set<ShardId> reachable;
    bool declared = false;
    for (const auto& [id, upstream] : aUpstreams) {
      for (const auto& version : upstream.mVersions) {
        if (!upstream.mDeclared || version.mVersion != SnapshotVersion(number)) {
          continue;
        }
        declared = true;
        map.insert(version.mAllShards.begin(), version.mAllShards.end());
        map.insert(version.mHeldShards.begin(), version.mHeldShards.end());
        if (!upstream.mLeaving && !upstream.mSuspect && upstream.mLastReply &&
            aNow - *upstream.mLastReply <= 5s) {
          reachable.insert(version.mHeldShards.begin(), version.mHeldShards.end());
        }
      }
    }
    if (!declared) {
      continue;
    }
    const auto reachablePermille =
      map.empty() ? 0 : static_cast<std::uint32_t>(reachable.size() * 1000 / map.size());
    Snapshot snapshot{ kIndex,
                       SnapshotVersion(number),
                       { map.begin(), map.end() },
                       Permille(reachablePermille) };
    // Versions are visited in ascending order. A newer one replaces the best so far if it
    // has the wanted coverage, or if the best has not and does not cover more.
    if (!best || snapshot.mReachableCoverage >= aWantedCoverage ||
        (best->mReachableCoverage < aWantedCoverage &&
         snapshot.mReachableCoverage >= best->mReachableCoverage)) {
      best = snapshot;
    }
  }
  return best;
}

} // namespace

TEST_CASE("the directory agrees with a naive implementation on generated histories")
{
  // Guards against the choice of a wrong version during an index switch, during a
  // repartition, while upstreams declare different shards for a version, and from an
  // outdated cached view.
  CHECK(rc::check([](const std::vector<std::uint32_t>& aScript) {
    UpstreamTable table;
    const SnapshotDirectory directory(table, { 5s, 100ms });
    std::map<UpstreamId, NaiveUpstream> upstreams;
    TimePoint now{ 100s };
    for (auto word : aScript) {
      const auto next = [&](std::uint32_t aBound) {
        word = word * 747796405U + 2891336453U;
        return (word >> 16) % aBound;
      };
      now += 101ms * next(10);
      const UpstreamId id("u" + std::to_string(next(4)));
      auto& naive = upstreams[id];
      if (!naive.mDeclared) {
        table.OnDeclared({ id, kIndex, {}, "", false, 25 }, now);
        naive = NaiveUpstream{};
        naive.mDeclared = true;
      }
      const auto event = next(10);
      if (event < 5) {
        UpstreamReport report{ kIndex, next(8) == 0, {}, 2, 25 };
        for (std::uint64_t number = 1 + next(3), n = next(3); n > 0; --n, ++number) {
          DeclaredVersion version{ SnapshotVersion(number), {}, {} };
          for (std::uint32_t shard = 0; shard < 4 + number % 2; ++shard) {
            const ShardId name("s" + std::to_string(shard));
            if (next(10) != 0) { // some declarations lack a shard
              version.mAllShards.push_back(name);
            }
            if (next(2) == 0) {
              version.mHeldShards.push_back(name);
            }
          }
          report.mVersions.push_back(version);
        }
        now += 1ms;
        table.OnReport(id, report, now, now);
        if (report.mDraining) {
          naive.mLeaving = true;
        } else {
          naive = { true, false, false, now, report.mVersions };
        }
      } else if (event == 5) {
        table.OnSuspected(id, now);
        naive.mSuspect = true;
      } else if (event == 6) {
        table.OnProbeAnswered(id, now, now);
        naive.mSuspect = false;
        naive.mLastReply = now;
      } else if (event == 7) {
        table.OnRemoved(id);
        naive.mDeclared = false;
      } else if (event == 8) {
        const SnapshotVersion version(1 + next(3));
        table.OnExchangeStarted(id, now);
        table.OnExchangeEnded(
          id, { ExchangeStatus::VersionGone, 1ms, version, {}, false }, now);
        naive.mLastReply = now;
        std::erase_if(naive.mVersions, [&](const DeclaredVersion& aVersion) {
          return aVersion.mVersion == version;
        });
      } else {
        now += 6s;
      }
      const Permille wanted(next(5) * 250);
      const auto chosen = directory.Choose(kIndex, wanted, now);
      const auto expected = NaiveChoose(upstreams, wanted, now);
      RC_ASSERT(chosen.has_value() == expected.has_value());
      if (chosen) {
        RC_ASSERT(chosen->mVersion == expected->mVersion);
        RC_ASSERT(chosen->mShards == expected->mShards);
        RC_ASSERT(chosen->mReachableCoverage == expected->mReachableCoverage);
        for (const auto& shard : chosen->mShards) {
          for (const auto& replica :
               directory.Replicas(kIndex, chosen->mVersion, shard, now)) {
            RC_ASSERT(upstreams.at(replica).mDeclared);
          }
        }
      }
    }
  }));
}
