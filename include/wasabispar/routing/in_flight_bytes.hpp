/// @file
/// @brief The bytes of large requests that this VM has in flight to one upstream.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace wasabispar {

/// @brief Requests with a longer body are large. Shorter ones are not bounded: the
/// exchanges that an upstream takes at a time bound them well enough.
constexpr std::uint64_t kLargeRequestBytes = 64 * 1024;

/// @brief Counts the bodies of large requests to one upstream, which may crash when the
/// requests that it holds exceed its memory.
///
/// Invariant: the bytes in flight are at most the share of this VM, except that one
/// request alone may be larger. Otherwise no VM could ever send it.
class InFlightBytes
{
public:
  using ExchangeId = std::uint64_t;

  /// @brief Whether a request with this body may be sent. @p aShare is the number of
  /// bytes that this VM may have in flight to the upstream; empty if there is no bound.
  bool MaySend(std::uint64_t aBytes, std::optional<std::uint64_t> aShare) const;
  /// @brief Counts a request until OnEnded(); does nothing if it is not large.
  void OnSent(ExchangeId aExchange, std::uint64_t aBytes);
  void OnEnded(ExchangeId aExchange);
  /// @brief The bodies of the large requests in flight.
  std::uint64_t Bytes() const { return mBytes; }

private:
  std::unordered_map<ExchangeId, std::uint64_t> mBytesByExchange;
  /// Invariant: the sum of mBytesByExchange.
  std::uint64_t mBytes = 0;
};

} // namespace wasabispar
