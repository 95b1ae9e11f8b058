/// @file
/// @brief Tests of the better of two candidates and of assumed latencies.
#include "wasabispar/routing/balanced_choice.hpp"

#include "routing/service_replay.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 20261206;
constexpr int kDraws = 4000;

ReplicaCandidate
Candidate(std::size_t aIndex, Duration aExpected)
{
  ReplicaCandidate candidate;
  candidate.mIndex = aIndex;
  candidate.mExpectedLatency = aExpected;
  candidate.mMaxInFlight = 8;
  candidate.mSlots = 4;
  return candidate;
}

ReplicaCandidate
Loaded(std::size_t aIndex, double aLoad, double aSlowdown = 1)
{
  auto candidate = Candidate(aIndex, 20ms);
  candidate.mReportedLoad = aLoad;
  candidate.mReportedSlowdown = aSlowdown;
  return candidate;
}

ReplicaCandidate
Remote(ReplicaCandidate aCandidate)
{
  aCandidate.mIsRemote = true;
  return aCandidate;
}

/// Part of the choices that each candidate gets, by its mIndex.
std::map<std::size_t, double>
Shares(const std::vector<ReplicaCandidate>& aCandidates)
{
  const auto random = SeededRandom(kSeed);
  std::map<std::size_t, double> shares;
  for (int i = 0; i < kDraws; ++i) {
    shares[*ChooseBalanced(aCandidates, random)] += 1.0 / kDraws;
  }
  return shares;
}

ServiceReplay
BalancedReplay(std::vector<SearcherModel> aModels)
{
  return ServiceReplay(std::move(aModels),
                       [random = SeededRandom(kSeed)](const auto& aCandidates) {
                         return ChooseBalanced(aCandidates, random);
                       });
}

} // namespace

/// Guards against upstreams that stay idle because the estimate of another one is lower
/// by chance.
TEST_CASE("equal upstreams get equal shares although their estimates differ a little")
{
  for (const auto& item :
       Shares({ Candidate(0, 15ms), Candidate(1, 17ms), Candidate(2, 20ms) })) {
    CAPTURE(item.first);
    CHECK(item.second > 0.25);
    CHECK(item.second < 0.42);
  }
  auto failedOnce = Candidate(1, 20ms);
  failedOnce.mFailureRatio = 0.005;
  CHECK(Shares({ Candidate(0, 20ms), failedOnce })[1] > 0.4);
}

TEST_CASE("upstreams of different speed or size get shares in proportion")
{
  CHECK(Shares({ Loaded(0, 0), Loaded(1, 0, 2) })[1] ==
        doctest::Approx(1 / 3.0).epsilon(0.1));
  auto small = Candidate(1, 20ms);
  small.mSlots = 1;
  CHECK(Shares({ Candidate(0, 20ms), small })[1] == doctest::Approx(0.2).epsilon(0.1));
}

TEST_CASE("the better of the two drawn is taken")
{
  CHECK(Shares({ Loaded(0, 3), Loaded(1, 1) })[0] == 0);
  // Of three, the worst one is never chosen and the best one in two thirds of the draws.
  auto shares = Shares({ Loaded(0, 8), Loaded(1, 4), Loaded(2, 0) });
  CHECK(shares[0] == 0);
  CHECK(shares[2] == doctest::Approx(2 / 3.0).epsilon(0.1));
}

/// Guards against an upstream that stopped stating its load and therefore looks idle.
TEST_CASE("an upstream without a stated load counts as busy as the others")
{
  auto unknown = Candidate(1, 20ms);
  auto shares = Shares({ Loaded(0, 8), unknown, Loaded(2, 8) });
  CHECK(shares[1] < 0.45);
}

TEST_CASE("a slow, failing or avoided upstream gets nothing while others are free")
{
  CHECK(Shares({ Candidate(0, 20ms), Candidate(1, 90ms) })[1] == 0);
  auto failing = Candidate(1, 20ms);
  failing.mFailureRatio = 0.5;
  CHECK(Shares({ Candidate(0, 20ms), failing })[1] == 0);
  auto avoided = Loaded(1, 0);
  avoided.mIsAvoided = true;
  CHECK(Shares({ Loaded(0, 8), avoided })[1] == 0);
  CHECK(Shares({ avoided })[1] == doctest::Approx(1));
  auto overflow = Candidate(1, 20ms);
  overflow.mIsOverflow = true;
  CHECK(Shares({ Candidate(0, 20ms), overflow })[1] == 0);
}

