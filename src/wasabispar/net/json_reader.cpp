/// @file
/// @brief ParseJsonObject() and JsonReader on Boost.JSON.
#include "wasabispar/net/json_reader.hpp"

#include <boost/json/parse.hpp>

namespace wasabispar {

namespace json = boost::json;

Result<json::object>
ParseJsonObject(std::string_view aText, Step aStep, const std::string& aPeer)
{
  boost::system::error_code error;
  json::parse_options options;
  options.max_depth = 32;
  auto value = json::parse(aText, error, {}, options);
  if (error) {
    return Fail({ aStep, aPeer, Outcome::NotRun, "malformed JSON: " + error.message() });
  }
  if (!value.is_object()) {
    return Fail({ aStep, aPeer, Outcome::NotRun, "not a JSON object" });
  }
  return std::move(value.as_object());
}

JsonReader::JsonReader(const json::object& aObject, Step aStep, std::string aPeer)
  : mObject(aObject)
  , mStep(aStep)
  , mPeer(std::move(aPeer))
{
}

const json::value*
JsonReader::Find(std::string_view aField)
{
  return mFailure.empty() ? mObject.if_contains(aField) : nullptr;
}

void
JsonReader::RecordFailure(std::string_view aField, std::string_view aType)
{
  if (mFailure.empty()) {
    mFailure = "field '" + std::string(aField) + "' must be " + std::string(aType);
  }
}

std::string
JsonReader::Text(std::string_view aField)
{
  const auto* value = Find(aField);
  if (value && value->is_string()) {
    return std::string(value->as_string());
  }
  RecordFailure(aField, "text");
  return {};
}

std::string
JsonReader::TextOr(std::string_view aField, std::string aDefault)
{
  return Find(aField) ? Text(aField) : aDefault;
}

std::uint64_t
JsonReader::Number(std::string_view aField)
{
  const auto* value = Find(aField);
  if (value && value->is_int64() && value->as_int64() >= 0) {
    return static_cast<std::uint64_t>(value->as_int64());
  }
  if (value && value->is_uint64()) {
    return value->as_uint64();
  }
  RecordFailure(aField, "a whole number from 0");
  return 0;
}

std::uint64_t
JsonReader::NumberOr(std::string_view aField, std::uint64_t aDefault)
{
  return Find(aField) ? Number(aField) : aDefault;
}

bool
JsonReader::BoolOr(std::string_view aField, bool aDefault)
{
  const auto* value = Find(aField);
  if (!value) {
    return aDefault;
  }
  if (!value->is_bool()) {
    RecordFailure(aField, "true or false");
    return aDefault;
  }
  return value->as_bool();
}

const json::array&
JsonReader::Array(std::string_view aField)
{
  static const json::array kEmpty;
  const auto* value = Find(aField);
  if (value && value->is_array()) {
    return value->as_array();
  }
  RecordFailure(aField, "an array");
  return kEmpty;
}

const json::object&
JsonReader::Object(std::string_view aField)
{
  static const json::object kEmpty;
  const auto* value = Find(aField);
  if (value && value->is_object()) {
    return value->as_object();
  }
  RecordFailure(aField, "an object");
  return kEmpty;
}

Result<void>
JsonReader::Status() const
{
  if (!mFailure.empty()) {
    return Fail({ mStep, mPeer, Outcome::NotRun, mFailure });
  }
  return {};
}

} // namespace wasabispar
