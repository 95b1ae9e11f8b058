/// @file
/// @brief Queue of the keys whose updates are piggybacked on probes.
#pragma once

#include <bit>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace wasabispar {

/// @brief Number of messages on which an update must be piggybacked to reach all of
/// @p aGroupSize members with high probability, even if messages are lost and the update
/// is not pushed. Grows with the logarithm of the group size, as in SWIM.
inline std::size_t
ReliableCopies(std::size_t aGroupSize)
{
  return 3 * (std::bit_width(aGroupSize) + 1);
}

/// @brief Returns each key a given number of times, keys with the most remaining copies
/// first.
template<class Key>
class UpdateQueue
{
public:
  /// @brief Queues @p aKey for @p aCopies messages, at least 1. Replaces the remaining
  /// copies of a key that is already queued.
  void Add(const Key& aKey, std::size_t aCopies)
  {
    Remove(aKey);
    mRemainingCopies[aKey] = aCopies;
    mByRemainingCopies.emplace(aCopies, aKey);
  }

  /// @brief Removes @p aKey; does nothing if it is not queued.
  void Remove(const Key& aKey)
  {
    const auto found = mRemainingCopies.find(aKey);
    if (found != mRemainingCopies.end()) {
      mByRemainingCopies.erase({ found->second, aKey });
      mRemainingCopies.erase(found);
    }
  }

  /// @brief Takes one copy each of at most @p aCount keys for one message.
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
  /// Remaining copies of each key, at least 1.
  std::map<Key, std::size_t> mRemainingCopies;
  /// The pairs of mRemainingCopies, ordered by remaining copies, most first.
  std::set<std::pair<std::size_t, Key>, std::greater<>> mByRemainingCopies;
};

} // namespace wasabispar
