/// @file
/// @brief What all services of a daemon share.
#pragma once

#include "wasabispar/app/settings.hpp"
#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/metrics.hpp"
#include "wasabispar/net/worker.hpp"

#include <atomic>
#include <cstdint>

namespace wasabispar {

/// @brief Shared by the services of one daemon; outlives them.
struct AppContext
{
  const Settings& mSettings;
  Metrics& mMetrics;
  WorkerPool& mWorkers;
  /// This run of the process.
  Incarnation mIncarnation;
  NowFn mNow;
  /// Numbers of requests and exchanges; unique in the process.
  std::atomic<std::uint64_t> mNextNumber{ 1 };

  std::uint64_t NextNumber() { return mNextNumber.fetch_add(1); }
};

} // namespace wasabispar
