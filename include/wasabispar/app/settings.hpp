/// @file
/// @brief Settings of wasabispard from flags and environment variables.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/log.hpp"
#include "wasabispar/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief All settings, checked. Times are in milliseconds unless the name says
/// otherwise; the ranges are in the flag table, which `--help` prints.
struct Settings
{
  VmId mVm;
  DataCentreId mDataCentre;
  RegionId mRegion;
  std::string mListen;
  std::int64_t mCallerPort = 0;
  std::int64_t mOperatorPort = 0;
  std::int64_t mFleetPort = 0;
  Endpoint mPlatform;

  std::int64_t mWorkers = 0;
  std::int64_t mMaxConnections = 0;
  std::int64_t mMaxBodyBytes = 0;
  std::int64_t mConcurrency = 0;
  std::int64_t mQueueLimit = 0;

  std::int64_t mMaxOwners = 0;
  std::int64_t mConnectionReserve = 0;
  std::int64_t mWarmConnections = 0;
  std::int64_t mSuspicionMs = 0;
  std::int64_t mStatePollMs = 0;
  std::int64_t mExtraLoadPermille = 0;

  std::int64_t mProbePeriodMs = 0;
  std::int64_t mSettleMs = 0;
  std::int64_t mStartWaitMs = 0;
  std::int64_t mListPollMs = 0;
  std::int64_t mScheduledFreshnessSeconds = 0;

  std::int64_t mTicketExpiryMs = 0;
  std::int64_t mTicketsPerCaller = 0;

  std::int64_t mDrainDelayMs = 0;
  std::int64_t mGraceMs = 0;
  std::int64_t mExplainRecords = 0;

  LogLevel mLogLevel = LogLevel::Info;
  LogFormat mLogFormat = LogFormat::KeyValue;
};

/// @brief What the command line asks for.
struct SettingsRequest
{
  enum class Action
  {
    Run,
    CheckSettings,
    PrintHelp,
    PrintVersion,
  };
  Action mAction = Action::Run;
  Settings mSettings;
};

/// @brief Reads an environment variable; empty when it is not set.
using EnvironmentFn = std::function<std::optional<std::string>(const std::string& aName)>;

/// @brief Parses and checks the command line; a flag wins over its environment
/// variable.
/// @return an Error with Step::Settings, the flag as peer, and value and allowed range
/// in the cause.
Result<SettingsRequest>
ParseSettings(const std::vector<std::string>& aArguments,
              const EnvironmentFn& aEnvironment);

/// @brief The text of `--help`.
std::string
SettingsHelp();

/// @brief The table of flags as Markdown, for docs/operators/settings.md.
std::string
SettingsMarkdown();

/// @brief The environment variable of @p aFlag, for example `WASABISPAR_CALLER_PORT`.
std::string
EnvironmentName(const std::string& aFlag);

} // namespace wasabispar
