/// @file
/// @brief Keeps the requests with the worst ends.
#pragma once

#include "wasabispar/app/log_cause.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace wasabispar {

/// @brief Explains the requests with the worst ends: those that may have run (lost, then
/// timeout), then failed, rejected, unrouted, partial and late ones, and of each kind
/// those that took longest. Requests without a failure and those whose caller left are
/// ignored.
class WorstRequests
{
public:
  explicit WorstRequests(std::size_t aMaximum)
    : mMaximum(aMaximum)
  {
  }

  /// @brief Takes one request; its VM's facts must be those of its end.
  void Add(const LoggedRequest& aRequest);
  /// @brief The requests kept, worst first.
  std::vector<RequestExplanation> Take();

private:
  /// The kind of the end, a higher one is worse, and the time in microseconds.
  using Rank = std::pair<int, std::uint64_t>;

  std::size_t mMaximum;
  /// At most mMaximum.
  std::multimap<Rank, RequestExplanation> mKept;
};

} // namespace wasabispar
