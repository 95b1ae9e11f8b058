/// @file
/// @brief The checks of a route table.
#include "wasabispar/routing/route_check.hpp"

#include <algorithm>
#include <sstream>

namespace wasabispar {

namespace {

/// Collects the findings of one table.
class RouteChecker
{
public:
  RouteChecker(const RouteTable& aTable, const RouteCheckInputs& aInputs)
    : mTable(aTable)
    , mInputs(aInputs)
  {
    if (mInputs.mUpstreams) {
      for (const auto& upstream : *mInputs.mUpstreams) {
        mUpstreams[upstream.mService].push_back(RegionOf(upstream));
      }
    }
  }

  std::vector<RouteFinding> Run()
  {
    CheckVersion();
    for (const auto& [host, routes] : mTable.RoutesByHost()) {
      std::map<std::string, RouteName> routesByPrefix;
      for (const auto& route : routes) {
        mRoute = &route;
        CheckMatch(host, routesByPrefix);
        CheckTimes();
        CheckDefinitions();
        CheckRegions();
        CheckUpstreams();
      }
    }
    return std::move(mFindings);
  }

private:
  const RouteTable& mTable;
  const RouteCheckInputs& mInputs;
  /// The regions of the upstreams of each service.
  std::map<ServiceName, std::vector<RegionId>> mUpstreams;
  /// The route that is being checked.
  const Route* mRoute = nullptr;
  std::vector<RouteFinding> mFindings;

  void Add(FindingSeverity aSeverity, FindingKind aKind, TableField aField,
           std::string aCause)
  {
    mFindings.push_back(
      { aSeverity, aKind, mRoute ? mRoute->mName : RouteName(), aField, aCause });
  }

  /// Empty if unknown.
  RegionId RegionOf(const UpstreamRecord& aUpstream) const
  {
    if (!mInputs.mRegions) {
      return {};
    }
    const auto found = mInputs.mRegions->find(aUpstream.mDataCentre);
    return found == mInputs.mRegions->end() ? RegionId() : found->second;
  }

  void CheckVersion()
  {
    if (!mInputs.mInForce || mTable.Version() > mInputs.mInForce->Version()) {
      return;
    }
    Add(FindingSeverity::Error, FindingKind::VersionNotNewer, TableField::Version,
        "must be greater than " + std::to_string(mInputs.mInForce->Version().Value()) +
          ", the version in force");
  }

  /// @param aRoutesByPrefix the routes of the host that were checked before.
  void CheckMatch(const std::string& aHost,
                  std::map<std::string, RouteName>& aRoutesByPrefix)
  {
    if (aHost.empty()) {
      Add(FindingSeverity::Error, FindingKind::NoHost, TableField::Host,
          "is empty: only requests without a host match");
    }
    const auto& prefix = mRoute->mPathPrefix;
    const auto [first, isNew] = aRoutesByPrefix.emplace(prefix, mRoute->mName);
    if (!isNew) {
      Add(FindingSeverity::Error, FindingKind::NeverMatches, TableField::PathPrefix,
          "never matches: route " + first->second.Text() +
            " of the same host has the same prefix");
    } else if (!prefix.empty() && !prefix.starts_with('/')) {
      Add(FindingSeverity::Error, FindingKind::NeverMatches, TableField::PathPrefix,
          "never matches: does not begin with a slash");
    }
  }

  void CheckTimes()
  {
    if (mRoute->mTimeout < mRoute->mObjective) {
      std::ostringstream cause;
      cause << ToDoubleMilliseconds(mRoute->mTimeout)
            << " ms is below the latency objective of "
            << ToDoubleMilliseconds(mRoute->mObjective) << " ms";
      Add(FindingSeverity::Warning, FindingKind::TimeoutBelowObjective,
          TableField::Timeout, cause.str());
    }
  }

  void CheckDefinitions()
  {
    std::string names;
    for (const auto& service : ServicesOf(mRoute->mTarget)) {
      if (!mTable.Service(service)) {
        names += (names.empty() ? "" : ", ") + service.Text();
      }
    }
    if (!names.empty()) {
      Add(FindingSeverity::Warning, FindingKind::UndefinedService,
          ServiceFieldOf(mRoute->mTarget),
          "not defined, so that the defaults of a service apply: " + names);
    }
  }

