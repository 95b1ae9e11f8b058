/// @file
/// @brief Joins the parts of a delta that was split by SplitDelta().
#pragma once

#include "wasabispar/base/ids.hpp"
#include "wasabispar/catalogue/catalogue_delta.hpp"

#include <optional>
#include <vector>

namespace wasabispar {

/// @brief Collects the parts of one delta at a time. A part of another delta discards the
/// collected parts, so that memory is limited to one delta. Not thread-safe.
class DeltaAssembler
{
public:
  /// @brief Adds a part; returns the whole delta if no part is missing, else nothing.
  /// @p aSource identifies the sender and the pull, so that parts of different deltas are
  /// not joined.
  std::optional<CatalogueDelta> Add(std::string_view aSource, CatalogueDelta aPart);

private:
  /// Whether @p aPart belongs to the delta that is being collected.
  bool Continues(std::string_view aSource, const CatalogueDelta& aPart) const;

  /// Source of the delta that is being collected; empty if there is none.
  std::string mSource;
  std::vector<std::optional<CatalogueDelta>> mParts;
  /// Number of parts that have not arrived.
  std::size_t mMissing = 0;
};

} // namespace wasabispar
