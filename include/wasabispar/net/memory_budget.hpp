/// @file
/// @brief How many bytes this VM may hold for callers and upstreams, by direction.
#pragma once

#include "wasabispar/net/byte_budget.hpp"

#include <cstdint>
#include <memory>

namespace wasabispar {

/// @brief Most bytes that are held at the same time in each direction.
struct MemoryShares
{
  /// Answers from upstreams, from their first byte until they are passed on.
  std::uint64_t mAnswers = 0;
  /// Bodies of callers' requests, from their first byte to the end of the last exchange.
  std::uint64_t mRequests = 0;
  /// Responses that callers do not read as fast as they are written.
  std::uint64_t mWaiting = 0;

  bool operator==(const MemoryShares&) const = default;
};

/// @brief The shares of a VM with @p aMemoryBytes.
MemoryShares
DivideMemory(std::uint64_t aMemoryBytes);

/// @brief The budgets of all directions. Used on one worker.
///
/// The shares are fixed: a direction that is used up takes nothing from the others, so
/// that callers that do not read cannot stop answers from being read.
class MemoryBudget
{
public:
  explicit MemoryBudget(const MemoryShares& aShares);

  const std::shared_ptr<ByteBudget>& Answers() const { return mAnswers; }
  const std::shared_ptr<ByteBudget>& Requests() const { return mRequests; }
  const std::shared_ptr<ByteBudget>& Waiting() const { return mWaiting; }

  /// @brief Whether a request with a body of @p aBodyBytes may begin; 0 if the length is
  /// not known yet. False also when the answers to the running requests may need what is
  /// left of their share.
  bool MayBegin(std::uint64_t aBodyBytes) const;

private:
  std::shared_ptr<ByteBudget> mAnswers;
  std::shared_ptr<ByteBudget> mRequests;
  std::shared_ptr<ByteBudget> mWaiting;
};

} // namespace wasabispar
