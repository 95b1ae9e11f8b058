/// @file
/// @brief Test fake of the platform's history, and checks of a catalogue against a replay
/// of the history.
#pragma once

#include "wasabispar/catalogue/catalogue.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief The history of the platform: all written revisions, oldest first.
class HistoryFake
{
public:
  /// @brief Writes one revision of the key p<aKey>. If @p aKind is 3, the revision is a
  /// deletion; if 2, an invalid document; otherwise a valid document.
  void Write(int aKey, int aKind)
  {
    const auto revision = Head().Next();
    const auto document = R"({"index":"i)" + std::to_string(revision.Value()) + "\"}";
    mItems.push_back({ ProfileName("p" + std::to_string(aKey)), revision, aKind == 3,
                       aKind == 3   ? ""
                       : aKind == 2 ? "{"
                                    : document });
  }

  /// @brief The last revision; 0 if none was written.
  Revision Head() const { return mItems.empty() ? Revision(0) : mItems.back().mRevision; }

  /// @brief Reply to a read of a platform that has the history up to @p aAt.
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

  /// @brief Reply to a watch after @p aAfter of a platform that has the history up to
  /// @p aAt.
  CatalogueDelta Changes(Revision aAfter, Revision aAt) const
  {
    std::vector<CatalogueItem> items;
    for (const auto& [name, item] : Last(aAfter, aAt)) {
      items.push_back(item);
    }
    return PlatformChanges(aAfter, aAt, std::move(items));
  }

  /// @brief Describes how @p aView differs from a replay of the history up to the
  /// revision of the view; empty if it does not differ. A key whose newest document is
  /// invalid may have any older state in effect, as the platform does not send earlier
  /// documents to a VM that starts.
  std::string DescribeMismatch(const CatalogueView& aView) const
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

  /// @brief The name of a profile that has a lower revision in @p aAfter than in
  /// @p aBefore, or `catalogue` if the applied revision is lower; empty if there is none.
  static std::string FindReverted(const CatalogueView& aBefore,
                                  const CatalogueView& aAfter)
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
