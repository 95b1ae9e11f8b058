/// @file
/// @brief Keys waiting to be piggybacked on probes.
#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <map>
#include <vector>

namespace wasabispar {

/// @brief Hands out each key a number of times that grows with the logarithm of the
/// group, those sent least first. With 3 log2(n) copies SWIM's epidemic reaches all
/// members with high probability.
template<class Key>
class UpdateQueue
{
public:
  /// @brief Starts to hand out @p aKey, from the beginning if it is already queued.
  void Add(const Key& aKey) { mSent[aKey] = 0; }
  void Remove(const Key& aKey) { mSent.erase(aKey); }
  std::size_t Size() const { return mSent.size(); }

  /// @brief At most @p aCount keys for one message in a group of @p aGroup members.
  std::vector<Key> Take(std::size_t aCount, std::size_t aGroup)
  {
    if (mSent.empty()) {
      return {};
    }
    std::vector<std::pair<std::size_t, const Key*>> queued;
    queued.reserve(mSent.size());
    for (const auto& [key, sent] : mSent) {
      queued.emplace_back(sent, &key);
    }
    const auto count = std::min(aCount, queued.size());
    std::partial_sort(queued.begin(), queued.begin() + static_cast<std::ptrdiff_t>(count),
                      queued.end(), [](const auto& aLeft, const auto& aRight) {
                        return aLeft.first != aRight.first
                                 ? aLeft.first < aRight.first
                                 : *aLeft.second < *aRight.second;
                      });
    std::vector<Key> taken;
    taken.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      taken.push_back(*queued[i].second);
    }
    const std::size_t copies = 3 * (std::bit_width(aGroup) + 1);
    for (const auto& key : taken) {
      const auto entry = mSent.find(key);
      if (++entry->second >= copies) {
        mSent.erase(entry);
      }
    }
    return taken;
  }

private:
  /// Number of times each key was handed out.
  std::map<Key, std::size_t> mSent;
};

} // namespace wasabispar
