/// @file
/// @brief Tests of the rendering of fixed reports by wasabisparctl.
#include "wasabispar/app/ctl_burn.hpp"
#include "wasabispar/app/ctl_json.hpp"
#include "wasabispar/app/ctl_profiles.hpp"
#include "wasabispar/app/ctl_status.hpp"
#include "wasabispar/app/ctl_upstreams.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;

namespace {

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
LineWith(const std::string& aText, const std::string& aPart)
{
  const auto at = aText.find(aPart);
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = aText.rfind('\n', at) + 1;
  return aText.substr(begin, aText.find('\n', at) - begin);
}

/// A status report whose members and contacts are given as JSON text.
CtlReport
Status(const std::string& aMembers, const std::string& aContacts = "",
       const std::string& aReady = "true")
{
  return RenderStatus(
    *ParseReport(R"({"vm":"vm1","data_centre":"harju-1","region":"harju-a","ready":)" +
                 aReady + R"(,"reason":"draining","revision":7,"members":[)" + aMembers +
                 R"(],"other_data_centres":[)" + aContacts + "]}"));
}

std::string
Member(const std::string& aVm, const std::string& aState, const std::string& aRevision,
       const std::string& aDataCentre = "harju-1")
{
  return R"({"vm":")" + aVm + R"(","state":")" + aState + R"(","revision":)" + aRevision +
         R"(,"data_centre":")" + aDataCentre + R"(","region":"r","since_ms":5000})";
}

const std::string kSeries = R"("latency_series":[0,20,7.2],"coverage_series":[0,0,0])";

std::string
BurnBody(const std::string& aAlert, const std::string& aProfile = "fitting")
{
  return R"({"vm":"vm1","profiles":[{"profile":")" + aProfile + R"(","latency_alert":")" +
         aAlert + R"(","coverage_alert":"none",)" + kSeries +
         R"(,"windows":[{"minutes":5,"requests":300,"latency_bad":6,"latency_burn":4.0,)"
         R"("coverage_bad":0,"coverage_burn":0}]}]})";
}

} // namespace

TEST_CASE("status counts the VMs in force against the newest revision anywhere")
{
  // Guards against a VM that lags and calls its own old revision complete.
  const auto fine =
    Status(Member("vm1", "alive", "7") + "," + Member("vm2", "leaving", "7") + "," +
           Member("vm3", "dead", "null"));
  CHECK(Has(fine.mText, "in force: 2 of 2 VMs at revision 7"));
  CHECK(!Has(fine.mText, "NOT IN FORCE"));
  CHECK(!fine.mHasProblem);

  const auto lagging =
    Status(Member("vm1", "alive", "7") + "," + Member("vm2", "alive", "9", "tartu-1"));
  CHECK(Has(lagging.mText, "in force: 1 of 2 VMs at revision 9"));
  CHECK(Has(LineWith(lagging.mText, "vm1  "), "NOT IN FORCE"));
  CHECK(Has(lagging.mText, "data centre tartu-1"));
  CHECK(lagging.mHasProblem);
}

TEST_CASE("status takes a live VM without an answer as not in force")
{
  // Guards against a silent VM that counts as up to date.
  const auto report =
    Status(Member("vm1", "alive", "7") + "," + Member("vm2", "alive", "null"));
  CHECK(Has(LineWith(report.mText, "vm2"), "NOT IN FORCE: no answer"));
  CHECK(report.mHasProblem);
}

TEST_CASE("status reports a VM that is not ready and a lost data centre")
{
  // Guards against a script that takes an isolated or draining VM for healthy.
  const auto member = Member("vm1", "alive", "7");
  const auto draining = Status(member, "", "false");
  CHECK(Has(draining.mText, "NOT READY: draining"));
  CHECK(draining.mHasProblem);
  const std::string contact = R"({"data_centre":"tartu-1","alive":0,"members":1,)"
                              R"("last_contact_ms":9000,"reachable":)";
  CHECK_FALSE(Status(member, contact + "true}").mHasProblem);
  const auto cut = Status(member, contact + "false}");
  CHECK(Has(LineWith(cut.mText, "tartu-1"), "NO "));
  CHECK(cut.mHasProblem);
}

