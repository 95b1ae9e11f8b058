/// @file
/// @brief Runs one query in virtual time: three shards on three upstreams, one of which
/// does not answer, so that its sub-request is hedged. Prints the actions and the explain
/// record.
#include "wasabispar/query/query.hpp"

#include <iostream>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const IndexName kIndex("kimono");

void
Declare(UpstreamTable& aTable, const std::string& aId, std::vector<ShardId> aHeld,
        TimePoint aNow)
{
  const std::vector<ShardId> map{ ShardId("a"), ShardId("b"), ShardId("c") };
  UpstreamReport report{ kIndex, false, {}, 2, 25 };
  report.mVersions = { { SnapshotVersion(7), map, std::move(aHeld) } };
  aTable.OnDeclared({ UpstreamId(aId), kIndex, {}, "127.0.0.1:9000", false, 25 }, aNow);
  aTable.OnReport(UpstreamId(aId), report, aNow, aNow);
}

/// Prints the actions; returns the sub-requests to send.
std::vector<SendSubRequest>
Show(const std::vector<QueryAction>& aActions)
{
  std::vector<SendSubRequest> sends;
  for (const auto& action : aActions) {
    if (const auto* send = std::get_if<SendSubRequest>(&action)) {
      std::cout << "send " << send->mSubRequestId << " shard " << send->mShard.Text()
                << " to " << send->mUpstream.Text() << "\n";
      sends.push_back(*send);
    } else if (const auto* cancel = std::get_if<CancelSubRequest>(&action)) {
      std::cout << "cancel " << cancel->mSubRequestId << "\n";
    } else if (const auto* finish = std::get_if<Finish>(&action)) {
      std::cout << ToText(finish->mAnswer.mTrace);
    }
  }
  return sends;
}

SubReply
AnswerTo(const SendSubRequest& aSend)
{
  const Hit hit{ "item-" + aSend.mShard.Text(),
                 static_cast<double>(aSend.mSubRequestId) };
  return {
    aSend.mSubRequestId, ExchangeStatus::Ok, aSend.mVersion, aSend.mShard, { hit }
  };
}

} // namespace

int
main()
{
  TimePoint now{ 100s };
  UpstreamTable table;
  Declare(table, "u1", { ShardId("a"), ShardId("b") }, now);
  Declare(table, "u2", { ShardId("b"), ShardId("c") }, now);
  Declare(table, "u3", { ShardId("a"), ShardId("c") }, now);
  const SnapshotDirectory directory(table);
  LoadBudget budget;
  budget.OnNeeded(100);

  QueryPlan plan;
  plan.mVm = VmId("vm-1");
  plan.mRequest = { Incarnation(1), 1 };
  plan.mSnapshot = *directory.Choose(kIndex, Permille(1000), now);
  plan.mTarget = now + 60ms;
  plan.mDeadline = now + 200ms;
  auto hooks = MakeQueryHooks(table, directory, budget, SeededRandom(1));
  hooks.mHedgeDelay = [](const IndexName&, TimePoint) { return Duration(10ms); };

  Query query(plan, hooks);
  const auto first = Show(query.Start(now));
  now += 5ms;
  Show(query.OnReply(AnswerTo(first.at(0)), now));
  Show(query.OnReply(AnswerTo(first.at(1)), now));
  now += 5ms;
  const auto hedge = Show(query.OnTimer(now));
  now += 5ms;
  Show(query.OnReply(AnswerTo(hedge.at(0)), now));
  return query.IsFinished() ? 0 : 1;
}
