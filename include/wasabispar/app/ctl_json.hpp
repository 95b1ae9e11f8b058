/// @file
/// @brief Reads the reports of the operator port. A missing or unexpected value is shown
/// as `-`, so that the command line also reads reports of older and newer VMs.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief Parses a report; empty when @p aBody is not a JSON object.
std::optional<boost::json::object>
ParseReport(std::string_view aBody);

/// @brief The value as table text: strings as they are, booleans as `yes` and `no`,
/// missing, null or empty ones as `-`.
std::string
TextIn(const boost::json::object& aObject, std::string_view aKey);

/// @brief The number; empty when it is missing or no number.
std::optional<double>
NumberIn(const boost::json::object& aObject, std::string_view aKey);

/// @brief The count; 0 when it is missing or no number.
std::uint64_t
CountIn(const boost::json::object& aObject, std::string_view aKey);

/// @brief Whether the value is `true`.
bool
FlagIn(const boost::json::object& aObject, std::string_view aKey);

/// @brief The objects of a list; none when it is missing.
std::vector<boost::json::object>
ObjectsIn(const boost::json::object& aObject, std::string_view aKey);

/// @brief The strings of a list, separated by `, `; `-` when there are none.
std::string
ListIn(const boost::json::object& aObject, std::string_view aKey);

/// @brief The numbers of a list.
std::vector<double>
NumbersIn(const boost::json::object& aObject, std::string_view aKey);

/// @brief A number of milliseconds in a readable unit, for example `350 ms`, `12 s` or
/// `3 min`; `-` when it is missing.
std::string
AgeIn(const boost::json::object& aObject, std::string_view aKey);

/// @brief A number with @p aDigits digits after the point.
std::string
FixedText(double aNumber, int aDigits);

} // namespace wasabispar
