/// @file
/// @brief Decides when a connection to an upstream may be opened again after the upstream
/// refused one.
///
/// Load pattern: an upstream at its limit of connections accepts each new one and resets
/// it. Every VM that keeps a connection open would reconnect at once, and the handshakes
/// would take the upstream's slots from the requests.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/random.hpp"

#include <chrono>
#include <cstdint>

namespace wasabispar {

/// @brief Delays of ReconnectBackoff.
struct ReconnectBackoffOptions
{
  /// Delay after the first refusal; doubled with each further one.
  Duration mInitial = std::chrono::milliseconds(200);
  Duration mMax = std::chrono::seconds(2);
};

/// @brief Exponential backoff with jitter. Not thread-safe.
class ReconnectBackoff
{
public:
  /// A connection that the peer closes earlier without having answered was refused; one
  /// that lasts longer was accepted.
  static constexpr Duration kRefusalWindow = std::chrono::milliseconds(200);

  ReconnectBackoff(ReconnectBackoffOptions aOptions, RandomFn aRandom);

  /// @brief A connection could not be opened, or was closed within kRefusalWindow.
  void OnRefused(TimePoint aNow);
  /// @brief A connection answered, or stayed open longer than kRefusalWindow.
  void OnAccepted();
  /// @brief Whether a connection may be opened now.
  bool MayOpen(TimePoint aNow) const { return aNow >= mOpenAt; }
  /// @brief Whether a connection was refused since the last one that was accepted.
  bool IsRefused() const { return mRefusals > 0; }

private:
  ReconnectBackoffOptions mOptions;
  RandomFn mRandom;
  /// Refusals since the last accepted connection.
  std::uint32_t mRefusals = 0;
  /// No connection is opened before this time.
  TimePoint mOpenAt{};
};

} // namespace wasabispar
