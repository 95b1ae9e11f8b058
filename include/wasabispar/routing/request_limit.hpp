/// @file
/// @brief The rate at which this VM may send requests to an upstream that limits the
/// requests which it takes from all VMs together.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/random.hpp"
#include "wasabispar/routing/fleet_rate_share.hpp"
#include "wasabispar/routing/rate_window.hpp"
#include "wasabispar/routing/upstream_rate_share.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace wasabispar {

/// @brief Settings of RequestLimit.
struct RequestLimitOptions
{
  /// A lower limit, in requests a second of all VMs, counts as this one, so that the VMs
  /// learn when the upstream names no limit any more.
  double mMinLimit = 0.25;
  /// Time for which a VM saves up the requests that it does not send. It saves up one
  /// request at least.
  Duration mBurstTime = std::chrono::milliseconds(250);
};

/// @brief How a limit is divided among the VMs.
struct LimitDivision
{
  /// Number of VMs that share the limit, at least 1.
  std::size_t mVms = 1;
  /// This VM's whole requests if there are more VMs than the limit has requests per
  /// second; empty if all VMs have equal shares.
  std::optional<RateShare> mShare;
  /// If mShare has no request: the period in which this VM may send one, to learn whether
  /// the limit has ended.
  Duration mProbePeriod{};

  bool operator==(const LimitDivision&) const = default;
};

/// @brief Divides the limit @p aPerSecond of an upstream. With more VMs than requests per
/// second, some VMs share three quarters of the limit in whole requests, and the others
/// together probe at up to an eighth of it.
/// @param aShares of this upstream.
/// @param aFleet null if this VM has no share.
/// @param aVms number of VMs, at least 1.
LimitDivision
DivideLimit(UpstreamRateShare& aShares, const FleetRateSharePtr& aFleet, std::size_t aVms,
            const UpstreamId& aUpstream, double aPerSecond);

/// @brief Follows the limit that one upstream names and gives this VM a share of it. Not
/// thread-safe.
///
/// Requests are reserved when the upstream is chosen, and counted when the first byte may
/// be written: a request that waits for a connection in between arrives later than it was
/// chosen.
///
/// Invariant: with equal shares, this VM sends in any time T at most its share of T and
/// of mBurstTime, and one request more; with whole requests, at most those of its share
/// in any window of it, also if reserved ones start at the same time.
class RequestLimit
{
public:
  using ExchangeId = std::uint64_t;

  explicit RequestLimit(RequestLimitOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// @brief An answer to a request that was sent at @p aSentAt names the limit
  /// @p aPerSecond; empty if it names none, which ends a limit that was named before
  /// @p aSentAt.
  /// @param aVms number of VMs that share the limit, at least 1.
  /// @param aRandom spreads the first requests of the VMs.
  /// @return whether the limit has changed.
  bool OnAnswer(std::optional<double> aPerSecond, std::size_t aVms, TimePoint aSentAt,
                TimePoint aNow, const RandomFn& aRandom);
  /// @brief The same with any division of the limit.
  bool OnAnswer(std::optional<double> aPerSecond, const LimitDivision& aDivision,
                TimePoint aSentAt, TimePoint aNow, const RandomFn& aRandom);
  /// @brief The VMs have changed. Has no effect if the shares were and stay equal: those
  /// follow the next answer.
  void SetDivision(const LimitDivision& aDivision, TimePoint aNow,
                   const RandomFn& aRandom);
  /// @brief The upstream was chosen for an exchange; also if it names no limit, as it may
  /// name one before the exchange starts.
  void Reserve(ExchangeId aExchange) { mReserved.insert(aExchange); }
  /// @brief Whether the first byte of a reserved request may be written now. Reserved
  /// requests start in any order.
  bool MayStart(TimePoint aNow) const { return NextAt(0, aNow) <= aNow; }
  /// @brief The first byte of a request is about to be written.
  void OnStarted(ExchangeId aExchange, TimePoint aNow);
  /// @brief The exchange has ended or was withdrawn. One that has started stays counted.
  void Release(ExchangeId aExchange) { mReserved.erase(aExchange); }

  /// @brief Whether the upstream names a limit.
  bool IsLimited() const { return mLimit.has_value(); }
  /// @brief The named limit in requests a second of all VMs; empty if there is none.
  std::optional<double> Limit() const { return mLimit; }
  /// @brief This VM's share in requests a second; empty if there is no limit.
  std::optional<double> Share() const;
  /// @brief Whether a request may be reserved now.
  bool MaySend(TimePoint aNow) const { return NextSendAt(aNow) <= aNow; }
  /// @brief When the next request may be reserved if the reserved ones start now; @p aNow
  /// if one may be reserved now.
  TimePoint NextSendAt(TimePoint aNow) const { return NextAt(mReserved.size(), aNow); }

private:
  /// When a request may be sent in addition to @p aReserved others that have not started.
  TimePoint NextAt(std::size_t aReserved, TimePoint aNow) const;
  /// Requests that may be sent at @p aNow, with a fraction.
  double SavedAt(TimePoint aNow) const;
  /// When this VM, which has no whole request, may probe the upstream. @p aIsReserved:
  /// another request is the next probe.
  TimePoint NextProbeAt(bool aIsReserved, TimePoint aNow) const;

  RequestLimitOptions mOptions;
  std::optional<double> mLimit;
  LimitDivision mDivision;
  /// Exchanges whose first byte has not been written.
  std::set<ExchangeId> mReserved;
  /// The requests of whole shares.
  RateWindow mWindow;
  /// Begin of the first probe time, random within a probe period.
  TimePoint mFirstProbeAt{};
  /// When an answer named a limit for the last time after one that named none.
  TimePoint mNamedAt{};
  /// Requests that may be sent, at mSavedTime.
  double mSaved = 0;
  TimePoint mSavedTime{};
};

} // namespace wasabispar