TEST_CASE("another region is used only when the own one is overloaded")
{
  const auto remote = Remote(Candidate(2, 44ms));
  CHECK(Shares({ Candidate(0, 20ms), Candidate(1, 30ms), remote })[2] == 0);
  // All slots are busy, but nothing waits.
  CHECK(Shares({ Loaded(0, 3), Loaded(1, 3), remote })[2] == 0);
  CHECK(Shares({ Loaded(0, 12), Loaded(1, 3), remote })[2] == 0);
  CHECK(Shares({ Loaded(0, 12), Loaded(1, 12), remote })[2] > 0.5);
  CHECK(Shares({ Candidate(0, 90ms), Candidate(1, 90ms), remote })[2] > 0.5);
}

/// Guards against a choice that exceeds a limit, or finds none although one is free.
TEST_CASE("a choice is below its limits and exists if ChooseCandidate finds one")
{
  rc::check([] {
    std::vector<ReplicaCandidate> candidates;
    const auto count = *rc::gen::inRange<std::size_t>(0, 8);
    for (std::size_t i = 0; i < count; ++i) {
      auto candidate = Candidate(i, *rc::gen::inRange(0, 300) * 1ms);
      candidate.mInFlight = *rc::gen::inRange<std::size_t>(0, 10);
      candidate.mSlots = *rc::gen::inRange<std::size_t>(0, 5);
      candidate.mIsAtRequestLimit = *rc::gen::inRange(0, 3) == 0;
      candidate.mIsAvoided = *rc::gen::inRange(0, 3) == 0;
      candidate.mIsRemote = *rc::gen::arbitrary<bool>();
      if (*rc::gen::arbitrary<bool>()) {
        candidate.mReportedLoad = *rc::gen::inRange(0, 50);
        candidate.mReportedSlowdown = *rc::gen::inRange(0, 400) / 100.0;
      }
      candidates.push_back(candidate);
    }
    const auto random =
      SeededRandom(static_cast<std::uint64_t>(*rc::gen::inRange(0, 1 << 20)));
    const auto lowest = ChooseCandidate(candidates);
    const auto chosen = ChooseBalanced(candidates, random);
    RC_ASSERT(chosen.has_value() == lowest.has_value());
    if (chosen) {
      const auto& candidate = candidates[*chosen];
      RC_ASSERT(candidate.mInFlight < candidate.mMaxInFlight);
      RC_ASSERT(!candidate.mIsAtRequestLimit);
      RC_ASSERT(candidate.mIsAvoided == candidates[*lowest].mIsAvoided);
    }
  });
}

TEST_CASE("upstreams without a sample are expected to answer as the others do")
{
  CHECK_FALSE(AssumedLatency({ { {}, false }, { {}, true } }, false));
  CHECK_FALSE(AssumedLatency({ { {}, false }, { 80ms, true } }, false));
  CHECK(AssumedLatency({ { 10ms, false }, { 30ms, false }, { {}, false } }, false) ==
        20ms);
  CHECK(AssumedLatency({ { 10ms, false }, { 60ms, true }, { {}, true } }, true) == 60ms);
  CHECK(AssumedLatency({ { 10ms, false }, { {}, true } }, true) == 45ms);
}

/// The load patterns of placement_test.cpp: the balanced choice must leave a failing or
/// slow searcher alone as the lowest cost does.
TEST_CASE("load pattern: the balanced choice leaves bad searchers alone")
{
  const SearcherModel remote{ .mRtt = 24ms, .mIsRemote = true };
  const SearcherModel shedding{ .mRtt = 24ms, .mIsRemote = true, .mShedRatio = 0.6 };
  CHECK(BalancedReplay({ { .mRtt = 0ms, .mShedRatio = 0.6 }, shedding, remote })
          .Run(20, 9s)
          .FailedRatio() < 0.1);
  CHECK(BalancedReplay({ { .mRtt = 0ms, .mSlowdown = 11 }, remote, remote })
          .Run(20, 8s)
          .SlowRatio(60ms) < 0.12);
  CHECK(BalancedReplay({ { .mRtt = 0ms, .mSlowdown = 11 }, {}, {} })
          .Run(20, 8s)
          .SlowRatio(40ms) < 0.12);
  CHECK(BalancedReplay({ {}, remote, remote }).Run(20, 8s).RemoteRatio() < 0.05);
}
