/// @file
/// @brief Differential test of Query: after each step of a generated trace, its state is
/// compared with an oracle that derives the expected state from the full history.
#include "wasabispar/query/query.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <tuple>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

using Script = std::vector<std::uint32_t>;

constexpr Duration kTarget = 60ms;
constexpr Duration kDeadline = 200ms;

/// Takes choices from a script, and zeros after the end of the script. Each salt gives
/// the same script another meaning, because rapidcheck generates the same scripts in each
/// run with a fixed seed.
struct Choices
{
  const Script& mScript;
  std::uint32_t mSalt = 0;
  std::size_t mNext = 0;

  std::uint32_t Below(std::uint32_t aBound)
  {
    if (mNext >= mScript.size()) {
      return 0;
    }
    const auto value = mScript[mNext++] + mSalt * 0x9E3779B9U;
    return (mSalt == 0 ? value : (value ^ (value >> 15)) * 0x85EBCA6BU >> 8) % aBound;
  }
  bool IsDone() const { return mNext >= mScript.size(); }
};

Snapshot
SnapshotOf(std::uint64_t aVersion, std::uint32_t aShards)
{
  Snapshot snapshot{ IndexName("idx"), SnapshotVersion(aVersion), {}, Permille(1000) };
  for (std::uint32_t i = 0; i < aShards; ++i) {
    // Odd and even versions have different names for some shards, as after a repartition.
    snapshot.mShards.emplace_back((i == 0              ? "s"
                                   : aVersion % 2 == 0 ? "e"
                                                       : "o") +
                                  std::to_string(i));
  }
  return snapshot;
}

/// The history of one query, and the state that a naive implementation derives from it.
struct Oracle
{
  struct Sent
  {
    SendSubRequest mSend;
    bool mOpen = true;
    std::optional<SubReply> mReply;
    TimePoint mRepliedAt{};
    std::uint64_t mReplyOrder = 0;
  };

  QueryPlan mPlan;
  /// The snapshots to which the query was pinned, in order.
  std::vector<Snapshot> mSnapshots;
  std::map<std::uint64_t, Sent> mSent;
  /// Number of tokens granted.
  std::uint64_t mTokens = 0;
  /// The pinned version is gone, so a replan is allowed.
  bool mGone = false;
  std::uint64_t mReplies = 0;
  std::vector<Answer> mAnswers;

