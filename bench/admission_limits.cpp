/// @file
/// @brief Compares ways to limit concurrency in a simulated process: a fixed limit,
/// CodelLimit on the workers' delay, and a gradient of the requests' latency.
#include "wasabispar/admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace wasabispar;

namespace {

/// A limit under test; times in milliseconds.
struct Limit
{
  std::function<std::size_t()> mValue;
  std::function<void(double aDelay, double aNow)> mOnWorkerDelay;
  std::function<void(double aLatency)> mOnLatency;
  std::function<void()> mOnReached;
};

TimePoint
TimeOf(double aMs)
{
  return TimePoint(Duration(static_cast<std::int64_t>(aMs * 1e6)));
}

Limit
FixedLimit()
{
  return { [] { return std::size_t{ 256 }; }, [](double, double) {}, [](double) {},
           [] {} };
}

Limit
Codel()
{
  auto limit = std::make_shared<CodelLimit>();
  return { [limit] { return limit->Value(); },
           [limit](double aDelay, double aNow) {
             limit->OnDelay(TimeOf(aDelay).time_since_epoch(), TimeOf(aNow));
           },
           [](double) {}, [limit] { limit->OnLimitReached(); } };
}

/// Follows the ratio of the long-term to the short-term latency, with the square root of
/// the limit as room for a queue.
Limit
Gradient()
{
  struct State
  {
    double mLimit = 256;
    double mLong = 0;
    double mShort = 0;
  };
  auto state = std::make_shared<State>();
  return { [state] { return static_cast<std::size_t>(state->mLimit); },
           [](double, double) {},
           [state](double aLatency) {
             auto& s = *state;
             s.mLong = s.mLong == 0 ? aLatency : s.mLong * 0.9998 + aLatency * 0.0002;
             s.mShort = s.mShort == 0 ? aLatency : s.mShort * 0.99 + aLatency * 0.01;
             const auto gradient = std::clamp(1.5 * s.mLong / s.mShort, 0.5, 1.0);
             const auto next = s.mLimit * gradient + std::sqrt(s.mLimit);
             s.mLimit = std::clamp(s.mLimit * 0.99 + next * 0.01, 8.0, 4096.0);
           },
           [] {} };
}

struct Scenario
{
  std::string mName;
  /// Requests per millisecond.
  double mRate;
  double mUpstreamMs;
  double mDeadlineMs;
  /// CPU time of each of the two halves of a request.
  double mHalfMs;
};

struct Figures
{
  double mGoodPermille = 0;
  double mP50Ms = 0;
  double mP99Ms = 0;
  std::size_t mLimit = 0;
};

/// Four workers; a request takes CPU, waits for its upstream, takes CPU again. Requests
/// beyond the limit wait first in, first out, until their latest useful start, as in
/// AdmissionControl. The first ten seconds are calm (20 ms upstream, load 0.5); the ten
/// that follow are the scenario.
class Process
{
public:
  Process(const Scenario& aScenario, Limit aLimit)
    : mScenario(aScenario)
    , mLimit(std::move(aLimit))
  {
  }

  Figures Run()
  {
    std::mt19937_64 random(20261204);
    double now = 0;
    while (now < 2 * kPhaseMs) {
      const auto rate = now < kPhaseMs ? 2.0 : mScenario.mRate;
      now += std::exponential_distribution<double>(rate)(random);
      RunUntil(now);
      mArrivals.push_back(now);
      mWaiting.push_back(mArrivals.size() - 1);
      StartWaiting(now);
    }
    const auto limit = mLimit.mValue();
    RunUntil(now + 1000);
    std::sort(mLatencies.begin(), mLatencies.end());
    const auto measured = static_cast<double>(
      std::ranges::count_if(mArrivals, [](double aAt) { return aAt >= kPhaseMs; }));
    const auto at = [&](std::size_t aPercent) {
      return mLatencies.empty() ? 0 : mLatencies[mLatencies.size() * aPercent / 100];
    };
    return { mGood * 1000 / measured, at(50), at(99), limit };
  }

private:
  static constexpr double kPhaseMs = 10'000;
  static constexpr std::size_t kWorkers = 4;

  enum class Kind
  {
    WorkerDone,
    UpstreamDone,
  };
  struct Event
  {
    double mAt;
    Kind mKind;
    std::size_t mRequest;
    bool mIsSecondHalf;
    bool operator>(const Event& aOther) const { return mAt > aOther.mAt; }
  };
  struct Task
  {
    std::size_t mRequest;
    bool mIsSecondHalf;
    double mReady;
  };

