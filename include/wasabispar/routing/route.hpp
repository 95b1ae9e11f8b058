/// @file
/// @brief Routes and route tables: which upstream services answer which requests.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"
#include "wasabispar/routing/cold_state.hpp"
#include "wasabispar/routing/permitted_regions.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabispar {

/// @brief The name of a route.
using RouteName = StrongString<struct RouteNameTag>;
/// @brief The name of a service: a group of interchangeable upstreams, for example the
/// replicas of one shard.
using ServiceName = StrongString<struct ServiceNameTag>;
/// @brief The version of a route table. Newer tables have greater versions.
using RouteTableVersion = StrongNumber<struct RouteTableVersionTag>;

/// @brief One service of a split route with its weight.
struct WeightedService
{
  ServiceName mService;
  std::uint32_t mWeight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// @brief Target of a split route: each request goes to one of the services, in
/// proportion to their weights.
struct SplitTarget
{
  std::vector<WeightedService> mServices;
};

/// @brief Target of a fan-out route: each request goes to all shards, and the answer
/// holds the greatest records of their answers.
struct FanOutTarget
{
  std::vector<ServiceName> mShards;
  /// Maximum number of records in an answer.
  std::size_t mTopRecords = 10;
  /// Minimum fraction of the shards that an answer must include.
  Permille mMinCoverage{ 1000 };

  /// @brief The minimum number of shards that an answer must include, rounded up; at
  /// least 1.
  std::size_t RequiredShards() const;
};

/// @brief A single service, a split over services or a fan-out to shards.
using RouteTarget = std::variant<ServiceName, SplitTarget, FanOutTarget>;

/// @brief One route of a host.
struct Route
{
  RouteName mName;
  /// Host of the requests; port and case are ignored.
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  RouteTarget mTarget;
  /// Whether a request may be run more than once.
  bool mIsIdempotent = false;
  /// Maximum number of upstreams of one service that may run the same request.
  std::uint32_t mMaxAttempts = 1;
  /// Maximum time until the final answer.
  Duration mTimeout = std::chrono::seconds(30);
  /// Latency objective: an answer is on time when it takes no longer.
  Duration mObjective = std::chrono::seconds(1);
  /// Priority in the queue for upstreams; 0 is the most urgent.
  std::uint32_t mPriority = 0;
  /// The regions in which requests may be served.
  PermittedRegions mPermittedRegions;
};

/// @brief Settings of a service.
struct ServiceDefinition
{
  ServiceName mName;
  /// Connections that one upstream of the service accepts from all its clients together.
  std::uint32_t mMaxConnections = 1;
  /// The limit on cold upstreams of the service.
  ColdBound mColdBound{};
};

/// @brief Limits on the size and the duration of callers' requests.
struct CallerLimits
{
  /// Maximum size of all headers of a request.
  std::size_t mMaxHeaderBytes = 16 * 1024;
  /// Maximum size of a request body.
  std::size_t mMaxBodyBytes = 1024 * 1024;
  /// Maximum time for receiving the headers.
  Duration mHeaderTimeout = std::chrono::seconds(10);
  /// Maximum time for which a connection stays open without a request.
  Duration mIdleTimeout = std::chrono::seconds(60);
};

/// @brief The routes and services of one configuration version. Immutable.
class RouteTable
{
public:
  RouteTable(RouteTableVersion aVersion, std::vector<Route> aRoutes,
             std::vector<ServiceDefinition> aServices, CallerLimits aLimits);

  /// @brief The route of @p aHost whose path prefix is the longest that matches @p aPath;
  /// null when none matches. Port and case of the host are ignored. The pointer is valid
  /// as long as the table.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  /// @brief The settings of a service; null when the table has none. Valid as long as the
  /// table.
  const ServiceDefinition* Service(const ServiceName& aName) const;
  /// @brief Whether a fan-out sends parts to the service.
  bool IsShard(const ServiceName& aName) const { return mShards.contains(aName); }
  RouteTableVersion Version() const { return mVersion; }
  const CallerLimits& Limits() const { return mLimits; }
  /// @brief The routes by lower-case host without port; those with longer prefixes come
  /// first.
  const std::map<std::string, std::vector<Route>, std::less<>>& RoutesByHost() const
  {
    return mRoutesByHost;
  }
  const std::map<ServiceName, ServiceDefinition>& Services() const { return mServices; }
  /// @brief Number of routes of all hosts.
  std::size_t RouteCount() const;
  /// @brief Number of routes whose requests may not be served in all regions.
  std::size_t RegionLimitedRouteCount() const;

private:
  RouteTableVersion mVersion;
  /// Routes by lower-case host without port. Invariant: longer prefixes come first.
  std::map<std::string, std::vector<Route>, std::less<>> mRoutesByHost;
  std::map<ServiceName, ServiceDefinition> mServices;
  /// The services of all fan-outs.
  std::set<ServiceName> mShards;
  CallerLimits mLimits;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace wasabispar
