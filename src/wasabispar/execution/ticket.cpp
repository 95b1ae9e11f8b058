/// @file
/// @brief Text form and authentication of tickets.
///
/// Text: the prefix, then the payload and its authentication code (MAC) as base64url
/// without padding. Payload: VM, profile and caller, each as a length byte and the name,
/// then incarnation, sequence and expiry, each in 8 bytes, most significant first.
#include "wasabispar/execution/ticket.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace wasabispar {

namespace {

constexpr std::string_view kTicketPrefix = "t1.";
constexpr std::size_t kMacBytes = 32;
using Mac = std::array<std::uint8_t, kMacBytes>;

Mac
ComputeMac(const TicketSecret& aSecret, std::string_view aPayload)
{
  Mac mac{};
  unsigned length = 0;
  if (HMAC(EVP_sha256(), aSecret.data(), static_cast<int>(aSecret.size()),
           reinterpret_cast<const unsigned char*>(aPayload.data()), aPayload.size(),
           mac.data(), &length) == nullptr ||
      length != mac.size()) {
    throw std::runtime_error("HMAC-SHA256 failed");
  }
  return mac;
}

std::string
EncodeBase64Url(std::string_view aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  const auto length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(length));
  text.erase(text.find_last_not_of('=') + 1);
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

/// Accepts only what EncodeBase64Url() writes, so that a ticket has exactly one text.
std::optional<std::string>
DecodeBase64Url(std::string_view aText)
{
  std::string padded(aText);
  std::replace(padded.begin(), padded.end(), '-', '+');
  std::replace(padded.begin(), padded.end(), '_', '/');
  const auto padding = (4 - padded.size() % 4) % 4;
  padded.append(padding, '=');
  std::string bytes(padded.size() / 4 * 3, '\0');
  const auto length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(padded.data()),
                    static_cast<int>(padded.size()));
  if (length < 0 || static_cast<std::size_t>(length) < padding) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(length) - padding);
  if (EncodeBase64Url(bytes) != aText) {
    return std::nullopt;
  }
  return bytes;
}

void
AppendNumber(std::string& aPayload, std::uint64_t aValue)
{
  for (int shift = 56; shift >= 0; shift -= 8) {
    aPayload.push_back(static_cast<char>(aValue >> shift & 0xFF));
  }
}

void
AppendName(std::string& aPayload, const std::string& aName)
{
  if (aName.size() > kMaxTicketNameBytes) {
    throw std::length_error("name too long for a ticket");
  }
  aPayload.push_back(static_cast<char>(aName.size()));
  aPayload += aName;
}

/// Reads the fields of a payload in order. A field that is cut off or too long reads as
/// empty.
class PayloadReader
{
public:
  explicit PayloadReader(std::string_view aPayload)
    : mRemaining(aPayload)
  {
  }

  std::optional<std::string> ReadName()
  {
    if (mRemaining.empty()) {
      return std::nullopt;
    }
    const auto size = static_cast<std::size_t>(static_cast<std::uint8_t>(mRemaining[0]));
    if (size > kMaxTicketNameBytes || mRemaining.size() < size + 1) {
      return std::nullopt;
    }
    std::string name(mRemaining.substr(1, size));
    mRemaining.remove_prefix(size + 1);
    return name;
  }

  std::optional<std::uint64_t> ReadNumber()
  {
    if (mRemaining.size() < 8) {
      return std::nullopt;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < 8; ++i) {
      value = value << 8 | static_cast<std::uint8_t>(mRemaining[i]);
    }
    mRemaining.remove_prefix(8);
    return value;
  }

  bool IsAtEnd() const { return mRemaining.empty(); }

private:
  std::string_view mRemaining;
};

std::optional<Ticket>
ParsePayload(std::string_view aPayload)
{
  PayloadReader reader(aPayload);
  auto vm = reader.ReadName();
  auto profile = reader.ReadName();
  auto caller = reader.ReadName();
  const auto incarnation = reader.ReadNumber();
  const auto sequence = reader.ReadNumber();
  const auto expiry = reader.ReadNumber();
  if (!vm || vm->empty() || !profile || !caller || !incarnation || !sequence || !expiry ||
      !reader.IsAtEnd()) {
    return std::nullopt;
  }
  return Ticket{ { VmId(std::move(*vm)), Incarnation(*incarnation) },
                 *sequence,
                 ProfileName(std::move(*profile)),
                 CallerId(std::move(*caller)),
                 TimePoint(Duration(static_cast<std::int64_t>(*expiry))) };
}

