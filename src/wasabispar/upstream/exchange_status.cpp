/// @file
/// @brief Texts and properties of exchange statuses.
#include "wasabispar/upstream/exchange_status.hpp"

#include <array>

namespace wasabispar {

namespace {

constexpr std::array<std::string_view, 11> kNames{
  "ok",     "shed",           "draining",        "version-gone", "shard-gone", "deadline",
  "failed", "connect-failed", "connection-lost", "timed-out",    "cancelled"
};

} // namespace

std::string_view
ToText(ExchangeStatus aStatus)
{
  return kNames[static_cast<std::size_t>(aStatus)];
}

std::optional<ExchangeStatus>
ParseExchangeStatus(std::string_view aText)
{
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] == aText) {
      return static_cast<ExchangeStatus>(i);
    }
  }
  return std::nullopt;
}

bool
MayHaveRun(ExchangeStatus aStatus)
{
  switch (aStatus) {
    case ExchangeStatus::Ok:
    case ExchangeStatus::Failed:
    case ExchangeStatus::ConnectionLost:
    case ExchangeStatus::TimedOut:
    case ExchangeStatus::Cancelled:
      return true;
    default:
      return false;
  }
}

bool
IsReply(ExchangeStatus aStatus)
{
  return aStatus != ExchangeStatus::ConnectFailed &&
         aStatus != ExchangeStatus::ConnectionLost &&
         aStatus != ExchangeStatus::TimedOut && aStatus != ExchangeStatus::Cancelled;
}

bool
IsRetryable(ExchangeStatus aStatus, bool aIdempotent)
{
  switch (aStatus) {
    case ExchangeStatus::Shed:
    case ExchangeStatus::Draining:
    case ExchangeStatus::VersionGone:
    case ExchangeStatus::ShardGone:
    case ExchangeStatus::ConnectFailed:
      return true;
    case ExchangeStatus::ConnectionLost:
      return aIdempotent;
    default:
      return false;
  }
}

} // namespace wasabispar
