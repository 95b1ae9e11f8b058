/// @file
/// @brief Tests of `wasabisparctl explain --log`.
#include "wasabispar/app/ctl_log_explain.hpp"

#include "wasabispar/app/ctl_run.hpp"
#include "wasabispar/app/log_line.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include <unistd.h>

using namespace wasabispar;

namespace {

/// Log files by name; a missing one cannot be read.
struct Logs
{
  std::map<std::string, std::string> mFiles;

  decltype(CtlHooks::mReadLines) Reader() const
  {
    return [this](const std::string& aFile,
                  const std::function<void(std::string_view)>& aOnLine) {
      const auto found = mFiles.find(aFile);
      if (found == mFiles.end()) {
        return false;
      }
      std::istringstream lines(found->second);
      for (std::string line; std::getline(lines, line);) {
        aOnLine(line);
      }
      return true;
    };
  }

  CtlResult Explain(const std::string& aId, const std::vector<std::string>& aMore = {})
  {
    CtlHooks hooks;
    hooks.mReadLines = Reader();
    std::vector<std::string> arguments{ "explain", aId, "--log" };
    for (const auto& [name, content] : mFiles) {
      arguments.push_back(name);
    }
    arguments.insert(arguments.end(), aMore.begin(), aMore.end());
    return RunCtl(arguments, hooks);
  }
};

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// The line of the output that names the cause.
std::string
CauseIn(const std::string& aOutput)
{
  const auto at = aOutput.find("cause: ");
  return at == std::string::npos ? "" : aOutput.substr(at, aOutput.find('\n', at) - at);
}

/// A line at a number of milliseconds after 10:00.
std::string
At(int aMs, const std::string& aEvent)
{
  char time[40];
  std::snprintf(time, sizeof time, "2026-12-04T10:%02d:%02d.%03d INFO ", aMs / 60000,
                aMs / 1000 % 60, aMs % 1000);
  return time + aEvent + "\n";
}

std::string
StepLine(const std::string& aId, const std::string& aStep, const std::string& aUpstream,
         int aAtUs, int aFigure = 0, int aPart = 0)
{
  return "event=request-step request=" + aId + " step=" + aStep +
         " part=" + std::to_string(aPart) + " service=s upstream=" + aUpstream +
         " at_us=" + std::to_string(aAtUs) + " figure=" + std::to_string(aFigure);
}

std::string
EndLine(const std::string& aId, const std::string& aOutcome, int aStatus, int aTookUs,
        int aParts = 1, int aAnswered = 0)
{
  return "event=request-end request=" + aId +
         " route=r config_version=3 outcome=" + aOutcome +
         " status=" + std::to_string(aStatus) + " parts=" + std::to_string(aParts) +
         " answered=" + std::to_string(aAnswered) +
         " steps_omitted=0 took_us=" + std::to_string(aTookUs);
}

std::string
Changed(const std::string& aUpstream, const std::string& aChange)
{
  return "event=upstream-changed upstream=" + aUpstream + " change=" + aChange +
         " service=s data_centre=d1 address=10.0.0.1:1";
}

/// A VM with upstreams a and b of service s.
std::string
Started()
{
  return At(0, "event=start vm=vm1 version=1 callers=x") + At(1, Changed("a", "added")) +
         At(1, Changed("b", "added")) +
         At(2, "event=config-in-force config_version=3 routes=1");
}

std::string
Rejected(int aMs, int aWaitUs = 0)
{
  return At(aMs, StepLine("x", "part-given-up", "\"\"", 0, aWaitUs)) +
         At(aMs, EndLine("x", "unavailable", 503, 200));
}

std::string
CauseOf(const std::string& aLog)
{
  Logs logs{ { { "vm1.log", aLog } } };
  const auto result = logs.Explain("x");
  CHECK(result.mExit == CtlExit::Fine);
  return CauseIn(result.mOutput);
}

/// The lines of the examples of a page; a continued line ends in the next one.
std::string
ExamplesOf(const std::string& aPage)
{
  std::ifstream file(std::string(WASABISPAR_SOURCE_DIR) + "/" + aPage);
  std::string log;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("    event=request-")) {
      log += "\n" + line;
    } else if (line.starts_with("      outcome=")) {
      log += line.substr(5);
    }
  }
  return log + "\n";
}

} // namespace

