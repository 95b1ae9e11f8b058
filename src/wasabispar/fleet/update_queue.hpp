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

/// @brief Copies after which SWIM's epidemic has reached all of @p aGroupSize members
/// with high probability, even with lost messages and without a push.
inline std::size_t
ReliableCopies(std::size_t aGroupSize)
{
  return 3 * (std::bit_width(aGroupSize) + 1);
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
    mRemainingCopies[aKey] = aCopies;
    mByRemainingCopies.emplace(aCopies, aKey);
  }

  void Remove(const Key& aKey)
  {
    const auto found = mRemainingCopies.find(aKey);
    if (found != mRemainingCopies.end()) {
      mByRemainingCopies.erase({ found->second, aKey });
      mRemainingCopies.erase(found);
    }
  }

  /// @brief At most @p aCount keys for one message.
  std::vector<Key> Take(std::size_t aCount)
  {
    std::vector<Key> taken;
    for (auto at = mByRemainingCopies.begin();
         at != mByRemainingCopies.end() && taken.size() < aCount; ++at) {
      taken.push_back(at->second);
    }
    for (const auto& key : taken) {
      const auto left = mRemainingCopies.at(key) - 1;
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
  std::map<Key, std::size_t> mRemainingCopies;
  /// The same, ordered by copies left, most first.
  std::set<std::pair<std::size_t, Key>, std::greater<>> mByRemainingCopies;
};

} // namespace wasabispar
