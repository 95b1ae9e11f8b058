/// @file
/// @brief The requests that this VM may send to one cold upstream.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/routing/fleet_rate_share.hpp"
#include "wasabispar/routing/rate_window.hpp"
#include "wasabispar/routing/upstream_rate_share.hpp"

#include <cstdint>
#include <optional>
#include <set>

namespace wasabispar {

/// @brief Settings of ColdLimit.
struct ColdLimitOptions
{
  /// Added to the window of the share: how much the time from the check before the first
  /// byte to the arrival at the upstream varies. A small VM may lose its processor for
  /// 100 ms, and links between regions differ by 14 ms.
  Duration mTransitVariation = std::chrono::milliseconds(200);
};

/// @brief Counts the requests to one upstream: reserved when an upstream is chosen, sent
/// when the first byte may be written. Not thread-safe.
///
/// Invariant: while the upstream is cold, the requests sent within the window of the
/// share are at most those of the share, also if reserved ones start at the same time;
/// more only if they were sent before it became cold.
class ColdLimit
{
public:
  using ExchangeId = std::uint64_t;

  explicit ColdLimit(ColdLimitOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// @brief This VM's share of @p aPerSecond at @p aUpstream, none if @p aFleet is null.
  RateShare ShareOf(const FleetRateSharePtr& aFleet, const UpstreamId& aUpstream,
                    double aPerSecond)
  {
    return mShares.ShareOf(aFleet, aUpstream, aPerSecond);
  }
  /// @brief When a request may be reserved: @p aNow if one may be reserved now; empty if
  /// the share, or what is left of it beyond the reserved requests, allows none.
  std::optional<TimePoint> NextSendAt(const RateShare& aShare, TimePoint aNow) const;
  /// @brief The upstream was chosen for an exchange.
  void Reserve(ExchangeId aExchange);
  /// @brief The first byte is about to be written to the cold upstream. Returns false if
  /// the share no longer allows it; the exchange then gives its reservation back.
  bool Start(ExchangeId aExchange, const RateShare& aShare, TimePoint aNow);
  /// @brief The same for an upstream that is not cold, whose requests are only counted:
  /// it may become cold within the window.
  void StartUnlimited(ExchangeId aExchange, TimePoint aNow);
  /// @brief The exchange has ended or was withdrawn.
  void Release(ExchangeId aExchange);
  /// @brief Whether no request is reserved, and none was sent recently enough to count in
  /// a window.
  bool IsIdle(TimePoint aNow) const { return mReserved.empty() && aNow >= mCountsUntil; }

private:
  /// Counts a request in windows that end at most @p aKept later.
  void Count(TimePoint aNow, Duration aKept);
  RateShare WithVariation(const RateShare& aShare) const;

  ColdLimitOptions mOptions;
  RateWindow mWindow;
  /// Until when a request of mWindow may count.
  TimePoint mCountsUntil{};
  /// Exchanges whose first byte has not been written.
  std::set<ExchangeId> mReserved;
  UpstreamRateShare mShares;
};

} // namespace wasabispar
