/// @file
/// @brief Keys waiting to be piggybacked on probes.
#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <map>
#include <vector>

namespace wasabispar {

/// @brief Copies after which SWIM's epidemic has reached all of @p aGroup members with
/// high probability, even with lost messages and without a push.
inline std::size_t
ReliableCopies(std::size_t aGroup)
{
  return 3 * (std::bit_width(aGroup) + 1);
}

/// @brief Copies of news that the members also learn in another way.
inline std::size_t
SparseCopies(std::size_t aGroup)
{
  return std::bit_width(aGroup) + 3;
}

/// @brief Hands out each key a number of times, those with most copies left first.
template<class Key>
class UpdateQueue
{
public:
  /// @brief Starts to hand out @p aKey, from the beginning if it is already queued.
  void Add(const Key& aKey, std::size_t aCopies) { mLeft[aKey] = aCopies; }
  void Remove(const Key& aKey) { mLeft.erase(aKey); }
  std::size_t Size() const { return mLeft.size(); }

  /// @brief At most @p aCount keys for one message.
  std::vector<Key> Take(std::size_t aCount)
  {
    if (mLeft.empty()) {
      return {};
    }
    std::vector<std::pair<std::size_t, const Key*>> queued;
    queued.reserve(mLeft.size());
    for (const auto& [key, left] : mLeft) {
      queued.emplace_back(left, &key);
    }
    const auto count = std::min(aCount, queued.size());
    std::partial_sort(queued.begin(), queued.begin() + static_cast<std::ptrdiff_t>(count),
                      queued.end(), [](const auto& aFirst, const auto& aSecond) {
                        return aFirst.first != aSecond.first
                                 ? aFirst.first > aSecond.first
                                 : *aFirst.second < *aSecond.second;
                      });
    std::vector<Key> taken;
    taken.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      taken.push_back(*queued[i].second);
    }
    for (const auto& key : taken) {
      const auto entry = mLeft.find(key);
      if (--entry->second == 0) {
        mLeft.erase(entry);
      }
    }
    return taken;
  }

private:
  /// Copies left of each key, at least 1.
  std::map<Key, std::size_t> mLeft;
};

} // namespace wasabispar
