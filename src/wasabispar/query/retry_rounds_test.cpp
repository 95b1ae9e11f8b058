/// @file
/// @brief Tests of the retry rounds over the replicas of a shard.
#include "wasabispar/query/query.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// Runs a query over one shard with two replicas in virtual time. Each reply takes 1 ms;
/// the first mFailures sub-requests fail, the others are answered.
struct QueryRun
{
  QueryPlan mPlan;
  ExchangeStatus mFailure = ExchangeStatus::ConnectionLost;
  std::uint32_t mFailures = 2;
  /// Tokens for retries.
  std::uint32_t mTokens = 0;
  /// Whether retries without a token are granted.
  bool mForced = true;
  std::vector<SendSubRequest> mSends;
  /// When each element of mSends was sent.
  std::vector<TimePoint> mTimes;
  std::optional<Answer> mAnswer;
  TimePoint mNow{ 1s };
  std::optional<TimePoint> mTimer;
  std::optional<TimePoint> mReplyAt;

  QueryRun()
  {
    mPlan.mSnapshot = { IndexName("idx"), SnapshotVersion(1), { ShardId("s") }, {} };
    mPlan.mPolicy = PartialPolicy::WaitForCoverage;
    mPlan.mTarget = mNow + 500ms;
    mPlan.mDeadline = mNow + 1s;
  }
  void ProcessActions(const std::vector<QueryAction>& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<SendSubRequest>(&action)) {
        mSends.push_back(*send);
        mTimes.push_back(mNow);
        mReplyAt = mNow + 1ms;
      } else if (const auto* arm = std::get_if<ArmTimer>(&action)) {
        mTimer = arm->mAt;
      } else if (const auto* finish = std::get_if<Finish>(&action)) {
        mAnswer = finish->mAnswer;
      }
    }
  }
  void RunToEnd()
  {
    auto hooks = DefaultQueryHooks();
    hooks.mTakeBudget = [this](ExtraLoadKind, TimePoint) {
      return mTokens > 0 && mTokens-- > 0;
    };
    hooks.mTakeForced = [this](TimePoint) { return mForced; };
    hooks.mChooseReplica = [](const ReplicaRequest& aRequest, TimePoint) {
      ReplicaChoice choice;
      for (const auto* id : { "u2", "u1" }) {
        if (std::ranges::find(aRequest.mTried, UpstreamId(id)) == aRequest.mTried.end()) {
          choice.mUpstream = UpstreamId(id);
        }
      }
      return choice;
    };
    Query query(mPlan, hooks);
    ProcessActions(query.Start(mNow));
    while (!mAnswer) {
      if (mReplyAt && (!mTimer || *mReplyAt <= *mTimer)) {
        mNow = *mReplyAt;
        mReplyAt.reset();
        const auto& send = mSends.back();
        const bool fails = mSends.size() <= mFailures;
        const SubReply reply{ send.mSubRequestId,
                              fails ? mFailure : ExchangeStatus::Ok,
                              send.mVersion,
                              send.mShard,
                              {} };
        ProcessActions(query.OnReply(reply, mNow));
      } else {
        REQUIRE(mTimer);
        mNow = *mTimer;
        mTimer.reset();
        ProcessActions(query.OnTimer(mNow));
      }
    }
  }
};

} // namespace

TEST_CASE("replicas that failed once are tried again in a further round")
{
  // Guards against an answer without the shard after one transient failure of each of its
  // replicas.
  for (const auto failure :
       { ExchangeStatus::ConnectionLost, ExchangeStatus::ConnectFailed }) {
    QueryRun run;
    run.mFailure = failure;
    run.mFailures = 4;
    run.RunToEnd();
    CHECK(run.mAnswer->mCoverage.IsComplete());
    REQUIRE(run.mSends.size() == 5);
    // Guards against a round without a backoff, and against a backoff that does not grow.
    CHECK(run.mTimes[2] - run.mTimes[1] >= 3500us);
    CHECK(run.mTimes[4] - run.mTimes[3] >= 6ms);
    CHECK(run.mTimes[4] - run.mTimes[0] <= 40ms);
  }
}

TEST_CASE("the number of tries of failing replicas is bounded")
{
  // Guards against endless retry rounds.
  QueryRun run;
  run.mFailures = 1000;
  run.RunToEnd();
  CHECK(run.mSends.size() == 7);
  CHECK(run.mAnswer->mRefusal);
}

TEST_CASE("further rounds under answer-at-target need a token")
{
  // Guards against unlimited extra load of queries that accept a partial answer.
  for (const std::uint32_t tokens : { 0U, 2U }) {
    QueryRun run;
    run.mPlan.mPolicy = PartialPolicy::AnswerAtTarget;
    run.mTokens = tokens;
    run.RunToEnd();
    CHECK(run.mAnswer->mCoverage.IsComplete() == (tokens == 2));
    CHECK(run.mSends.size() == (tokens == 2 ? 3 : 2));
  }
}

TEST_CASE("without a token a shed sub-request is not retried")
{
  // Guards against a retry storm under overload.
  QueryRun run;
  run.mFailure = ExchangeStatus::Shed;
  run.mFailures = 1000;
  run.RunToEnd();
  CHECK(run.mSends.size() == 1);
}

TEST_CASE("no replica is tried twice for plans and failures that forbid it")
{
  // Guards against a second execution of a request that is not idempotent, a second crash
  // by a suspect request, and new work for a replica that sheds load, drains or no longer
  // holds the shard.
  const auto sends = [](bool aIdempotent, bool aIsolated, ExchangeStatus aFailure) {
    QueryRun run;
    run.mPlan.mIdempotent = aIdempotent;
    run.mPlan.mIsolated = aIsolated;
    run.mFailure = aFailure;
    run.mFailures = 1000;
    run.mTokens = 100;
    run.RunToEnd();
    return run.mSends.size();
  };
  CHECK(sends(false, false, ExchangeStatus::ConnectFailed) == 2);
  CHECK(sends(false, false, ExchangeStatus::ConnectionLost) == 1);
  CHECK(sends(true, true, ExchangeStatus::ConnectionLost) == 1);
  CHECK(sends(true, false, ExchangeStatus::Shed) == 2);
  CHECK(sends(true, false, ExchangeStatus::Draining) == 2);
  CHECK(sends(true, false, ExchangeStatus::ShardGone) == 2);
}
