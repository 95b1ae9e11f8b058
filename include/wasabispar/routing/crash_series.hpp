/// @file
/// @brief The crashes of upstreams with one request, and how many of them followed each
/// other.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wasabispar {

/// @brief Hash of the name of a service; the same at all VMs.
using ServiceFingerprint = StrongNumber<struct ServiceFingerprintTag>;

/// @brief An upstream that crashed while it ran a copy of a request.
struct RequestCrash
{
  /// The service of the upstream.
  ServiceFingerprint mService;
  /// When the copy was sent.
  TimePoint mSentAt;
  /// When its connection was lost; not before mSentAt.
  TimePoint mLostAt;

  bool operator==(const RequestCrash&) const = default;
};

using RequestCrashes = std::vector<RequestCrash>;

/// @brief The greatest number of crashes of which each copy was sent after the copy
/// before was lost. Upstreams that fail together, while copies of a frequent request run
/// on each of them, count once.
std::uint32_t
CountSuccessiveCrashes(RequestCrashes aCrashes);

/// @brief Leaves out crashes that make no difference to CountSuccessiveCrashes(), neither
/// for all crashes nor for those of one service: of those that overlap the same first
/// loss, one for each service, and of at most @p aMaxServices services.
RequestCrashes
CompactCrashes(RequestCrashes aCrashes, std::size_t aMaxServices);

/// @brief The crashes of one service.
RequestCrashes
CrashesOfService(const RequestCrashes& aCrashes, ServiceFingerprint aService);

} // namespace wasabispar
