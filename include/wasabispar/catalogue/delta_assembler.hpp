/// @file
/// @brief Joins the parts of a split delta.
#pragma once

#include "wasabispar/base/ids.hpp"
#include "wasabispar/catalogue/catalogue_delta.hpp"

#include <optional>
#include <vector>

namespace wasabispar {

/// @brief Collects the parts of one delta. A part of another delta replaces the one in
/// progress, so memory is bounded by one delta. Not thread-safe.
class DeltaAssembler
{
public:
  /// @brief The whole delta once its last part has arrived; else empty. @p aSource
  /// distinguishes deltas of different senders and pulls.
  std::optional<CatalogueDelta> Add(std::string_view aSource, CatalogueDelta aPart);

private:
  bool Continues(std::string_view aSource, const CatalogueDelta& aPart) const;

  std::string mSource;
  std::vector<std::optional<CatalogueDelta>> mParts;
  std::size_t mMissing = 0;
};

} // namespace wasabispar
