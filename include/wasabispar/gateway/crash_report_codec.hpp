/// @file
/// @brief Reports of requests that crash upstreams, as gossip entries between VMs.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/fleet/gossip_entry.hpp"
#include "wasabispar/routing/crash_limiter.hpp"

#include <optional>
#include <string>

namespace wasabispar {

/// Time to live of a report when it is published. What is left of it tells the age of a
/// received report.
constexpr Duration kCrashReportTtl = CrashLimiterOptions().mMemory;

/// @brief The key `request-crashes/<fingerprint>/<VM>/<incarnation>`, with numbers in
/// hexadecimal. Each process has a key of its own for a request, so that reports do not
/// replace each other.
std::string
CrashReportKey(RequestFingerprint aRequest, const CrashReporter& aReporter);

/// @brief The process that published a report. VMs of older versions leave the
/// incarnation out of the key.
CrashReporter
CrashReporterOf(const GossipEntry& aEntry);

/// @brief The crashes, separated by commas, each as `<service>:<sent>:<lost>`, then `;`
/// and the completion as `<service>:<completed>` if there is one. Services are
/// fingerprints in hexadecimal, times are milliseconds before @p aNow. Leaves out the
/// oldest crashes if there are many.
std::string
EncodeCrashReport(const RequestCrashReport& aReport, TimePoint aNow);

/// @brief Decodes an entry that was received at @p aNow; empty if it has another kind of
/// key or is malformed.
std::optional<RequestCrashReport>
DecodeCrashReport(const GossipEntry& aEntry, TimePoint aNow);

} // namespace wasabispar