TEST_CASE("explain finds the causes of the examples of the operations page")
{
  // Guards against a command that reads other lines than the daemon writes, and against
  // a page that shows other causes.
  Logs logs{ { { "edge-1.log", ExamplesOf("docs/OPERATIONS.md") } } };
  auto result = logs.Explain("759607f026419f45");
  CHECK(result.mExit == CtlExit::Fine);
  CHECK(CauseIn(result.mOutput) ==
        "cause: rejected, unknown: no upstream could be asked; why is unknown");
  CHECK(Has(result.mOutput, "unknown: the service of part 0 of route r-nqpb4xs"));
  result = logs.Explain("996a2478942eff52");
  CHECK(Has(CauseIn(result.mOutput),
            "cause: partial, upstream: part 0: i-3113c25b61 had not answered 63.6 ms"));
  result = logs.Explain("ce7d7515c1f5ad5b");
  CHECK(CauseIn(result.mOutput) ==
        "cause: lost, upstream: i-7de36a2f72 lost the request or sent an invalid answer "
        "after 0.9 ms");
  CHECK(logs.Explain("ce7d7515c1f5ad5").mExit == CtlExit::NotFound);
}

TEST_CASE("a rejection is explained by what the VM knew of the service's upstreams")
{
  // Guards against an engineer who looks at the upstreams when an operator, a limit or
  // the configuration is the cause.
  const auto both = [](const std::string& aEvent, const std::string& aRest) {
    return At(30, "event=" + aEvent + " upstream=a service=s " + aRest) +
           At(30, "event=" + aEvent + " upstream=b service=s " + aRest);
  };
  const std::map<std::string, std::string> lines{
    { "no-upstream", At(30, Changed("a", "removed")) + At(30, Changed("b", "removed")) },
    { "draining", At(30, Changed("a", "draining")) + At(30, Changed("b", "removed")) },
    { "announced-leaving", both("upstream-announced-leaving", "request=y") +
                             At(31, Changed("a", "draining")) +
                             At(31, Changed("b", "draining")) },
    { "quiet", both("upstream-quiet", "request=y for_ms=500") },
    { "request-limit", both("upstream-limit", "per_1000_s=2000 share_per_1000_s=0") },
    { "cold", both("upstream-cold", "source=entry for_ms=500 share=1") },
    { "evacuated", At(30, "event=evacuation-started data_centre=d1 upstreams=2") },
    { "unknown", "" },
  };
  for (const auto& [cause, line] : lines) {
    const auto found = CauseOf(Started() + line + Rejected(100));
    CAPTURE(found);
    CHECK(found.starts_with("cause: rejected, " + cause + ": "));
  }
  CHECK(CauseOf(Started() + Rejected(100, 900000)).starts_with("cause: rejected, busy"));
  const auto outside = At(100, StepLine("x", "part-given-up", "\"\"", 0)) +
                       At(100, EndLine("x", "no-permitted-upstream", 503, 200));
  CHECK(CauseOf(Started() + outside).starts_with("cause: rejected, outside-regions"));
  const auto blocked = At(100, StepLine("x", "blocked", "\"\"", 0, 77)) +
                       At(100, EndLine("x", "quarantined", 503, 200));
  CHECK(Has(CauseOf(Started() + blocked), "rejected, quarantined: too many"));
  CHECK(Has(CauseOf(Started() + blocked), "fingerprint 77"));
}

