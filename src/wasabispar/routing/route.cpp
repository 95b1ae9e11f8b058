/// @file
/// @brief Lookup of routes by host and longest path prefix.
#include "wasabispar/routing/route.hpp"

#include <algorithm>
#include <cctype>

namespace wasabispar {

namespace {

/// The host in lower case and without port.
std::string
HostKey(std::string_view aHost)
{
  std::string key(aHost.substr(0, aHost.find(':')));
  std::ranges::transform(key, key.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return key;
}

} // namespace

std::size_t
FanOutTarget::RequiredShards() const
{
  const auto scaled = mShards.size() * mMinCoverage.Value();
  return std::max<std::size_t>(1, (scaled + 999) / 1000);
}

RouteTable::RouteTable(RouteTableVersion aVersion, std::vector<Route> aRoutes,
                       std::vector<ServiceDefinition> aServices, CallerLimits aLimits)
  : mVersion(aVersion)
  , mLimits(aLimits)
{
  for (auto& route : aRoutes) {
    if (const auto* fanOut = std::get_if<FanOutTarget>(&route.mTarget)) {
      mShards.insert(fanOut->mShards.begin(), fanOut->mShards.end());
    }
    mRoutesByHost[HostKey(route.mHost)].push_back(std::move(route));
  }
  for (auto& [host, routes] : mRoutesByHost) {
    std::ranges::stable_sort(routes, [](const Route& aLeft, const Route& aRight) {
      return aLeft.mPathPrefix.size() > aRight.mPathPrefix.size();
    });
  }
  for (auto& service : aServices) {
    const auto name = service.mName;
    mServices.emplace(name, std::move(service));
  }
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mRoutesByHost.find(HostKey(aHost));
  if (host == mRoutesByHost.end()) {
    return nullptr;
  }
  const auto found = std::ranges::find_if(host->second, [aPath](const Route& aRoute) {
    return aPath.starts_with(aRoute.mPathPrefix);
  });
  return found == host->second.end() ? nullptr : &*found;
}

const ServiceDefinition*
RouteTable::Service(const ServiceName& aName) const
{
  const auto found = mServices.find(aName);
  return found == mServices.end() ? nullptr : &found->second;
}

std::size_t
RouteTable::RegionLimitedRouteCount() const
{
  std::size_t count = 0;
  for (const auto& [host, routes] : mRoutesByHost) {
    count += static_cast<std::size_t>(std::ranges::count_if(
      routes, [](const Route& aRoute) { return !aRoute.mPermittedRegions.AreAll(); }));
  }
  return count;
}

std::size_t
RouteTable::RouteCount() const
{
  std::size_t count = 0;
  for (const auto& [host, routes] : mRoutesByHost) {
    count += routes.size();
  }
  return count;
}

} // namespace wasabispar
