/// @file
/// @brief The requests that this VM rejected a short while ago.
///
/// Load pattern: callers contend for insufficient capacity, and some of them retry
/// immediately and often. Each attempt is a new request, so with every attempt they would
/// get a further chance at the capacity for which others wait.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

namespace wasabispar {

/// @brief Settings of RecentRejections.
struct RecentRejectionsOptions
{
  /// Largest number of records; about 100 bytes each.
  std::size_t mMaxRecords = 4096;
  /// Longest time for which a rejection is recorded.
  Duration mMaxTime = std::chrono::seconds(2);
};

/// @brief Records rejected requests by their fingerprint, each for a given time. Copies
/// of a request by different callers cannot be told apart. Not thread-safe.
///
/// Invariant: holds at most RecentRejectionsOptions::mMaxRecords records; the one that
/// ends first makes room for another.
class RecentRejections
{
public:
  explicit RecentRejections(RecentRejectionsOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// @brief The request was rejected; the record ends at @p aUntil, or after
  /// RecentRejectionsOptions::mMaxTime. A later end replaces an earlier one.
  void OnRejected(RequestFingerprint aRequest, TimePoint aUntil, TimePoint aNow);
  /// @brief Whether a record of the request has not ended.
  bool IsRecorded(RequestFingerprint aRequest, TimePoint aNow) const;
  /// @brief Number of records, including those that ended since the last OnRejected().
  std::size_t Size() const { return mEndByRequest.size(); }

private:
  void Erase(RequestFingerprint aRequest);
  /// Removes the records that have ended, and the first ones above the maximum.
  void Trim(TimePoint aNow);

  RecentRejectionsOptions mOptions;
  std::unordered_map<std::uint64_t, TimePoint> mEndByRequest;
  /// Invariant: holds the end of each element of mEndByRequest.
  std::set<std::pair<TimePoint, std::uint64_t>> mByEnd;
};

} // namespace wasabispar
