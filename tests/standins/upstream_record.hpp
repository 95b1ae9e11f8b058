/// @file
/// @brief What an upstream group observed; tests read it through the control port.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace wasabispar::standins {

/// @brief Counts of one upstream group.
struct UpstreamRecord
{
  /// Started executions by request id and by the member `id` of the body. A value
  /// above 1 is a double execution.
  std::map<std::string, std::uint64_t> mExecutionsByRequest;
  std::map<std::string, std::uint64_t> mExecutionsByBody;
  std::uint64_t mExecutionsStarted = 0;
  std::uint64_t mSearchesReceived = 0;
  std::uint64_t mSearchesStarted = 0;
  std::uint64_t mSearchesAnswered = 0;
  std::uint64_t mCancelled = 0;
  /// Searches and executions whose connection closed before their answer.
  std::uint64_t mAbandoned = 0;
  std::uint64_t mCrashes = 0;
  std::map<std::string, std::uint64_t> mReceivedByCaller;
  std::map<std::string, std::uint64_t> mAnswersByStatus;
};

boost::json::object
ToJson(const UpstreamRecord& aRecord);

} // namespace wasabispar::standins
