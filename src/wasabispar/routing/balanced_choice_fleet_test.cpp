/// @file
/// @brief Compares choices of upstreams by many VMs that know little of each other, in
/// virtual time.
#include "wasabispar/base/random.hpp"
#include "wasabispar/routing/balanced_choice.hpp"
#include "wasabispar/routing/replica_load.hpp"
#include "wasabispar/routing/reported_load.hpp"
#include "wasabispar/routing/request_interval.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <map>
#include <numeric>
#include <sstream>
#include <string>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 20261206;
constexpr TimePoint kStart{ 1000s };
constexpr Duration kLength = 60s;
constexpr std::uint32_t kSlots = 4;
/// Distance of the samples of an upstream's load.
constexpr Duration kSamplePeriod = 10ms;
constexpr std::uint64_t kSamples = 100;
/// Time from a VM to an upstream of another region.
constexpr Duration kRegionTransit = 12ms;

enum class Policy
{
  RoundRobin,
  LowestCost,
  WeightedRandom,
  Balanced,
};

/// What the VMs know of the upstreams besides their own requests.
enum class Knowledge
{
  Nothing,
  /// The load of each upstream 0 to 1 s ago, at random.
  OldSamples,
  /// The load that an upstream states in its answers to this VM.
  Answers,
};

struct Setup
{
  std::size_t mVms = 9;
  /// How long work takes at each upstream, relative to usual.
  std::vector<double> mSlowdowns;
  Knowledge mKnowledge = Knowledge::Nothing;
  /// Mean time of a request at an upstream of ordinary speed; it varies by half of it.
  double mWorkMs = 100;
  /// Part of the capacity of all upstreams that is used.
  double mUtilisation = 0.7;
  /// VMs and upstreams are divided equally among so many regions.
  std::size_t mRegions = 1;
  /// Part of the requests that arrive at VMs of the first region; 0 if it is as large as
  /// that of the others.
  double mFirstRegionRatio = 0;
};

struct Outcome
{
  std::size_t mLongestQueue = 0;
  /// Requests of the busiest upstream, weighted by its speed, to the mean.
  double mBusiestToMean = 0;
  /// Requests of the least busy upstream, in the same way.
  double mIdlestToMean = 0;
  /// Part of the requests that were sent to another region.
  double mRemoteRatio = 0;
};

