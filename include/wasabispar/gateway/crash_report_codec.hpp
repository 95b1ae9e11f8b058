/// @file
/// @brief Reports of requests that crash upstreams, as gossip entries between VMs.
#pragma once

#include "wasabispar/fleet/gossip_entry.hpp"
#include "wasabispar/routing/crash_limiter.hpp"

#include <optional>
#include <string>

namespace wasabispar {

/// @brief The key `request-crashes/<fingerprint in hexadecimal>/<VM>`. Each VM has a key
/// of its own for a request, so that reports do not replace each other.
std::string
CrashReportKey(RequestFingerprint aRequest, const VmId& aVm);

/// @brief The number of successive crashes in decimal.
std::string
EncodeCrashReport(const RequestCrashes& aCrashes);

/// @brief Decodes an entry; empty if it has another kind of key or is malformed.
std::optional<RequestCrashes>
DecodeCrashReport(const GossipEntry& aEntry);

} // namespace wasabispar
