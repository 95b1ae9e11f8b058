/// @file
/// @brief Open-loop load: requests are sent at times of a Poisson process with a fixed
/// seed, whether or not earlier ones were answered.
#pragma once

#include "bench/answer_check.hpp"
#include "wasabispar/base/clock.hpp"
#include "wasabispar/net/http_client.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace wasabispar::bench {

struct LoadCaller
{
  std::string mName;
  /// Share of the requests, relative to the other callers.
  double mWeight = 1;
};

/// @brief Something that happens during the load, on a thread of its own.
struct LoadEvent
{
  Duration mAt{};
  std::function<void()> mRun;
};

struct LoadSpec
{
  /// Caller ports; used in turn.
  std::vector<Endpoint> mVms;
  std::string mProfile;
  std::vector<LoadCaller> mCallers;
  double mRatePerSecond = 100;
  Duration mDuration = std::chrono::seconds(2);
  /// Longest wait for a response. Such a request counts with this latency.
  Duration mTimeout = std::chrono::seconds(3);
  /// A VM that fails a request is not used for this time, as a balancer does. 0: it is
  /// used again at once.
  Duration mAvoidFailedVm = std::chrono::seconds(1);
  std::uint64_t mSeed = 1;
  ShardMaps mMaps;
  /// Most hits of an answer; the load's queries set no limit.
  std::size_t mHitLimit = std::numeric_limits<std::size_t>::max();
  std::vector<LoadEvent> mEvents;
  /// Whether VM number n gets new requests, as a balancer decides it; empty: always.
  /// Called on the load's thread.
  std::function<bool(std::size_t aVm)> mMayUse;
};

/// @brief What one caller, or all callers, saw. Latency is measured from the scheduled
/// arrival, so that a queue before the tier counts too.
struct LoadFigures
{
  std::uint64_t mRequests = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mCoverageSum = 0;
  /// Shards of the versions of all answers: the sub-requests that were needed.
  std::uint64_t mShards = 0;
  std::uint32_t mCoverageMin = 1000;
  /// Milliseconds of all requests, refused and lost ones too; sorted by RunLoad().
  std::vector<double> mLatencies;

  /// @brief The latency in ms below which @p aShare of the requests stay; 0 when empty.
  double Quantile(double aShare) const;
  double CoverageMean() const;
  double ShareComplete() const;
};

struct LoadReport
{
  LoadFigures mAll;
  std::map<std::string, LoadFigures> mByCaller;
  /// Refusals by outcome.
  std::map<std::string, std::uint64_t> mRefusals;
  /// Requests without a response, by the end of the exchange.
  std::map<std::string, std::uint64_t> mLost;
  /// Untrue responses: their number and the first ones.
  std::uint64_t mFaults = 0;
  std::vector<std::string> mFirstFaults;
  /// Time from the start to the last arrival whose request was refused or lost.
  Duration mLastFailure{};
  /// The same for answers without full coverage.
  Duration mLastIncomplete{};
};

/// @brief Runs the load and returns when each request has ended.
LoadReport
RunLoad(const LoadSpec& aSpec);

boost::json::object
ToJson(const LoadFigures& aFigures);
boost::json::object
ToJson(const LoadReport& aReport);

} // namespace wasabispar::bench
