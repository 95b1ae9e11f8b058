/// @file
/// @brief Tests of the reports of crashed upstreams between VMs.
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
  const RequestCrashes crashes{ RequestFingerprint(0xfedcba9876543210),
                                { { UpstreamId("i-1"), 1796000000000 },
                                  { UpstreamId("i-2"), 0 } } };
  const auto key = CrashReportKey(crashes.mFingerprint, VmId("10.0.0.1"));
  CHECK(key == "request-crashes/fedcba9876543210/10.0.0.1");
  CHECK(DecodeCrashReport(Entry(key, EncodeCrashReport(crashes))) == crashes);
  const RequestCrashes none{ crashes.mFingerprint, {} };
  CHECK(DecodeCrashReport(Entry(key, EncodeCrashReport(none))) == none);
}

TEST_CASE("a report that is malformed or of another kind is ignored")
{
  CHECK_FALSE(DecodeCrashReport(Entry("upstream-leaving/i-1", "[]")));
  CHECK_FALSE(DecodeCrashReport(Entry("request-crashes/xyz/vm", "[]")));
  CHECK_FALSE(DecodeCrashReport(Entry("request-crashes//vm", "[]")));
  for (const auto* value : { "", "{}", "[1]", R"([["i-1"]])", R"([["i-1","x"]])",
                             R"([["i-1",-1]])", R"([[1,1]])" }) {
    CHECK_FALSE(DecodeCrashReport(Entry("request-crashes/7/vm", value)));
  }
}

TEST_CASE("a report of many crashes stays short")
{
  RequestCrashes crashes{ RequestFingerprint(7), {} };
  for (int i = 0; i < 100; ++i) {
    crashes.mUpstreams.insert({ UpstreamId("i-" + std::to_string(i)), 1796000000000 });
  }
  const auto decoded =
    DecodeCrashReport(Entry("request-crashes/7/vm", EncodeCrashReport(crashes)));
  REQUIRE(decoded);
  CHECK(decoded->mUpstreams.size() == 4);
}
