/// @file
/// @brief Collection of the parts of a delta.
#include "wasabispar/catalogue/delta_assembler.hpp"

#include <iterator>

namespace wasabispar {
namespace {

/// Most parts of a delta. Limits the memory allocated for a malformed part count.
constexpr std::uint32_t kMaxParts = 4096;

} // namespace

bool
DeltaAssembler::Continues(std::string_view aSource, const CatalogueDelta& aPart) const
{
  if (aSource != mSource || mParts.size() != aPart.mParts) {
    return false;
  }
  for (const auto& part : mParts) {
    if (part) {
      return part->mFrom == aPart.mFrom && part->mTo == aPart.mTo &&
             part->mFullList == aPart.mFullList &&
             part->mDeletionsFrom == aPart.mDeletionsFrom;
    }
  }
  return true;
}

std::optional<CatalogueDelta>
DeltaAssembler::Add(std::string_view aSource, CatalogueDelta aPart)
{
  if (aPart.mPart >= aPart.mParts || aPart.mParts > kMaxParts) {
    return std::nullopt;
  }
  if (aPart.mParts == 1) {
    return aPart;
  }
  if (!Continues(aSource, aPart)) {
    mSource = aSource;
    mParts.assign(aPart.mParts, std::nullopt);
    mMissing = aPart.mParts;
  }
  auto& slot = mParts[aPart.mPart];
  if (!slot) {
    slot = std::move(aPart);
    --mMissing;
  }
  if (mMissing > 0) {
    return std::nullopt;
  }
  auto whole = std::move(*mParts.front());
  for (std::size_t i = 1; i < mParts.size(); ++i) {
    auto& items = mParts[i]->mItems;
    std::move(items.begin(), items.end(), std::back_inserter(whole.mItems));
  }
  whole.mPart = 0;
  whole.mParts = 1;
  mParts.clear();
  mSource.clear();
  return whole;
}

} // namespace wasabispar
