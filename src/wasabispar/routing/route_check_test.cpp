/// @file
/// @brief Tests of the check of a route table and of the differences between two tables.
#include "wasabispar/routing/route_check.hpp"
#include "wasabispar/routing/table_differences.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

Route
RouteTo(const std::string& aName, const std::string& aHost, const std::string& aPrefix)
{
  Route route;
  route.mName = RouteName(aName);
  route.mHost = aHost;
  route.mPathPrefix = aPrefix;
  route.mTarget = ServiceName("s1");
  return route;
}

Route
FanOut(std::uint32_t aCoverage, PermittedRegions aPermitted)
{
  auto route = RouteTo("r", "a", "/");
  route.mTarget =
    FanOutTarget{ { ServiceName("s1"), ServiceName("s2") }, 10, Permille(aCoverage) };
  route.mPermittedRegions = std::move(aPermitted);
  return route;
}

RouteTable
TableOf(std::vector<Route> aRoutes, std::uint64_t aVersion = 1)
{
  return { RouteTableVersion(aVersion),
           std::move(aRoutes),
           { { ServiceName("s1") }, { ServiceName("s2") } },
           {} };
}

UpstreamRecord
UpstreamIn(const std::string& aService, const std::string& aDataCentre)
{
  UpstreamRecord record;
  record.mService = ServiceName(aService);
  record.mDataCentre = DataCentreId(aDataCentre);
  return record;
}

/// Data centre n1 is in north, s1 in south; service s1 has an upstream in each, s2 one in
/// south.
RouteCheckInputs
Fleet()
{
  RouteCheckInputs inputs;
  inputs.mRegions = { { DataCentreId("n1"), RegionId("north") },
                      { DataCentreId("s1"), RegionId("south") } };
  inputs.mUpstreams = { UpstreamIn("s1", "n1"), UpstreamIn("s1", "s1"),
                        UpstreamIn("s2", "s1") };
  return inputs;
}

PermittedRegions
Only(const std::string& aRegion)
{
  return PermittedRegions::Only({ RegionId(aRegion) });
}

/// The kinds of the findings.
std::vector<FindingKind>
KindsOf(const RouteTable& aTable, const RouteCheckInputs& aInputs = {})
{
  std::vector<FindingKind> kinds;
  for (const auto& finding : CheckRoutes(aTable, aInputs)) {
    kinds.push_back(finding.mKind);
  }
  return kinds;
}

using Kinds = std::vector<FindingKind>;

} // namespace

/// Guards against a route that is sent although another one takes all its requests, and
/// against a false finding for prefixes that only overlap or belong to other hosts.
TEST_CASE("routes that never match are found")
{
  const auto findings = CheckRoutes(
    TableOf({ RouteTo("first", "A.example:80", "/x/"), RouteTo("wide", "a.example", "/"),
              RouteTo("other", "b.example", "/x/"),
              RouteTo("second", "a.example", "/x/") }),
    {});
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].mKind == FindingKind::NeverMatches);
  CHECK(findings[0].mSeverity == FindingSeverity::Error);
  CHECK(findings[0].mRoute == RouteName("second"));
  CHECK(findings[0].mField == TableField::PathPrefix);
  CHECK(findings[0].mCause.find("first") != std::string::npos);
  CHECK(KindsOf(TableOf({ RouteTo("r", ":80", "x/") })) ==
        Kinds{ FindingKind::NoHost, FindingKind::NeverMatches });
}

/// Guards against requests that are given up before they are late, and against a service
/// whose name is misspelt in a route.
TEST_CASE("a timeout below the objective and an undefined service are found")
{
  auto route = RouteTo("r", "a", "/");
  route.mTimeout = route.mObjective;
  CHECK(KindsOf(TableOf({ route })).empty());
  route.mTimeout = route.mObjective - 1ms;
  route.mTarget = SplitTarget{ { { ServiceName("s1") }, { ServiceName("s9") } } };
  const auto findings = CheckRoutes(TableOf({ route }), {});
  REQUIRE(findings.size() == 2);
  CHECK(findings[0].mField == TableField::Timeout);
  CHECK(findings[0].mCause == "999 ms is below the latency objective of 1000 ms");
  CHECK(findings[1].mKind == FindingKind::UndefinedService);
  CHECK(findings[1].mField == TableField::SplitServices);
  CHECK(findings[1].mCause.ends_with(": s9"));
}