  const Snapshot& Pinned() const { return mSnapshots.back(); }
  std::vector<const Sent*> Of(const ShardId& aShard) const
  {
    std::vector<const Sent*> result;
    for (const auto& [id, sent] : mSent) {
      if (sent.mSend.mVersion == Pinned().mVersion && sent.mSend.mShard == aShard) {
        result.push_back(&sent);
      }
    }
    return result;
  }
  static bool IsAnswered(const Sent& aSent)
  {
    return aSent.mReply && aSent.mReply->mStatus == ExchangeStatus::Ok &&
           aSent.mReply->mVersion == aSent.mSend.mVersion &&
           aSent.mReply->mShard == aSent.mSend.mShard;
  }
  std::map<ShardId, std::vector<Hit>> Hits() const
  {
    std::map<ShardId, std::vector<Hit>> hits;
    for (const auto& shard : Pinned().mShards) {
      for (const auto* sent : Of(shard)) {
        if (IsAnswered(*sent)) {
          RC_ASSERT(!hits.contains(shard));
          hits[shard] = sent->mReply->mHits;
        }
      }
    }
    return hits;
  }
  /// Whether the shard can no longer answer at the pinned version.
  bool CannotAnswer(const ShardId& aShard) const
  {
    const auto sents = Of(aShard);
    std::uint32_t retries = 0;
    bool final = false;
    for (const auto* sent : sents) {
      if (sent->mOpen) {
        return false;
      }
      const auto kind = sent->mSend.mKind;
      retries +=
        kind == SubRequestKind::Retry || kind == SubRequestKind::ForcedRetry ? 1 : 0;
      if (sent->mReply && sent->mReply->mStatus != ExchangeStatus::Ok) {
        final = final || !IsRetryable(sent->mReply->mStatus, mPlan.mIdempotent);
      }
    }
    return !sents.empty() &&
           (final || retries == (mPlan.mIdempotent ? 6 : 2) || mPlan.mIsolated);
  }
  bool MustFinish(TimePoint aNow) const
  {
    const auto hits = Hits();
    const auto coveragePermille = hits.size() * 1000 / Pinned().mShards.size();
    const bool enough =
      !hits.empty() && coveragePermille >= mPlan.mCoverageMinimum.Value();
    const bool noShardCanAnswer =
      (!mGone || mSnapshots.size() == 3) &&
      std::ranges::all_of(Pinned().mShards, [&](const ShardId& aShard) {
        return hits.contains(aShard) || CannotAnswer(aShard);
      });
    if (aNow >= mPlan.mDeadline || hits.size() == Pinned().mShards.size() ||
        noShardCanAnswer) {
      return true;
    }
    return mPlan.mPolicy == PartialPolicy::AnswerAtTarget
             ? enough && aNow >= mPlan.mTarget
             : enough && coveragePermille >= mPlan.mCoverageWanted.Value();
  }
  void OnReply(const SubReply& aReply, TimePoint aNow)
  {
    const auto found = mSent.find(aReply.mSubRequestId);
    if (found == mSent.end() || !found->second.mOpen || !mAnswers.empty()) {
      return;
    }
    found->second.mOpen = false;
    found->second.mReply = aReply;
    found->second.mRepliedAt = aNow;
    found->second.mReplyOrder = ++mReplies;
  }
  void UpdatePinnedSnapshot(SnapshotVersion aVersion,
                            const std::optional<Snapshot>& aOffered)
  {
    if (aVersion == Pinned().mVersion) {
      return;
    }
    RC_ASSERT(aOffered && aOffered->mVersion == aVersion);
    RC_ASSERT(aVersion > Pinned().mVersion);
    RC_ASSERT(mGone);
    mSnapshots.push_back(*aOffered);
    RC_ASSERT(mSnapshots.size() <= 3U);
    mGone = false;
    for (const auto& [id, sent] : mSent) {
      RC_ASSERT(!sent.mOpen);
    }
  }
  /// Whether the replica of this earlier try may be tried again.
  bool MayRepeat(const Sent& aSent, TimePoint aNow) const
  {
    if (aSent.mOpen || !aSent.mReply || !mPlan.mIdempotent || mPlan.mIsolated) {
      return false;
    }
    const auto status = aSent.mReply->mStatus;
    return aNow >= aSent.mRepliedAt + 2500us &&
           (status == ExchangeStatus::ConnectFailed ||
            status == ExchangeStatus::ConnectionLost);
  }
  bool MayForceRetry(const std::vector<const Sent*>& aTries) const
  {
    // RC_ASSERT evaluates both sides of ||, so this function is also called for first
    // tries.
    if (aTries.empty()) {
      return false;
    }
    const auto* last = *std::ranges::max_element(
      aTries, {}, [](const Sent* aSent) { return aSent->mReplyOrder; });
    const bool wait =
      mPlan.mPolicy == PartialPolicy::WaitForCoverage && mPlan.mIdempotent;
    return last->mReply && last->mReply->mStatus != ExchangeStatus::Shed &&
           (wait || aTries.size() == 1);
  }
  void OnSend(const SendSubRequest& aSend, const std::optional<Snapshot>& aOffered,
              TimePoint aNow)
  {
    RC_ASSERT(mAnswers.empty());
    RC_ASSERT(aNow < mPlan.mDeadline);
    UpdatePinnedSnapshot(aSend.mVersion, aOffered);
    const auto tries = Of(aSend.mShard);
    for (const auto* sent : tries) {
      RC_ASSERT(sent->mSend.mUpstream != aSend.mUpstream || MayRepeat(*sent, aNow));
      RC_ASSERT(!IsAnswered(*sent));
      RC_ASSERT((aSend.mKind == SubRequestKind::Hedge) == sent->mOpen ||
                aSend.mKind == SubRequestKind::Hedge);
      RC_ASSERT(aSend.mKind != SubRequestKind::Hedge ||
                sent->mSend.mKind != SubRequestKind::Hedge);
    }
    RC_ASSERT((aSend.mKind == SubRequestKind::First) == tries.empty());
    RC_ASSERT(aSend.mKind != SubRequestKind::ForcedRetry || MayForceRetry(tries));
    RC_ASSERT(!mPlan.mIsolated || aSend.mKind == SubRequestKind::First);
    RC_ASSERT(mSent.emplace(aSend.mSubRequestId, Sent{ aSend, true, {} }).second);
    for (const auto& [id, sent] : mSent) {
      RC_ASSERT(!mPlan.mIsolated || !sent.mOpen || id == aSend.mSubRequestId);
    }
  }
  void CheckAnswer(const Answer& aAnswer)
  {
    const auto hits = Hits();
    RC_ASSERT(aAnswer.mVersion == Pinned().mVersion);
    RC_ASSERT(aAnswer.mCoverage.Total() == Pinned().mShards.size());
    RC_ASSERT(aAnswer.mCoverage.Answered() == hits.size());
    RC_ASSERT(aAnswer.mTrace.mMissing.size() == Pinned().mShards.size() - hits.size());
    std::set<ShardId> missing;
    for (const auto& shard : Pinned().mShards) {
      if (!hits.contains(shard)) {
        missing.insert(shard);
      }
    }
    RC_ASSERT(aAnswer.mCoverage.Missing() == missing);
    for (const auto& item : aAnswer.mTrace.mMissing) {
      RC_ASSERT(missing.contains(item.mShard) && !item.mReasonText.empty());
    }
    RC_ASSERT(aAnswer.mTrace.mSubRequests.size() == mSent.size());
    const auto coveragePermille = hits.size() * 1000 / Pinned().mShards.size();
    const bool refuse = hits.empty() || coveragePermille < mPlan.mCoverageMinimum.Value();
    RC_ASSERT(aAnswer.mRefusal.has_value() == refuse);
    if (refuse) {
      const bool ran = std::ranges::any_of(mSent, [](const auto& aItem) {
        const auto& reply = aItem.second.mReply;
        return !reply || MayHaveRun(reply->mStatus);
      });
      RC_ASSERT((aAnswer.mRefusal->mOutcome == Outcome::OutcomeUnknown) == ran);
      RC_ASSERT(aAnswer.mHits.empty());
      return;
    }
    std::vector<std::tuple<double, std::string, ShardId>> all;
    for (const auto& [shard, list] : hits) {
      for (const auto& hit : list) {
        all.emplace_back(-hit.mScore, hit.mId, shard);
      }
    }
    std::ranges::sort(all);
    all.resize(std::min(all.size(), mPlan.mLimit));
    RC_ASSERT(aAnswer.mHits.size() == all.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
      RC_ASSERT(aAnswer.mHits[i] == (Hit{ std::get<1>(all[i]), -std::get<0>(all[i]) }));
    }
  }
  void OnActions(const std::vector<QueryAction>& aActions, const Query& aQuery,
                 const std::optional<Snapshot>& aOffered, TimePoint aNow)
  {
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<SendSubRequest>(&action)) {
        OnSend(*send, aOffered, aNow);
      } else if (const auto* cancel = std::get_if<CancelSubRequest>(&action)) {
        RC_ASSERT(mSent.at(cancel->mSubRequestId).mOpen);
        mSent.at(cancel->mSubRequestId).mOpen = false;
      } else if (const auto* arm = std::get_if<ArmTimer>(&action)) {
        // A timer that is not in the future would keep the worker busy without end.
        RC_ASSERT(arm->mAt > aNow);
      } else if (const auto* finish = std::get_if<Finish>(&action)) {
        RC_ASSERT(mAnswers.empty());
        UpdatePinnedSnapshot(finish->mAnswer.mVersion, aOffered);
        mAnswers.push_back(finish->mAnswer);
        CheckAnswer(finish->mAnswer);
      }
    }
    UpdatePinnedSnapshot(aQuery.Trace().mVersions.back(), aOffered);
    std::uint64_t taken = mSnapshots.size() > 2 ? mSnapshots.size() - 2 : 0;
    for (const auto& [id, sent] : mSent) {
      const auto kind = sent.mSend.mKind;
      taken += kind == SubRequestKind::Hedge || kind == SubRequestKind::Retry ? 1 : 0;
    }
    RC_ASSERT(taken == mTokens);
    if (mAnswers.empty()) {
      RC_ASSERT(!MustFinish(aNow));
    }
  }
};

