/// @file
/// @brief Changes of the catalogue as the platform and the peers deliver them.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief One revision of one profile document.
struct CatalogueItem
{
  ProfileName mName;
  Revision mRevision;
  /// The key was deleted; mDocument is empty.
  bool mDeleted = false;
  std::string mDocument;

  bool operator==(const CatalogueItem&) const = default;
};

/// @brief What changed in the platform's history after mFrom up to and including mTo:
/// for each key that changed, at least its last document and its last valid one.
struct CatalogueDelta
{
  /// The receiver must hold the history up to here.
  Revision mFrom;
  Revision mTo;
  /// All keys that exist at mTo are listed, so a key that is missing was deleted.
  bool mFullList = false;
  /// Full list only: keys deleted after this revision are listed as deleted items. A
  /// list from the platform names no deleted key, so there it equals mTo.
  Revision mDeletionsFrom;
  /// Number of this part, from 0, of mParts parts; see SplitDelta().
  std::uint32_t mPart = 0;
  std::uint32_t mParts = 1;
  std::vector<CatalogueItem> mItems;

  bool operator==(const CatalogueDelta&) const = default;
};

/// @brief The delta for a reply to the platform's `GET /v1/values`.
CatalogueDelta
PlatformList(Revision aRevision, std::vector<CatalogueItem> aItems);

/// @brief The delta for a reply to the platform's `GET /v1/watch` with `after` =
/// @p aAfter.
CatalogueDelta
PlatformChanges(Revision aAfter, Revision aRevision, std::vector<CatalogueItem> aItems);

/// @brief Size of @p aDelta on the wire in bytes, estimated from above.
std::size_t
EncodedSize(const CatalogueDelta& aDelta);

/// @brief Splits a delta into parts of at most @p aMaxBytes each, or one item where a
/// single item is larger. Parts are applied together, see DeltaAssembler.
std::vector<CatalogueDelta>
SplitDelta(CatalogueDelta aDelta, std::size_t aMaxBytes);

} // namespace wasabispar
