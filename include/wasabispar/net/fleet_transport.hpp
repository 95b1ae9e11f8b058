/// @file
/// @brief Messages between VMs on nng push/pull sockets over TCP.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/net/fleet_codec.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace wasabispar {

/// @brief Bounds of FleetTransport.
struct FleetTransportOptions
{
  /// A message to a peer that is not connected fails after this time.
  Duration mSendTimeout = std::chrono::milliseconds(200);
  /// Messages that wait for one peer; further ones fail at once.
  std::size_t mMaxQueuedMessagesPerPeer = 1024;
  /// Bytes that wait for one peer.
  std::size_t mMaxQueuedBytesPerPeer = 16U * 1024U * 1024U;
};

/// @brief Hooks of FleetTransport. They run on the executor, without a lock held.
struct FleetTransportHooks
{
  /// Runs a function later, for example boost::asio::post on a worker. Called on nng
  /// threads; must not run the function in place. Received messages are handed over one
  /// by one, so that a slow executor slows the senders down.
  std::function<void(std::function<void()>)> mExecutor;
  /// Whether messages of this sender at this IP address are delivered.
  std::function<bool(const VmId&, Incarnation, std::string_view aRemoteIp)> mAccepts;
  /// A message of an accepted sender, with its remote address as `ip:port`.
  std::function<void(FleetEnvelope, std::string_view aRemoteAddress)> mOnMessage;
};

/// @brief Counters since the start.
struct FleetTransportCounters
{
  std::uint64_t mMessagesIn = 0;
  std::uint64_t mBytesIn = 0;
  std::uint64_t mMessagesOut = 0;
  std::uint64_t mBytesOut = 0;
  std::uint64_t mSendFailures = 0;
  std::uint64_t mQueueFull = 0;
  std::uint64_t mNotAccepted = 0;
};

/// @brief Sends and receives fleet messages. Thread-safe.
class FleetTransport
{
public:
  /// @brief Called once on the executor, but not after Stop(): true when the message was
  /// handed to the connection, false when it never will be sent.
  using SentFn = std::function<void(bool aIsSent)>;

  FleetTransport(FleetTransportOptions aOptions, FleetTransportHooks aHooks);
  /// @brief Stops.
  ~FleetTransport();

  /// @brief Listens on an endpoint such as `tcp://127.0.0.1:0`.
  Result<void> Start(const std::string& aEndpoint);
  /// @brief The port in use; 0 before Start().
  std::uint16_t Port() const;
  /// @brief Sends bytes from EncodeFleet() to a peer endpoint such as
  /// `tcp://10.0.0.2:7300`. The first message to an endpoint starts its dialer.
  void Send(const std::string& aEndpoint, std::string aBytes, SentFn aOnSent = {});
  /// @brief Closes the dialer of a peer that is gone; waiting messages fail. Not to be
  /// called with a lock held, as it waits for nng's callback.
  void RemovePeer(const std::string& aEndpoint);
  /// @brief Closes all sockets and waits for running hooks and for nng's callbacks.
  /// Waiting messages are not sent; functions still queued on the executor do nothing.
  void Stop();

  FleetTransportCounters Counters() const;
  const FleetDecodeCounters& DecodeCounters() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace wasabispar
