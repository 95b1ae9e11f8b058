/// @file
/// @brief Tests of LatencyEstimator and SlotLimiter.
#include "wasabispar/upstream/latency_estimator.hpp"
#include "wasabispar/upstream/slot_limiter.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace wasabispar;
using namespace std::chrono_literals;

TEST_CASE("an estimated quantile exceeds the exact one by at most the bucket growth")
{
  // Guards against samples that are lost, counted twice or kept after the window.
  CHECK(rc::check([](const std::vector<std::pair<std::uint16_t, std::uint16_t>>& aInput) {
    LatencyEstimator estimator(20s);
    std::vector<std::pair<std::int64_t, Duration>> all; // slice number, latency
    TimePoint now{ 100s };
    for (const auto& [gap, micros] : aInput) {
      now += 10ms * (gap % 1000);
      const Duration latency = 100us + 50us * micros;
      estimator.Record(latency, now);
      all.emplace_back(now.time_since_epoch() / 5s, latency);
    }
    std::vector<Duration> window;
    for (const auto& [slice, latency] : all) {
      if (slice > now.time_since_epoch() / 5s - 4) {
        window.push_back(latency);
      }
    }
    std::ranges::sort(window);
    RC_ASSERT(estimator.Count(now) == window.size());
    for (const std::uint32_t permille : { 1U, 500U, 950U, 999U, 1000U }) {
      const auto quantile = estimator.Quantile(Permille(permille), now);
      RC_ASSERT(quantile.has_value() == !window.empty());
      if (quantile) {
        const auto rank = (window.size() * permille + 999) / 1000;
        const auto exact = window[std::max<std::size_t>(rank, 1) - 1];
        RC_ASSERT(quantile->count() >= exact.count() - 1);
        RC_ASSERT(quantile->count() <=
                  exact.count() * LatencyEstimator::kBucketGrowth + 1);
      }
    }
  }));
}

TEST_CASE("the slot limit starts from the declared slots and never falls below 1")
{
  // Guards against a limit of 0 after a burst of shed replies, which would exclude the
  // upstream for good.
  SlotLimiter limiter;
  limiter.OnDeclaredSlots(6);
  CHECK(limiter.Limit() == 6);
  TimePoint now{ 1s };
  limiter.OnShed(now - 1ms, now);
  CHECK(limiter.Limit() == 4);
  limiter.OnShed(now - 1ms, now + 1ms); // started before the decrease
  CHECK(limiter.Limit() == 4);
  for (int i = 0; i < 50; ++i) {
    now += 10ms;
    limiter.OnShed(now - 1ms, now);
    CHECK(limiter.Limit() >= 1);
  }
  CHECK(limiter.Limit() == 1);
  for (int i = 0; i < 1000; ++i) {
    limiter.OnSuccess(5ms, limiter.Limit());
  }
  CHECK(limiter.Limit() == 24); // four times the declared slots
  limiter.OnDeclaredSlots(2);
  CHECK(limiter.Limit() == 8);
}

TEST_CASE("the slot limit falls when latency grows, but not for single stragglers")
{
  // Guards against a growing queue at an upstream that never sheds load.
  SlotLimiter limiter;
  limiter.OnDeclaredSlots(8);
  for (int i = 0; i < 320; ++i) {
    limiter.OnSuccess(i % 50 == 0 ? 100ms : 5ms, 1);
  }
  CHECK(limiter.Limit() == 8);
  for (int i = 0; i < 64; ++i) {
    limiter.OnSuccess(20ms, 1);
  }
  CHECK(limiter.Limit() < 8);
}
