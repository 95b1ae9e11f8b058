/// @file
/// @brief Report access on Boost.JSON.
#include "wasabispar/app/ctl_json.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdio>

namespace wasabispar {

namespace json = boost::json;

namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kMsPerMinute = 60 * kMsPerSecond;
constexpr double kMsPerHour = 60 * kMsPerMinute;
/// Below two units of the next size, the smaller unit is still easy to read.
constexpr double kUnitsBeforeNext = 2;

const json::array&
ArrayIn(const json::object& aObject, std::string_view aKey)
{
  static const json::array kNone;
  const auto* value = aObject.if_contains(aKey);
  return value && value->is_array() ? value->get_array() : kNone;
}

std::optional<double>
NumberOf(const json::value& aValue)
{
  if (!aValue.is_number()) {
    return std::nullopt;
  }
  return aValue.to_number<double>();
}

} // namespace

std::optional<json::object>
ParseReport(std::string_view aBody)
{
  boost::system::error_code error;
  auto value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::string
TextIn(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  if (!value || value->is_null()) {
    return "-";
  }
  if (value->is_bool()) {
    return value->get_bool() ? "yes" : "no";
  }
  if (value->is_string()) {
    return value->get_string().empty() ? "-" : std::string(value->get_string());
  }
  return json::serialize(*value);
}

std::optional<double>
NumberIn(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value ? NumberOf(*value) : std::nullopt;
}

std::uint64_t
CountIn(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  if (!value) {
    return 0;
  }
  boost::system::error_code error;
  const auto count = value->to_number<std::uint64_t>(error);
  return error ? 0 : count;
}

bool
FlagIn(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value && value->is_bool() && value->get_bool();
}

std::vector<json::object>
ObjectsIn(const json::object& aObject, std::string_view aKey)
{
  std::vector<json::object> objects;
  for (const auto& value : ArrayIn(aObject, aKey)) {
    if (value.is_object()) {
      objects.push_back(value.get_object());
    }
  }
  return objects;
}

std::string
ListIn(const json::object& aObject, std::string_view aKey)
{
  std::string text;
  for (const auto& value : ArrayIn(aObject, aKey)) {
    text += text.empty() ? "" : ", ";
    text += value.is_string() ? std::string(value.get_string()) : json::serialize(value);
  }
  return text.empty() ? "-" : text;
}

std::vector<double>
NumbersIn(const json::object& aObject, std::string_view aKey)
{
  std::vector<double> numbers;
  for (const auto& value : ArrayIn(aObject, aKey)) {
    numbers.push_back(NumberOf(value).value_or(0));
  }
  return numbers;
}

std::string
AgeIn(const json::object& aObject, std::string_view aKey)
{
  const auto age = NumberIn(aObject, aKey);
  if (!age) {
    return "-";
  }
  if (*age < kUnitsBeforeNext * kMsPerSecond) {
    return FixedText(*age, 0) + " ms";
  }
  if (*age < kUnitsBeforeNext * kMsPerMinute) {
    return FixedText(*age / kMsPerSecond, 0) + " s";
  }
  if (*age < kUnitsBeforeNext * kMsPerHour) {
    return FixedText(*age / kMsPerMinute, 0) + " min";
  }
  return FixedText(*age / kMsPerHour, 0) + " h";
}

std::string
FixedText(double aNumber, int aDigits)
{
  char text[64];
  std::snprintf(text, sizeof text, "%.*f", aDigits, aNumber);
  return text;
}

} // namespace wasabispar
