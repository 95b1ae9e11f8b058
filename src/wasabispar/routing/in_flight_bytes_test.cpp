/// @file
/// @brief Tests of the bound on large requests to one upstream.
#include "wasabispar/routing/in_flight_bytes.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace wasabispar;

/// Guards against an upstream that crashes because the VMs together send it more than it
/// can hold.
TEST_CASE("the large requests of all VMs to one upstream stay within its bound")
{
  CHECK(rc::check([] {
    constexpr std::uint64_t kBound = 32 * 1024 * 1024;
    const auto vms = *rc::gen::inRange<std::size_t>(1, 200);
    const auto share = kBound / vms;
    // A body beyond the share is sent alone, which the note states as an exception.
    const auto largest = std::max<std::uint64_t>(share, kLargeRequestBytes + 2);
    std::vector<InFlightBytes> inFlight(vms);
    std::vector<std::pair<std::size_t, std::uint64_t>> running;
    std::uint64_t exchange = 0;
    std::uint64_t sum = 0;
    for (int i = 0; i < 2000; ++i) {
      if (!running.empty() && *rc::gen::inRange(0, 3) == 0) {
        inFlight[running.back().first].OnEnded(running.back().second);
        running.pop_back();
      }
      const auto vm = *rc::gen::inRange<std::size_t>(0, vms);
      const auto bytes =
        *rc::gen::inRange<std::uint64_t>(kLargeRequestBytes + 1, largest);
      if (inFlight[vm].MaySend(bytes, share)) {
        inFlight[vm].OnSent(++exchange, bytes);
        running.emplace_back(vm, exchange);
      }
    }
    for (const auto& one : inFlight) {
      sum += one.Bytes();
    }
    RC_ASSERT(sum <= std::max<std::uint64_t>(kBound, vms * largest));
    for (const auto& [vm, id] : running) {
      inFlight[vm].OnEnded(id);
      inFlight[vm].OnEnded(id);
    }
    for (const auto& one : inFlight) {
      RC_ASSERT(one.Bytes() == 0);
    }
  }));
}

/// Guards against requests that no VM may ever send, and against a bound where the
/// deployment asks for none.
TEST_CASE("a large request waits for others, small ones and unbounded ones do not")
{
  InFlightBytes inFlight;
  CHECK(inFlight.MaySend(1'000'000, 0));
  inFlight.OnSent(1, 1'000'000);
  CHECK_FALSE(inFlight.MaySend(100'000, 1'050'000));
  CHECK(inFlight.MaySend(100'000, 1'100'000));
  CHECK(inFlight.MaySend(kLargeRequestBytes, 0));
  CHECK(inFlight.MaySend(100'000, std::nullopt));
  inFlight.OnSent(2, kLargeRequestBytes);
  CHECK(inFlight.Bytes() == 1'000'000);
  inFlight.OnEnded(1);
  CHECK(inFlight.MaySend(100'000, 0));
}
