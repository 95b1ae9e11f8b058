/// @file
/// @brief Tickets, each of which grants the right to run one execution once. They are
/// authenticated with HMAC-SHA256.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabispar {

/// @brief One incarnation of a VM. Only the issuer executes its tickets.
struct TicketIssuer
{
  VmId mVm;
  Incarnation mIncarnation;

  auto operator<=>(const TicketIssuer&) const = default;
};

/// @brief The content of a ticket.
struct Ticket
{
  TicketIssuer mIssuer;
  std::uint64_t mSequence = 0;
  ProfileName mProfile;
  CallerId mCaller;
  /// On the issuer's BootClock; has no meaning on another VM.
  TimePoint mExpiry;

  auto operator<=>(const Ticket&) const = default;
};

/// @brief Why a ticket is refused.
enum class TicketRefusal
{
  None,
  /// Longer than kMaxTicketTextBytes.
  Oversized,
  /// Not in the format that TicketCodec::Sign() writes.
  Malformed,
  /// Well formed, but issued by another VM or another incarnation of this one.
  Foreign,
  /// Names this incarnation as its issuer, but the authentication code is wrong.
  Forged,
  /// Authentic, but past its expiry.
  Expired,
};

/// @brief `none`, `oversized`, `malformed`, `foreign`, `forged` or `expired`.
std::string_view
ToText(TicketRefusal aRefusal);

/// Longest VM id, profile name or caller id in a ticket; the length takes one byte.
inline constexpr std::size_t kMaxTicketNameBytes = 160;
/// Bound on the text of a ticket: the prefix, and in base64 three names of the longest
/// size, 24 bytes of numbers and 32 bytes of authentication code.
inline constexpr std::size_t kMaxTicketTextBytes = 768;

/// @brief Key of the authentication code; generated for each incarnation, never stored.
using TicketSecret = std::array<std::uint8_t, 32>;

/// @brief A secret from the operating system's entropy source. Throws std::runtime_error
/// when there is none.
TicketSecret
NewTicketSecret();

/// @brief Result of TicketCodec::Verify().
struct TicketVerification
{
  TicketRefusal mRefusal = TicketRefusal::None;
  /// Set when the ticket is authentic: mRefusal is None or Expired.
  std::optional<Ticket> mTicket;
};

/// @brief Result of ParseTicketIssuer().
struct ParsedTicketIssuer
{
  TicketRefusal mRefusal = TicketRefusal::None;
  /// Set when mRefusal is None. Not authenticated: use it only to forward the ticket.
  std::optional<TicketIssuer> mIssuer;
};

/// @brief Parses the issuer that a ticket names. The ticket is not authenticated.
ParsedTicketIssuer
ParseTicketIssuer(std::string_view aText);

/// @brief Signs and verifies the tickets of one incarnation. Immutable, so thread-safe.
class TicketCodec
{
public:
  /// @param aIssuer stated in each signed ticket and required of each verified one.
  TicketCodec(TicketIssuer aIssuer, const TicketSecret& aSecret);

  /// @brief Whether both names are short enough for a ticket.
  static bool Fits(const ProfileName& aProfile, const CallerId& aCaller);

  /// @brief URL-safe text of @p aTicket with this codec's issuer instead of its own.
  std::string Sign(const Ticket& aTicket) const;

  /// @brief Verifies @p aText. Authentication codes are compared in constant time.
  TicketVerification Verify(std::string_view aText, TimePoint aNow) const;

  /// @brief The incarnation whose tickets this codec signs and verifies.
  const TicketIssuer& Issuer() const { return mIssuer; }

private:
  TicketIssuer mIssuer;
  TicketSecret mSecret;
};

} // namespace wasabispar
