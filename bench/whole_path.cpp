/// @file
/// @brief The whole-path measurement: real processes on one machine, each scenario with
/// wasabispard and with the naive tier in the same run.
#include "bench/tier_run.hpp"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>

namespace {

namespace options = boost::program_options;
namespace json = boost::json;
using namespace wasabispar::bench;

struct Arguments
{
  bool mJson = false;
  bool mQuick = false;
  std::string mGroup;
  std::string mScenario;
  /// Empty: both.
  std::string mTier;
  double mSeconds = 4;
  double mQueriesPerSecond = 0;
  std::uint64_t mSeed = 20261204;
  std::size_t mVms = 3;
};

constexpr double kQuickSeconds = 2;

int
ParseArguments(int aArgc, char** aArgv, Arguments& aArguments)
{
  options::options_description flags("whole_path");
  auto add = flags.add_options();
  add("help", "print the flags");
  add("json", options::bool_switch(&aArguments.mJson), "print one JSON document");
  add("quick", options::bool_switch(&aArguments.mQuick), "one group, 2 s a scenario");
  add("group", options::value(&aArguments.mGroup), "only this upstream group");
  add("scenario", options::value(&aArguments.mScenario), "only this scenario");
  add("tier", options::value(&aArguments.mTier), "only wasabispard or naive_tier");
  add("seconds", options::value(&aArguments.mSeconds), "length of a scenario");
  add("rate", options::value(&aArguments.mQueriesPerSecond), "queries per second");
  add("seed", options::value(&aArguments.mSeed), "seed of the arrivals");
  add("vms", options::value(&aArguments.mVms), "number of VMs");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(aArgc, aArgv, flags), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  if (values.count("help") > 0) {
    std::cout << flags;
    return 1;
  }
  if (aArguments.mQuick) {
    aArguments.mSeconds = std::min(aArguments.mSeconds, kQuickSeconds);
    if (aArguments.mGroup.empty()) {
      aArguments.mGroup = AllGroups().front().mUpstream.mName;
    }
  }
  return 0;
}

void
PrintRow(const GroupCase& aGroup, const Scenario& aScenario, const std::string& aTier,
         const TierRunResult& aResult)
{
  const auto& all = aResult.mLoad.mAll;
  std::printf(
    "%-11s %-12s %-15s %-11s %5llu %7.1f %7.1f %7.1f %7.1f %5u %7.4f %7.1f %6.1f%% "
    "%4llu %5.1f %5.1f%% %6.0f %5llu\n",
    aGroup.mDeployment.c_str(), aGroup.mUpstream.mName.c_str(), aScenario.mName.c_str(),
    aTier.c_str(), static_cast<unsigned long long>(all.mRequests), all.Quantile(0.5),
    all.Quantile(0.99), all.Quantile(0.999), all.CoverageMean(), all.mCoverageMin,
    all.ShareComplete(), aResult.mQuietCallersP99Ms, aResult.mExtraLoad * 100,
    static_cast<unsigned long long>(aResult.mMaxConnections),
    aResult.mPlatformCallsPerSecond, aResult.mCpuPercentPerVm,
    aResult.mControlBytesPerSecond,
    static_cast<unsigned long long>(aResult.mLoad.mFaults));
  std::fflush(stdout);
}

void
PrintHeader()
{
  std::printf(
    "%-11s %-12s %-15s %-11s %5s %7s %7s %7s %7s %5s %7s %7s %7s %4s %5s %6s %6s "
    "%5s\n",
    "deployment", "group", "scenario", "tier", "n", "p50", "p99", "p99.9", "cov", "min",
    "compl", "quiet99", "extra", "conn", "plat", "cpu", "ctl B", "wrong");
}

/// Runs both tiers in one scenario. Returns the number of untrue answers.
std::uint64_t
Measure(const Arguments& aArguments, const GroupCase& aGroup, const Scenario& aScenario,
        json::array& aResults)
{
  std::uint64_t faults = 0;
  json::object entry{ { "deployment", aGroup.mDeployment },
                      { "group", aGroup.mUpstream.mName },
                      { "scenario", aScenario.mName } };
  double p99[2] = { 0, 0 };
  int tiers = 0;
  for (const std::string tier : { "wasabispard", "naive_tier" }) {
    if (!aArguments.mTier.empty() && aArguments.mTier != tier) {
      continue;
    }
    TierRunSpec spec;
    spec.mProgram = tier;
    spec.mGroup = aGroup;
    spec.mScenario = aScenario;
    spec.mSeed = aArguments.mSeed;
    spec.mVms = aArguments.mVms;
    spec.mLength =
      std::chrono::milliseconds(static_cast<std::int64_t>(aArguments.mSeconds * 1000));
    const auto result = RunTier(spec);
    faults += result.mLoad.mFaults;
    p99[tiers++] = result.mLoad.mAll.Quantile(0.99);
    entry[tier] = ToJson(result);
    if (!aArguments.mJson) {
      PrintRow(aGroup, aScenario, tier, result);
      for (const auto& fault : result.mLoad.mFirstFaults) {
        std::printf("  wrong: %s\n", fault.c_str());
      }
    }
  }
  if (tiers == 2 && p99[1] > 0) {
    entry["p99_ratio"] = p99[0] / p99[1];
    if (!aArguments.mJson) {
      std::printf("  p99 ratio to naive: %.2f\n", p99[0] / p99[1]);
    }
  }
  aResults.push_back(std::move(entry));
  return faults;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Arguments arguments;
  if (const int status = ParseArguments(aArgc, aArgv, arguments); status != 0) {
    return status == 1 ? 0 : status;
  }
  json::array results;
  std::uint64_t faults = 0;
  if (!arguments.mJson) {
    PrintHeader();
  }
  try {
    for (auto group : AllGroups()) {
      if (!arguments.mGroup.empty() && group.mUpstream.mName != arguments.mGroup) {
        continue;
      }
      if (arguments.mQueriesPerSecond > 0) {
        group.mQueriesPerSecond = arguments.mQueriesPerSecond;
      }
      for (const auto& scenario : AllScenarios()) {
        const bool chosen = arguments.mScenario.empty()
                              ? scenario.mName != kAllFaults
                              : scenario.mName == arguments.mScenario;
        if (chosen) {
          faults += Measure(arguments, group, scenario, results);
        }
      }
    }
  } catch (const std::exception& error) {
    std::cerr << "whole_path: " << error.what() << '\n';
    return 1;
  }
  if (arguments.mJson) {
    std::cout << json::serialize(json::object{ { "build", WASABISPAR_BUILD_TYPE },
                                               { "seconds", arguments.mSeconds },
                                               { "results", results } })
              << '\n';
  }
  return faults == 0 ? 0 : 1;
}
