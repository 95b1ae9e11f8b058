/// @file
/// @brief The differences between two route tables.
#pragma once

#include "wasabispar/routing/route.hpp"
#include "wasabispar/routing/table_field.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief A route or service that was added, removed or changed, or changed limits.
struct TableDifference
{
  enum class Subject : std::uint8_t
  {
    Route,
    Service,
    /// The limits on callers.
    Limits,
  };
  enum class Kind : std::uint8_t
  {
    Added,
    Removed,
    Changed,
  };

  Subject mSubject = Subject::Route;
  Kind mKind = Kind::Changed;
  /// The name of the route or service; empty for the limits.
  std::string mName;
  /// The changed fields; empty unless changed.
  std::vector<TableField> mFields;

  bool operator==(const TableDifference&) const = default;
};

/// @brief The differences of @p aNew from @p aOld: routes, services, limits, each by
/// name. Routes are matched by name; those of the same name in their order by host and
/// prefix. The versions are not compared.
std::vector<TableDifference>
CompareTables(const RouteTable& aOld, const RouteTable& aNew);

} // namespace wasabispar
