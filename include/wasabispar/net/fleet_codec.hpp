/// @file
/// @brief Encodes and decodes the messages between VMs.
#pragma once

#include "wasabispar/net/fleet_messages.hpp"

#include <array>
#include <atomic>
#include <string>
#include <string_view>

namespace wasabispar {

/// @brief Version of the wire format. Messages of another version are rejected.
inline constexpr std::uint32_t kFleetProtocolVersion = 1;
/// @brief Maximum size of an encoded message.
inline constexpr std::size_t kMaxFleetMessageBytes = 2U * 1024U * 1024U;

/// @brief Why a received message was rejected.
enum class FleetDecodeError
{
  /// Larger than kMaxFleetMessageBytes.
  TooLarge,
  /// Not a protobuf message of the expected type.
  Malformed,
  /// A version other than kFleetProtocolVersion.
  UnknownVersion,
  /// The envelope holds no message, or a message type that this version does not define.
  UnknownMessage,
  /// A field has a value that is not allowed, for example an empty sender or an unknown
  /// member state.
  InvalidContent,
};
/// @brief Number of values of FleetDecodeError.
inline constexpr std::size_t kFleetDecodeErrorCount = 5;

/// @brief The reason as the value of a metric label, for example `unknown_version`.
std::string_view
ToText(FleetDecodeError aError);

/// @brief Counts rejected messages by reason. Thread-safe.
class FleetDecodeCounters
{
public:
  /// @brief Counts one message.
  void Add(FleetDecodeError aError);
  /// @brief Number of messages rejected for @p aError.
  std::uint64_t Count(FleetDecodeError aError) const;

private:
  std::array<std::atomic<std::uint64_t>, kFleetDecodeErrorCount> mCounts{};
};

/// @brief Encodes a message. Fails with Step::FleetMessage if the result would exceed
/// kMaxFleetMessageBytes.
Result<std::string>
EncodeFleet(const FleetEnvelope& aEnvelope);

/// @brief Decodes a message. Fails with Step::FleetMessage and counts the failure in
/// @p aCounters, unless this is null.
Result<FleetEnvelope>
DecodeFleet(std::string_view aBytes, FleetDecodeCounters* aCounters = nullptr);

/// @brief The name of the message type, for example `ping`.
std::string_view
MessageName(const FleetMessage& aMessage);

} // namespace wasabispar
