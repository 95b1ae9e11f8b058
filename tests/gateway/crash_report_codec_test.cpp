/// @file
/// @brief Tests of the reports between VMs on requests that crash upstreams.
#include "wasabispar/gateway/crash_report_codec.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;

namespace {

GossipEntry
Entry(std::string aKey, std::string aValue)
{
  GossipEntry entry;
  entry.mKey = std::move(aKey);
  entry.mValue = std::move(aValue);
  return entry;
}

} // namespace

TEST_CASE("a report of crashes is the same after it was sent")
{
  const RequestCrashes crashes{ RequestFingerprint(0xfedcba9876543210), 2 };
  const auto key = CrashReportKey(crashes.mFingerprint, VmId("10.0.0.1"));
  CHECK(key == "request-crashes/fedcba9876543210/10.0.0.1");
  CHECK(DecodeCrashReport(Entry(key, EncodeCrashReport(crashes))) == crashes);
  const RequestCrashes none{ crashes.mFingerprint, 0 };
  CHECK(DecodeCrashReport(Entry(key, EncodeCrashReport(none))) == none);
}

TEST_CASE("a report that is malformed or of another kind is ignored")
{
  CHECK_FALSE(DecodeCrashReport(Entry("upstream-leaving/i-1", "1")));
  CHECK_FALSE(DecodeCrashReport(Entry("request-crashes/xyz/vm", "1")));
  CHECK_FALSE(DecodeCrashReport(Entry("request-crashes//vm", "1")));
  for (const auto* value : { "", "x", "-1", "1 ", "1.5", "99999999999" }) {
    CHECK_FALSE(DecodeCrashReport(Entry("request-crashes/7/vm", value)));
  }
}