TEST_CASE("a state counts only while it was in force at the time of the decision")
{
  // Guards against a cause that began after the request, or had ended before it.
  const auto quiet = [](int aMs, const std::string& aUpstream) {
    return At(aMs, "event=upstream-quiet upstream=" + aUpstream +
                     " service=s request=y for_ms=50");
  };
  const std::string unknown = "cause: rejected, unknown";
  CHECK(CauseOf(Started() + quiet(30, "a") + quiet(30, "b") + Rejected(100))
          .starts_with(unknown));
  CHECK(CauseOf(Started() + Rejected(100) + quiet(100, "a") + quiet(100, "b"))
          .starts_with(unknown));
  // The line of a request is written at its end, here 80 ms after the decision.
  const auto late = At(180, StepLine("x", "part-given-up", "\"\"", 20000)) +
                    At(180, EndLine("x", "unavailable", 503, 100000));
  CHECK(
    CauseOf(Started() + quiet(150, "a") + quiet(150, "b") + late).starts_with(unknown));
  // A new incarnation is not quiet, and a new process knows nothing of the last one.
  CHECK(CauseOf(Started() + quiet(90, "a") + quiet(90, "b") +
                At(95, Changed("b", "replaced")) + Rejected(100))
          .starts_with(unknown));
  const auto restarted =
    Started() + At(9000, "event=start vm=vm1 version=1 callers=x") + Rejected(9100);
  CHECK(CauseOf(restarted).starts_with("cause: rejected, no-upstream"));
  const auto ended = At(30, "event=evacuation-started data_centre=d1 upstreams=2") +
                     At(60, "event=evacuation-ended data_centre=d1 upstreams=2");
  CHECK(CauseOf(Started() + ended + Rejected(100)).starts_with(unknown));
}

TEST_CASE("a request that failed as a whole failed for the parts that were given up")
{
  // Guards against a fan-out whose upstreams left and that is put down to the upstreams
  // of its other parts, which had been asked and had not answered yet.
  const auto quiet = At(30, "event=upstream-quiet upstream=a service=s request=x "
                            "for_ms=500");
  const auto end = At(30, StepLine("x", "sent", "c", 100, 5000, 1)) +
                   At(30, StepLine("x", "sent", "d", 100, 5000, 2)) +
                   At(30, StepLine("x", "sent", "a", 100, 5000)) +
                   At(30, StepLine("x", "shed", "a", 900, 800)) +
                   At(30, StepLine("x", "part-given-up", "\"\"", 900, 1)) +
                   At(30, EndLine("x", "lost", 502, 950, 3));
  CHECK(CauseOf(Started() + At(25, Changed("b", "draining")) + quiet + end) ==
        "cause: lost, quiet: part 0: a turned the request away after 0.8 ms; it was "
        "quiet; upstreams of service s: 1 quiet, 1 draining");
}

TEST_CASE("what the logs do not show is unknown")
{
  // Guards against a guess that passes for a finding: an incomplete log, a log of several
  // VMs, and a request whose end was dropped by a full pipe.
  const auto removed = At(30, Changed("a", "removed")) + At(30, Changed("b", "removed"));
  const auto noStart = Started().substr(Started().find('\n') + 1);
  Logs logs{ { { "vm1.log", noStart + removed + Rejected(100) } } };
  CHECK(Has(logs.Explain("x").mOutput, "unknown: further upstreams of service s"));
  logs.mFiles["vm1.log"] =
    Started() + At(40, "event=start vm=vm2 version=1 callers=x") + removed + Rejected(99);
  CHECK(Has(logs.Explain("x").mOutput, "cause: rejected, unknown"));
  CHECK(Has(logs.Explain("x").mOutput, "unknown: the file has lines of several VMs"));
  logs.mFiles["vm1.log"] = Started() + At(50, StepLine("x", "sent", "a", 100));
  CHECK(Has(logs.Explain("x").mOutput, "cause: unknown, unknown: the logs do not show"));
  // The lines of older versions do not name the service.
  auto old = Rejected(100);
  old.erase(old.find("service=s "), 10);
  logs.mFiles["vm1.log"] = Started() + removed + old;
  CHECK(Has(logs.Explain("x").mOutput, "unknown: the service of part 0 of route r"));
  CHECK(Has(logs.Explain("x").mOutput, "cause: rejected, unknown"));
}

