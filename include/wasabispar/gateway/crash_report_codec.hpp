/// @file
/// @brief Reports of crashed upstreams as gossip entries between VMs.
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

/// @brief The upstreams as a JSON array. Those beyond four are left out, which are more
/// than CrashLimiter needs to block the request.
std::string
EncodeCrashReport(const RequestCrashes& aCrashes);

/// @brief Decodes an entry; empty if it has another kind of key or is malformed.
std::optional<RequestCrashes>
DecodeCrashReport(const GossipEntry& aEntry);

} // namespace wasabispar
