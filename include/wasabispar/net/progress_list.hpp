/// @file
/// @brief Items in the order of their last progress.
#pragma once

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace wasabispar {

/// @brief Finds the item that has made no progress for the longest time. All functions
/// take constant time.
template<class Item>
class ProgressList
{
public:
  /// @brief Adds an item, or records progress of one that is in the list.
  void Touch(const Item& aItem)
  {
    Remove(aItem);
    mPositions.emplace(aItem, mItems.insert(mItems.end(), aItem));
  }
  /// @brief Removes an item; does nothing if it is not in the list.
  void Remove(const Item& aItem)
  {
    const auto found = mPositions.find(aItem);
    if (found != mPositions.end()) {
      mItems.erase(found->second);
      mPositions.erase(found);
    }
  }
  bool Contains(const Item& aItem) const { return mPositions.contains(aItem); }
  /// @brief The item without progress for the longest time; empty if there is none.
  std::optional<Item> Oldest() const
  {
    return mItems.empty() ? std::nullopt : std::optional(mItems.front());
  }
  std::size_t Size() const { return mItems.size(); }

private:
  /// The oldest progress first.
  std::list<Item> mItems;
  /// Invariant: the position of each element of mItems.
  std::unordered_map<Item, typename std::list<Item>::iterator> mPositions;
};

} // namespace wasabispar
