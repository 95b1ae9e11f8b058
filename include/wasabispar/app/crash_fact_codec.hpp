/// @file
/// @brief Crash findings as facts of the fleet.
#pragma once

#include "wasabispar/fleet/gossip_entry.hpp"
#include "wasabispar/upstream/crash_tracker.hpp"

#include <optional>
#include <string>

namespace wasabispar {

inline constexpr std::string_view kCrashFactPrefix = "crash/";
inline constexpr std::string_view kLeavingFactPrefix = "upstream-leaving/";

/// @brief The key `crash/<fingerprint in hexadecimal>`.
std::string
CrashFactKey(const CrashReport& aFact);

/// @brief The value as JSON. Upstreams and shards beyond 16 are left out, so that the
/// value stays within the size limit of a fact.
std::string
EncodeCrashFact(const CrashReport& aFact);

/// @brief Parses a fact with the prefix `crash/`; empty when it is malformed.
std::optional<CrashReport>
DecodeCrashFact(const GossipEntry& aFact);

} // namespace wasabispar
