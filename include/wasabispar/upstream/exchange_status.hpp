/// @file
/// @brief The ways in which an exchange with an upstream ends.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace wasabispar {

/// @brief How one exchange ended. The HTTP status of the upstream's reply is in brackets.
enum class ExchangeStatus : std::uint8_t
{
  Ok,             ///< answered [200]
  Shed,           ///< load shed, not run [429]
  Draining,       ///< upstream drains, not run [503]
  VersionGone,    ///< index version not held, not run [409]
  ShardGone,      ///< shard not held at that version, not run [410]
  DeadlinePassed, ///< deadline passed at the upstream, not run [504]
  Failed,         ///< ran and failed [500]
  ConnectFailed,  ///< no connection, no byte sent
  ConnectionLost, ///< connection lost or unresponsive after a byte may have been sent
  TimedOut,       ///< no reply in time after a byte may have been sent
  Cancelled,      ///< this VM cancelled the exchange
};

/// @brief The status in lower case with dashes, for example `connection-lost`.
std::string_view
ToText(ExchangeStatus aStatus);

/// @brief Parses a text that ToText() wrote; empty for any other text.
std::optional<ExchangeStatus>
ParseExchangeStatus(std::string_view aText);

/// @brief Whether the upstream may have run the request of an exchange with this status.
bool
MayHaveRun(ExchangeStatus aStatus);

/// @brief Whether the status comes from a reply, which proves that the upstream is alive.
bool
IsReply(ExchangeStatus aStatus);

/// @brief Whether a request whose exchange ended with this status may be sent to another
/// replica, which may succeed. After a lost connection only idempotent requests may be
/// sent again.
bool
IsRetryable(ExchangeStatus aStatus, bool aIdempotent);

} // namespace wasabispar