TEST_CASE("lost, timeout and late name the upstream or the VM itself")
{
  // Guards against blaming an upstream for a pause of the VM, and the other way round.
  const auto timeout = At(1200, StepLine("x", "sent", "a", 100, 5000)) +
                       At(1200, EndLine("x", "timeout", 504, 1000000));
  CHECK(Has(CauseOf(Started() + timeout), "timeout, upstream: a had not answered 999.9"));
  const auto pause = At(1150, "event=process-paused gap_ms=900");
  CHECK(Has(CauseOf(Started() + pause + timeout), "timeout, vm: this VM did not run"));
  const auto early = At(150, "event=process-paused gap_ms=100");
  CHECK(Has(CauseOf(Started() + early + timeout), "timeout, upstream: a"));

  const auto late = [](int aSentAt, int aAnsweredAt) {
    return At(500, StepLine("x", "queued", "\"\"", 10, 4)) +
           At(500, StepLine("x", "sent", "a", aSentAt, 5000)) +
           At(500, StepLine("x", "answered", "a", aAnsweredAt, aAnsweredAt - aSentAt)) +
           At(500, EndLine("x", "answered", 200, 400000, 1, 1));
  };
  CHECK(Has(CauseOf(Started() + late(20, 399000)), "late, upstream: part 0: a was slow"));
  CHECK(Has(CauseOf(Started() + late(390000, 399000)), "late, busy: part 0: waited"));
  CHECK(Has(CauseOf(Started() + late(20, 9000)), "late, vm: part 0: this VM was slow"));
  const auto hedged = At(500, StepLine("x", "sent", "a", 100)) +
                      At(500, StepLine("x", "hedged", "b", 380000)) +
                      At(500, StepLine("x", "answered", "b", 390000, 10000)) +
                      At(500, EndLine("x", "answered", 200, 391000, 1, 1));
  CHECK(Has(CauseOf(Started() + hedged), "late, upstream: part 0: a was slow"));
}

TEST_CASE("a partial answer names each missing part")
{
  // Guards against a report on the first missing part only, and against one that takes
  // an answered part for missing.
  auto log = Started();
  for (int part = 0; part < 4; ++part) {
    log += At(300, StepLine("x", "sent", "a", 100, 5000, part));
  }
  log += At(300, StepLine("x", "answered", "a", 900, 800, 1)) +
         At(300, StepLine("x", "lost", "a", 1000, 900, 2)) +
         At(300, StepLine("x", "retry-denied", "\"\"", 1000, 0, 2)) +
         At(300, EndLine("x", "partial", 200, 90000, 4, 1));
  Logs logs{ { { "vm1.log", log } } };
  const auto output = logs.Explain("x").mOutput;
  CHECK(CauseIn(output).starts_with("cause: partial, upstream: part 0: a had not"));
  CHECK(Has(output, "missing part 2: upstream: a lost the request"));
  CHECK(Has(output, "no retry, because the budget for extra sends was used up"));
  CHECK_FALSE(Has(output, "missing part 1"));
  CHECK(Has(output, "missing part 3"));
}

TEST_CASE("explain --log ends with 0, 1 or 2")
{
  // Guards against a script that takes an unread log for one without the request.
  Logs logs{ { { "b.log", Started() + Rejected(100) }, { "a.log", Started() } } };
  auto result = logs.Explain("x", { "--json" });
  CHECK(result.mExit == CtlExit::Fine);
  const auto report = boost::json::parse(result.mOutput).as_object();
  CHECK(report.at("vm").as_string() == "vm1");
  CHECK(report.at("fate").as_string() == "rejected");
  CHECK(report.at("steps").as_array().size() == 1);
  logs.mFiles["b.log"] = Started() + Rejected(5002);
  CHECK(Has(logs.Explain("x").mOutput, "configuration 3 in force, read 5.0 s before"));
  CHECK(logs.Explain("absent").mExit == CtlExit::NotFound);
  CHECK(logs.Explain("x", { "missing.log" }).mExit == CtlExit::Usage);
  CHECK(Has(logs.Explain("x", { "missing.log" }).mOutput, "cause: rejected"));
  CHECK(logs.Explain("x", { "--vm", "127.0.0.1:1" }).mExit == CtlExit::Usage);
  CHECK(RunCtl({ "status", "--log", "a.log" }, {}).mExit == CtlExit::Usage);
  // Requests that are rejected for memory are not logged by id.
  logs.mFiles["a.log"] += At(50, "event=memory-full rejected=7");
  CHECK(Has(logs.Explain("absent").mErrors, "VM vm1 rejected 7 requests for memory"));
  logs.mFiles["c.log"] = R"({"time":"2026-12-04T05:37:37.620","event":"drain"})";
  CHECK(logs.Explain("x").mExit == CtlExit::Usage);
}

