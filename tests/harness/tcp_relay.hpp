/// @file
/// @brief A TCP relay in the test's process that cuts or silences connections, to model
/// a partition or a connection that hangs.
#pragma once

#include "wasabispar/net/http_client.hpp"

#include <cstdint>
#include <memory>

namespace wasabispar::harness {

enum class RelayMode
{
  Pass,
  /// Closes all connections and refuses new ones.
  Cut,
  /// Accepts connections and keeps them open, but forwards nothing.
  Silent,
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

  /// Implementation; defined in the source file.
  struct State;

private:
  std::unique_ptr<State> mState;
};

} // namespace wasabispar::harness
