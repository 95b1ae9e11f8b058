/// @file
/// @brief Tests of the route lookup and of the minimum number of shards.
#include "wasabispar/routing/route.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;

namespace {

Route
RouteTo(const std::string& aHost, const std::string& aPrefix, const std::string& aService)
{
  Route route;
  route.mName = RouteName(aHost + aPrefix);
  route.mHost = aHost;
  route.mPathPrefix = aPrefix;
  route.mTarget = ServiceName(aService);
  return route;
}

/// The service of the route that matches, or `none`.
std::string
ServiceAt(const RouteTable& aTable, const std::string& aHost, const std::string& aPath)
{
  const auto* route = aTable.Find(aHost, aPath);
  return route ? std::get<ServiceName>(route->mTarget).Text() : "none";
}

std::size_t
Required(std::size_t aShards, std::uint32_t aPermille)
{
  FanOutTarget target;
  target.mShards.resize(aShards);
  target.mMinCoverage = Permille(aPermille);
  return target.RequiredShards();
}

} // namespace

TEST_CASE("the route with the longest prefix of the host is found")
{
  const RouteTable table(RouteTableVersion(3),
                         { RouteTo("a.example", "/x/", "short"),
                           RouteTo("a.example", "/x/y/", "long"),
                           RouteTo("b.example", "/", "other") },
                         {}, {});
  CHECK(ServiceAt(table, "a.example", "/x/1") == "short");
  CHECK(ServiceAt(table, "a.example", "/x/y/1") == "long");
  CHECK(ServiceAt(table, "a.example", "/x/yy") == "short");
  CHECK(ServiceAt(table, "b.example", "/x/y/1") == "other");
  CHECK(ServiceAt(table, "a.example", "/x") == "none");
  CHECK(ServiceAt(table, "c.example", "/x/") == "none");
}

TEST_CASE("port and case of the host are ignored")
{
  const RouteTable table(RouteTableVersion(1), { RouteTo("A.Example", "/", "s") }, {},
                         {});
  CHECK(ServiceAt(table, "a.eXample:8080", "/q") == "s");
}

TEST_CASE("the minimum number of shards is rounded up and at least one")
{
  CHECK(Required(10, 890) == 9);
  CHECK(Required(15, 890) == 14);
  CHECK(Required(36, 950) == 35);
  CHECK(Required(10, 1000) == 10);
  CHECK(Required(10, 0) == 1);
}
