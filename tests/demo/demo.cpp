/// @file
/// @brief The demo: two data centres of real processes on loopback, some requests, some
/// faults, and a short report of what the fleet did. Exit code 0 when each step went as
/// expected.
#include "tests/harness/cluster.hpp"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <iostream>

using namespace wasabispar;
using namespace wasabispar::harness;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

const std::string kFitting = "counter-fitting";
const std::string kDeckCheck = "deck-check";
const std::string kHold = "counter-hold";

using Clock = std::chrono::steady_clock;

double
MsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aStart).count();
}

UpstreamSpec
Group(const std::string& aName, const std::string& aIndex, const std::string& aDataCentre)
{
  UpstreamSpec spec;
  spec.mName = aName;
  spec.mIndex = aIndex;
  spec.mDataCentre = aDataCentre;
  spec.mInstances = 10;
  spec.mSearchers = 3;
  spec.mShards = 15;
  spec.mReplicas = 2;
  spec.mBaseMs = 8;
  spec.mJitterMs = 6;
  return spec;
}

ClusterSpec
DemoSpec()
{
  ClusterSpec spec;
  spec.mLogLevel = "error";
  spec.mVms = { { "vm1", "harju-a-1", "harju-a", false },
                { "vm2", "harju-a-1", "harju-a", false },
                { "vm3", "harju-a-1", "harju-a", false },
                { "vm4", "tartu-a-1", "tartu-a", false },
                { "vm5", "tartu-a-1", "tartu-a", false } };
  spec.mUpstreams = { Group("counter-h", "counter-app", "harju-a-1"),
                      Group("bench-h", "benchsvc", "harju-a-1"),
                      Group("counter-t", "counter-app", "tartu-a-1") };
  // Fewer owners than VMs, so that some sub-requests are forwarded to another VM.
  spec.mFlags = { "--max-owners", "2" };
  return spec;
}

json::object
FittingProfile()
{
  return { { "index", "counter-app" },
           { "partial_policy", "answer_at_target" },
           { "latency_target_ms", 80 },
           { "deadline_ms", 1000 },
           { "minimum_coverage_permille", 500 } };
}

json::object
DeckCheckProfile()
{
  return { { "index", "benchsvc" },
           { "partial_policy", "wait_for_coverage" },
           { "latency_target_ms", 1000 },
           { "deadline_ms", 3000 },
           { "minimum_coverage_permille", 1000 } };
}

/// Prints the steps and remembers whether one failed.
class Report
{
public:
  void Title(const std::string& aText) { std::cout << "\n" << aText << std::endl; }
  void Note(const std::string& aText) { std::cout << "  " << aText << std::endl; }
  void Check(bool aIsAsExpected, const std::string& aText)
  {
    std::cout << (aIsAsExpected ? "  ok    " : "  FAIL  ") << aText << std::endl;
    mFailures += aIsAsExpected ? 0 : 1;
    ++mChecks;
  }
  int Failures() const { return mFailures; }
  int Checks() const { return mChecks; }

private:
  int mFailures = 0;
  int mChecks = 0;
};

/// One line about an answer or refusal.
std::string
Describe(const CallReply& aReply, double aTookMs)
{
  const auto body = aReply.Json();
  char took[32];
  std::snprintf(took, sizeof took, "%.1f ms", aTookMs);
  if (aReply.Code() != 200) {
    return std::to_string(aReply.Code()) + " " + json::serialize(body) + " in " + took;
  }
  const auto& coverage = body.at("coverage").as_object();
  return "200 from " + std::string(body.at("vm").as_string()) + " in " + took +
         ": snapshot " + json::serialize(body.at("snapshot")) + ", coverage " +
         json::serialize(coverage.at("answered")) + "/" +
         json::serialize(coverage.at("total")) + ", missing " +
         json::serialize(coverage.at("missing")) + ", " +
         std::to_string(body.at("hits").as_array().size()) + " hits";
}

std::uint64_t
PermilleOf(const CallReply& aReply)
{
  return aReply.Code() == 200
           ? aReply.Json().at("coverage").at("permille").to_number<std::uint64_t>()
           : 0;
}

CallReply
Ask(Report& aReport, VmProcess& aVm, const std::string& aProfile,
    const std::string& aText)
{
  const auto start = Clock::now();
  auto reply = Query(aVm.Caller(), aProfile, aText);
  aReport.Note(Describe(reply, MsSince(start)));
  return reply;
}

void
ShowSearches(Report& aReport, Cluster& aCluster)
{
  aReport.Title("A fitting search on each VM of two data centres");
  for (std::size_t vm = 0; vm < aCluster.VmCount(); ++vm) {
    const auto reply = Ask(aReport, aCluster.Vm(vm), kFitting, "kimono size 38");
    aReport.Check(PermilleOf(reply) == 1000, "complete answer");
  }
  aReport.Title("A deck check, which waits for full coverage");
  aReport.Check(PermilleOf(Ask(aReport, aCluster.Vm(1), kDeckCheck, "deck 52 faces")) ==
                  1000,
                "complete answer");
}

