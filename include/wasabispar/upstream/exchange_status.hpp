/// @file
/// @brief How an exchange with an upstream ended.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace wasabispar {

/// @brief The end of one exchange. The HTTP status that stands for it is in brackets.
enum class ExchangeStatus : std::uint8_t
{
  Ok,             ///< answered [200]
  Shed,           ///< load shed, not run [429]
  Draining,       ///< upstream is leaving, not run [503]
  VersionGone,    ///< index version not held, not run [409]
  ShardGone,      ///< shard not held at that version, not run [410]
  DeadlinePassed, ///< deadline passed at the upstream, not run [504]
  Failed,         ///< ran and failed [500]
  ConnectFailed,  ///< no connection, no byte sent
  ConnectionLost, ///< connection lost or found dead after a byte may have left
  TimedOut,       ///< no reply in time after a byte may have left
  Cancelled,      ///< this VM gave up the exchange
};

/// @brief The status in lower case with dashes, for example `connection-lost`.
std::string_view
ToText(ExchangeStatus aStatus);

/// @brief Parses the form that ToText() writes; empty if it is none.
std::optional<ExchangeStatus>
ParseExchangeStatus(std::string_view aText);

/// @brief Whether the upstream may have run the request of an exchange that ended so.
bool
MayHaveRun(ExchangeStatus aStatus);

/// @brief Whether the end is a reply of the upstream, which proves that it is alive.
bool
IsReply(ExchangeStatus aStatus);

/// @brief Whether another replica may succeed where this exchange did not. After a lost
/// connection only idempotent work may be sent again.
bool
IsRetryable(ExchangeStatus aStatus, bool aIdempotent);

} // namespace wasabispar
