/// @file
/// @brief The fields of a route table, by which findings and differences name them.
#pragma once

#include <cstdint>

namespace wasabispar {

/// @brief A field of a route table, its routes, its services or its limits. The names in
/// an operator's document are known to the decoder of that document only.
enum class TableField : std::uint8_t
{
  Version,
  // Fields of a route.
  Host,
  PathPrefix,
  SingleService,
  SplitServices,
  Shards,
  Idempotency,
  MaxAttempts,
  Timeout,
  Objective,
  Priority,
  TopRecords,
  MinCoverage,
  PermittedRegions,
  // Fields of a service.
  MaxConnections,
  WarmupTime,
  WarmupRate,
  // Limits on callers.
  MaxHeaderBytes,
  MaxBodyBytes,
  HeaderTimeout,
  IdleTimeout,
};

} // namespace wasabispar
