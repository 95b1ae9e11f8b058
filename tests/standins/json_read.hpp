/// @file
/// @brief Tolerant reads from JSON: a missing or mistyped member is empty.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabispar::standins {

/// @brief The object that @p aText holds; empty when it holds something else.
std::optional<boost::json::object>
ParseObject(std::string_view aText);

std::string
ReadText(const boost::json::object& aObject, std::string_view aName);

/// @brief The member as whole number; empty when it is absent, negative or no number.
std::optional<std::uint64_t>
ReadNumber(const boost::json::object& aObject, std::string_view aName);

} // namespace wasabispar::standins
