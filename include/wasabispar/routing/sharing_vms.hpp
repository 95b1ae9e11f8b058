/// @file
/// @brief The VMs that share limits on requests, as known to this VM, and whether this VM
/// may use its share of them.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/routing/fleet_rate_share.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief Settings of SharingVms.
struct SharingVmsOptions
{
  /// Time from joining the fleet, and from the end of each state without a share, until
  /// this VM uses its share: the others must count it first, and it must know them all.
  Duration mSettleTime = std::chrono::seconds(8);
  /// Time for which a VM is counted after it left the view. A VM that is cut off probes
  /// one other in a second, so its view has shrunk below half after 100 s in a fleet of
  /// 200; until then it uses its share.
  Duration mRetention = std::chrono::minutes(5);
  /// The same in a view of at most half of the VMs, which is likely a side of a
  /// partition. Regions may lose contact for an hour.
  Duration mMinorityRetention = std::chrono::hours(4);
  /// Without an update for this time, the process was paused, and this VM has no share.
  Duration mMaxUpdateAge = std::chrono::seconds(5);
};

/// @brief Follows the membership view. Not thread-safe.
///
/// A VM has no share before it has joined, for some seconds after that, while it sees
/// fewer than half of the VMs that it remembers, and after a pause. It errs towards
/// sending too little: a VM that is gone stays counted for a while, and its share is not
/// used meanwhile.
class SharingVms
{
public:
  enum class State : std::uint8_t
  {
    NotJoined,
    Settling,
    /// Fewer than half of the remembered VMs are in the view.
    ViewShrunk,
    Holding,
  };

  explicit SharingVms(VmId aSelf, SharingVmsOptions aOptions = {});

  /// @brief To be called each second. @p aView holds the VMs that are not dead.
  void Update(const std::vector<VmId>& aView, bool aHasJoined, TimePoint aNow);
  /// @brief Whether this VM may use its share, or why not.
  State StateAt(TimePoint aNow) const;
  /// @brief This VM's shares; null if it has none.
  FleetRateSharePtr ShareAt(TimePoint aNow) const;
  /// @brief Number of VMs among which limits are divided.
  std::size_t VmCount() const { return mLastSeen.size(); }

private:
  void Forget(std::size_t aViewSize, TimePoint aNow);

  VmId mSelf;
  SharingVmsOptions mOptions;
  /// When each VM was last in the view.
  std::map<VmId, TimePoint> mLastSeen;
  FleetRateSharePtr mShare;
  bool mHasJoined = false;
  /// When this VM may use its share; empty while its view is too small.
  std::optional<TimePoint> mHoldsFrom;
  TimePoint mUpdatedAt{};
};

/// @brief The state as `not-joined`, `settling`, `view-shrunk` or `holding`.
std::string_view
ToText(SharingVms::State aState);

} // namespace wasabispar
