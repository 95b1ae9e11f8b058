/// @file
/// @brief Division of the VM's memory, and admission of requests.
#include "wasabispar/net/memory_budget.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

/// Memory for everything else: code, tables of upstreams and members, metrics, and the
/// buffers of 3,000 connections of about 6 kB.
constexpr std::uint64_t kProcessBytes = 40'000'000;
/// A string that grows while it is read takes up to twice its length.
constexpr std::uint64_t kGrowthFactor = 2;
/// On a very small VM, the shares together are at least one in this many bytes.
constexpr std::uint64_t kMinPartDivisor = 8;
constexpr std::uint64_t kShareCount = 3;
/// New requests begin while answers of unknown length hold at most this part of the share
/// for answers. The rest is for the answers to those that run.
constexpr std::uint64_t kAdmissionNumerator = 3;
constexpr std::uint64_t kAdmissionDivisor = 4;
/// New requests begin while at most this many times the share for answers waits to be
/// read. The kernel holds a part of what waits, for which there is memory: a string of
/// known length does not grow (kGrowthFactor).
constexpr std::uint64_t kWaitingFactor = 2;

} // namespace

MemoryShares
DivideMemory(std::uint64_t aMemoryBytes)
{
  const auto free = aMemoryBytes - std::min(aMemoryBytes, kProcessBytes);
  const auto total = std::max(free / kGrowthFactor, aMemoryBytes / kMinPartDivisor);
  const auto share = total / kShareCount;
  return { share, share, share };
}

MemoryBudget::MemoryBudget(const MemoryShares& aShares)
  : mAnswers(std::make_shared<ByteBudget>(aShares.mAnswers))
  , mRequests(std::make_shared<ByteBudget>(aShares.mRequests))
  , mWaiting(std::make_shared<ByteBudget>(aShares.mWaiting))
{
}

bool
MemoryBudget::MayBegin(std::uint64_t aBodyBytes) const
{
  const auto forNew = mAnswers->Limit() / kAdmissionDivisor * kAdmissionNumerator;
  return aBodyBytes <= mRequests->Available() && mAnswers->ReservedAsRead() <= forNew &&
         mAnswers->WaitingBytes() <= mAnswers->Limit() * kWaitingFactor;
}

} // namespace wasabispar