  bool IsCalm(std::size_t aRequest) const { return mArrivals[aRequest] < kPhaseMs; }

  void StartWaiting(double aNow)
  {
    while (!mWaiting.empty()) {
      const auto request = mWaiting.front();
      const auto margin = std::min(mRunMs + 4 * mDeviationMs, mScenario.mDeadlineMs / 2);
      if (aNow - mArrivals[request] >= mScenario.mDeadlineMs - margin) {
        mWaiting.pop_front();
        continue;
      }
      if (mRunning >= mLimit.mValue()) {
        mLimit.mOnReached();
        return;
      }
      mWaiting.pop_front();
      ++mRunning;
      mStarts.resize(mArrivals.size());
      mStarts[request] = aNow;
      mTasks.push_back({ request, false, aNow });
      RunTasks(aNow);
    }
  }

  void RunTasks(double aNow)
  {
    while (mBusy < kWorkers && !mTasks.empty()) {
      const auto task = mTasks.front();
      mTasks.pop_front();
      ++mBusy;
      mLimit.mOnWorkerDelay(aNow - task.mReady, aNow);
      const auto cost = IsCalm(task.mRequest) ? 0.5 : mScenario.mHalfMs;
      mEvents.push({ aNow + cost, Kind::WorkerDone, task.mRequest, task.mIsSecondHalf });
    }
  }

  void RunUntil(double aNow)
  {
    while (!mEvents.empty() && mEvents.top().mAt <= aNow) {
      const auto event = mEvents.top();
      mEvents.pop();
      if (event.mKind == Kind::UpstreamDone) {
        mTasks.push_back({ event.mRequest, true, event.mAt });
      } else {
        --mBusy;
        event.mIsSecondHalf ? Finish(event) : SendUpstream(event);
      }
      RunTasks(event.mAt);
      StartWaiting(event.mAt);
    }
  }

  void SendUpstream(const Event& aEvent)
  {
    const auto latency = IsCalm(aEvent.mRequest) ? 20 : mScenario.mUpstreamMs;
    mEvents.push({ aEvent.mAt + latency, Kind::UpstreamDone, aEvent.mRequest, false });
  }

  void Finish(const Event& aEvent)
  {
    --mRunning;
    const auto latency = aEvent.mAt - mArrivals[aEvent.mRequest];
    const auto ran = aEvent.mAt - mStarts[aEvent.mRequest];
    mLimit.mOnLatency(ran);
    mDeviationMs += (std::abs(ran - mRunMs) - mDeviationMs) * 0.05;
    mRunMs += (ran - mRunMs) * 0.05;
    if (!IsCalm(aEvent.mRequest)) {
      mLatencies.push_back(latency);
      mGood += latency <= mScenario.mDeadlineMs ? 1 : 0;
    }
  }

  Scenario mScenario;
  Limit mLimit;
  std::vector<double> mArrivals;
  std::vector<double> mStarts;
  double mRunMs = 21;
  double mDeviationMs = 0;
  std::deque<std::size_t> mWaiting;
  std::deque<Task> mTasks;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::size_t mRunning = 0;
  std::size_t mBusy = 0;
  double mGood = 0;
  std::vector<double> mLatencies;
};

} // namespace

int
main()
{
  const std::vector<Scenario> scenarios{
    { "calm, load 0.5", 2, 20, 100, 0.5 },
    { "overload, load 2", 8, 20, 100, 0.5 },
    { "CPU cost times 3, load 1.5", 2, 20, 100, 1.5 },
    { "upstreams slow, 200 ms", 2, 200, 500, 0.5 },
    { "upstreams slow, load 1.5", 6, 200, 500, 0.5 },
  };
  std::cout
    << "| scenario | limit | in time, permille | p50 ms | p99 ms | limit at end |\n"
       "| --- | --- | --- | --- | --- | --- |\n"
    << std::fixed << std::setprecision(0);
  for (const auto& scenario : scenarios) {
    for (const auto& [name, make] :
         { std::pair{ "fixed 256", &FixedLimit }, std::pair{ "codel", &Codel },
           std::pair{ "gradient", &Gradient } }) {
      const auto figures = Process(scenario, make()).Run();
      std::cout << "| " << scenario.mName << " | " << name << " | "
                << figures.mGoodPermille << " | " << figures.mP50Ms << " | "
                << figures.mP99Ms << " | " << figures.mLimit << " |\n";
    }
  }
  return 0;
}
