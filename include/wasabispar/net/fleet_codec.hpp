/// @file
/// @brief Fleet messages to bytes and back.
#pragma once

#include "wasabispar/net/fleet_messages.hpp"

#include <array>
#include <atomic>
#include <string>
#include <string_view>

namespace wasabispar {

/// @brief Version of the wire format; messages of another version are refused.
inline constexpr std::uint32_t kFleetProtocolVersion = 1;
/// @brief Upper bound on the size of an encoded message.
inline constexpr std::size_t kMaxFleetMessageBytes = 2U * 1024U * 1024U;

/// @brief Why bytes were refused.
enum class FleetDecodeError
{
  TooLarge,
  Malformed,
  UnknownVersion,
  UnknownMessage,
  /// The content breaks a rule: an empty sender, an unknown state, too many items.
  InvalidContent,
};
inline constexpr std::size_t kFleetDecodeErrorCount = 5;

/// @brief The reason as a label value, for example `unknown_version`.
std::string_view
ToText(FleetDecodeError aError);

/// @brief Number of refused messages by reason. Thread-safe.
class FleetDecodeCounters
{
public:
  void Add(FleetDecodeError aError);
  std::uint64_t Count(FleetDecodeError aError) const;

private:
  std::array<std::atomic<std::uint64_t>, kFleetDecodeErrorCount> mCounts{};
};

/// @brief Encodes a message. Fails when it would exceed kMaxFleetMessageBytes.
Result<std::string>
EncodeFleet(const FleetEnvelope& aEnvelope);

/// @brief Decodes a message; an error has the step FleetMessage and is counted in
/// @p aCounters when given.
Result<FleetEnvelope>
DecodeFleet(std::string_view aBytes, FleetDecodeCounters* aCounters = nullptr);

/// @brief Name of the kind of message, for example `ping`.
std::string_view
MessageName(const FleetMessage& aMessage);

} // namespace wasabispar
