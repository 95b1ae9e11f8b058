/// @file
/// @brief Check of a route table before it is sent to the VMs.
#pragma once

#include "wasabispar/routing/route.hpp"
#include "wasabispar/routing/table_field.hpp"
#include "wasabispar/routing/upstream_directory.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief How bad a finding is.
enum class FindingSeverity : std::uint8_t
{
  /// Requests are served, but not as the field says.
  Warning,
  /// The route, or the table, has no effect, or its requests are refused.
  Error,
};

/// @brief What a finding is about.
enum class FindingKind : std::uint8_t
{
  /// The VMs ignore the table, because theirs is not older.
  VersionNotNewer,
  /// The route has no host.
  NoHost,
  /// No request reaches the route.
  NeverMatches,
  TimeoutBelowObjective,
  /// The table does not define a service of the route.
  UndefinedService,
  /// The lists of the route and its tenant have no region in common.
  NoPermittedRegion,
  /// No data centre is in a permitted region.
  UnknownRegion,
  /// Too few shards have an upstream in the permitted regions.
  CoverageUnreachable,
  /// A service has no upstream in the permitted regions.
  NoPermittedUpstream,
  /// A service has fewer upstreams in the permitted regions than attempts are allowed.
  TooManyAttempts,
};

/// @brief One fault of a route table.
struct RouteFinding
{
  FindingSeverity mSeverity = FindingSeverity::Warning;
  FindingKind mKind = FindingKind::NeverMatches;
  /// Empty if the finding is about the table.
  RouteName mRoute;
  TableField mField = TableField::Version;
  /// Human-readable, without the names of the route and the field.
  std::string mCause;
};

/// @brief What a check may know besides the table. A check for which an input is missing
/// is not made.
struct RouteCheckInputs
{
  /// The table in force; null if unknown.
  const RouteTable* mInForce = nullptr;
  /// The region of each data centre.
  std::optional<std::map<DataCentreId, RegionId>> mRegions;
  /// All registered upstreams. Draining ones count, so that a restart of upstreams does
  /// not change the result.
  std::optional<std::vector<UpstreamRecord>> mUpstreams;
};

/// @brief The faults of a table, those of the table first, then by host and prefix.
std::vector<RouteFinding>
CheckRoutes(const RouteTable& aTable, const RouteCheckInputs& aInputs);

/// @brief The services of a target, each one once.
std::set<ServiceName>
ServicesOf(const RouteTarget& aTarget);

/// @brief The field that holds the services of a target.
TableField
ServiceFieldOf(const RouteTarget& aTarget);

} // namespace wasabispar
