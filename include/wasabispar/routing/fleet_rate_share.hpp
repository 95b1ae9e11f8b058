/// @file
/// @brief Divides the requests per second that one upstream may get from all VMs together
/// among few of them, without messages.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace wasabispar {

/// @brief What one VM may send: at most mRequests in any mWindow, also all at once.
struct RateShare
{
  std::uint32_t mRequests = 0;
  Duration mWindow = std::chrono::seconds(1);

  /// @brief The mean rate in requests per second.
  double PerSecond() const;
  bool operator==(const RateShare&) const = default;
};

/// @brief The shares of one VM for one set of sharing VMs. Immutable.
///
/// A limit consists of whole requests. The VMs are ranked by rendezvous hashing over the
/// upstream and the VM; the requests are dealt out in the order of the rank, in several
/// rounds if there are more requests than VMs. A VM without a request has no share.
///
/// Invariant: if the set of each VM that sends contains all VMs that send, the shares of
/// these VMs sum up to at most the limit, however different the sets are. A further VM in
/// a set can only lower the other shares that follow from it.
class FleetRateShare
{
public:
  /// @param aVms the VMs that share the limits; without @p aSelf, this VM has no share.
  FleetRateShare(VmId aSelf, std::vector<VmId> aVms);

  /// @brief This VM's share of @p aPerSecond requests per second to @p aUpstream. Limits
  /// of 1 or more are rounded down to whole requests; a lower one is one request in the
  /// time in which it allows one. Not positive: no share.
  RateShare ShareOf(const UpstreamId& aUpstream, double aPerSecond) const;
  /// @brief Number of VMs that rank before this one. Takes a hash of each VM.
  std::size_t Rank(const UpstreamId& aUpstream) const;
  /// @brief The same as ShareOf() for the result of Rank().
  RateShare ShareAtRank(std::size_t aRank, double aPerSecond) const;
  /// @brief Number of VMs that share the limits.
  std::size_t VmCount() const { return mVms.size(); }

private:
  VmId mSelf;
  std::vector<VmId> mVms;
  bool mIsMember = false;
};

using FleetRateSharePtr = std::shared_ptr<const FleetRateShare>;

/// @brief Number of whole requests that a limit allows in each window of a RateShare.
std::uint32_t
WholeRequests(double aPerSecond);

} // namespace wasabispar
