/// @file
/// @brief Comparison of routes, services and limits field by field.
#include "wasabispar/routing/table_differences.hpp"

#include "wasabispar/routing/route_check.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace {

using Fields = std::vector<TableField>;

/// Collects the fields in which two objects differ.
template<class Item>
class FieldComparison
{
public:
  FieldComparison(const Item& aOld, const Item& aNew)
    : mOld(aOld)
    , mNew(aNew)
  {
  }

  template<class Value>
  FieldComparison& Add(Value Item::*aMember, TableField aField)
  {
    if (mOld.*aMember != mNew.*aMember) {
      mFields.push_back(aField);
    }
    return *this;
  }

  Fields Result() const { return mFields; }

private:
  const Item& mOld;
  const Item& mNew;
  Fields mFields;
};

Fields
ChangedFields(const RouteTarget& aOld, const RouteTarget& aNew)
{
  if (aOld.index() != aNew.index()) {
    return { ServiceFieldOf(aOld), ServiceFieldOf(aNew) };
  }
  if (const auto* fanOut = std::get_if<FanOutTarget>(&aOld)) {
    return FieldComparison(*fanOut, std::get<FanOutTarget>(aNew))
      .Add(&FanOutTarget::mShards, TableField::Shards)
      .Add(&FanOutTarget::mTopRecords, TableField::TopRecords)
      .Add(&FanOutTarget::mMinCoverage, TableField::MinCoverage)
      .Result();
  }
  if (const auto* split = std::get_if<SplitTarget>(&aOld)) {
    return FieldComparison(*split, std::get<SplitTarget>(aNew))
      .Add(&SplitTarget::mServices, TableField::SplitServices)
      .Result();
  }
  return std::get<ServiceName>(aOld) == std::get<ServiceName>(aNew)
           ? Fields{}
           : Fields{ TableField::SingleService };
}

Fields
ChangedFields(const Route& aOld, const Route& aNew)
{
  auto fields = FieldComparison(aOld, aNew)
                  .Add(&Route::mHost, TableField::Host)
                  .Add(&Route::mPathPrefix, TableField::PathPrefix)
                  .Add(&Route::mIsIdempotent, TableField::Idempotency)
                  .Add(&Route::mMaxAttempts, TableField::MaxAttempts)
                  .Add(&Route::mTimeout, TableField::Timeout)
                  .Add(&Route::mObjective, TableField::Objective)
                  .Add(&Route::mPriority, TableField::Priority)
                  .Add(&Route::mPermittedRegions, TableField::PermittedRegions)
                  .Result();
  std::ranges::copy(ChangedFields(aOld.mTarget, aNew.mTarget),
                    std::back_inserter(fields));
  return fields;
}

Fields
ChangedFields(const ServiceDefinition& aOld, const ServiceDefinition& aNew)
{
  auto fields = FieldComparison(aOld, aNew)
                  .Add(&ServiceDefinition::mMaxConnections, TableField::MaxConnections)
                  .Result();
  std::ranges::copy(FieldComparison(aOld.mColdBound, aNew.mColdBound)
                      .Add(&ColdBound::mWarmup, TableField::WarmupTime)
                      .Add(&ColdBound::mPerSecond, TableField::WarmupRate)
                      .Result(),
                    std::back_inserter(fields));
  return fields;
}

/// A name and the number of earlier objects of the same name.
using ItemKey = std::pair<std::string, std::size_t>;

std::map<ItemKey, const Route*>
RoutesByName(const RouteTable& aTable)
{
  std::map<std::string, std::size_t> counts;
  std::map<ItemKey, const Route*> byName;
  for (const auto& [host, routes] : aTable.RoutesByHost()) {
    for (const auto& route : routes) {
      const auto& name = route.mName.Text();
      byName[{ name, counts[name]++ }] = &route;
    }
  }
  return byName;
}

std::map<ItemKey, const ServiceDefinition*>
ServicesByName(const RouteTable& aTable)
{
  std::map<ItemKey, const ServiceDefinition*> byName;
  for (const auto& [name, service] : aTable.Services()) {
    byName[{ name.Text(), 0 }] = &service;
  }
  return byName;
}

template<class Item>
void
Compare(TableDifference::Subject aSubject, const std::map<ItemKey, const Item*>& aOld,
        const std::map<ItemKey, const Item*>& aNew, std::vector<TableDifference>& aResult)
{
  using Kind = TableDifference::Kind;
  for (const auto& [key, item] : aOld) {
    const auto found = aNew.find(key);
    if (found == aNew.end()) {
      aResult.push_back({ aSubject, Kind::Removed, key.first, {} });
    } else if (auto fields = ChangedFields(*item, *found->second); !fields.empty()) {
      aResult.push_back({ aSubject, Kind::Changed, key.first, std::move(fields) });
    }
  }
  for (const auto& [key, item] : aNew) {
    if (!aOld.contains(key)) {
      aResult.push_back({ aSubject, Kind::Added, key.first, {} });
    }
  }
}

} // namespace

std::vector<TableDifference>
CompareTables(const RouteTable& aOld, const RouteTable& aNew)
{
  std::vector<TableDifference> differences;
  Compare(TableDifference::Subject::Route, RoutesByName(aOld), RoutesByName(aNew),
          differences);
  Compare(TableDifference::Subject::Service, ServicesByName(aOld), ServicesByName(aNew),
          differences);
  auto limits = FieldComparison(aOld.Limits(), aNew.Limits())
                  .Add(&CallerLimits::mMaxHeaderBytes, TableField::MaxHeaderBytes)
                  .Add(&CallerLimits::mMaxBodyBytes, TableField::MaxBodyBytes)
                  .Add(&CallerLimits::mHeaderTimeout, TableField::HeaderTimeout)
                  .Add(&CallerLimits::mIdleTimeout, TableField::IdleTimeout)
                  .Result();
  if (!limits.empty()) {
    differences.push_back({ TableDifference::Subject::Limits,
                            TableDifference::Kind::Changed, "", std::move(limits) });
  }
  return differences;
}

} // namespace wasabispar
