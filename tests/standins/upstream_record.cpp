/// @file
/// @brief Writes the record as JSON.
#include "tests/standins/upstream_record.hpp"

namespace wasabispar::standins {

namespace {

boost::json::object
ToJson(const std::map<std::string, std::uint64_t>& aCounts)
{
  boost::json::object object;
  for (const auto& [key, count] : aCounts) {
    object[key] = count;
  }
  return object;
}

} // namespace

boost::json::object
ToJson(const UpstreamRecord& aRecord)
{
  return { { "executions_by_request", ToJson(aRecord.mExecutionsByRequest) },
           { "executions_by_body", ToJson(aRecord.mExecutionsByBody) },
           { "executions_started", aRecord.mExecutionsStarted },
           { "searches_received", aRecord.mSearchesReceived },
           { "searches_started", aRecord.mSearchesStarted },
           { "searches_answered", aRecord.mSearchesAnswered },
           { "cancelled", aRecord.mCancelled },
           { "abandoned", aRecord.mAbandoned },
           { "crashes", aRecord.mCrashes },
           { "received_by_caller", ToJson(aRecord.mReceivedByCaller) },
           { "answers_by_status", ToJson(aRecord.mAnswersByStatus) } };
}

} // namespace wasabispar::standins
