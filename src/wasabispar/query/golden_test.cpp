/// @file
/// @brief Replays the sessions in tests/golden and compares the output. A session file
/// contains commands; lines that start with `<` or `=` are expected output. With
/// WASABISPAR_UPDATE_GOLDEN=1 the test rewrites the expected output instead.
///
///     upstream ID                         declare an upstream
///     at MS                               advance the time, run due timers
///     report ID VERSION MAP HELD          state report; shards separated by commas
///     suspect ID | leaving ID | probe ID  upstream events
///     budget PERMILLE BURST               load budget of the following query
///     query POLICY TARGET DEADLINE WANTED MINIMUM HEDGE_DELAY [isolated]
///                                         start a query; times in ms, HEDGE_DELAY `-`:
///                                         estimated from the latencies
///     reply SUB STATUS [VERSION SHARD [ID:SCORE,...]]
///                                         end of a sub-request
///     gone                                no upstream holds the pinned version any more
#include "wasabispar/query/query.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

std::vector<std::string>
Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::istringstream in(aText);
  for (std::string part; std::getline(in, part, aSeparator);) {
    parts.push_back(part);
  }
  return parts;
}

std::vector<ShardId>
Shards(const std::string& aText)
{
  std::vector<ShardId> shards;
  for (const auto& part : Split(aText, ',')) {
    if (part != "-") {
      shards.emplace_back(part);
    }
  }
  return shards;
}

