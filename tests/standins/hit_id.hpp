/// @file
/// @brief The id of a stand-in's hit. It names the version, the shard and the query, so
/// that a test detects a mixed, wrong or short answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabispar::standins {

/// @brief One hit of a shard; text form `version|shard|number|query`.
struct HitId
{
  std::uint64_t mVersion = 0;
  std::string mShard;
  std::size_t mNumber = 0;
  std::string mQuery;

  std::string Text() const;
  /// @brief Parses the form that Text() writes; empty if malformed.
  static std::optional<HitId> Parse(std::string_view aText);
};

} // namespace wasabispar::standins