/// VMs that send the requests of a service to its upstreams, all in one region.
class Fleet
{
public:
  Fleet(Setup aSetup, Policy aPolicy)
    : mSetup(std::move(aSetup))
    , mPolicy(aPolicy)
    , mRandom(SeededRandom(kSeed))
    , mVms(mSetup.mVms)
    , mUpstreams(mSetup.mSlowdowns.size())
  {
    for (auto& vm : mVms) {
      for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
        vm.mUpstreams.emplace_back();
        vm.mUpstreams.back().mCredit = Fraction();
      }
    }
  }

  Outcome Run()
  {
    double capacity = 0;
    for (const auto slowdown : mSetup.mSlowdowns) {
      capacity += kSlots / (mSetup.mWorkMs * slowdown);
    }
    const auto meanGapMs = 1 / (capacity * mSetup.mUtilisation);
    TakeSamples();
    ArriveLater(meanGapMs);
    while (mNow < kStart + kLength) {
      const auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
    return Result();
  }

private:
  struct KnownUpstream
  {
    ReplicaLoad mLoad{ 15ms };
    ReportedLoad mReported;
    /// For Policy::RoundRobin.
    double mCredit = 0;
  };

  struct Vm
  {
    std::vector<KnownUpstream> mUpstreams;
    RequestInterval mInterval;
  };

  struct Request
  {
    std::size_t mVm = 0;
    std::size_t mUpstream = 0;
    ReplicaLoad::ExchangeId mId = 0;
  };

  struct Upstream
  {
    std::uint32_t mRunning = 0;
    std::vector<Request> mWaiting;
    std::size_t mServed = 0;
    /// The last kSamples loads.
    std::vector<LoadReport> mSamples{ kSamples };
  };

  double Fraction() { return static_cast<double>(mRandom(1 << 20) + 1) / (1 << 20); }

  void Schedule(Duration aDelay, std::function<void()> aFn)
  {
    mEvents.emplace(mNow + aDelay, std::move(aFn));
  }

  static Duration Milliseconds(double aMs)
  {
    return Duration(static_cast<Duration::rep>(aMs * 1e6));
  }

  void ArriveLater(double aMeanGapMs)
  {
    Schedule(Milliseconds(-std::log(Fraction()) * aMeanGapMs), [=, this] {
      Arrive(NextVm());
      ArriveLater(aMeanGapMs);
    });
  }

  /// The VM at which the next request arrives.
  std::size_t NextVm()
  {
    auto vm = mRandom(mVms.size());
    if (mSetup.mFirstRegionRatio == 0) {
      return vm;
    }
    const bool isFirst = Fraction() < mSetup.mFirstRegionRatio;
    while (isFirst != (vm % mSetup.mRegions == 0)) {
      vm = mRandom(mVms.size());
    }
    return vm;
  }

  LoadReport LoadOf(std::size_t aUpstream) const
  {
    const auto& upstream = mUpstreams[aUpstream];
    return { upstream.mRunning, static_cast<std::uint32_t>(upstream.mWaiting.size()),
             kSlots, mSetup.mSlowdowns[aUpstream] };
  }

  void TakeSamples()
  {
    for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
      mUpstreams[i].mSamples[mSampleCount % kSamples] = LoadOf(i);
    }
    ++mSampleCount;
    Schedule(kSamplePeriod, [this] { TakeSamples(); });
  }

  void Arrive(std::size_t aVm)
  {
    auto& vm = mVms[aVm];
    vm.mInterval.OnRequest(mNow);
    if (mPolicy == Policy::Balanced) {
      AssumeLatencies(vm);
    }
    std::vector<ReplicaCandidate> candidates;
    for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
      auto& known = vm.mUpstreams[i];
      known.mLoad.SetRequestInterval(vm.mInterval.Mean());
      if (mSetup.mKnowledge == Knowledge::OldSamples) {
        const auto age = mRandom(kSamples);
        known.mReported.OnReport(
          mUpstreams[i].mSamples[(mSampleCount + kSamples - 1 - age) % kSamples],
          mNow - kSamplePeriod * static_cast<Duration::rep>(age));
      }
      ReplicaCandidate candidate{ i,   known.mLoad.ExpectedLatency(mNow),
                                  0,   known.mLoad.InFlight(),
                                  100, kSlots };
      candidate.mIsRemote = IsRemote(aVm, i);
      candidate.mReportedLoad = known.mReported.EstimateAt(mNow);
      candidate.mReportedSlowdown = known.mReported.SlowdownAt(mNow);
      candidates.push_back(candidate);
    }
    Send(aVm, Choose(vm, candidates));
  }

  void AssumeLatencies(Vm& aVm)
  {
    std::vector<KnownLatency> latencies;
    for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
      const auto& load = aVm.mUpstreams[i].mLoad;
      latencies.push_back(
        { load.HasSample() ? std::optional(load.SampledLatency(mNow)) : std::nullopt,
          IsRemote(IndexOf(aVm), i) });
    }
    for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
      aVm.mUpstreams[i].mLoad.SetInitialLatency(
        AssumedLatency(latencies, latencies[i].mIsRemote));
    }
  }

  std::size_t IndexOf(const Vm& aVm) const
  {
    return static_cast<std::size_t>(&aVm - mVms.data());
  }

  std::size_t Choose(Vm& aVm, const std::vector<ReplicaCandidate>& aCandidates)
  {
    switch (mPolicy) {
      case Policy::LowestCost:
        return *ChooseCandidate(aCandidates);
      case Policy::Balanced:
        return *ChooseBalanced(aCandidates, mRandom);
      case Policy::RoundRobin:
        return NextInTurn(aVm);
      case Policy::WeightedRandom:
        break;
    }
    double total = 0;
    for (const auto slowdown : mSetup.mSlowdowns) {
      total += 1 / slowdown;
    }
    auto left = total * Fraction();
    std::size_t drawn = 0;
    while ((left -= 1 / mSetup.mSlowdowns[drawn]) > 0 && drawn + 1 < mUpstreams.size()) {
      ++drawn;
    }
    return drawn;
  }

  /// Weighted by the speed of the upstreams, which the VM would have to know.
  std::size_t NextInTurn(Vm& aVm)
  {
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
      total += 1 / mSetup.mSlowdowns[i];
      aVm.mUpstreams[i].mCredit += 1 / mSetup.mSlowdowns[i];
      best = aVm.mUpstreams[i].mCredit > aVm.mUpstreams[best].mCredit ? i : best;
    }
    aVm.mUpstreams[best].mCredit -= total;
    return best;
  }

  void Send(std::size_t aVm, std::size_t aUpstream)
  {
    const Request request{ aVm, aUpstream, ++mLastId };
    auto& known = mVms[aVm].mUpstreams[aUpstream];
    known.mLoad.OnSent(request.mId, mNow);
    known.mReported.OnSent();
    const bool isRemote = IsRemote(aVm, aUpstream);
    mRemote += isRemote ? 1 : 0;
    Schedule(isRemote ? kRegionTransit : Duration{}, [=, this] { Receive(request); });
  }

  /// A request reaches its upstream.
  void Receive(const Request& aRequest)
  {
    auto& upstream = mUpstreams[aRequest.mUpstream];
    ++upstream.mServed;
    if (upstream.mRunning < kSlots) {
      Run(aRequest);
      return;
    }
    upstream.mWaiting.push_back(aRequest);
    mLongestQueue = std::max(mLongestQueue, upstream.mWaiting.size());
  }

  void Run(const Request& aRequest)
  {
    ++mUpstreams[aRequest.mUpstream].mRunning;
    const auto workMs =
      mSetup.mWorkMs * mSetup.mSlowdowns[aRequest.mUpstream] * (0.5 + Fraction());
    Schedule(Milliseconds(workMs), [=, this] { Finish(aRequest); });
  }

  void Finish(const Request& aRequest)
  {
    auto& upstream = mUpstreams[aRequest.mUpstream];
    --upstream.mRunning;
    const auto load = LoadOf(aRequest.mUpstream);
    Schedule(IsRemote(aRequest.mVm, aRequest.mUpstream) ? kRegionTransit : Duration{},
             [=, this] { Answer(aRequest, load); });
    if (!upstream.mWaiting.empty()) {
      const auto next = upstream.mWaiting.front();
      upstream.mWaiting.erase(upstream.mWaiting.begin());
      Run(next);
    }
  }

  /// The VM gets the answer to its request.
  void Answer(const Request& aRequest, const LoadReport& aLoad)
  {
    auto& known = mVms[aRequest.mVm].mUpstreams[aRequest.mUpstream];
    known.mLoad.OnAnswered(aRequest.mId, mNow);
    if (mSetup.mKnowledge == Knowledge::Answers) {
      known.mReported.OnReport(aLoad, mNow);
    }
  }

  bool IsRemote(std::size_t aVm, std::size_t aUpstream) const
  {
    return aVm % mSetup.mRegions != aUpstream % mSetup.mRegions;
  }

  Outcome Result() const
  {
    std::vector<double> work;
    for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
      work.push_back(static_cast<double>(mUpstreams[i].mServed) * mSetup.mSlowdowns[i]);
    }
    const auto mean =
      std::accumulate(work.begin(), work.end(), 0.0) / static_cast<double>(work.size());
    return { mLongestQueue, *std::ranges::max_element(work) / mean,
             *std::ranges::min_element(work) / mean,
             static_cast<double>(mRemote) / static_cast<double>(mLastId) };
  }

  Setup mSetup;
  Policy mPolicy;
  RandomFn mRandom;
  TimePoint mNow = kStart;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::vector<Vm> mVms;
  std::vector<Upstream> mUpstreams;
  std::size_t mSampleCount = 0;
  std::size_t mLongestQueue = 0;
  std::size_t mRemote = 0;
  ReplicaLoad::ExchangeId mLastId = 0;
};

} // namespace