  void CheckRegions()
  {
    const auto& permitted = mRoute->mPermittedRegions;
    const auto named = permitted.Named();
    if (!permitted.AreAll() && named.empty()) {
      Add(FindingSeverity::Error, FindingKind::NoPermittedRegion,
          TableField::PermittedRegions,
          "no region is permitted by both the route and its tenant");
    }
    if (!mInputs.mRegions) {
      return;
    }
    std::string unknown;
    std::size_t unknownCount = 0;
    for (const auto& region : named) {
      if (std::ranges::none_of(*mInputs.mRegions, [&region](const auto& aItem) {
            return aItem.second == region;
          })) {
        unknown += (unknown.empty() ? "" : ", ") + region.Text();
        ++unknownCount;
      }
    }
    if (unknownCount > 0) {
      Add(unknownCount == named.size() ? FindingSeverity::Error
                                       : FindingSeverity::Warning,
          FindingKind::UnknownRegion, TableField::PermittedRegions,
          "no data centre is in " + unknown);
    }
  }

  /// The number of upstreams of a service that the route may use; empty if unknown.
  std::optional<std::size_t> UsableUpstreams(const ServiceName& aService) const
  {
    const auto& permitted = mRoute->mPermittedRegions;
    if (!mInputs.mUpstreams || (!permitted.AreAll() && !mInputs.mRegions)) {
      return std::nullopt;
    }
    const auto found = mUpstreams.find(aService);
    if (found == mUpstreams.end()) {
      return 0;
    }
    return static_cast<std::size_t>(
      std::ranges::count_if(found->second, [&permitted](const RegionId& aRegion) {
        return permitted.Permits(aRegion);
      }));
  }

  void CheckUpstreams()
  {
    std::string without;
    std::string tooFew;
    for (const auto& service : ServicesOf(mRoute->mTarget)) {
      const auto count = UsableUpstreams(service);
      if (!count) {
        continue;
      }
      if (*count == 0) {
        without += (without.empty() ? "" : ", ") + service.Text();
      } else if (*count < mRoute->mMaxAttempts) {
        tooFew += (tooFew.empty() ? "" : ", ") + service.Text() + " (" +
                  std::to_string(*count) + ")";
      }
    }
    if (const auto* fanOut = std::get_if<FanOutTarget>(&mRoute->mTarget)) {
      CheckCoverage(*fanOut, without);
    } else if (!without.empty()) {
      Add(FindingSeverity::Error, FindingKind::NoPermittedUpstream,
          ServiceFieldOf(mRoute->mTarget),
          "no upstream in the permitted regions: " + without);
    }
    if (!tooFew.empty()) {
      Add(FindingSeverity::Warning, FindingKind::TooManyAttempts, TableField::MaxAttempts,
          std::to_string(mRoute->mMaxAttempts) +
            " is more than the upstreams in the permitted regions: " + tooFew);
    }
  }

  /// @param aWithout the names of the shards without upstream, for the cause.
  void CheckCoverage(const FanOutTarget& aTarget, const std::string& aWithout)
  {
    const auto reachable = static_cast<std::size_t>(
      std::ranges::count_if(aTarget.mShards, [this](const ServiceName& aShard) {
        return UsableUpstreams(aShard).value_or(1) > 0;
      }));
    if (reachable >= aTarget.RequiredShards()) {
      return;
    }
    auto cause = "needs " + std::to_string(aTarget.RequiredShards()) + " of " +
                 std::to_string(aTarget.mShards.size()) + " shards, " +
                 std::to_string(reachable) + " can be reached";
    if (!aWithout.empty()) {
      cause += "; no upstream in the permitted regions: " + aWithout;
    }
    Add(FindingSeverity::Error, FindingKind::CoverageUnreachable, TableField::MinCoverage,
        cause);
  }
};

} // namespace

std::vector<RouteFinding>
CheckRoutes(const RouteTable& aTable, const RouteCheckInputs& aInputs)
{
  return RouteChecker(aTable, aInputs).Run();
}

std::set<ServiceName>
ServicesOf(const RouteTarget& aTarget)
{
  if (const auto* fanOut = std::get_if<FanOutTarget>(&aTarget)) {
    return { fanOut->mShards.begin(), fanOut->mShards.end() };
  }
  std::set<ServiceName> services;
  if (const auto* split = std::get_if<SplitTarget>(&aTarget)) {
    for (const auto& item : split->mServices) {
      services.insert(item.mService);
    }
  } else {
    services.insert(std::get<ServiceName>(aTarget));
  }
  return services;
}

TableField
ServiceFieldOf(const RouteTarget& aTarget)
{
  if (std::holds_alternative<FanOutTarget>(aTarget)) {
    return TableField::Shards;
  }
  return std::holds_alternative<SplitTarget>(aTarget) ? TableField::SplitServices
                                                      : TableField::SingleService;
}

} // namespace wasabispar
