/// @file
/// @brief Sends messages to other VMs by their id and counts the traffic.
#pragma once

#include "wasabispar/app/app_context.hpp"
#include "wasabispar/net/fleet_messages.hpp"
#include "wasabispar/net/fleet_transport.hpp"

#include <functional>
#include <memory>
#include <string>

namespace wasabispar {

/// @brief Hooks of FleetLink. Called on worker 0.
struct FleetLinkHooks
{
  /// The fleet address of a VM as `tcp://ip:port`; empty when it is unknown.
  std::function<std::string(const VmId&)> mAddress;
  std::function<bool(const VmId&, Incarnation, std::string_view aRemoteIp)> mAccepts;
  std::function<void(const FleetEnvelope&)> mOnMessage;
};

/// @brief The fleet port of this VM. Send() may be called from any thread; callbacks run
/// on worker 0.
class FleetLink
{
public:
  using SentFn = FleetTransport::SentFn;

  FleetLink(AppContext& aContext, FleetLinkHooks aHooks);
  ~FleetLink();

  /// @brief Binds the fleet port.
  Result<void> Start();
  std::uint16_t Port() const;
  /// @brief The own fleet address as `tcp://ip:port`.
  std::string Address() const;

  /// @brief Sends to a VM of the view. @p aOnSent gets false when the message was never
  /// handed to a connection.
  void Send(const VmId& aTo, FleetMessage aMessage, std::uint64_t aCorrelation = 0,
            SentFn aOnSent = {});
  void SendTo(const std::string& aAddress, FleetMessage aMessage,
              std::uint64_t aCorrelation = 0, SentFn aOnSent = {});
  /// @brief Closes the connection to a VM that is gone.
  void RemovePeer(const std::string& aAddress);
  void Stop();

  FleetTransportCounters Counters() const;
  /// @brief Copies the counters to the metrics.
  void UpdateMetrics();

private:
  AppContext& mContext;
  FleetLinkHooks mHooks;
  std::unique_ptr<FleetTransport> mTransport;
};

} // namespace wasabispar
