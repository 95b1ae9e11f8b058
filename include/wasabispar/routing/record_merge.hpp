/// @file
/// @brief Merge of the fixed-size records of several parts.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief Size of one record in bytes.
inline constexpr std::size_t kRecordBytes = 16;

/// @brief The greatest @p aMaxRecords records of all bodies, greatest first, compared
/// byte by byte as unsigned values. Equal records all count; a shorter remainder is no
/// record.
std::string
MergeGreatestRecords(const std::vector<std::string_view>& aBodies,
                     std::size_t aMaxRecords);

} // namespace wasabispar
