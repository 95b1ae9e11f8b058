/// @file
/// @brief Merges the fixed-size records of the parts of a fan-out.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief Size of one record in bytes.
inline constexpr std::size_t kRecordBytes = 16;

/// @brief The @p aMaxRecords greatest records of all bodies, greatest first, compared
/// byte by byte as unsigned values. Equal records are all kept. A remainder of a body
/// that is shorter than a record is ignored.
std::string
MergeGreatestRecords(const std::vector<std::string_view>& aBodies,
                     std::size_t aMaxRecords);

} // namespace wasabispar
