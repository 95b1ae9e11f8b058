/// @file
/// @brief Keys waiting to be piggybacked on probes.
#pragma once

#include <bit>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace wasabispar {

/// @brief Copies after which SWIM's epidemic has reached all of @p aGroup members with
/// high probability, even with lost messages and without a push.
inline std::size_t
ReliableCopies(std::size_t aGroup)
{
  return 3 * (std::bit_width(aGroup) + 1);
}

/// @brief Hands out each key a number of times, those with most copies left first.
template<class Key>
class UpdateQueue
{
public:
  /// @brief Starts to hand out @p aKey, from the beginning if it is already queued.
  void Add(const Key& aKey, std::size_t aCopies)
  {
    Remove(aKey);
    mLeft[aKey] = aCopies;
    mOrder.emplace(aCopies, aKey);
  }

  void Remove(const Key& aKey)
  {
    const auto found = mLeft.find(aKey);
    if (found != mLeft.end()) {
      mOrder.erase({ found->second, aKey });
      mLeft.erase(found);
    }
  }

  /// @brief At most @p aCount keys for one message.
  std::vector<Key> Take(std::size_t aCount)
  {
    std::vector<Key> taken;
    for (auto at = mOrder.begin(); at != mOrder.end() && taken.size() < aCount; ++at) {
      taken.push_back(at->second);
    }
    for (const auto& key : taken) {
      const auto left = mLeft.at(key) - 1;
      if (left == 0) {
        Remove(key);
      } else {
        Add(key, left);
      }
    }
    return taken;
  }

private:
  /// Copies left of each key, at least 1.
  std::map<Key, std::size_t> mLeft;
  /// The same, ordered by copies left, most first.
  std::set<std::pair<std::size_t, Key>, std::greater<>> mOrder;
};

} // namespace wasabispar
