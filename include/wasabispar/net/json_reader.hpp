/// @file
/// @brief Parses JSON objects and reads their fields with type checks.
#pragma once

#include "wasabispar/base/error.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabispar {

/// @brief Parses @p aText as a JSON object nested at most 32 levels deep. Otherwise fails
/// with an error for @p aStep and @p aPeer.
Result<boost::json::object>
ParseJsonObject(std::string_view aText, Step aStep, const std::string& aPeer);

/// @brief Reads the fields of one object. A read fails if the field has another type, or
/// if it is missing and the read has no default. After the first failure, all reads
/// return a default value; check Status() once at the end.
class JsonReader
{
public:
  /// @brief Reads @p aObject, which must outlive the reader. Errors state @p aStep and
  /// @p aPeer.
  JsonReader(const boost::json::object& aObject, Step aStep, std::string aPeer);

  std::string Text(std::string_view aField);
  std::string TextOr(std::string_view aField, std::string aDefault);
  std::uint64_t Number(std::string_view aField);
  std::uint64_t NumberOr(std::string_view aField, std::uint64_t aDefault);
  bool BoolOr(std::string_view aField, bool aDefault);
  /// @brief The array @p aField; empty on failure.
  const boost::json::array& Array(std::string_view aField);
  /// @brief The object @p aField; empty on failure.
  const boost::json::object& Object(std::string_view aField);

  /// @brief Succeeds if no read failed; otherwise fails with the first failure.
  Result<void> Status() const;

private:
  const boost::json::object& mObject;
  Step mStep;
  std::string mPeer;
  /// The first failure; empty if there is none.
  std::string mFailure;

  const boost::json::value* Find(std::string_view aField);
  void RecordFailure(std::string_view aField, std::string_view aType);
};

} // namespace wasabispar
