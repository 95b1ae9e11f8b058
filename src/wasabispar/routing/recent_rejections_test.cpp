/// @file
/// @brief Tests of the records of rejected requests.
#include "wasabispar/routing/recent_rejections.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };
constexpr RequestFingerprint kRequest{ 7 };

} // namespace

/// Guards against a caller that is held back although it waited as long as it was told,
/// or that shortens its wait by being rejected again.
TEST_CASE("a rejection is recorded until its last end")
{
  RecentRejections rejections;
  rejections.OnRejected(kRequest, kNow + 200ms, kNow);
  rejections.OnRejected(kRequest, kNow + 100ms, kNow + 10ms);
  CHECK(rejections.IsRecorded(kRequest, kNow + 199ms));
  CHECK_FALSE(rejections.IsRecorded(kRequest, kNow + 200ms));
  CHECK_FALSE(rejections.IsRecorded(RequestFingerprint(8), kNow));
}

/// Guards against memory that grows with the rejections of a long overload.
TEST_CASE("records of rejections are bounded in number and time")
{
  RecentRejections rejections({ 10, 2s });
  for (std::uint64_t i = 0; i < 100; ++i) {
    rejections.OnRejected(RequestFingerprint(i), kNow + 1h, kNow + i * 1ms);
  }
  CHECK(rejections.Size() == 10);
  CHECK(rejections.IsRecorded(RequestFingerprint(99), kNow + 2s));
  CHECK_FALSE(rejections.IsRecorded(RequestFingerprint(89), kNow + 1s));
  rejections.OnRejected(kRequest, kNow + 4s, kNow + 3s);
  CHECK(rejections.Size() == 1);
}