class Session
{
public:
  std::string Replay(std::istream& aIn)
  {
    for (std::string line; std::getline(aIn, line);) {
      if (line.empty() || line[0] == '<' || line[0] == '=') {
        continue;
      }
      mOut << line << "\n";
      if (line[0] != '#') {
        std::istringstream words(line);
        Run(words);
      }
    }
    return mOut.str();
  }

private:
  void Run(std::istringstream& aWords)
  {
    std::string command;
    std::string id;
    aWords >> command;
    if (command == "at") {
      Advance(aWords);
    } else if (command == "query") {
      StartQuery(aWords);
    } else if (command == "reply") {
      Reply(aWords);
    } else if (command == "gone") {
      ProcessActions(mQuery->OnSnapshotGone(mNow));
    } else if (command == "budget") {
      std::uint32_t permille = 0;
      std::uint32_t burst = 0;
      aWords >> permille >> burst;
      mBudget.emplace(LoadBudgetOptions{ Permille(permille), burst, 1s, 10s });
    } else if (aWords >> id; command == "upstream") {
      mTable.OnDeclared({ UpstreamId(id), IndexName("idx"), {}, "", false, 25 }, mNow);
    } else if (command == "suspect") {
      mTable.OnSuspected(UpstreamId(id), mNow);
    } else if (command == "probe") {
      mTable.OnProbeAnswered(UpstreamId(id), mNow, mNow);
    } else if (command == "leaving") {
      mTable.OnLeavingPublished(UpstreamId(id), 1, mNow);
    } else if (command == "report") {
      std::uint64_t version = 0;
      std::string map;
      std::string held;
      aWords >> version >> map >> held;
      UpstreamReport report{ IndexName("idx"), false, {}, 4, 25 };
      report.mVersions = { { SnapshotVersion(version), Shards(map), Shards(held) } };
      mTable.OnReport(UpstreamId(id), report, mNow, mNow);
    } else {
      FAIL("unknown command ", command);
    }
  }
  void Advance(std::istringstream& aWords)
  {
    int ms = 0;
    aWords >> ms;
    const auto end = kStart + 1ms * ms;
    while (mTimer && *mTimer <= end) {
      mNow = *mTimer;
      mTimer.reset();
      mOut << "< timer " << ToMilliseconds(mNow - kStart) << "\n";
      ProcessActions(mQuery->OnTimer(mNow));
    }
    mNow = end;
  }
  void StartQuery(std::istringstream& aWords)
  {
    std::string policy;
    std::string hedge;
    std::string isolated;
    int target = 0;
    int deadline = 0;
    std::uint32_t wanted = 0;
    std::uint32_t minimum = 0;
    aWords >> policy >> target >> deadline >> wanted >> minimum >> hedge >> isolated;
    QueryPlan plan;
    plan.mVm = VmId("vm-1");
    plan.mRequest = { Incarnation(1), 1 };
    plan.mSnapshot = *mDirectory.Choose(IndexName("idx"), Permille(wanted), mNow);
    plan.mPolicy = policy == "answer-at-target" ? PartialPolicy::AnswerAtTarget
                                                : PartialPolicy::WaitForCoverage;
    plan.mTarget = mNow + 1ms * target;
    plan.mDeadline = mNow + 1ms * deadline;
    plan.mCoverageWanted = Permille(wanted);
    plan.mCoverageMinimum = Permille(minimum);
    plan.mIsolated = isolated == "isolated";
    auto hooks = MakeQueryHooks(mTable, mDirectory, *mBudget, SeededRandom(1));
    if (hedge != "-") {
      hooks.mHedgeDelay = [delay = 1ms * std::stoi(hedge)](const IndexName&, TimePoint) {
        return std::optional<Duration>(delay);
      };
    }
    mQuery.emplace(plan, hooks);
    ProcessActions(mQuery->Start(mNow));
  }
  void Reply(std::istringstream& aWords)
  {
    SubReply reply;
    std::string status;
    std::uint64_t version = 0;
    std::string shard;
    std::string hits;
    aWords >> reply.mSubRequestId >> status >> version >> shard >> hits;
    REQUIRE(ParseExchangeStatus(status));
    reply.mStatus = *ParseExchangeStatus(status);
    reply.mVersion = SnapshotVersion(version);
    reply.mShard = ShardId(shard);
    for (const auto& hit : Split(hits, ',')) {
      const auto parts = Split(hit, ':');
      reply.mHits.push_back({ parts[0], std::stod(parts[1]) });
    }
    End(reply.mSubRequestId, reply.mStatus);
    ProcessActions(mQuery->OnReply(reply, mNow));
  }
  void End(std::uint64_t aSub, ExchangeStatus aStatus)
  {
    const auto sent = mSent.extract(aSub);
    if (!sent) {
      return;
    }
    const auto& [send, start] = sent.mapped();
    mTable.OnExchangeEnded(
      send.mUpstream, { aStatus, mNow - start, send.mVersion, send.mShard, false }, mNow);
    if (aStatus == ExchangeStatus::Shed) {
      mBudget->OnShed(mNow);
    }
  }
  void ProcessActions(const std::vector<QueryAction>& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<SendSubRequest>(&action)) {
        mSent[send->mSubRequestId] = { *send, mNow };
        mTable.OnExchangeStarted(send->mUpstream, mNow);
        mOut << "< send " << send->mSubRequestId << " version " << send->mVersion.Value()
             << " shard " << send->mShard.Text() << " to " << send->mUpstream.Text()
             << " " << ToText(send->mKind) << "\n";
      } else if (const auto* cancel = std::get_if<CancelSubRequest>(&action)) {
        End(cancel->mSubRequestId, ExchangeStatus::Cancelled);
        mOut << "< cancel " << cancel->mSubRequestId << " at " << cancel->mUpstream.Text()
             << "\n";
      } else if (const auto* arm = std::get_if<ArmTimer>(&action)) {
        mTimer = arm->mAt;
        mOut << "< arm " << ToMilliseconds(arm->mAt - kStart) << "\n";
      } else {
        mTimer.reset();
        PrintAnswer(std::get<Finish>(action).mAnswer);
      }
    }
  }
  void PrintAnswer(const Answer& aAnswer)
  {
    mOut << "< finish version " << aAnswer.mVersion.Value() << " answered "
         << aAnswer.mCoverage.Answered() << " of " << aAnswer.mCoverage.Total();
    if (aAnswer.mRefusal) {
      mOut << " refusal " << ToText(*aAnswer.mRefusal);
    }
    for (const auto& hit : aAnswer.mHits) {
      mOut << " " << hit.mId << ":" << hit.mScore;
    }
    const auto counts = mBudget->Counts();
    mOut << "\n< load needed " << counts.mNeeded << " hedges " << counts.mHedges
         << " retries " << counts.mRetries << " forced " << counts.mForced << "\n";
    std::istringstream explain(ToText(aAnswer.mTrace));
    for (std::string line; std::getline(explain, line);) {
      mOut << "= " << line << "\n";
    }
  }

  static constexpr TimePoint kStart{ 100s };
  TimePoint mNow = kStart;
  std::ostringstream mOut;
  UpstreamTable mTable;
  SnapshotDirectory mDirectory{ mTable };
  std::optional<LoadBudget> mBudget{ std::in_place };
  std::optional<Query> mQuery;
  std::optional<TimePoint> mTimer;
  std::map<std::uint64_t, std::pair<SendSubRequest, TimePoint>> mSent;
};

} // namespace

TEST_CASE("each golden session gives the recorded actions, answers and query traces")
{
  // Guards against unintended changes of the behaviour over a whole session, which unit
  // tests do not detect. The test runs in the source tree or in a build directory below.
  auto top = std::filesystem::current_path();
  while (!std::filesystem::exists(top / "tests/golden") && top.has_relative_path()) {
    top = top.parent_path();
  }
  const auto root = top / "tests/golden";
  const char* update = std::getenv("WASABISPAR_UPDATE_GOLDEN");
  int sessions = 0;
  for (const auto& file : std::filesystem::directory_iterator(root)) {
    if (file.path().extension() != ".session") {
      continue;
    }
    ++sessions;
    CAPTURE(file.path().filename().string());
    std::ifstream in(file.path());
    std::stringstream recorded;
    recorded << in.rdbuf();
    const auto replayed = Session().Replay(recorded);
    if (update != nullptr && std::string(update) == "1") {
      std::ofstream(file.path()) << replayed;
    } else {
      CHECK(replayed == recorded.str());
    }
  }
  CHECK(sessions >= 8);
}
