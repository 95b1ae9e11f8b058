/// @file
/// @brief Construction, encoded size and splitting of deltas.
#include "wasabispar/catalogue/catalogue_delta.hpp"

#include <algorithm>

namespace wasabispar {
namespace {

/// Encoded size of an item without its texts: revision, flags, tags and lengths.
constexpr std::size_t kItemOverheadBytes = 32;
/// Encoded size of a delta without its items.
constexpr std::size_t kDeltaOverheadBytes = 64;

std::size_t
EncodedSize(const CatalogueItem& aItem)
{
  return kItemOverheadBytes + aItem.mName.Text().size() + aItem.mDocument.size();
}

/// Returns the highest of @p aRevision and the revisions of @p aItems. The revision in a
/// reply of the platform may be lower than those of the items in the same reply.
Revision
HighestRevision(Revision aRevision, const std::vector<CatalogueItem>& aItems)
{
  for (const auto& item : aItems) {
    aRevision = std::max(aRevision, item.mRevision);
  }
  return aRevision;
}

} // namespace

CatalogueDelta
PlatformList(Revision aRevision, std::vector<CatalogueItem> aItems)
{
  CatalogueDelta delta;
  delta.mTo = HighestRevision(aRevision, aItems);
  delta.mFullList = true;
  delta.mDeletionsFrom = delta.mTo;
  delta.mItems = std::move(aItems);
  return delta;
}

CatalogueDelta
PlatformChanges(Revision aAfter, Revision aRevision, std::vector<CatalogueItem> aItems)
{
  CatalogueDelta delta;
  delta.mTo = HighestRevision(aRevision, aItems);
  delta.mFrom = std::min(aAfter, delta.mTo);
  delta.mItems = std::move(aItems);
  return delta;
}

std::size_t
EncodedSize(const CatalogueDelta& aDelta)
{
  auto size = kDeltaOverheadBytes;
  for (const auto& item : aDelta.mItems) {
    size += EncodedSize(item);
  }
  return size;
}

std::vector<CatalogueDelta>
SplitDelta(CatalogueDelta aDelta, std::size_t aMaxBytes)
{
  auto items = std::move(aDelta.mItems);
  aDelta.mItems.clear();
  std::vector<CatalogueDelta> parts{ aDelta };
  auto size = kDeltaOverheadBytes;
  for (auto& item : items) {
    const auto itemSize = EncodedSize(item);
    if (!parts.back().mItems.empty() && size + itemSize > aMaxBytes) {
      parts.push_back(aDelta);
      size = kDeltaOverheadBytes;
    }
    size += itemSize;
    parts.back().mItems.push_back(std::move(item));
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].mPart = static_cast<std::uint32_t>(i);
    parts[i].mParts = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

} // namespace wasabispar
