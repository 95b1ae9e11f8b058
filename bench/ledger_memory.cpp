/// @file
/// @brief Prints the heap bytes that ExecutionLedger takes for each outstanding ticket.
#include "wasabispar/execution/execution_ledger.hpp"

#include <malloc.h>

#include <iostream>

using namespace wasabispar;

namespace {

constexpr std::size_t kTickets = 30'000;
constexpr std::size_t kReplyBytes = 1024;

std::size_t
HeapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

} // namespace

int
main()
{
  const auto empty = HeapBytes();
  ExecutionLedgerOptions options;
  options.mMaxTicketsPerCaller = kTickets;
  options.mMaxRetainedBytesPerCaller = options.mMaxRetainedBytes;
  ExecutionLedger ledger({ VmId("vm-1"), Incarnation(1) }, NewTicketSecret(), options);
  for (std::size_t i = 0; i < kTickets; ++i) {
    ledger.Issue(ProfileName("invoice"), CallerId("caller-with-long-id"), TimePoint{});
  }
  const auto issued = HeapBytes();
  std::cout << "issued: " << (issued - empty) / kTickets << " bytes a ticket\n";
  // Sequences count from 1.
  for (std::uint64_t sequence = 1; sequence <= kTickets; ++sequence) {
    Ticket ticket;
    ticket.mSequence = sequence;
    const auto begin =
      ledger.Begin(ticket, RequestFingerprint(sequence),
                   TimePoint{} + options.mTicketLifetime, TimePoint{}, nullptr);
    ledger.TryMarkSent(begin.mAttempt, TimePoint{});
    ledger.Complete(begin.mAttempt,
                    { EndCondition::UpstreamAnswered, AnswerScope::Ticket,
                      "127.0.0.1:40000", std::string(kReplyBytes, 'x') },
                    TimePoint{});
  }
  std::cout << "ended, reply of 1024 bytes: " << (HeapBytes() - empty) / kTickets
            << " bytes a ticket\n";
  return ledger.Usage().mRetainedBytes == kTickets * kReplyBytes ? 0 : 1;
}