namespace {

constexpr auto kFleetSizes = { 9U, 89U, 134U, 195U };
constexpr auto kUpstreamCounts = { 3U, 6U, 11U };
/// Highest ratio of the busiest upstream to the mean, weighted by speed.
constexpr double kMaxBusiestToMean = 1.15;
/// By how much the longest queue may exceed that of round robin, which knows the speed of
/// the upstreams.
constexpr std::size_t kMaxLongerThanRoundRobin = 9;

std::vector<double>
EqualUpstreams(std::size_t aCount)
{
  return std::vector<double>(aCount, 1);
}

/// The last one of three takes twice as long.
std::vector<double>
DifferentUpstreams(std::size_t aCount)
{
  auto slowdowns = EqualUpstreams(aCount);
  for (std::size_t i = 2; i < aCount; i += 3) {
    slowdowns[i] = 2;
  }
  return slowdowns;
}

Outcome
RunFleet(const Setup& aSetup, Policy aPolicy)
{
  return Fleet(aSetup, aPolicy).Run();
}

/// The outcomes of all policies, for docs/design/even-load.md.
std::string
Describe(const Setup& aSetup)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << aSetup.mVms << " VMs, "
       << aSetup.mSlowdowns.size() << " upstreams, knowledge "
       << static_cast<int>(aSetup.mKnowledge) << ":";
  for (const auto policy : { Policy::RoundRobin, Policy::LowestCost,
                             Policy::WeightedRandom, Policy::Balanced }) {
    const auto outcome = RunFleet(aSetup, policy);
    text << " | " << outcome.mLongestQueue << " " << outcome.mBusiestToMean << " "
         << outcome.mIdlestToMean << " " << outcome.mRemoteRatio;
  }
  return text.str();
}

