/// @file
/// @brief A TCP relay in the test's process that cuts, silences, delays or resets
/// connections, to model a partition or a connection that hangs.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/net/http_client.hpp"

#include <cstdint>
#include <memory>

namespace wasabispar::harness {

enum class RelayMode
{
  Pass,
  /// Closes all connections and refuses new ones.
  Cut,
  /// Resets all connections, and new ones at once. The port stays taken.
  Reset,
  /// Accepts connections and keeps them open, but forwards nothing.
  Silent,
  /// Forwards what the client sends, but nothing back.
  OneWay,
};

/// @brief Forwards its own port on 127.0.0.1 to a target. Thread-safe; runs its own
/// thread until destruction.
class TcpRelay
{
public:
  explicit TcpRelay(Endpoint aTarget);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  /// @brief The address that clients connect to.
  Endpoint Address() const;
  /// @brief Returns once the mode is in effect. After Silent, Pass forwards again what
  /// waits in the connections.
  void SetMode(RelayMode aMode);
  /// @brief The connections that are open now forward nothing any more; new ones pass.
  void SilenceOpenConnections();
  /// @brief Resets the connections that are open now; new ones pass.
  void ResetOpenConnections();
  /// @brief Forwards bytes @p aDelay after they came, in both directions.
  void SetDelay(Duration aDelay);
  /// @brief New connections go to @p aTarget.
  void SetTarget(Endpoint aTarget);

  /// Implementation; defined in the source file.
  struct State;

private:
  std::unique_ptr<State> mState;
};

} // namespace wasabispar::harness
