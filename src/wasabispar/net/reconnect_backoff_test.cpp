/// @file
/// @brief Tests of the backoff after refused connections.
#include "wasabispar/net/reconnect_backoff.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// Replays a fleet whose VMs all keep trying to connect to one upstream that refuses
/// every connection; returns the number of attempts in each full second.
std::vector<int>
ReplayRefusals(int aVms, std::size_t aSeconds)
{
  std::vector<ReconnectBackoff> vms;
  for (int i = 0; i < aVms; ++i) {
    vms.emplace_back(ReconnectBackoffOptions{ 250ms, 2s },
                     SeededRandom(static_cast<std::uint64_t>(i)));
  }
  std::vector<int> attempts(aSeconds);
  const TimePoint start{ 100s };
  for (auto now = start; now < start + aSeconds * 1s; now += 5ms) {
    for (auto& vm : vms) {
      if (vm.MayOpen(now)) {
        ++attempts[static_cast<std::size_t>((now - start) / 1s)];
        vm.OnRefused(now);
      }
    }
  }
  return attempts;
}

} // namespace

/// 195 VMs that reconnect four times a second cost an upstream 780 handshakes of 6 ms a
/// second, which is more than its three slots can do. At most one slot may go to them.
TEST_CASE("load pattern: reconnects to a full upstream use less than one slot")
{
  constexpr int kHandshakesPerSlot = 166;
  const auto attempts = ReplayRefusals(195, 8);
  for (std::size_t second = 4; second < attempts.size(); ++second) {
    CHECK(attempts[second] < kHandshakesPerSlot);
  }
}

TEST_CASE("the delay grows with each refusal up to its maximum and varies")
{
  ReconnectBackoff backoff({ 200ms, 1s }, SeededRandom(1));
  const TimePoint now{ 100s };
  CHECK(backoff.MayOpen(now));
  backoff.OnRefused(now);
  CHECK_FALSE(backoff.MayOpen(now + 99ms));
  CHECK(backoff.MayOpen(now + 200ms));
  for (int i = 0; i < 40; ++i) {
    backoff.OnRefused(now);
  }
  CHECK_FALSE(backoff.MayOpen(now + 499ms));
  CHECK(backoff.MayOpen(now + 1s));
}

TEST_CASE("an accepted connection ends the backoff")
{
  ReconnectBackoff backoff({ 200ms, 1s }, SeededRandom(1));
  const TimePoint now{ 100s };
  for (int i = 0; i < 5; ++i) {
    backoff.OnRefused(now);
  }
  CHECK(backoff.IsRefused());
  backoff.OnAccepted();
  CHECK_FALSE(backoff.IsRefused());
  backoff.OnRefused(now);
  CHECK(backoff.MayOpen(now + 200ms));
}
