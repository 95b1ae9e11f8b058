/// @file
/// @brief Tests of the latency estimate, the failure ratio and the avoidance of one
/// upstream.
#include "wasabispar/routing/replica_load.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

/// Runs @p aCount exchanges one after the other, each of the length @p aTook; returns the
/// time of the last answer.
TimePoint
CompleteExchanges(ReplicaLoad& aLoad, int aCount, Duration aTook, TimePoint aNow)
{
  for (int i = 0; i < aCount; ++i) {
    aLoad.OnSent(1, aNow);
    aNow += aTook;
    aLoad.OnAnswered(1, aNow);
  }
  return aNow;
}

} // namespace

TEST_CASE("the estimate follows the response times")
{
  ReplicaLoad load(50ms);
  auto now = CompleteExchanges(load, 30, 8ms, TimePoint{ 100s });
  CHECK(load.ExpectedLatency(now) < 9ms);
  now = CompleteExchanges(load, 4, 80ms, now);
  CHECK(load.ExpectedLatency(now) > 40ms);
}

/// When an upstream pauses, no further exchange ends, so the age of the open exchange
/// must raise the estimate.
TEST_CASE("an overdue exchange raises the estimate at once")
{
  ReplicaLoad load(8ms);
  const auto now = CompleteExchanges(load, 30, 8ms, TimePoint{ 100s });
  load.OnSent(2, now);
  CHECK(load.ExpectedLatency(now + 10ms) < 9ms);
  CHECK(load.ExpectedLatency(now + 60ms) == 60ms);
}

TEST_CASE("the estimate of a slow upstream decays while no request is sent")
{
  ReplicaLoad load(8ms);
  auto now = CompleteExchanges(load, 30, 8ms, TimePoint{ 100s });
  now = CompleteExchanges(load, 20, 90ms, now);
  CHECK(load.ExpectedLatency(now) > 60ms);
  CHECK(load.ExpectedLatency(now + 5s) < 20ms);
}

TEST_CASE("the failure ratio rises with shed requests and falls with time")
{
  ReplicaLoad load(8ms);
  TimePoint now{ 100s };
  for (ReplicaLoad::ExchangeId id = 0; id < 40; ++id) {
    load.OnSent(id, now);
    now += 8ms;
    if (id % 2 == 0) {
      load.OnShed(id, now);
    } else {
      load.OnAnswered(id, now);
    }
  }
  CHECK(load.FailureRatio(now) > 0.35);
  CHECK(load.FailureRatio(now) < 0.65);
  CHECK(load.FailureRatio(now + 6s) < 0.05);
}

TEST_CASE("the backoff grows with each lost answer and ends with an answer")
{
  ReplicaLoad load(8ms);
  TimePoint now{ 100s };
  load.OnSent(1, now);
  load.OnLost(1, now);
  CHECK(load.IsAvoided(now + 90ms));
  CHECK_FALSE(load.IsAvoided(now + 110ms));
  load.OnSent(2, now);
  load.OnLost(2, now);
  CHECK(load.IsAvoided(now + 190ms));
  CompleteExchanges(load, 1, 8ms, now);
  CHECK_FALSE(load.IsAvoided(now + 190ms));
}

TEST_CASE("unknown and abandoned exchanges do not change the estimate")
{
  ReplicaLoad load(8ms);
  const TimePoint now{ 100s };
  load.OnAnswered(7, now);
  load.OnSent(8, now);
  load.OnAbandoned(8);
  CHECK(load.InFlight() == 0);
  CHECK(load.ExpectedLatency(now + 1s) == 8ms);
}

TEST_CASE("an upstream that refuses connections is unreachable until a connection opens")
{
  ReplicaLoad load(8ms);
  CHECK_FALSE(load.IsUnreachable());
  load.OnConnectFailed(TimePoint{ 100s });
  CHECK(load.IsUnreachable());
  load.OnConnected();
  CHECK_FALSE(load.IsUnreachable());
}

/// Guards against a silent searcher that gets every request of a VM that sends few.
TEST_CASE("at a low rate of requests a lost answer is remembered until the next ones")
{
  ReplicaLoad load(8ms);
  load.SetRequestInterval(1500ms);
  const TimePoint now{ 100s };
  load.OnSent(1, now);
  load.OnLost(1, now);
  CHECK(load.IsAvoided(now + 2900ms));
  CHECK_FALSE(load.IsAvoided(now + 3s));
  for (ReplicaLoad::ExchangeId id = 2; id < 12; ++id) {
    load.OnSent(id, now);
    load.OnLost(id, now);
  }
  CHECK_FALSE(load.IsAvoided(now + 5s));
}

/// Guards against an upstream that is used once and then seems slow for seconds, because
/// its estimate still consists of the initial one.
TEST_CASE("the first sample replaces an assumed latency")
{
  ReplicaLoad load(50ms);
  CHECK_FALSE(load.HasSample());
  load.SetInitialLatency(30ms);
  load.SetInitialLatency(std::nullopt);
  CHECK(load.ExpectedLatency(TimePoint{ 100s }) == 30ms);
  auto now = CompleteExchanges(load, 1, 8ms, TimePoint{ 100s });
  CHECK(load.HasSample());
  CHECK(load.ExpectedLatency(now) == 8ms);
  load.SetInitialLatency(90ms);
  CHECK(load.ExpectedLatency(now) == 8ms);
  now = CompleteExchanges(load, 1, 16ms, now);
  CHECK(load.ExpectedLatency(now) < 13ms);
}
