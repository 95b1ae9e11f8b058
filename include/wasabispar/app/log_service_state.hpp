/// @file
/// @brief The state of a service's upstreams at one time, from the log of a VM.
#pragma once

#include "wasabispar/app/log_facts.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace wasabispar {

/// @brief Why a VM sends an upstream nothing, or fewer requests.
enum class LoggedUpstreamState : std::uint8_t
{
  /// The log has no reason.
  Usable,
  /// At most as many requests as its limit permits.
  Limited,
  /// At most as many requests as the share for a cold upstream permits.
  Cold,
  Quiet,
  Evacuated,
  AnnouncedLeaving,
  Draining,
  Removed,
};

/// @brief The state in words, for example `announced leaving`.
std::string
ToText(LoggedUpstreamState aState);

/// @brief The number of a service's upstreams in each state; states without any are
/// missing.
struct ServiceState
{
  std::map<LoggedUpstreamState, std::size_t> mCounts;
  /// Whether a state depends on a period without a known time, or on an upstream whose
  /// data centre is not logged while one is evacuated.
  bool mIsUncertain = false;

  std::size_t Count(LoggedUpstreamState aState) const;
  std::size_t Total() const;
};

/// @brief The state of one upstream as the VM knew it.
/// @param aAtMs the log's time; empty: at the end of the facts.
/// @return empty if no line on the upstream is that old.
std::optional<LoggedUpstreamState>
UpstreamStateAt(const VmFacts& aVm, const UpstreamFacts& aUpstream,
                std::optional<std::int64_t> aAtMs);

/// @brief The states of all upstreams of a service; @p aAtMs as for UpstreamStateAt().
ServiceState
ServiceStateAt(const VmFacts& aVm, const std::string& aService,
               std::optional<std::int64_t> aAtMs);

} // namespace wasabispar