TEST_CASE("the worst requests are listed with the cause of each")
{
  // Guards against a list that hides a lost request behind many late ones, or that
  // explains a request by what its VM knew later.
  auto log = Started();
  for (int i = 0; i < 20; ++i) {
    const auto id = "late-" + std::to_string(i);
    log += At(400, StepLine(id, "sent", "a", 100)) +
           At(400, StepLine(id, "answered", "a", 90000 + i, 89900)) +
           At(400, EndLine(id, "answered", 200, 90100 + i, 1, 1)) +
           At(400, EndLine("fine", "answered", 200, 900, 1, 1));
  }
  log += At(401, Changed("a", "draining")) + At(401, Changed("b", "draining")) +
         Rejected(410) + At(420, Changed("a", "added")) +
         At(430, StepLine("gone", "lost", "a", 200, 100)) +
         At(430, EndLine("gone", "lost", 502, 300));
  Logs logs{ { { "vm1.log", log } } };
  const auto run = [&logs](std::vector<std::string> aArguments) {
    CtlHooks hooks;
    hooks.mReadLines = logs.Reader();
    aArguments.insert(aArguments.begin(), { "explain", "--log", "vm1.log", "--worst" });
    return RunCtl(aArguments, hooks);
  };
  const auto result = run({ "3" });
  CHECK(result.mExit == CtlExit::Fine);
  std::istringstream lines(result.mOutput);
  std::string all;
  for (std::string line; std::getline(lines, line);) {
    all += line.substr(0, line.find(' ')) + " ";
  }
  CHECK(all == "request gone x late-19 ");
  CHECK(Has(result.mOutput, "draining: no upstream could be asked"));
  CHECK(run({ "0" }).mExit == CtlExit::Usage);
  CHECK(run({ "1001" }).mExit == CtlExit::Usage);
  CHECK(run({ "3", "--svg", "x" }).mExit == CtlExit::Usage);
  CHECK(RunCtl({ "explain", "x", "--worst", "3" }, {}).mExit == CtlExit::Usage);
}

TEST_CASE("rotated files of a VM are read as one log, oldest first")
{
  // Guards against a state of a VM that is lost between two files, or read backwards.
  const auto ordered = OrderLogFiles({ "d/a.log", "e/a.log", "d/a.log.1", "d/a.log.10" });
  std::string names;
  for (const auto& file : ordered) {
    names += file.mName + " ";
  }
  CHECK(names == "d/a.log.10 d/a.log.1 d/a.log e/a.log ");
  CHECK(ordered.front().mVmName == "a");
  Logs logs{ { { "a.log", Rejected(100) },
               { "a.log.1", Started() + At(30, Changed("a", "draining")) +
                              At(30, Changed("b", "draining")) } } };
  CHECK(Has(logs.Explain("x").mOutput, "cause: rejected, draining"));
}

TEST_CASE("a file is read in lines of a bounded length")
{
  // Guards against memory that grows with a file that has no line ends.
  const auto path = std::filesystem::temp_directory_path() /
                    ("wasabispar-lines-" + std::to_string(getpid()) + ".log");
  std::ofstream(path) << "first\n" << std::string(300000, 'x') << "\n\nlast";
  std::vector<std::string> lines;
  const auto hooks = SystemCtlHooks();
  CHECK(hooks.mReadLines(
    path.string(), [&lines](std::string_view aLine) { lines.emplace_back(aLine); }));
  std::filesystem::remove(path);
  REQUIRE(lines.size() == 4);
  CHECK(lines[0] == "first");
  CHECK(lines[1].size() == kMaxLogLineBytes);
  CHECK(lines[2].empty());
  CHECK(lines[3] == "last");
  CHECK_FALSE(hooks.mReadLines(path.string(), [](std::string_view) {}));
}
