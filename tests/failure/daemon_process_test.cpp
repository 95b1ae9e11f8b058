/// @file
/// @brief VMs that stop, die or pause.
#include "tests/failure/daemon_fixture.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <random>
#include <thread>

using namespace wasabispar;
using namespace wasabispar::harness;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

/// The outcome of a request as its caller sees it.
struct ExecutionReply
{
  unsigned mCode = 0;
  std::string mOutcome;
  std::string mBody;
};

std::string
TakeTicket(const Endpoint& aVm)
{
  const auto reply =
    PostJson(aVm, "/v1/tickets", { { "profile", kExecuteProfile }, { "caller", "a" } });
  REQUIRE_MESSAGE(reply.Code() == 200, reply.mResponse.mBody);
  return std::string(reply.Json().at("ticket").as_string());
}

ExecutionReply
Execute(const Endpoint& aVm, const std::string& aTicket, const std::string& aBodyId,
        Duration aTimeout = 6s)
{
  const auto reply = PostJson(aVm, "/v1/executions",
                              { { "profile", kExecuteProfile },
                                { "caller", "a" },
                                { "ticket", aTicket },
                                { "body", json::object{ { "id", aBodyId } } } },
                              aTimeout);
  ExecutionReply result;
  result.mCode = reply.Code();
  result.mBody = reply.mResponse.mBody;
  const auto body = reply.Json();
  if (body.contains("outcome")) {
    result.mOutcome = body.at("outcome").as_string();
  }
  return result;
}

std::uint64_t
ExecutionsOf(UpstreamProcess& aGroup, const std::string& aBodyId)
{
  const auto record = aGroup.Record();
  return RecordNumber(record.at("executions_by_body").as_object(), aBodyId);
}

} // namespace

TEST_CASE("SIGTERM under load cuts no request")
{
  // Guards against a shutdown that closes connections with requests on them.
  ClusterSpec spec;
  spec.mDrainDelayMs = 1000;
  SmallSystem system(spec);
  system.Upstream().Set("*", { { "base_ms", 50 } });
  auto load = system.Load(4s);
  auto& process = system.Vm(0).Process();
  std::atomic<bool> ready{ true };
  load.mMayUse = [&](std::size_t aVm) { return aVm != 0 || ready; };
  load.mEvents = { { 1s, [&] {
                      process.Signal(SIGTERM);
                      // A balancer that reads readiness each 10 ms.
                      WaitUntil(900ms, [&] {
                        ready =
                          Call(system.Vm(0).Caller(), "GET", "/readyz").Code() == 200;
                        return !ready;
                      });
                    } } };
  const auto report = bench::RunLoad(load);
  CAPTURE(Describe(report));
  CHECK_FALSE(ready);
  CHECK(report.mFaults == 0);
  CHECK(report.mLost.empty());
  CHECK(report.mAll.mAnswered == report.mAll.mRequests);
  const auto end = process.WaitForEnd(10s);
  REQUIRE(end);
  CHECK(end->mExitStatus == 0);
}

TEST_CASE("after the kill of a VM the others serve everything within 3 s")
{
  // Guards against shares and forwards that stay with a dead VM.
  SmallSystem system;
  auto load = system.Load(6s);
  std::atomic<bool> alive{ true };
  load.mMayUse = [&](std::size_t aVm) { return aVm != 0 || alive; };
  load.mEvents = { { 1s, [&] {
                      system.Vm(0).Process().Signal(SIGKILL);
                      alive = false;
                    } } };
  const auto report = bench::RunLoad(load);
  CAPTURE(Describe(report));
  CHECK(report.mFaults == 0);
  CHECK(report.mLastFailure < 4s);
  CHECK(report.mLastIncomplete < 4s);
  CHECK(report.mAll.mAnswered + 10 >= report.mAll.mRequests);
  CHECK(system.MaxConnections() <= system.Upstream().Spec().mConnectionLimit);
}

