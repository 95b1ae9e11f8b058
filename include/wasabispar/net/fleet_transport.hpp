/// @file
/// @brief Transport of the messages between VMs, on nng push/pull sockets over TCP.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/net/fleet_codec.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace wasabispar {

/// @brief Timeout and limits of FleetTransport.
struct FleetTransportOptions
{
  /// Time after which a message to a peer without a connection fails.
  Duration mSendTimeout = std::chrono::milliseconds(200);
  /// Maximum number of messages queued for one peer; further messages fail at once.
  std::size_t mMaxQueuedMessagesPerPeer = 1024;
  /// Maximum number of bytes queued for one peer; further messages fail at once.
  std::size_t mMaxQueuedBytesPerPeer = 16U * 1024U * 1024U;
};

/// @brief Hooks of FleetTransport. mAccepts and mOnMessage run on the executor; no hook
/// is called with a lock held.
struct FleetTransportHooks
{
  /// Schedules a function, for example with boost::asio::post on a worker. May be called
  /// on nng threads; must not run the function in place. The next message is received
  /// only when the executor runs the function for the previous one, so a slow executor
  /// slows the senders down.
  std::function<void(std::function<void()>)> mExecutor;
  /// Returns whether to deliver messages of this sender from this IP address.
  std::function<bool(const VmId&, Incarnation, std::string_view aRemoteIp)> mAccepts;
  /// Receives a message of an accepted sender and the remote address as `ip:port`.
  std::function<void(FleetEnvelope, std::string_view aRemoteAddress)> mOnMessage;
};

/// @brief Counters since the transport was created.
struct FleetTransportCounters
{
  /// Messages received, including those rejected afterwards.
  std::uint64_t mMessagesIn = 0;
  std::uint64_t mBytesIn = 0;
  /// Messages handed to a connection.
  std::uint64_t mMessagesOut = 0;
  std::uint64_t mBytesOut = 0;
  /// Messages that were never handed to a connection, including those in mQueueFull.
  std::uint64_t mSendFailures = 0;
  /// Messages that failed because a queue limit was reached or the peer was removed.
  std::uint64_t mQueueFull = 0;
  /// Received messages whose sender FleetTransportHooks::mAccepts rejected.
  std::uint64_t mNotAccepted = 0;
};

/// @brief Sends and receives fleet messages. Thread-safe.
class FleetTransport
{
public:
  /// @brief Receives the result of a send: true if the message was handed to the
  /// connection, false if it will never be sent. Called once on the executor, unless the
  /// transport is stopped before.
  using SentFn = std::function<void(bool aIsSent)>;

  FleetTransport(FleetTransportOptions aOptions, FleetTransportHooks aHooks);
  /// @brief Calls Stop().
  ~FleetTransport();

  /// @brief Listens on an endpoint such as `tcp://127.0.0.1:0`. Fails with
  /// Step::FleetMessage.
  Result<void> Start(const std::string& aEndpoint);
  /// @brief The bound port; 0 before Start().
  std::uint16_t Port() const;
  /// @brief Sends bytes from EncodeFleet() to a peer endpoint such as
  /// `tcp://10.0.0.2:7300`. The first message to an endpoint starts its dialer.
  void Send(const std::string& aEndpoint, std::string aBytes, SentFn aOnSent = {});
  /// @brief Closes the dialer of a peer that has left; its queued messages fail. Must not
  /// be called with a lock held, because the call waits for an nng callback.
  void RemovePeer(const std::string& aEndpoint);
  /// @brief Closes all sockets and waits for running hooks and nng callbacks. Queued
  /// messages are not sent, and functions that are still queued on the executor do
  /// nothing.
  void Stop();

  FleetTransportCounters Counters() const;
  /// @brief Received messages that could not be decoded, by reason.
  const FleetDecodeCounters& DecodeCounters() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace wasabispar
