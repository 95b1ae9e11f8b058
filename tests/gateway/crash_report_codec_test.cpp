/// @file
/// @brief Tests of the reports between VMs on requests that crash upstreams.
#include "wasabispar/gateway/crash_report_codec.hpp"

#include "wasabispar/fleet/gossip_store.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 5000s };
const RequestFingerprint kRequest{ 0xfedcba9876543210 };
const ServiceFingerprint kService{ 0xffffffffffffffff };
const CrashReporter kReporter{ VmId("vm"), Incarnation(1) };

/// An entry as it was published @p aAge ago.
GossipEntry
Entry(std::string aKey, std::string aValue, Duration aAge = Duration::zero())
{
  GossipEntry entry;
  entry.mKey = std::move(aKey);
  entry.mValue = std::move(aValue);
  entry.mTtlMs = static_cast<std::uint32_t>(ToMilliseconds(kCrashReportTtl - aAge));
  return entry;
}

RequestCrash
Crash(Duration aSentAgo, Duration aLostAgo)
{
  return { kService, kNow - aSentAgo, kNow - aLostAgo };
}

} // namespace

TEST_CASE("a report of crashes is the same after it was sent")
{
  const auto key = CrashReportKey(kRequest, { VmId("10.0.0.1"), Incarnation(255) });
  CHECK(key == "request-crashes/fedcba9876543210/10.0.0.1/ff");
  const RequestCompletion completion{ kService, kNow - 3s };
  for (const auto& report :
       { RequestCrashReport{ kRequest, { Crash(2500ms, 2450ms), Crash(900ms, 1ms) }, {} },
         RequestCrashReport{ kRequest, { Crash(1s, 1s) }, completion },
         RequestCrashReport{ kRequest, {}, completion },
         RequestCrashReport{ kRequest, {}, {} } }) {
    CHECK(DecodeCrashReport(Entry(key, EncodeCrashReport(report, kNow)), kNow) == report);
  }
}

TEST_CASE("the process that published a report follows from its entry")
{
  auto entry = Entry(CrashReportKey(kRequest, kReporter), ";");
  entry.mOrigin = kReporter.mVm;
  CHECK(CrashReporterOf(entry) == kReporter);
  // A VM of an older version.
  entry.mKey = "request-crashes/7/vm";
  CHECK(CrashReporterOf(entry) == CrashReporter{ kReporter.mVm, Incarnation() });
  entry.mKey = "request-crashes/7/vm/x";
  CHECK(CrashReporterOf(entry) == CrashReporter{ kReporter.mVm, Incarnation() });
}

/// Guards against crashes that seem to overlap, because a VM learned of all of them at
/// once, long after they had happened.
TEST_CASE("the time that a report was on its way counts")
{
  const RequestCrashReport report{ kRequest, { Crash(20300ms, 20200ms) }, {} };
  const auto entry = Entry(CrashReportKey(kRequest, kReporter),
                           EncodeCrashReport(report, kNow - 20s), 20s);
  CHECK(DecodeCrashReport(entry, kNow) == report);
}

/// Guards against a report that gossip rejects for its size.
TEST_CASE("a report of many crashes fits into a gossip entry and keeps the last ones")
{
  RequestCrashReport report{ kRequest, {}, RequestCompletion{ kService, kNow - 10min } };
  for (int i = 100; i > 0; --i) {
    report.mCrashes.push_back(Crash(i * 5s + 50ms, i * 5s));
  }
  const auto value = EncodeCrashReport(report, kNow);
  CHECK(value.size() <= GossipStoreOptions().mMaxValueBytes);
  const auto decoded =
    DecodeCrashReport(Entry(CrashReportKey(kRequest, kReporter), value), kNow);
  REQUIRE(decoded);
  CHECK(CountSuccessiveCrashes(decoded->mCrashes) >= 3);
  CHECK(decoded->mCrashes.back() == Crash(5050ms, 5s));
}

TEST_CASE("a report that is malformed or of another kind is ignored")
{
  CHECK_FALSE(DecodeCrashReport(Entry("upstream-leaving/i-1", ";"), kNow));
  CHECK_FALSE(DecodeCrashReport(Entry("request-crashes/xyz/vm", ";"), kNow));
  CHECK_FALSE(DecodeCrashReport(Entry("request-crashes//vm", ";"), kNow));
  CHECK(DecodeCrashReport(Entry("request-crashes/7/vm", ";"), kNow));
  for (const auto* value : { "",
                             "x",
                             "1",
                             "1;",
                             "-1;",
                             "1:2:3",
                             "1:2:3;;",
                             "1:2;",
                             "1:2:3:4;",
                             ",;",
                             "1:2:3,;",
                             "g:2:1;",
                             "1:1:2;",
                             "1:-2:-3;",
                             "1:2 :1;",
                             "1:2.5:1;",
                             "1:99999999999:1;",
                             ";1",
                             ";1:",
                             ";:1",
                             ";1:2:3",
                             ";1:x" }) {
    CAPTURE(value);
    CHECK_FALSE(DecodeCrashReport(Entry("request-crashes/7/vm", value), kNow));
  }
  std::string many;
  for (int i = 0; i < 100; ++i) {
    many += "1:9:8,";
  }
  CHECK_FALSE(DecodeCrashReport(Entry("request-crashes/7/vm", many + "1:9:8;"), kNow));
}
