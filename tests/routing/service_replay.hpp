/// @file
/// @brief Simulates a service with a few searchers in virtual time, to replay load
/// patterns.
#pragma once

#include "wasabispar/base/random.hpp"
#include "wasabispar/routing/placement.hpp"
#include "wasabispar/routing/replica_load.hpp"
#include "wasabispar/routing/request_interval.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace wasabispar {

/// @brief The behaviour of one simulated searcher.
struct SearcherModel
{
  /// Round-trip time of the network.
  Duration mRtt{};
  bool mIsRemote = false;
  /// Factor on the service time.
  double mSlowdown = 1;
  /// Fraction of requests that the searcher sheds, from 0 to 1.
  double mShedRatio = 0;
};

/// @brief The counts and response times of a replay.
struct ReplayResult
{
  std::size_t mRequests = 0;
  /// Requests that were shed or found no free searcher.
  std::size_t mFailed = 0;
  /// Requests sent to another region.
  std::size_t mRemote = 0;
  /// Response times of the requests that were sent.
  std::vector<Duration> mTimes;

  double FailedRatio() const { return Ratio(mFailed); }
  double RemoteRatio() const { return Ratio(mRemote); }
  /// @brief Fraction of requests that took longer than @p aBound.
  double SlowRatio(Duration aBound) const
  {
    std::size_t slow = 0;
    for (const auto time : mTimes) {
      slow += time > aBound ? 1 : 0;
    }
    return Ratio(slow);
  }

private:
  double Ratio(std::size_t aCount) const
  {
    return static_cast<double>(aCount) / static_cast<double>(mRequests);
  }
};

/// @brief Sends requests at a steady rate to the searchers that a choice selects. The
/// service time of a request is 5 to 10 ms times mSlowdown.
class ServiceReplay
{
public:
  /// Type of ChooseCandidate().
  using ChooseFn =
    std::function<std::optional<std::size_t>(const std::vector<ReplicaCandidate>&)>;

  explicit ServiceReplay(std::vector<SearcherModel> aModels,
                         ChooseFn aChoose = ChooseCandidate)
    : mModels(std::move(aModels))
    , mChoose(std::move(aChoose))
    , mRandom(SeededRandom(7))
  {
    for (const auto& model : mModels) {
      mLoads.emplace_back(model.mIsRemote ? std::chrono::milliseconds(50)
                                          : std::chrono::milliseconds(15));
    }
  }

  /// @brief Changes the behaviour of a searcher from now on.
  void SetModel(std::size_t aSearcher, const SearcherModel& aModel)
  {
    mModels[aSearcher] = aModel;
  }

  /// @brief Sends @p aPerSecond requests per second for @p aLength of virtual time.
  ReplayResult Run(std::size_t aPerSecond, Duration aLength)
  {
    return RunEvery(Duration(std::chrono::seconds(1)) /
                      static_cast<Duration::rep>(aPerSecond),
                    aLength);
  }

  /// @brief Sends a request every @p aGap for @p aLength of virtual time.
  ReplayResult RunEvery(Duration aGap, Duration aLength)
  {
    ReplayResult result;
    const auto start = mNow;
    for (; mNow < start + aLength; mNow += aGap) {
      const auto now = mNow;
      CompleteDue(now);
      Send(now, result);
    }
    return result;
  }

private:
  /// A request that a searcher runs.
  struct Running
  {
    std::size_t mSearcher = 0;
    ReplicaLoad::ExchangeId mId = 0;
    TimePoint mEnd;
    bool mIsShed = false;
  };

  /// Completes the requests that end until @p aNow.
  void CompleteDue(TimePoint aNow)
  {
    std::erase_if(mRunning, [&](const Running& aItem) {
      if (aItem.mEnd > aNow) {
        return false;
      }
      auto& load = mLoads[aItem.mSearcher];
      if (aItem.mIsShed) {
        load.OnShed(aItem.mId, aItem.mEnd);
      } else {
        load.OnAnswered(aItem.mId, aItem.mEnd);
      }
      return true;
    });
  }

  void Send(TimePoint aNow, ReplayResult& aResult)
  {
    mInterval.OnRequest(aNow);
    std::vector<ReplicaCandidate> candidates;
    for (std::size_t i = 0; i < mLoads.size(); ++i) {
      mLoads[i].SetRequestInterval(mInterval.Mean());
      candidates.push_back({ i, mLoads[i].ExpectedLatency(aNow),
                             mLoads[i].FailureRatio(aNow), mLoads[i].InFlight(), 4, 2,
                             mModels[i].mIsRemote, mLoads[i].IsAvoided(aNow) });
    }
    ++aResult.mRequests;
    const auto chosen = mChoose(candidates);
    if (!chosen) {
      ++aResult.mFailed;
      return;
    }
    const auto& model = mModels[*chosen];
    const bool isShed = static_cast<double>(mRandom(1000)) < model.mShedRatio * 1000;
    const auto work = static_cast<double>(5000 + mRandom(5000)) * model.mSlowdown;
    const auto took =
      model.mRtt +
      (isShed ? Duration{}
              : Duration(std::chrono::microseconds(static_cast<std::int64_t>(work))));
    mLoads[*chosen].OnSent(++mNextId, aNow);
    mRunning.push_back({ *chosen, mNextId, aNow + took, isShed });
    aResult.mFailed += isShed ? 1 : 0;
    aResult.mRemote += model.mIsRemote ? 1 : 0;
    aResult.mTimes.push_back(took);
  }

  std::vector<SearcherModel> mModels;
  ChooseFn mChoose;
  RandomFn mRandom;
  std::vector<ReplicaLoad> mLoads;
  std::vector<Running> mRunning;
  RequestInterval mInterval;
  TimePoint mNow{ std::chrono::seconds(100) };
  ReplicaLoad::ExchangeId mNextId = 0;
};

} // namespace wasabispar
