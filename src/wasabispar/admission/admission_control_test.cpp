/// @file
/// @brief Tests of AdmissionControl and CodelLimit.
#include "wasabispar/admission/admission_control.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <atomic>
#include <map>
#include <numeric>
#include <thread>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 100s };

AdmissionControlOptions
SmallOptions(std::size_t aLimit)
{
  AdmissionControlOptions options;
  options.mLimit.mMin = 1;
  options.mLimit.mInitial = aLimit;
  options.mQueue.mMaxLength = 6;
  options.mQueue.mMaxLengthPerCaller = 4;
  return options;
}

} // namespace

TEST_CASE("each request gets one callback, and no more run than the limit allows")
{
  // Guards against lost callbacks, which leave a caller without an answer, and against
  // slots that are never released.
  CHECK(rc::check([] {
    AdmissionControl control(SmallOptions(3));
    auto now = kNow;
    std::map<std::size_t, std::vector<AdmissionReason>> answers;
    std::vector<AdmissionId> ids;
    std::size_t cancelled = 0;
    const auto words = *rc::gen::resize(
      300, rc::gen::container<std::vector<std::uint32_t>>(
             rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1U << 31U))));
    for (const auto word : words) {
      const auto argument = word / 8;
      switch (word % 8) {
        case 0:
        case 1:
        case 2:
        case 3: {
          const auto request = ids.size();
          ids.push_back(0);
          ids.back() = control.Submit(CallerId(std::to_string(argument % 3)), 1,
                                      now + (argument % 50) * 1ms, now,
                                      [&answers, request](AdmissionReason aReason) {
                                        answers[request].push_back(aReason);
                                      });
          break;
        }
        case 4:
          if (control.Running() > 0) {
            control.Finish(argument % 9 * 1ms, now);
          }
          break;
        case 5:
          cancelled += !ids.empty() && control.Cancel(ids[argument % ids.size()]) ? 1 : 0;
          break;
        case 6:
          control.Expire(now);
          break;
        default:
          now += argument % 20 * 1ms;
      }
      RC_ASSERT(control.Running() <= control.Limit());
      RC_ASSERT(control.Queued() == 0U || control.Running() == control.Limit());
    }
    control.Shutdown();
    std::uint64_t admitted = 0;
    for (const auto& [request, reasons] : answers) {
      RC_ASSERT(reasons.size() == 1U);
      admitted += reasons.front() == AdmissionReason::Admitted ? 1 : 0;
    }
    RC_ASSERT(answers.size() + cancelled == ids.size());
    const auto counts = control.Counts();
    RC_ASSERT(std::accumulate(counts.begin(), counts.end(), std::size_t{}) ==
              answers.size());
    RC_ASSERT(counts[0] == admitted);
  }));
}

TEST_CASE("a request that would wait past its deadline is refused at once")
{
  // Guards against requests that are queued although they will be refused at their
  // deadline.
  AdmissionControl control(SmallOptions(1));
  auto now = kNow;
  std::vector<AdmissionReason> reasons;
  const auto submit = [&](const char* aCaller, Duration aDeadline) {
    control.Submit(CallerId(aCaller), 1, now + aDeadline, now,
                   [&](AdmissionReason aReason) { reasons.push_back(aReason); });
  };
  // Queued requests start every 100 ms, from which the expected wait is estimated.
  submit("a", 10s);
  for (int i = 0; i < 4; ++i) {
    submit("a", 10s);
  }
  for (int i = 0; i < 3; ++i) {
    now += 100ms;
    control.Finish(0ms, now);
  }
  CHECK(reasons.size() == 4);
  CHECK(control.ExpectedWait(CallerId("b")) == 100ms);
  submit("b", 50ms);
  CHECK(reasons.back() == AdmissionReason::ExpectedWait);
  submit("b", 150ms);
  CHECK(control.Queued() == 2);
  now += 150ms;
  control.Expire(now);
  CHECK(reasons.back() == AdmissionReason::QueueDeadline);
}

TEST_CASE("a request leaves the queue at its latest useful start")
{
  // Guards against slots used by requests that start too late to meet their deadline.
  AdmissionControl control(SmallOptions(1));
  AdmissionReason last{};
  const auto submit = [&](TimePoint aNow, Duration aDeadline = 100ms) {
    control.Submit(CallerId("a"), 1, aNow + aDeadline, aNow,
                   [&](AdmissionReason aReason) { last = aReason; });
  };
  submit(kNow);
  control.Finish(40ms, kNow + 40ms);
  submit(kNow + 40ms);
  submit(kNow + 40ms);
  control.Expire(kNow + 99ms);
  CHECK(last == AdmissionReason::Admitted);
  control.Expire(kNow + 100ms);
  CHECK(last == AdmissionReason::QueueDeadline);
  // With a time to the deadline shorter than the mean run time, half of it may be spent
  // in the queue.
  submit(kNow + 100ms, 20ms);
  control.Expire(kNow + 109ms);
  CHECK(control.Queued() == 1);
}

TEST_CASE("a standing delay of the workers lowers the limit, a burst does not")
{
  // Guards against an overload that does not lower the limit, and against a limit that
  // falls after one slow callback.
  CodelLimitOptions options;
  options.mInitial = 100;
  CodelLimit limit(options);
  auto now = kNow;
  const auto observe = [&](Duration aDelay, int aCount) {
    for (int i = 0; i < aCount; ++i) {
      now += 10ms;
      limit.OnDelay(i % 5 == 4 ? aDelay : aDelay / 2, now);
    }
  };
  observe(8ms, 100);
  CHECK(limit.Value() == 100);
  observe(20ms, 200);
  const auto lowered = limit.Value();
  CHECK(lowered < 50);
  CHECK(lowered >= options.mMin);
  observe(1ms, 100);
  CHECK(limit.Value() == lowered);
  for (int i = 0; i < 50; ++i) {
    limit.OnLimitReached();
    observe(1ms, 11);
  }
  CHECK(limit.Value() > lowered);
}

TEST_CASE("no callback is lost when several threads submit and finish requests")
{
  // Guards against data races, and against callbacks under the lock, which would
  // deadlock.
  AdmissionControl control(SmallOptions(2));
  std::atomic<int> answered = 0;
  std::vector<std::thread> threads;
  for (int thread = 0; thread < 3; ++thread) {
    threads.emplace_back([&, thread] {
      for (int i = 0; i < 500; ++i) {
        control.Submit(CallerId(std::to_string(thread)), 1, kNow + 10s, kNow,
                       [&](AdmissionReason aReason) {
                         ++answered;
                         if (aReason == AdmissionReason::Admitted) {
                           control.Finish(0ms, kNow);
                         }
                       });
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK(answered == 1500);
  CHECK(control.Running() == 0);
}
