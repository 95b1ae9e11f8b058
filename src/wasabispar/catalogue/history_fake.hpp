/// @file
/// @brief Test fake of the platform's history, and the naive expected: a replay of it.
#pragma once

#include "wasabispar/catalogue/catalogue.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief All revisions ever written, oldest first.
class HistoryFake
{
public:
  /// @brief Writes one revision; of @p aKind 3 is a deletion, 2 an invalid document.
  void Write(int aKey, int aKind)
  {
    const auto revision = Head().Next();
    const auto document = R"({"index":"i)" + std::to_string(revision.Value()) + "\"}";
    mItems.push_back({ ProfileName("p" + std::to_string(aKey)), revision, aKind == 3,
                       aKind == 3   ? ""
                       : aKind == 2 ? "{"
                                    : document });
  }

  Revision Head() const { return mItems.empty() ? Revision(0) : mItems.back().mRevision; }

  /// @brief The platform's reply to a read when it is at @p aAt.
  CatalogueDelta List(Revision aAt) const
  {
    std::vector<CatalogueItem> items;
    for (const auto& [name, item] : Last(Revision(0), aAt)) {
      if (!item.mDeleted) {
        items.push_back(item);
      }
    }
    return PlatformList(aAt, std::move(items));
  }

  /// @brief The platform's reply to a watch when it is at @p aAt.
  CatalogueDelta Changes(Revision aAfter, Revision aAt) const
  {
    std::vector<CatalogueItem> items;
    for (const auto& [name, item] : Last(aAfter, aAt)) {
      items.push_back(item);
    }
    return PlatformChanges(aAfter, aAt, std::move(items));
  }

  /// @brief How @p aView differs from a replay up to its revision; empty if not. A key
  /// whose newest document is invalid may have any older state in effect, as the
  /// platform does not show earlier documents to a VM that starts.
  std::string Violation(const CatalogueView& aView) const
  {
    const auto expected = Last(Revision(0), aView.AppliedRevision());
    for (const auto& name : aView.Names()) {
      if (expected.count(name) == 0) {
        return name.Text() + " does not exist";
      }
    }
    for (const auto& [name, item] : expected) {
      const auto found = aView.Find(name);
      const bool active = found.mStatus == ProfileStatus::Active;
      const bool same = item.mDeleted ? !active
                                      : active && found.mRevision == item.mRevision &&
                                          found.mProfile->mIndex.Text() ==
                                            "i" + std::to_string(item.mRevision.Value());
      const bool invalid = item.mDocument == "{";
      if (invalid ? found.mRevision >= item.mRevision : !same) {
        return name.Text() + " differs at " +
               std::to_string(aView.AppliedRevision().Value());
      }
    }
    return {};
  }

  /// @brief A profile or the catalogue that went to a lower revision; empty if none.
  static std::string Reverted(const CatalogueView& aBefore, const CatalogueView& aAfter)
  {
    for (const auto& name : aBefore.Names()) {
      if (aAfter.Find(name).mRevision < aBefore.Find(name).mRevision) {
        return name.Text();
      }
    }
    return aAfter.AppliedRevision() < aBefore.AppliedRevision() ? "catalogue" : "";
  }

private:
  /// The last item of each key with a revision after @p aAfter and up to @p aAt.
  std::map<ProfileName, CatalogueItem> Last(Revision aAfter, Revision aAt) const
  {
    std::map<ProfileName, CatalogueItem> last;
    for (const auto& item : mItems) {
      if (item.mRevision > aAfter && item.mRevision <= aAt) {
        last[item.mName] = item;
      }
    }
    return last;
  }

  std::vector<CatalogueItem> mItems;
};

} // namespace wasabispar
