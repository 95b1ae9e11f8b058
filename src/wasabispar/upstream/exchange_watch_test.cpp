/// @file
/// @brief Tests of ExchangeWatch in virtual time.
#include "wasabispar/upstream/exchange_watch.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const UpstreamId kUpstream("u1");

template<class Action>
std::size_t
CountOf(const std::vector<WatchAction>& aActions)
{
  std::size_t count = 0;
  for (const auto& action : aActions) {
    count += std::holds_alternative<Action>(action) ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_CASE("an answered probe closes the connections of overdue exchanges")
{
  // Guards against connections that hang for ever while new ones work.
  ExchangeWatch watch;
  const TimePoint start{ 1s };
  watch.OnStarted({ 1, 11, kUpstream, true }, start);
  watch.OnStarted({ 2, 12, kUpstream, false }, start);
  watch.OnStarted({ 3, 13, kUpstream, true }, start);
  watch.OnStarted({ 4, 14, kUpstream, true }, start + 400ms);
  CHECK(watch.NextDue() == start + 500ms);
  CHECK(watch.OnTimer(start + 499ms).empty());
  const auto probe = watch.OnTimer(start + 500ms);
  REQUIRE(probe.size() == 1);
  CHECK(std::get<ProbeUpstream>(probe[0]).mUpstream == kUpstream);
  CHECK(watch.OnTimer(start + 510ms).empty()); // one probe at a time
  watch.OnEnded(3);                            // a slow reply
  const auto ended = watch.OnProbeEnded(kUpstream, true, start + 520ms);
  REQUIRE(ended.size() == 2);
  CHECK(std::get<CloseConnection>(ended[0]).mExchange.mConnection == 11);
  CHECK(std::get<CloseConnection>(ended[0]).mIsRetryable);
  CHECK(std::get<CloseConnection>(ended[1]).mExchange.mConnection == 12);
  CHECK_FALSE(std::get<CloseConnection>(ended[1]).mIsRetryable);
  CHECK(watch.NextDue() == start + 900ms); // exchange 4 was not overdue
}

TEST_CASE("a failed probe makes the upstream suspect until a later probe is answered")
{
  // Guards against an unresponsive upstream that is not excluded, and against a recovered
  // one that stays excluded.
  ExchangeWatch watch;
  const TimePoint start{ 1s };
  watch.OnStarted({ 1, 11, kUpstream, true }, start);
  watch.OnTimer(start + 500ms);
  const auto failed = watch.OnTimer(start + 800ms);
  CHECK(CountOf<MarkSuspect>(failed) == 1);
  CHECK(
    watch.OnProbeEnded(kUpstream, false, start + 900ms).empty()); // after its time-out
  CHECK(CountOf<ProbeUpstream>(watch.OnTimer(start + 1300ms)) == 1);
  CHECK(CountOf<MarkSuspect>(watch.OnProbeEnded(kUpstream, false, start + 1310ms)) == 0);
  CHECK(CountOf<ProbeUpstream>(watch.OnTimer(start + 1810ms)) == 1);
  const auto answered = watch.OnProbeEnded(kUpstream, true, start + 1820ms);
  CHECK(CountOf<ClearSuspect>(answered) == 1);
  CHECK(CountOf<CloseConnection>(answered) == 1);
  CHECK_FALSE(watch.NextDue());
}

TEST_CASE("an upstream that is suspect for another reason is probed at once")
{
  ExchangeWatch watch;
  const TimePoint start{ 1s };
  watch.OnSuspected(kUpstream, start);
  CHECK(CountOf<ProbeUpstream>(watch.OnTimer(start)) == 1);
  CHECK(CountOf<ClearSuspect>(watch.OnProbeEnded(kUpstream, true, start + 1ms)) == 1);
}
