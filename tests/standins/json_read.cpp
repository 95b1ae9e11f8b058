/// @file
/// @brief Implements the tolerant reads.
#include "tests/standins/json_read.hpp"

namespace wasabispar::standins {

namespace json = boost::json;

std::optional<json::object>
ParseObject(std::string_view aText)
{
  boost::system::error_code error;
  auto value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::string
ReadText(const json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return std::string(value->get_string());
}

std::optional<std::uint64_t>
ReadNumber(const json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return number;
}

} // namespace wasabispar::standins
