/// @file
/// @brief Changes of the catalogue as received from the platform and from peers.
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
  /// Whether the key was deleted; mDocument is then empty.
  bool mDeleted = false;
  std::string mDocument;

  bool operator==(const CatalogueItem&) const = default;
};

/// @brief The changes of the platform's history after mFrom up to and including mTo. For
/// each changed key at least the last document and the last valid document are contained.
struct CatalogueDelta
{
  /// The receiver must hold the history up to this revision.
  Revision mFrom;
  Revision mTo;
  /// Whether all keys that exist at mTo are contained, so that each other key was
  /// deleted.
  bool mFullList = false;
  /// Full list only: keys deleted after this revision are contained as deleted items. A
  /// list from the platform contains no deleted keys, so its mDeletionsFrom equals mTo.
  Revision mDeletionsFrom;
  /// Index of this part, from 0, and number of parts; see SplitDelta().
  std::uint32_t mPart = 0;
  std::uint32_t mParts = 1;
  std::vector<CatalogueItem> mItems;

  bool operator==(const CatalogueDelta&) const = default;
};

/// @brief Makes a full list from the platform's reply to `GET /v1/values`.
CatalogueDelta
PlatformList(Revision aRevision, std::vector<CatalogueItem> aItems);

/// @brief Makes a delta from the platform's reply to `GET /v1/watch` with `after` =
/// @p aAfter.
CatalogueDelta
PlatformChanges(Revision aAfter, Revision aRevision, std::vector<CatalogueItem> aItems);

/// @brief Upper bound on the encoded size of @p aDelta in bytes.
std::size_t
EncodedSize(const CatalogueDelta& aDelta);

/// @brief Splits a delta into parts of at most @p aMaxBytes each; an item that is larger
/// gets a part of its own. DeltaAssembler joins the parts, which are applied together.
std::vector<CatalogueDelta>
SplitDelta(CatalogueDelta aDelta, std::size_t aMaxBytes);

} // namespace wasabispar