SubReply
MakeReply(Choices& aChoices, const Oracle& aOracle)
{
  SubReply reply;
  reply.mSubRequestId =
    aChoices.Below(static_cast<std::uint32_t>(aOracle.mSent.size()) + 2);
  const auto found = aOracle.mSent.find(reply.mSubRequestId);
  if (found != aOracle.mSent.end()) {
    reply.mVersion = found->second.mSend.mVersion;
    reply.mShard = found->second.mSend.mShard;
  }
  const auto kind = aChoices.Below(24);
  if (kind < 11) {
    reply.mStatus = static_cast<ExchangeStatus>(kind);
  } else if (kind == 11) {
    reply.mVersion = reply.mVersion.Next();
  } else if (kind == 12) {
    reply.mShard = ShardId("s0");
  }
  for (std::uint32_t i = aChoices.Below(3); i > 0; --i) {
    reply.mHits.push_back(
      { std::to_string(aChoices.Below(4)), static_cast<double>(aChoices.Below(3)) });
  }
  return reply;
}

/// Runs one trace and compares the query with the oracle after each step.
void
RunTrace(const Script& aScript, std::uint32_t aSalt)
{
  Choices choices{ aScript, aSalt };
  const TimePoint start{ 1s };
  TimePoint now = start;
  Oracle oracle;
  auto& plan = oracle.mPlan;
  plan.mSnapshot = SnapshotOf(1, 1 + choices.Below(4));
  plan.mPolicy = choices.Below(2) == 0 ? PartialPolicy::AnswerAtTarget
                                       : PartialPolicy::WaitForCoverage;
  plan.mTarget = now + kTarget;
  plan.mDeadline = now + kDeadline;
  plan.mCoverageMinimum = Permille(choices.Below(3) * 500);
  plan.mCoverageWanted = Permille(1000 - choices.Below(3) * 250);
  plan.mLimit = 1 + choices.Below(6);
  plan.mIdempotent = choices.Below(8) != 0;
  plan.mIsolated = choices.Below(8) == 1;
  oracle.mSnapshots.push_back(plan.mSnapshot);
  std::optional<Snapshot> offered;

  auto hooks = DefaultQueryHooks();
  hooks.mHedgeDelay = [](const IndexName&, TimePoint) { return Duration(15ms); };
  hooks.mTakeBudget = [&](ExtraLoadKind, TimePoint) {
    const bool granted = choices.Below(4) != 0;
    oracle.mTokens += granted ? 1 : 0;
    return granted;
  };
  hooks.mTakeForced = [&](TimePoint) { return choices.Below(8) != 0; };
  hooks.mChooseSnapshot = [&](const IndexName&, Permille, TimePoint) { return offered; };
  hooks.mChooseReplica = [&](const ReplicaRequest& aRequest, TimePoint) {
    ReplicaChoice choice;
    const auto first = choices.Below(4); // 3: no usable replica
    for (std::uint32_t i = 0; i < 3 && first < 3; ++i) {
      UpstreamId id("u" + std::to_string((first + i) % 3));
      if (std::ranges::find(aRequest.mTried, id) == aRequest.mTried.end()) {
        choice.mUpstream = id;
        return choice;
      }
    }
    return choice;
  };

  Query query(plan, hooks);
  oracle.OnActions(query.Start(now), query, offered, now);
  for (int late = 0; late < 4; late += choices.IsDone() ? 4 : 0) {
    const auto step = choices.Below(8);
    if (step < 5) {
      now += Duration(1ms) * choices.Below(4);
      const auto reply = MakeReply(choices, oracle);
      oracle.OnReply(reply, now);
      // If a reply `version-gone` leaves a shard without an open sub-request, the query
      // may be replanned.
      const auto sent = oracle.mSent.find(reply.mSubRequestId);
      if (sent != oracle.mSent.end() && sent->second.mReply &&
          reply.mStatus == ExchangeStatus::VersionGone && !plan.mIsolated &&
          now < plan.mDeadline) {
        const auto& shard = reply.mShard;
        const auto actions = query.OnReply(reply, now);
        const bool resent = std::ranges::any_of(actions, [&](const QueryAction& aItem) {
          const auto* send = std::get_if<SendSubRequest>(&aItem);
          return send != nullptr && send->mShard == shard &&
                 send->mVersion == oracle.Pinned().mVersion;
        });
        const auto tries = oracle.Of(shard);
        const bool open = std::ranges::any_of(
          tries, [](const Oracle::Sent* aSent) { return aSent->mOpen; });
        const bool current = sent->second.mSend.mVersion == oracle.Pinned().mVersion;
        oracle.mGone = oracle.mGone || (oracle.mAnswers.empty() && current && !open &&
                                        !resent && !tries.empty());
        oracle.OnActions(actions, query, offered, now);
      } else {
        oracle.OnActions(query.OnReply(reply, now), query, offered, now);
      }
    } else if (step == 5) {
      now += Duration(1ms) * choices.Below(40);
      oracle.OnActions(query.OnTimer(now), query, offered, now);
    } else if (step == 6) {
      const auto newest = (offered ? *offered : plan.mSnapshot).mVersion.Value();
      offered = SnapshotOf(newest + 1, 1 + choices.Below(4));
    } else if (!query.IsFinished()) {
      oracle.mGone = true;
      oracle.OnActions(query.OnSnapshotGone(now), query, offered, now);
    }
  }
  now = std::max(now, plan.mDeadline);
  oracle.OnActions(query.OnTimer(now), query, offered, now);
  RC_ASSERT(oracle.mAnswers.size() == 1U);
  RC_ASSERT(query.OnTimer(now + 1s).empty());
  RC_ASSERT(query.OnSnapshotGone(now + 1s).empty());
  RC_ASSERT(query.OnReply(MakeReply(choices, oracle), now + 1s).empty());
}

} // namespace

TEST_CASE("a query agrees with the naive oracle on each generated trace")
{
  // Guards against hits of several versions in one answer, wrong coverage, a second or
  // missing Finish, replies counted twice, wrong lists of missing shards, and
  // sub-requests that exceed the budget or follow the deadline or the end.
  for (std::uint32_t salt = 0; salt < 40; ++salt) {
    CHECK(rc::check("trace with salt " + std::to_string(salt), [salt] {
      const auto length = *rc::gen::inRange<std::size_t>(0, 400);
      const auto number = rc::gen::inRange<std::uint32_t>(0, 1U << 20);
      RunTrace(*rc::gen::container<Script>(length, number), salt);
    }));
  }
}