void
ShowFrozenUpstream(Report& aReport, Cluster& aCluster)
{
  aReport.Title("One upstream instance freezes; its replicas answer for it");
  // Some traffic, so that the VM has an estimate of the latency to hedge by.
  for (int request = 0; request < 20; ++request) {
    Query(aCluster.Vm(0).Caller(), kFitting, "warm-up");
  }
  const auto& group = aCluster.Upstream(0);
  group.Set(group.InstanceName(0), { { "freeze", "all" } });
  const auto reply = Ask(aReport, aCluster.Vm(0), kFitting, "obi for a wedding");
  aReport.Check(PermilleOf(reply) == 1000, "complete answer in spite of it");
  const auto id = std::string(reply.mResponse.Header("Wasabispar-Request-Id"));
  const auto explain = Call(aCluster.Vm(0).Operator(), "GET", "/v1/explain/" + id).Json();
  if (const auto* subs = explain.if_contains("sub_requests")) {
    for (const auto& sub : subs->as_array()) {
      if (sub.at("kind") != "first") {
        aReport.Note("explain: " + std::string(sub.at("kind").as_string()) + " of " +
                     std::string(sub.at("shard").as_string()) + " to " +
                     std::string(sub.at("upstream").as_string()) + ", because " +
                     std::string(sub.at("why").as_string()));
      }
    }
  }
  group.Set(group.InstanceName(0), { { "freeze", "none" } });
}

void
ShowMissingShard(Report& aReport, Cluster& aCluster)
{
  aReport.Title("Both replicas of one shard are lost: the answer says so");
  const auto& group = aCluster.Upstream(0);
  const auto holders = group.Holders("s3");
  for (const auto holder : holders) {
    group.Set(group.InstanceName(holder), { { "down", true } });
  }
  const auto reply = Ask(aReport, aCluster.Vm(2), kFitting, "summer yukata");
  aReport.Check(reply.Code() == 200 && PermilleOf(reply) < 1000, "labelled as partial");
  for (const auto holder : holders) {
    group.Set(group.InstanceName(holder), { { "down", false } });
  }
  aReport.Check(aCluster.WaitReady(kFitting, 15s), "complete again after they return");
}

void
ShowExecution(Report& aReport, Cluster& aCluster)
{
  aReport.Title("A hold with a ticket, sent twice through different VMs");
  const auto ticket = PostJson(aCluster.Vm(0).Caller(), "/v1/tickets",
                               { { "profile", kHold }, { "caller", "house-1" } })
                        .Json();
  const json::object hold{ { "profile", kHold },
                           { "caller", "house-1" },
                           { "ticket", ticket.at("ticket") },
                           { "body", json::object{ { "id", "hold-17" } } } };
  const auto first = PostJson(aCluster.Vm(0).Caller(), "/v1/executions", hold);
  const auto second = PostJson(aCluster.Vm(1).Caller(), "/v1/executions", hold);
  aReport.Note("first:  " + first.mResponse.mBody);
  aReport.Note("second: " + second.mResponse.mBody);
  aReport.Check(first.Code() == 200 && first.mResponse.mBody == second.mResponse.mBody,
                "both callers got the same answer");
  aReport.Check(MaxExecutionsOfOneBody(aCluster.Upstream(0).Record()) == 1,
                "the upstream ran it once");
}

void
ShowRetirement(Report& aReport, Cluster& aCluster)
{
  aReport.Title("The fitting profile is retired");
  auto retired = FittingProfile();
  retired["state"] = "retired";
  const auto start = Clock::now();
  aCluster.PublishProfile(kFitting, retired);
  const bool isRefused = WaitUntil(10s, [&] {
    for (std::size_t vm = 0; vm < aCluster.VmCount(); ++vm) {
      if (Query(aCluster.Vm(vm).Caller(), kFitting, "late").Code() != 410) {
        return false;
      }
    }
    return true;
  });
  char took[64];
  std::snprintf(took, sizeof took, "all 5 VMs refuse it after %.0f ms", MsSince(start));
  aReport.Check(isRefused, took);
  Ask(aReport, aCluster.Vm(3), kFitting, "late");
}

void
ShowFleet(Report& aReport, Cluster& aCluster)
{
  aReport.Title("The fleet as vm1 sees it");
  const auto status = Call(aCluster.Vm(0).Operator(), "GET", "/v1/status").Json();
  for (const auto& member : status.at("members").as_array()) {
    aReport.Note(std::string(member.at("vm").as_string()) + " in " +
                 std::string(member.at("data_centre").as_string()) + ": " +
                 std::string(member.at("state").as_string()) + ", revision " +
                 json::serialize(member.at("revision")));
  }
  aReport.Check(status.at("revision_in_force_permille").to_number<int>() == 1000,
                "the newest revision is in effect on all of them");
}

void
ShowStop(Report& aReport, Cluster& aCluster)
{
  aReport.Title("vm2 is stopped gracefully");
  auto& process = aCluster.Vm(1).Process();
  process.Signal(SIGTERM);
  const auto end = process.WaitForEnd(15s);
  aReport.Check(end && end->mExitStatus == 0, "exit code 0");
}

} // namespace

int
main()
{
  Report report;
  try {
    std::cout << "starting a platform, 30 upstream instances and 5 VMs ..." << std::endl;
    Cluster cluster(DemoSpec());
    cluster.PublishProfile(kFitting, FittingProfile());
    cluster.PublishProfile(kDeckCheck, DeckCheckProfile());
    cluster.PublishProfile(kHold, ExecuteProfile("counter-app"));
    report.Check(cluster.WaitReady(kFitting, 30s), "all VMs are ready");
    ShowSearches(report, cluster);
    ShowFrozenUpstream(report, cluster);
    ShowMissingShard(report, cluster);
    ShowExecution(report, cluster);
    ShowRetirement(report, cluster);
    ShowFleet(report, cluster);
    ShowStop(report, cluster);
  } catch (const std::exception& error) {
    report.Check(false, error.what());
  }
  std::cout << "\nsummary: " << report.Checks() - report.Failures() << " of "
            << report.Checks() << " steps as expected" << std::endl;
  return report.Failures() == 0 ? 0 : 1;
}
