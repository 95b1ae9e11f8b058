/// @file
/// @brief Tests of LoadBudget and MergeHits.
#include "wasabispar/query/load_budget.hpp"
#include "wasabispar/query/merge.hpp"

#include <doctest/doctest.h>

#include <limits>
#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

TEST_CASE("extra load from several threads stays within the budget")
{
  // Guards against hedges that amplify an overload. Run the test under TSAN.
  LoadBudget budget({ Permille(50), 30, 1s, 10s });
  const auto work = [&] {
    for (int i = 0; i < 10'000; ++i) {
      budget.OnNeeded(1);
      budget.TryTake(i % 2 == 0 ? ExtraLoadKind::Hedge : ExtraLoadKind::Retry,
                     TimePoint{ 5s });
    }
  };
  {
    std::jthread first(work);
    std::jthread second(work);
  }
  const auto counts = budget.Counts();
  CHECK(counts.mNeeded == 20'000);
  CHECK(counts.mHedges + counts.mRetries <= 1000);
  CHECK(counts.mHedges + counts.mRetries >= 990);
}

TEST_CASE("hedges are refused while upstreams shed load or the fleet exceeds its budget")
{
  LoadBudget budget;
  const TimePoint now{ 5s };
  budget.OnNeeded(1000);
  budget.OnShed(now);
  CHECK_FALSE(budget.TryTake(ExtraLoadKind::Hedge, now + 999ms));
  CHECK_FALSE(budget.TryTakeForced(now + 999ms));
  CHECK(budget.TryTakeForced(now + 1s));
  CHECK(budget.TryTake(ExtraLoadKind::Retry, now + 999ms));
  CHECK(budget.TryTake(ExtraLoadKind::Hedge, now + 1s));
  budget.OnFleetExtraLoad(Permille(51), now + 2s);
  CHECK_FALSE(budget.TryTake(ExtraLoadKind::Hedge, now + 3s));
  CHECK(budget.TryTake(ExtraLoadKind::Hedge, now + 12s)); // the extra load is outdated
}

TEST_CASE("forced retries reduce the tokens for later hedges")
{
  // Guards against forced retries that do not count as extra load.
  LoadBudget budget({ Permille(50), 2, 1s, 10s });
  budget.TakeForced(100);
  budget.OnNeeded(59); // 2.95 tokens, against a debt that is limited to two
  CHECK_FALSE(budget.TryTake(ExtraLoadKind::Hedge, TimePoint{ 5s }));
  budget.OnNeeded(1);
  CHECK(budget.TryTake(ExtraLoadKind::Hedge, TimePoint{ 5s }));
  CHECK(budget.Counts().mForced == 100);
  CHECK(budget.RecentExtraLoad() == Permille(1683)); // 101 of 60
}

TEST_CASE("hits are merged by score, id and shard")
{
  // Guards against an order of hits that depends on the order of the replies and differs
  // between two runs of the same query.
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const std::map<ShardId, std::vector<Hit>> hits{
    { ShardId("b"), { { "x", 1 }, { "a", 2 }, { "n", nan } } },
    { ShardId("a"), { { "x", 1 }, { "c", 2 } } },
  };
  const auto merged = MergeHits(hits, 4);
  const std::vector<Hit> expected{ { "a", 2 }, { "c", 2 }, { "x", 1 }, { "x", 1 } };
  CHECK(merged == expected);
  CHECK(MergeHits(hits, 10).back().mId == "n");
}
