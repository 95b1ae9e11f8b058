/// @file
/// @brief Implements the load generator on one thread.
#include "bench/load_generator.hpp"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <numeric>
#include <random>
#include <thread>

namespace wasabispar::bench {

namespace json = boost::json;

namespace {

constexpr std::size_t kFaultsKept = 10;
constexpr std::uint32_t kComplete = 1000;
using Timer = boost::asio::basic_waitable_timer<BootClock>;

std::string
ToText(HttpExchangeEnd aEnd)
{
  switch (aEnd) {
    case HttpExchangeEnd::Response:
      return "response";
    case HttpExchangeEnd::ConnectFailed:
      return "connect-failed";
    case HttpExchangeEnd::ConnectionLost:
      return "connection-lost";
    case HttpExchangeEnd::TimedOut:
      return "timed-out";
    case HttpExchangeEnd::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

/// One request from its scheduled arrival to its end.
struct Arrival
{
  TimePoint mScheduled;
  std::size_t mVm = 0;
  std::string mCaller;
  std::string mText;
};

class LoadRun
{
public:
  explicit LoadRun(const LoadSpec& aSpec)
    : mSpec(aSpec)
    , mIdle(aSpec.mVms.size())
    , mAvoidUntil(aSpec.mVms.size())
    , mRandom(aSpec.mSeed)
    , mTimer(mContext)
  {
    for (const auto& caller : aSpec.mCallers) {
      mWeights.push_back(caller.mWeight);
    }
  }

  LoadReport Run()
  {
    mStart = BootClock::now();
    mNext = mStart;
    std::thread events([this] { RunEvents(); });
    Schedule();
    mContext.run();
    events.join();
    Sort(mReport.mAll);
    for (auto& [caller, figures] : mReport.mByCaller) {
      Sort(figures);
    }
    return std::move(mReport);
  }

private:
  static void Sort(LoadFigures& aFigures)
  {
    std::sort(aFigures.mLatencies.begin(), aFigures.mLatencies.end());
  }

  void RunEvents()
  {
    for (const auto& event : mSpec.mEvents) {
      std::this_thread::sleep_for(mStart + event.mAt - BootClock::now());
      event.mRun();
    }
  }

  void Schedule()
  {
    std::exponential_distribution<double> gap(mSpec.mRatePerSecond);
    mNext +=
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(mRandom)));
    if (mNext >= mStart + mSpec.mDuration) {
      return;
    }
    mTimer.expires_at(mNext);
    mTimer.async_wait([this](const boost::system::error_code&) {
      Arrive();
      Schedule();
    });
  }

  void Arrive()
  {
    std::discrete_distribution<std::size_t> choice(mWeights.begin(), mWeights.end());
    Arrival arrival;
    arrival.mScheduled = mNext;
    arrival.mCaller = mSpec.mCallers[choice(mRandom)].mName;
    arrival.mVm = NextVm();
    arrival.mText = "q" + std::to_string(mSpec.mSeed) + "-" + std::to_string(mCount++);
    auto& idle = mIdle[arrival.mVm];
    while (!idle.empty()) {
      const auto connection = idle.back();
      idle.pop_back();
      if (connection->IsUsable()) {
        return Send(connection, arrival);
      }
    }
    const auto connection = HttpConnection::Create(mContext, mSpec.mVms[arrival.mVm]);
    connection->Open(mSpec.mTimeout,
                     [this, connection, arrival](bool aOpened, const std::string&) {
                       if (aOpened) {
                         Send(connection, arrival);
                       } else {
                         Lose(arrival, HttpExchangeEnd::ConnectFailed);
                       }
                     });
  }

  std::size_t NextVm()
  {
    const auto now = BootClock::now();
    for (std::size_t tried = 0; tried < mSpec.mVms.size(); ++tried) {
      const auto vm = mNextVm++ % mSpec.mVms.size();
      if (mAvoidUntil[vm] <= now && (!mSpec.mMayUse || mSpec.mMayUse(vm))) {
        return vm;
      }
    }
    return mNextVm++ % mSpec.mVms.size();
  }

  void Send(const std::shared_ptr<HttpConnection>& aConnection, const Arrival& aArrival)
  {
    HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = "/v1/query";
    request.mBody = json::serialize(
      json::object{ { "profile", mSpec.mProfile },
                    { "caller", aArrival.mCaller },
                    { "query", json::object{ { "text", aArrival.mText } } } });
    aConnection->Exchange(
      std::move(request), mSpec.mTimeout,
      [this, aConnection, aArrival](const HttpExchangeResult& aResult) {
        if (aResult.mEnd != HttpExchangeEnd::Response) {
          return Lose(aArrival, aResult.mEnd);
        }
        mIdle[aArrival.mVm].push_back(aConnection);
        Judge(aArrival, aResult.mResponse);
      });
  }

  void Judge(const Arrival& aArrival, const HttpResponse& aResponse)
  {
    const auto verdict = CheckAnswer(
      aResponse, { mSpec.mProfile, aArrival.mText, mSpec.mHitLimit }, mSpec.mMaps);
    if (!verdict.mFault.empty()) {
      ++mReport.mFaults;
      if (mReport.mFirstFaults.size() < kFaultsKept) {
        mReport.mFirstFaults.push_back(verdict.mFault + "; status " +
                                       std::to_string(aResponse.mStatus));
      }
    }
    if (!verdict.mAnswered) {
      ++mReport.mRefusals[verdict.mOutcome];
      NoteFailure(aArrival);
    } else if (verdict.mCoverage < kComplete) {
      mReport.mLastIncomplete =
        std::max(mReport.mLastIncomplete, Duration(aArrival.mScheduled - mStart));
    }
    Count(mReport.mAll, aArrival, verdict);
    Count(mReport.mByCaller[aArrival.mCaller], aArrival, verdict);
  }

  void Lose(const Arrival& aArrival, HttpExchangeEnd aEnd)
  {
    ++mReport.mLost[ToText(aEnd)];
    mAvoidUntil[aArrival.mVm] = BootClock::now() + mSpec.mAvoidFailedVm;
    NoteFailure(aArrival);
    Count(mReport.mAll, aArrival, {});
    Count(mReport.mByCaller[aArrival.mCaller], aArrival, {});
  }

  void NoteFailure(const Arrival& aArrival)
  {
    mReport.mLastFailure =
      std::max(mReport.mLastFailure, Duration(aArrival.mScheduled - mStart));
  }

  void Count(LoadFigures& aFigures, const Arrival& aArrival,
             const AnswerVerdict& aVerdict)
  {
    ++aFigures.mRequests;
    aFigures.mLatencies.push_back(
      ToDoubleMilliseconds(BootClock::now() - aArrival.mScheduled));
    if (!aVerdict.mAnswered) {
      return;
    }
    ++aFigures.mAnswered;
    aFigures.mComplete += aVerdict.mCoverage == kComplete ? 1 : 0;
    aFigures.mCoverageSum += aVerdict.mCoverage;
    aFigures.mShards += aVerdict.mShards;
    aFigures.mCoverageMin = std::min(aFigures.mCoverageMin, aVerdict.mCoverage);
  }

  const LoadSpec& mSpec;
  boost::asio::io_context mContext{ 1 };
  std::vector<std::vector<std::shared_ptr<HttpConnection>>> mIdle;
  std::vector<TimePoint> mAvoidUntil;
  std::vector<double> mWeights;
  std::mt19937_64 mRandom;
  Timer mTimer;
  TimePoint mStart;
  TimePoint mNext;
  std::size_t mNextVm = 0;
  std::uint64_t mCount = 0;
  LoadReport mReport;
};

json::object
CountsToJson(const std::map<std::string, std::uint64_t>& aCounts)
{
  json::object object;
  for (const auto& [name, count] : aCounts) {
    object[name] = count;
  }
  return object;
}

} // namespace

double
LoadFigures::Quantile(double aShare) const
{
  if (mLatencies.empty()) {
    return 0;
  }
  const auto rank =
    static_cast<std::size_t>(aShare * static_cast<double>(mLatencies.size()));
  return mLatencies[std::min(rank, mLatencies.size() - 1)];
}

double
LoadFigures::CoverageMean() const
{
  return mAnswered == 0
           ? 0
           : static_cast<double>(mCoverageSum) / static_cast<double>(mAnswered);
}

double
LoadFigures::ShareComplete() const
{
  return mRequests == 0 ? 0
                        : static_cast<double>(mComplete) / static_cast<double>(mRequests);
}

LoadReport
RunLoad(const LoadSpec& aSpec)
{
  return LoadRun(aSpec).Run();
}

json::object
ToJson(const LoadFigures& aFigures)
{
  return { { "requests", aFigures.mRequests },
           { "answered", aFigures.mAnswered },
           { "p50_ms", aFigures.Quantile(0.5) },
           { "p99_ms", aFigures.Quantile(0.99) },
           { "p999_ms", aFigures.Quantile(0.999) },
           { "coverage_mean", aFigures.CoverageMean() },
           { "coverage_min", aFigures.mCoverageMin },
           { "share_complete", aFigures.ShareComplete() } };
}

json::object
ToJson(const LoadReport& aReport)
{
  auto object = ToJson(aReport.mAll);
  object["refusals"] = CountsToJson(aReport.mRefusals);
  object["lost"] = CountsToJson(aReport.mLost);
  object["faults"] = aReport.mFaults;
  json::array first;
  for (const auto& fault : aReport.mFirstFaults) {
    first.emplace_back(fault);
  }
  object["first_faults"] = std::move(first);
  object["last_failure_ms"] = ToMilliseconds(aReport.mLastFailure);
  object["last_incomplete_ms"] = ToMilliseconds(aReport.mLastIncomplete);
  json::object callers;
  for (const auto& [caller, figures] : aReport.mByCaller) {
    callers[caller] = ToJson(figures);
  }
  object["callers"] = std::move(callers);
  return object;
}

} // namespace wasabispar::bench