TEST_CASE("profiles sums over VMs and marks retired, unknown and unused ones")
{
  // Guards against the deletion of a profile that is used on another VM only, and
  // against a retired profile whose callers are not named.
  const auto one = *ParseReport(
    R"({"vm":"vm1","other_unknown":2,"profiles":[
      {"profile":"fitting","status":"active","requests":10,"refused":0,"last_ms":50,
       "callers":[{"caller":"house-a","requests":10,"last_ms":50}]},
      {"profile":"only-vm2","status":"active","requests":0,"refused":0,"callers":[]},
      {"profile":"old","status":"retired","requests":3,"refused":1,"last_ms":9000,
       "callers":[{"caller":"house-b","requests":3,"last_ms":9000}]},
      {"profile":"typo","status":"unknown","requests":1,"refused":1,"callers":[]},
      {"profile":"idle","status":"active","requests":0,"refused":0,"callers":[]}]})");
  const auto two = *ParseReport(
    R"({"vm":"vm2","other_unknown":0,"profiles":[
      {"profile":"fitting","status":"active","requests":5,"refused":0,"last_ms":70,
       "callers":[{"caller":"house-a","requests":2,"last_ms":70},
                  {"caller":"house-c","requests":13,"last_ms":80}]},
      {"profile":"only-vm2","status":"active","requests":4,"refused":0,"callers":[]},
      {"profile":"old","status":"active","requests":2,"refused":0,"last_ms":4000,
       "callers":[{"caller":"house-b","requests":2,"last_ms":4000}]},
      {"profile":"idle","status":"active","requests":0,"refused":0,"callers":[]}]})");
  const auto text = RenderProfiles({ one, two }).mText;
  CHECK(Has(LineWith(text, "fitting"), "15        0        50 ms ago  10      5"));
  CHECK(Has(text, "house-c (13, 80 ms ago), house-a (12, 50 ms ago)"));
  CHECK(Has(LineWith(text, "old "), "retired/active"));
  CHECK(Has(text, "RETIRED, STILL ASKED FOR by house-b (5, 4 s ago)"));
  CHECK(Has(LineWith(text, "typo"), "UNKNOWN NAME"));
  CHECK(Has(LineWith(text, "idle"), "UNUSED"));
  CHECK_FALSE(Has(LineWith(text, "only-vm2"), "UNUSED"));
  CHECK(Has(text, "further unknown names: 2"));
  CHECK_FALSE(Has(RenderProfiles({ one }).mText, "on vm1"));
}

TEST_CASE("profiles does not call a retired profile asked for before its retirement")
{
  // Guards against a profile that can never be deleted, because requests from before
  // its retirement count as use.
  const auto report = *ParseReport(
    R"({"vm":"vm1","profiles":[{"profile":"old","status":"retired","requests":3,
      "refused":0,"callers":[{"caller":"house-b","requests":3}]}]})");
  CHECK_FALSE(Has(RenderProfiles({ report }).mText, "STILL ASKED FOR"));
}

TEST_CASE("burn tells alerts by its exit and plots the series")
{
  // Guards against an alert that a script does not see, and a plot that hides a peak.
  const auto page = RenderBurn(*ParseReport(BurnBody("page")));
  CHECK(page.mHasProblem);
  CHECK(Has(page.mText, "alerts latency page, coverage none"));
  CHECK(Has(LineWith(page.mText, "5 min"), "300       6     4.00          0"));
  CHECK(Has(page.mText, ".█▄ highest 20.0"));
  CHECK_FALSE(RenderBurn(*ParseReport(BurnBody("none"))).mHasProblem);
  CHECK(
    Has(RenderBurn(*ParseReport(R"({"vm":"vm1","profiles":[]})")).mText, "no requests"));
  CHECK(PlotLine({ 0, 0.01, 100 }, 14.4) == ".▁█");
}

TEST_CASE("the burn picture escapes names and has all series")
{
  // Guards against a picture that no viewer opens, and a rate drawn outside its panel.
  const auto svg = BurnSvg({ *ParseReport(BurnBody("page", "a<b&c")) });
  CHECK(Has(svg, "a&lt;b&amp;c on vm1"));
  CHECK(Has(svg, "48.0,152.0 58.8,32.0 69.7,108.8"));
  CHECK(svg.ends_with("</svg>\n"));
  CHECK(Has(BurnSvg({}), "</svg>"));
}

TEST_CASE("a report of another version is shown with gaps")
{
  // Guards against a command line that fails while VMs of two versions run.
  const auto report = RenderUpstreams(
    *ParseReport(R"({"upstreams":[{"upstream":"u-1","mean_latency_ms":"fast",
      "versions":[{"version":3,"shards":6,"held":["s1","s2"]},7]},"odd"]})"));
  CHECK(Has(LineWith(report.mText, "u-1"), "3 (2 of 6 shards)"));
  CHECK(Has(LineWith(report.mText, "u-1"), "0.0"));
  CHECK(RenderStatus({}).mHasProblem);
  CHECK_FALSE(ParseReport("[]"));
  CHECK_FALSE(ParseReport("<html>"));
  CHECK(AgeIn({ { "age", 150000 } }, "age") == "2 min");
  CHECK(AgeIn({ { "age", 1999 } }, "age") == "1999 ms");
}
