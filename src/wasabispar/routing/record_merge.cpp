/// @file
/// @brief Merges records by a partial sort.
#include "wasabispar/routing/record_merge.hpp"

#include <algorithm>

namespace wasabispar {

std::string
MergeGreatestRecords(const std::vector<std::string_view>& aBodies,
                     std::size_t aMaxRecords)
{
  std::vector<std::string_view> records;
  for (const auto body : aBodies) {
    for (std::size_t at = 0; at + kRecordBytes <= body.size(); at += kRecordBytes) {
      records.push_back(body.substr(at, kRecordBytes));
    }
  }
  const auto count = std::min(aMaxRecords, records.size());
  const auto middle = records.begin() + static_cast<std::ptrdiff_t>(count);
  // std::string_view compares with memcmp semantics, that is, as unsigned bytes.
  std::partial_sort(records.begin(), middle, records.end(), std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  std::for_each(records.begin(), middle,
                [&merged](std::string_view aRecord) { merged += aRecord; });
  return merged;
}

} // namespace wasabispar