/// A parsed ticket whose authentication code has not been checked.
struct UnverifiedTicket
{
  TicketRefusal mRefusal = TicketRefusal::None;
  Ticket mTicket;
  std::string mPayload;
  std::string mMac;
};

UnverifiedTicket
ParseTicketText(std::string_view aText)
{
  UnverifiedTicket parsed;
  if (aText.size() > kMaxTicketTextBytes) {
    parsed.mRefusal = TicketRefusal::Oversized;
    return parsed;
  }
  parsed.mRefusal = TicketRefusal::Malformed;
  if (!aText.starts_with(kTicketPrefix)) {
    return parsed;
  }
  auto bytes = DecodeBase64Url(aText.substr(kTicketPrefix.size()));
  if (!bytes || bytes->size() < kMacBytes) {
    return parsed;
  }
  parsed.mMac = bytes->substr(bytes->size() - kMacBytes);
  bytes->resize(bytes->size() - kMacBytes);
  auto ticket = ParsePayload(*bytes);
  if (!ticket) {
    return parsed;
  }
  parsed.mRefusal = TicketRefusal::None;
  parsed.mTicket = std::move(*ticket);
  parsed.mPayload = std::move(*bytes);
  return parsed;
}

} // namespace

std::string_view
ToText(TicketRefusal aRefusal)
{
  switch (aRefusal) {
    case TicketRefusal::None:
      return "none";
    case TicketRefusal::Oversized:
      return "oversized";
    case TicketRefusal::Malformed:
      return "malformed";
    case TicketRefusal::Foreign:
      return "foreign";
    case TicketRefusal::Forged:
      return "forged";
    case TicketRefusal::Expired:
      return "expired";
  }
  return "none";
}

TicketSecret
NewTicketSecret()
{
  TicketSecret secret{};
  if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
    throw std::runtime_error("no entropy for the ticket secret");
  }
  return secret;
}

ParsedTicketIssuer
ParseTicketIssuer(std::string_view aText)
{
  auto parsed = ParseTicketText(aText);
  if (parsed.mRefusal != TicketRefusal::None) {
    return { parsed.mRefusal, std::nullopt };
  }
  return { TicketRefusal::None, std::move(parsed.mTicket.mIssuer) };
}

TicketCodec::TicketCodec(TicketIssuer aIssuer, const TicketSecret& aSecret)
  : mIssuer(std::move(aIssuer))
  , mSecret(aSecret)
{
}

bool
TicketCodec::Fits(const ProfileName& aProfile, const CallerId& aCaller)
{
  return aProfile.Text().size() <= kMaxTicketNameBytes &&
         aCaller.Text().size() <= kMaxTicketNameBytes;
}

std::string
TicketCodec::Sign(const Ticket& aTicket) const
{
  std::string payload;
  AppendName(payload, mIssuer.mVm.Text());
  AppendName(payload, aTicket.mProfile.Text());
  AppendName(payload, aTicket.mCaller.Text());
  AppendNumber(payload, mIssuer.mIncarnation.Value());
  AppendNumber(payload, aTicket.mSequence);
  AppendNumber(payload,
               static_cast<std::uint64_t>(aTicket.mExpiry.time_since_epoch().count()));
  const auto mac = ComputeMac(mSecret, payload);
  payload.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  return std::string(kTicketPrefix) + EncodeBase64Url(payload);
}

TicketVerification
TicketCodec::Verify(std::string_view aText, TimePoint aNow) const
{
  auto parsed = ParseTicketText(aText);
  if (parsed.mRefusal != TicketRefusal::None) {
    return { parsed.mRefusal, std::nullopt };
  }
  if (parsed.mTicket.mIssuer != mIssuer) {
    return { TicketRefusal::Foreign, std::nullopt };
  }
  const auto mac = ComputeMac(mSecret, parsed.mPayload);
  if (CRYPTO_memcmp(mac.data(), parsed.mMac.data(), mac.size()) != 0) {
    return { TicketRefusal::Forged, std::nullopt };
  }
  const auto isExpired = aNow >= parsed.mTicket.mExpiry;
  return { isExpired ? TicketRefusal::Expired : TicketRefusal::None,
           std::move(parsed.mTicket) };
}

} // namespace wasabispar
