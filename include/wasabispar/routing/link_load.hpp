/// @file
/// @brief Whether this VM's own link and processor can carry a further request in time.
///
/// Load pattern: a fan-out to 54 shards with responses of 1,000 bytes takes a link of
/// 14 Mbit/s for 31 ms. A VM that accepts a few of them at the same time makes all of
/// them late, while other VMs have faster links.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/routing/crash_series.hpp"
#include "wasabispar/routing/vm_capacity.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace wasabispar {

/// @brief What a request that arrives needs of the link.
struct LinkDemand
{
  /// Requests with the same first service compete for the same upstreams.
  ServiceFingerprint mFirstService;
  /// 0 is the most urgent.
  std::uint32_t mPriority = 0;
  /// Expected size of all responses.
  std::uint64_t mBytes = 0;
  /// Time until the upstreams are expected to have responded, without this VM's link and
  /// processor.
  Duration mUpstreamTime{};
  /// Time from now to the last moment at which a response is on time.
  Duration mTimeLeft{};
};

/// @brief Follows the bytes that this VM still expects for its open requests. Not
/// thread-safe.
///
/// A request is on time if its upstreams have responded, the link has carried the bytes
/// expected before and then its own, and the worker has caught up. The link carries bytes
/// while the worker is behind, so the later of both counts. Bytes that are received in
/// part count in full until the response has ended.
class LinkLoad
{
public:
  /// @param aBytesPerSecond the bandwidth of the link; greater than 0.
  explicit LinkLoad(std::uint64_t aBytesPerSecond)
    : mBytesPerSecond(static_cast<double>(aBytesPerSecond))
  {
  }
  /// @brief Empty if the bandwidth of the link is not stated.
  static std::optional<LinkLoad> For(const VmCapacity& aCapacity);

  /// @brief A response of a service of this size arrived.
  void OnResponse(ServiceFingerprint aService, std::uint64_t aBytes);
  /// @brief The average size of a service's responses; 0 before the first one.
  std::uint64_t ExpectedBytes(ServiceFingerprint aService) const;

  /// @brief Responses with this total size are expected, until OnEnded().
  void OnExpected(std::uint64_t aBytes) { mExpectedBytes += aBytes; }
  /// @brief Responses whose expected size was @p aBytes have ended, or are no longer
  /// expected.
  void OnEnded(std::uint64_t aBytes) { mExpectedBytes -= aBytes; }
  /// @brief The size of all responses that are expected now.
  std::uint64_t ExpectedBytes() const { return mExpectedBytes; }
  /// @brief Expected time until the link has carried what is expected, and the worker,
  /// which is @p aLag behind, has caught up.
  Duration TimeUntilFree(Duration aLag) const;

  /// @brief If the request would be late only because of the link and the processor, the
  /// time until they are expected to be free; empty otherwise. A request that a more
  /// urgent one of the same service would have to wait for counts as late if that one
  /// would be late: otherwise less urgent work with more time would displace urgent work.
  std::optional<Duration> RejectionWait(const LinkDemand& aDemand, Duration aLag,
                                        TimePoint aNow);

private:
  struct PriorityKey
  {
    ServiceFingerprint mFirstService;
    std::uint32_t mPriority = 0;
    auto operator<=>(const PriorityKey&) const = default;
  };
  /// The longest time for which a request may find the link occupied and still be on
  /// time, as of the last request of a priority.
  struct Slack
  {
    Duration mTime{};
    TimePoint mSeenAt;
  };

  Duration TransferTime(std::uint64_t aBytes) const;
  /// The least slack of the requests of the same service that are more urgent and were
  /// seen a short while ago; empty if there are none.
  std::optional<Duration> MoreUrgentSlack(const LinkDemand& aDemand,
                                          TimePoint aNow) const;

  double mBytesPerSecond;
  /// Invariant: the sum of all OnExpected() without OnEnded().
  std::uint64_t mExpectedBytes = 0;
  /// Moving averages.
  std::map<ServiceFingerprint, double> mMeanBytes;
  /// One entry for each first service and priority of the routes.
  std::map<PriorityKey, Slack> mSlacks;
};

} // namespace wasabispar