/// Calls @p aCheck with each size of the fleet and of the service.
void
ForEachSize(const std::function<void(std::size_t aVms, std::size_t aUpstreams)>& aCheck)
{
  for (const auto vms : kFleetSizes) {
    for (const auto upstreams : kUpstreamCounts) {
      aCheck(vms, upstreams);
    }
  }
}

void
CheckQueues(const Setup& aSetup)
{
  INFO(Describe(aSetup));
  const auto balanced = RunFleet(aSetup, Policy::Balanced);
  CHECK(balanced.mLongestQueue <=
        RunFleet(aSetup, Policy::RoundRobin).mLongestQueue + kMaxLongerThanRoundRobin);
  CHECK(balanced.mBusiestToMean <= kMaxBusiestToMean);
  if (aSetup.mVms > 16) {
    CHECK(balanced.mLongestQueue <= RunFleet(aSetup, Policy::LowestCost).mLongestQueue);
  }
}

} // namespace

/// Guards against upstreams that are overloaded in turn, because many VMs choose the same
/// one by what they knew up to a second ago.
TEST_CASE("even load: the queues of equal upstreams stay short")
{
  ForEachSize([](std::size_t aVms, std::size_t aUpstreams) {
    for (const auto knowledge : { Knowledge::OldSamples, Knowledge::Answers }) {
      CheckQueues({ aVms, EqualUpstreams(aUpstreams), knowledge });
    }
    if (aVms > 16) {
      CheckQueues({ aVms, EqualUpstreams(aUpstreams), Knowledge::Nothing });
    }
  });
}

/// Guards against slow upstreams that get as much as fast ones, or nothing.
TEST_CASE("even load: upstreams of different speed get what they can run")
{
  ForEachSize([](std::size_t aVms, std::size_t aUpstreams) {
    const Setup setup{ aVms, DifferentUpstreams(aUpstreams), Knowledge::OldSamples };
    CheckQueues(setup);
    CHECK(RunFleet(setup, Policy::Balanced).mIdlestToMean >= 0.75);
  });
}

/// Guards against upstreams that are idle all day, because the others answer faster than
/// the initial estimate of one that was never tried.
TEST_CASE("even load: no upstream is idle when answers are faster than first expected")
{
  for (const auto vms : { 89U, 134U, 195U }) {
    Setup setup{ vms, EqualUpstreams(6), Knowledge::Nothing };
    setup.mWorkMs = 6;
    setup.mUtilisation = 0.1;
    setup.mRegions = 3;
    INFO(Describe(setup));
    CHECK(RunFleet(setup, Policy::LowestCost).mIdlestToMean < 0.1);
    const auto balanced = RunFleet(setup, Policy::Balanced);
    CHECK(balanced.mIdlestToMean >= 0.85);
    CHECK(balanced.mBusiestToMean <= kMaxBusiestToMean);
  }
}

/// Guards against requests that cross regions for differences by chance.
TEST_CASE("even load: requests stay in their region while it is not overloaded")
{
  for (const auto vms : { 89U, 134U, 195U }) {
    for (const auto knowledge : { Knowledge::Nothing, Knowledge::Answers }) {
      Setup setup{ vms, EqualUpstreams(6), knowledge };
      setup.mUtilisation = 0.5;
      setup.mRegions = 3;
      INFO(Describe(setup));
      const auto balanced = RunFleet(setup, Policy::Balanced);
      CHECK(balanced.mRemoteRatio < 0.03);
      CHECK(balanced.mBusiestToMean <= kMaxBusiestToMean);
    }
  }
}

/// Guards against a region whose upstreams are overloaded while others have free slots.
/// Its callers alone would use 1.08 times its capacity.
TEST_CASE("even load: an overloaded region hands requests to the others")
{
  for (const auto vms : kFleetSizes) {
    Setup setup{ vms, EqualUpstreams(6), Knowledge::Answers };
    setup.mUtilisation = 0.6;
    setup.mRegions = 3;
    setup.mFirstRegionRatio = 0.6;
    INFO(Describe(setup));
    const auto balanced = RunFleet(setup, Policy::Balanced);
    CHECK(balanced.mRemoteRatio > 0.05);
    CHECK(balanced.mRemoteRatio < 0.3);
    // The first region if it kept its requests.
    Setup alone{ vms / 3, EqualUpstreams(2), Knowledge::Answers };
    alone.mUtilisation = 1.08;
    CHECK(balanced.mLongestQueue <= RunFleet(alone, Policy::Balanced).mLongestQueue / 2);
  }
}