TEST_CASE("an execution runs at most once when its VM pauses and others get resends")
{
  // Guards against a paused VM that sends late, and against a second VM that runs what
  // the first one already sent.
  SmallSystem system;
  system.Upstream().Set("*", { { "base_ms", 20 }, { "jitter_ms", 5 } });
  std::mt19937_64 random(20261204);
  for (int round = 0; round < 12; ++round) {
    CAPTURE(round);
    const auto id = "invoice-" + std::to_string(round);
    const auto ticket = TakeTicket(system.Vm(0).Caller());
    ExecutionReply first;
    ExecutionReply second;
    ExecutionReply third;
    auto& paused = system.Vm(0).Process();
    INFO(paused.Describe());
    const std::chrono::microseconds before(random() % 20000);
    const std::chrono::milliseconds pause(100 + random() % 1200);
    std::thread sender([&] { first = Execute(system.Vm(0).Caller(), ticket, id); });
    std::this_thread::sleep_for(before);
    paused.Signal(SIGSTOP);
    std::thread resenderA([&] { second = Execute(system.Vm(1).Caller(), ticket, id); });
    std::thread resenderB([&] { third = Execute(system.Vm(2).Caller(), ticket, id); });
    std::this_thread::sleep_for(pause);
    paused.Signal(SIGCONT);
    sender.join();
    resenderA.join();
    resenderB.join();
    const auto last = Execute(system.Vm(1).Caller(), ticket, id);
    const auto executions = ExecutionsOf(system.Upstream(), id);
    CHECK(executions <= 1);
    for (const auto& reply : { first, second, third, last }) {
      CAPTURE(reply.mCode);
      CAPTURE(reply.mOutcome);
      CHECK((reply.mCode == 200 || !reply.mOutcome.empty()));
      if (reply.mCode == 200) {
        CHECK(executions == 1);
      }
    }
    // The VM with the ticket said so: this request did not run and never will.
    if (first.mOutcome == "not-run" && last.mOutcome == "not-run") {
      CHECK(executions == 0);
    }
  }
  CHECK(MaxExecutionsOfOneBody(system.Upstream().Record()) <= 1);
  CHECK(system.AllRunning());
}

TEST_CASE("a ticket of a killed VM is outcome-unknown and never runs again")
{
  // Guards against another VM that adopts the ticket of a dead one, and against an
  // answer not-run for what the dead VM did run: its caller would start it anew.
  SmallSystem system;
  const auto unused = TakeTicket(system.Vm(0).Caller());
  const auto used = TakeTicket(system.Vm(0).Caller());
  REQUIRE(Execute(system.Vm(0).Caller(), used, "used").mCode == 200);
  system.Vm(0).Process().Signal(SIGKILL);
  REQUIRE(system.Vm(0).Process().WaitForEnd(5s));
  const auto check = [&](std::size_t aVm) {
    CAPTURE(aVm);
    for (const auto& [ticket, id] :
         { std::pair(unused, "unused"), std::pair(used, "used") }) {
      const auto reply = Execute(system.Vm(aVm).Caller(), ticket, id);
      CAPTURE(reply.mBody);
      CHECK(reply.mOutcome == "outcome-unknown");
    }
  };
  // At once, while the others may not know of the death, and after its detection.
  check(1);
  check(2);
  std::this_thread::sleep_for(4s);
  check(1);
  system.System().RestartVm(0);
  for (int round = 0; round < 3; ++round) {
    check(0);
    check(1);
    check(2);
  }
  REQUIRE(system.System().WaitReady(kSearchProfile, kReadyTimeout));
  check(0);
  check(2);
  CHECK(ExecutionsOf(system.Upstream(), "unused") == 0);
  CHECK(ExecutionsOf(system.Upstream(), "used") == 1);
}

TEST_CASE("a ticket of a VM that was replaced at once is outcome-unknown")
{
  // Guards against a VM that still takes the old incarnation as alive, and against the
  // new one that answers while it starts: not-run would let the caller start it anew.
  SmallSystem system;
  const auto ticket = TakeTicket(system.Vm(0).Caller());
  system.System().RestartVm(0);
  for (std::size_t vm = 0; vm < 3; ++vm) {
    CAPTURE(vm);
    CHECK(Execute(system.Vm(vm).Caller(), ticket, "lost").mOutcome == "outcome-unknown");
  }
  CHECK(ExecutionsOf(system.Upstream(), "lost") == 0);
}
