/// @file
/// @brief Detects that many upstreams are out of connections at the same time.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <cstddef>
#include <deque>

namespace wasabispar {

/// @brief Settings of ConnectionPressure.
struct ConnectionPressureOptions
{
  /// So many upstreams that refused connections within mWindow are pressure.
  std::size_t mThreshold = 4;
  Duration mWindow = std::chrono::seconds(2);
};

/// @brief Counts the new connections that upstreams refused because they had too many.
/// Not thread-safe.
///
/// Load pattern: all VMs lose power at once. For seconds the upstreams still count the
/// connections of the VMs that failed, and have room for hardly more than one new
/// connection of each VM of their own region. If the VMs of other regions open theirs in
/// that time, as hedges or alternatives, VMs find no connection to the upstreams near
/// them. Under pressure a VM therefore opens no connections to another region while an
/// upstream of its own region can be reached, and sends on a new connection only when it
/// was not reset: a request on a connection that is reset may have run.
class ConnectionPressure
{
public:
  explicit ConnectionPressure(ConnectionPressureOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// @brief The upstream closed a new connection without an answer.
  void OnRefused(const UpstreamId& aUpstream, TimePoint aNow);
  /// @brief Whether many upstreams refused connections lately.
  bool IsHigh(TimePoint aNow) const;

private:
  ConnectionPressureOptions mOptions;
  struct Refusal
  {
    UpstreamId mUpstream;
    TimePoint mAt;
  };
  /// The last refusal of each of the last mThreshold upstreams, oldest first.
  std::deque<Refusal> mRefusals;
};

} // namespace wasabispar
