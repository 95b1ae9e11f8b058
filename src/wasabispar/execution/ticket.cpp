/// @file
/// @brief Text form and authentication of tickets.
///
/// Text: the prefix, then base64url without padding of payload and code. Payload: three
/// names, each with a length byte (VM, profile, caller), then incarnation, sequence and
/// expiry, each with 8 bytes, most significant first.
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

constexpr std::string_view kPrefix = "t1.";
constexpr std::size_t kCodeBytes = 32;
using Code = std::array<std::uint8_t, kCodeBytes>;

Code
CodeOf(const TicketSecret& aSecret, std::string_view aPayload)
{
  Code code{};
  unsigned length = 0;
  if (HMAC(EVP_sha256(), aSecret.data(), static_cast<int>(aSecret.size()),
           reinterpret_cast<const unsigned char*>(aPayload.data()), aPayload.size(),
           code.data(), &length) == nullptr ||
      length != code.size()) {
    throw std::runtime_error("HMAC-SHA256 failed");
  }
  return code;
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

/// Accepts only what EncodeBase64Url() writes, so that a ticket has a single text.
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

/// Reads the fields of a payload in order; empty at the first that is malformed.
class PayloadReader
{
public:
  explicit PayloadReader(std::string_view aPayload)
    : mRest(aPayload)
  {
  }

  std::optional<std::string> Name()
  {
    if (mRest.empty()) {
      return std::nullopt;
    }
    const auto size = static_cast<std::size_t>(static_cast<std::uint8_t>(mRest[0]));
    if (size > kMaxTicketNameBytes || mRest.size() < size + 1) {
      return std::nullopt;
    }
    std::string name(mRest.substr(1, size));
    mRest.remove_prefix(size + 1);
    return name;
  }

  std::optional<std::uint64_t> Number()
  {
    if (mRest.size() < 8) {
      return std::nullopt;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < 8; ++i) {
      value = value << 8 | static_cast<std::uint8_t>(mRest[i]);
    }
    mRest.remove_prefix(8);
    return value;
  }

  bool IsAtEnd() const { return mRest.empty(); }

private:
  std::string_view mRest;
};

std::optional<Ticket>
ParsePayload(std::string_view aPayload)
{
  PayloadReader reader(aPayload);
  auto vm = reader.Name();
  auto profile = reader.Name();
  auto caller = reader.Name();
  const auto incarnation = reader.Number();
  const auto sequence = reader.Number();
  const auto expiry = reader.Number();
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

/// A ticket whose form is right and whose content is not authenticated.
struct UncheckedTicket
{
  TicketRefusal mRefusal = TicketRefusal::None;
  Ticket mTicket;
  std::string mPayload;
  std::string mCode;
};

UncheckedTicket
ParseText(std::string_view aText)
{
  UncheckedTicket parsed;
  if (aText.size() > kMaxTicketTextBytes) {
    parsed.mRefusal = TicketRefusal::Oversized;
    return parsed;
  }
  parsed.mRefusal = TicketRefusal::Malformed;
  if (!aText.starts_with(kPrefix)) {
    return parsed;
  }
  auto bytes = DecodeBase64Url(aText.substr(kPrefix.size()));
  if (!bytes || bytes->size() < kCodeBytes) {
    return parsed;
  }
  parsed.mCode = bytes->substr(bytes->size() - kCodeBytes);
  bytes->resize(bytes->size() - kCodeBytes);
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

TicketIssuerReading
ReadTicketIssuer(std::string_view aText)
{
  auto parsed = ParseText(aText);
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
TicketCodec::Seal(const Ticket& aTicket) const
{
  std::string payload;
  AppendName(payload, mIssuer.mVm.Text());
  AppendName(payload, aTicket.mProfile.Text());
  AppendName(payload, aTicket.mCaller.Text());
  AppendNumber(payload, mIssuer.mIncarnation.Value());
  AppendNumber(payload, aTicket.mSequence);
  AppendNumber(payload,
               static_cast<std::uint64_t>(aTicket.mExpiry.time_since_epoch().count()));
  const auto code = CodeOf(mSecret, payload);
  payload.append(reinterpret_cast<const char*>(code.data()), code.size());
  return std::string(kPrefix) + EncodeBase64Url(payload);
}

TicketVerdict
TicketCodec::Verify(std::string_view aText, TimePoint aNow) const
{
  auto parsed = ParseText(aText);
  if (parsed.mRefusal != TicketRefusal::None) {
    return { parsed.mRefusal, std::nullopt };
  }
  if (parsed.mTicket.mIssuer != mIssuer) {
    return { TicketRefusal::Foreign, std::nullopt };
  }
  const auto code = CodeOf(mSecret, parsed.mPayload);
  if (CRYPTO_memcmp(code.data(), parsed.mCode.data(), code.size()) != 0) {
    return { TicketRefusal::Forged, std::nullopt };
  }
  const auto isExpired = aNow >= parsed.mTicket.mExpiry;
  return { isExpired ? TicketRefusal::Expired : TicketRefusal::None,
           std::move(parsed.mTicket) };
}

} // namespace wasabispar
