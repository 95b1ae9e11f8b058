/// @file
/// @brief Tickets: the right to run one execution once, authenticated with HMAC-SHA256.
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

/// @brief One run of one VM, the only one that executes the tickets it issues.
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
  /// Not a text that Sign() can have written.
  Malformed,
  /// Well formed, but of another VM or another incarnation of this one.
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
/// Longest text of a ticket: three names of the longest size, 24 bytes of numbers,
/// 32 bytes of authentication code, in base64, and the prefix.
inline constexpr std::size_t kMaxTicketTextBytes = 768;

/// @brief Key of the authentication code; made anew for each incarnation, never stored.
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

/// @brief Reads the issuer that a ticket claims, and nothing else of it.
ParsedTicketIssuer
ParseTicketIssuer(std::string_view aText);

/// @brief Writes and verifies the tickets of one incarnation. Immutable, so thread-safe.
class TicketCodec
{
public:
  TicketCodec(TicketIssuer aIssuer, const TicketSecret& aSecret);

  /// @brief True when each name fits into a ticket.
  static bool Fits(const ProfileName& aProfile, const CallerId& aCaller);

  /// @brief URL-safe text of @p aTicket, whose mIssuer is replaced by this one.
  std::string Sign(const Ticket& aTicket) const;

  /// @brief Verifies @p aText; the comparison takes the same time for each wrong code.
  TicketVerification Verify(std::string_view aText, TimePoint aNow) const;

  const TicketIssuer& Issuer() const { return mIssuer; }

private:
  TicketIssuer mIssuer;
  TicketSecret mSecret;
};

} // namespace wasabispar
