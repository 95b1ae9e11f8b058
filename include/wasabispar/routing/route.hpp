/// @file
/// @brief Routes: which upstream services answer which requests, and how.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/units.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabispar {

using RouteName = StrongString<struct RouteNameTag>;
/// @brief A group of upstreams that answer equally well, for example one shard.
using ServiceName = StrongString<struct ServiceNameTag>;
/// @brief The version of a route table; it only grows.
using RouteTableVersion = StrongNumber<struct RouteTableVersionTag>;

/// @brief One service of a split route.
struct WeightedService
{
  ServiceName mService;
  std::uint32_t mWeight = 1;
};

/// @brief Each request goes to one of the services, in proportion to the weights.
struct SplitTarget
{
  std::vector<WeightedService> mServices;
};

/// @brief Each request goes to all shards; the answer holds the greatest records.
struct FanOutTarget
{
  std::vector<ServiceName> mShards;
  std::size_t mTopRecords = 10;
  /// Least share of the shards that an answer must include.
  Permille mMinCoverage{ 1000 };

  /// @brief The least number of shards that an answer must include; at least 1.
  std::size_t RequiredShards() const;
};

using RouteTarget = std::variant<ServiceName, SplitTarget, FanOutTarget>;

/// @brief One route of a host.
struct Route
{
  RouteName mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  RouteTarget mTarget;
  bool mIsIdempotent = false;
  /// Most upstreams of one service that may run one request.
  std::uint32_t mMaxAttempts = 1;
  /// Longest time until the final answer.
  Duration mTimeout = std::chrono::seconds(30);
  /// Time within which an answer is on time.
  Duration mObjective = std::chrono::seconds(1);
  /// 0 is the most urgent.
  std::uint32_t mPriority = 0;
};

/// @brief What is configured for a service as a whole.
struct ServiceDefinition
{
  ServiceName mName;
  /// Connections that one upstream accepts from all callers together.
  std::uint32_t mMaxConnections = 1;
};

/// @brief Bounds on what a caller may send and how long it may take.
struct CallerLimits
{
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 1024 * 1024;
  Duration mHeaderTimeout = std::chrono::seconds(10);
  Duration mIdleTimeout = std::chrono::seconds(60);
};

/// @brief All routes of one version. Immutable once built.
class RouteTable
{
public:
  RouteTable(RouteTableVersion aVersion, std::vector<Route> aRoutes,
             std::vector<ServiceDefinition> aServices, CallerLimits aLimits);

  /// @brief The route of @p aHost (port and case are ignored) with the longest prefix
  /// that begins @p aPath; null when none matches. Valid as long as the table.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  /// @brief The definition of a service; null when there is none.
  const ServiceDefinition* Service(const ServiceName& aName) const;
  RouteTableVersion Version() const { return mVersion; }
  const CallerLimits& Limits() const { return mLimits; }
  std::size_t RouteCount() const;

private:
  RouteTableVersion mVersion;
  /// Routes by lower-case host. Invariant: the longest prefix stands first.
  std::map<std::string, std::vector<Route>, std::less<>> mRoutesByHost;
  std::map<ServiceName, ServiceDefinition> mServices;
  CallerLimits mLimits;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace wasabispar
