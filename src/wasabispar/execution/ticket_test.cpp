/// @file
/// @brief Tests of the text form and the verification of tickets.
#include "wasabispar/execution/ticket.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TicketIssuer kIssuer{ VmId("vm-1"), Incarnation(7) };

TicketSecret
SecretOf(std::uint8_t aByte)
{
  TicketSecret secret{};
  secret.fill(aByte);
  return secret;
}

Ticket
SampleTicket()
{
  return { kIssuer, 42, ProfileName("hold"), CallerId("house-a"), TimePoint{} + 60s };
}

} // namespace

TEST_CASE("each kind of invalid ticket is refused for its own reason")
{
  // Guards against an invalid ticket that is accepted or refused for the wrong reason.
  const TicketCodec codec(kIssuer, SecretOf(1));
  const auto text = codec.Sign(SampleTicket());
  const auto refusal = [&](std::string_view aText, TimePoint aNow = {}) {
    return codec.Verify(aText, aNow).mRefusal;
  };
  CHECK(codec.Verify(text, {}).mTicket == SampleTicket());
  CHECK(refusal(text, TimePoint{} + 60s) == TicketRefusal::Expired);
  CHECK(refusal("") == TicketRefusal::Malformed);
  CHECK(refusal("t2" + text.substr(2)) == TicketRefusal::Malformed);
  CHECK(refusal(text + "=") == TicketRefusal::Malformed);
  CHECK(refusal(text.substr(0, 20)) == TicketRefusal::Malformed);
  CHECK(refusal(std::string(kMaxTicketTextBytes + 1, 'A')) == TicketRefusal::Oversized);
  const TicketCodec otherCodec(kIssuer, SecretOf(2));
  CHECK(refusal(otherCodec.Sign(SampleTicket())) == TicketRefusal::Forged);
  const TicketCodec restarted({ kIssuer.mVm, Incarnation(8) }, SecretOf(3));
  CHECK(restarted.Verify(text, {}).mRefusal == TicketRefusal::Foreign);
  CHECK(ParseTicketIssuer(text).mIssuer == kIssuer);
  CHECK_FALSE(ParseTicketIssuer("nonsense").mIssuer);
}

TEST_CASE("a ticket with the longest names is within the text limit")
{
  const std::string name(kMaxTicketNameBytes, 'x');
  const TicketCodec codec({ VmId(name), Incarnation(~0ULL) }, NewTicketSecret());
  const auto text =
    codec.Sign({ {}, ~0ULL, ProfileName(name), CallerId(name), TimePoint{} + 1s });
  CHECK(text.size() <= kMaxTicketTextBytes);
  CHECK(codec.Verify(text, {}).mRefusal == TicketRefusal::None);
  CHECK_FALSE(TicketCodec::Fits(ProfileName(name + "x"), CallerId("c")));
}

TEST_CASE("a ticket with one changed character is refused")
{
  // Guards against fields that the authentication code does not cover and against a
  // second valid text of one ticket.
  CHECK(rc::check([] {
    const TicketCodec codec(kIssuer, SecretOf(1));
    auto text = codec.Sign(SampleTicket());
    const auto index = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto other = *rc::gen::character<char>();
    RC_PRE(text[index] != other);
    text[index] = other;
    RC_ASSERT(codec.Verify(text, {}).mRefusal != TicketRefusal::None);
  }));
}