/// Guards against a fan-out whose every request is rejected, and against findings that
/// only come from a list that was not supplied.
TEST_CASE("a coverage that the permitted regions cannot reach is found")
{
  const Kinds unreachable{ FindingKind::CoverageUnreachable };
  CHECK(KindsOf(TableOf({ FanOut(1000, Only("south")) }), Fleet()).empty());
  CHECK(KindsOf(TableOf({ FanOut(1000, Only("north")) }), Fleet()) == unreachable);
  CHECK(KindsOf(TableOf({ FanOut(500, Only("north")) }), Fleet()).empty());
  CHECK(KindsOf(TableOf({ FanOut(1001, {}) })) == unreachable);
  auto inputs = Fleet();
  inputs.mRegions.reset();
  CHECK(KindsOf(TableOf({ FanOut(1000, Only("north")) }), inputs).empty());
  inputs.mUpstreams->pop_back();
  CHECK(KindsOf(TableOf({ FanOut(1000, {}) }), inputs) == unreachable);
}

/// Guards against regions that exclude all upstreams of a route.
TEST_CASE("regions without data centre or upstream are found")
{
  auto route = RouteTo("r", "a", "/");
  route.mTarget = ServiceName("s2");
  route.mPermittedRegions = Only("north");
  CHECK(KindsOf(TableOf({ route }), Fleet()) ==
        Kinds{ FindingKind::NoPermittedUpstream });
  route.mPermittedRegions =
    PermittedRegions::Only({ RegionId("south"), RegionId("west") });
  const auto findings = CheckRoutes(TableOf({ route }), Fleet());
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].mKind == FindingKind::UnknownRegion);
  CHECK(findings[0].mSeverity == FindingSeverity::Warning);
  CHECK(findings[0].mCause.ends_with(" west"));
  route.mPermittedRegions = Only("west").Intersect(Only("south"));
  CHECK(KindsOf(TableOf({ route })) == Kinds{ FindingKind::NoPermittedRegion });
}

/// Guards against attempts that can never be made.
TEST_CASE("more attempts than upstreams in the permitted regions are found")
{
  auto route = RouteTo("r", "a", "/");
  route.mMaxAttempts = 2;
  CHECK(KindsOf(TableOf({ route })).empty());
  CHECK(KindsOf(TableOf({ route }), Fleet()).empty());
  route.mPermittedRegions = Only("north");
  CHECK(KindsOf(TableOf({ route }), Fleet()) == Kinds{ FindingKind::TooManyAttempts });
}

/// Guards against a table that all VMs ignore because its version is not newer.
TEST_CASE("a version that is not newer than the one in force is found")
{
  const auto inForce = TableOf({}, 4);
  RouteCheckInputs inputs;
  inputs.mInForce = &inForce;
  CHECK(KindsOf(TableOf({}, 5), inputs).empty());
  CHECK(KindsOf(TableOf({}, 4), inputs) == Kinds{ FindingKind::VersionNotNewer });
}

/// Guards against an edit that changes more, or less, than the operator meant to change.
TEST_CASE("added, removed and changed routes, services and limits are told apart")
{
  using Subject = TableDifference::Subject;
  using Kind = TableDifference::Kind;
  auto changed = FanOut(900, Only("north"));
  const auto before = TableOf(
    { FanOut(1000, {}), RouteTo("old", "a", "/o/"), RouteTo("target", "a", "/t/") });
  auto target = RouteTo("target", "a", "/t/");
  target.mTarget = SplitTarget{ { { ServiceName("s1"), 2 } } };
  CallerLimits limits;
  limits.mMaxBodyBytes = 7;
  const RouteTable after(
    RouteTableVersion(2), { changed, target, RouteTo("new", "a", "/n/") },
    { { ServiceName("s1"), 9, { 3s, 2 } }, { ServiceName("s3") } }, limits);
  CHECK(CompareTables(before, before).empty());
  const std::vector<TableDifference> expected{
    { Subject::Route, Kind::Removed, "old", {} },
    { Subject::Route,
      Kind::Changed,
      "r",
      { TableField::PermittedRegions, TableField::MinCoverage } },
    { Subject::Route,
      Kind::Changed,
      "target",
      { TableField::SingleService, TableField::SplitServices } },
    { Subject::Route, Kind::Added, "new", {} },
    { Subject::Service,
      Kind::Changed,
      "s1",
      { TableField::MaxConnections, TableField::WarmupTime, TableField::WarmupRate } },
    { Subject::Service, Kind::Removed, "s2", {} },
    { Subject::Service, Kind::Added, "s3", {} },
    { Subject::Limits, Kind::Changed, "", { TableField::MaxBodyBytes } },
  };
  CHECK(CompareTables(before, after) == expected);
}
