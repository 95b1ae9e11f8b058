/// @file
/// @brief The records of recent requests, for `GET /v1/explain/<id>`.
#pragma once

#include "wasabispar/base/ids.hpp"
#include "wasabispar/query/query_trace.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace wasabispar {

/// @brief A record with what the query layer does not know.
struct StoredExplain
{
  ProfileName mProfile;
  CallerId mCaller;
  QueryTrace mRecord;
};

/// @brief Keeps a bounded number of records, the newest ones. Thread-safe.
class ExplainStore
{
public:
  explicit ExplainStore(std::size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  void Add(StoredExplain aExplain);
  /// @brief The record, or null when it is unknown or was replaced.
  std::shared_ptr<const StoredExplain> Find(const RequestId& aRequest) const;

private:
  const std::size_t mCapacity;
  /// Guards the members below.
  mutable std::mutex mMutex;
  std::unordered_map<RequestId, std::shared_ptr<const StoredExplain>> mRecords;
  /// Invariant: holds each key of mRecords once, oldest first.
  std::deque<RequestId> mOrder;
};

} // namespace wasabispar
