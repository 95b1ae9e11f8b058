/// @file
/// @brief Configuration changes while the platform or VMs fail.
#include "tests/failure/daemon_fixture.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace wasabispar;
using namespace wasabispar::harness;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr unsigned kRetired = 410;

json::object
RetiredProfile(SmallSystem& aSystem)
{
  auto profile = SearchProfile(aSystem.Upstream().Spec().mIndex);
  profile["state"] = "retired";
  return profile;
}

} // namespace

TEST_CASE("a retired or deleted profile is refused on every VM within seconds")
{
  // Guards against VMs without a watch that miss the change.
  SmallSystem system;
  system.System().PublishProfile("second", SearchProfile("index"));
  REQUIRE(WaitUntil(5s, [&] { return system.AllAnswer("second", 200); }));
  system.System().PublishProfile(kSearchProfile, RetiredProfile(system));
  CHECK(WaitUntil(5s, [&] { return system.AllAnswer(kSearchProfile, kRetired); }));
  system.System().Platform().Delete("profiles/second");
  CHECK(WaitUntil(5s, [&] { return system.AllAnswer("second", kRetired); }));
}

TEST_CASE("a change reaches a VM that was paused while it was published")
{
  // Guards against a VM that serves a retired profile after its pause.
  SmallSystem system;
  auto& paused = system.Vm(2).Process();
  paused.Signal(SIGSTOP);
  system.System().PublishProfile(kSearchProfile, RetiredProfile(system));
  CHECK(WaitUntil(5s, [&] {
    return system.Answers(0, kSearchProfile, kRetired) &&
           system.Answers(1, kSearchProfile, kRetired);
  }));
  std::this_thread::sleep_for(2s);
  paused.Signal(SIGCONT);
  CHECK(WaitUntil(5s, [&] { return system.Answers(2, kSearchProfile, kRetired); }));
}

TEST_CASE("queries go on while the platform is down, and changes follow when it is back")
{
  // Guards against a dependency of the query path on the platform.
  SmallSystem system;
  system.System().Platform().SetMode("down");
  const auto report = bench::RunLoad(system.Load(4s));
  CAPTURE(Describe(report));
  CHECK(report.mFaults == 0);
  CHECK(system.AllRunning());
  CHECK(report.mAll.mComplete == report.mAll.mRequests);
  system.System().PublishProfile(kSearchProfile, RetiredProfile(system));
  system.System().Platform().SetMode("normal");
  CHECK(WaitUntil(15s, [&] { return system.AllAnswer(kSearchProfile, kRetired); }));
}

TEST_CASE("a stale platform reverts no accepted change, not even on a restarted VM")
{
  // Guards against an older revision that brings a retired profile back.
  SmallSystem system;
  const auto before = RecordNumber(system.System().Platform().Record(), "revision");
  system.System().PublishProfile(kSearchProfile, RetiredProfile(system));
  REQUIRE(WaitUntil(5s, [&] { return system.AllAnswer(kSearchProfile, kRetired); }));
  system.System().Platform().Control(
    { { "mode", "stale" }, { "stale_revision", before } });
  system.System().RestartVm(1);
  REQUIRE(WaitUntil(15s, [&] { return system.Answers(1, kSearchProfile, kRetired); }));
  const auto end = std::chrono::steady_clock::now() + 4s;
  while (std::chrono::steady_clock::now() < end) {
    CHECK(system.AllAnswer(kSearchProfile, kRetired));
    std::this_thread::sleep_for(100ms);
  }
}

TEST_CASE("the system stays within a few platform calls a second")
{
  // Guards against polling that would exceed the platform's limit at full size.
  SmallSystem system;
  const auto before = RecordNumber(system.System().Platform().Record(), "calls_total");
  std::this_thread::sleep_for(4s);
  const auto record = system.System().Platform().Record();
  CAPTURE(json::serialize(record));
  CHECK(RecordNumber(record, "calls_total") - before <= 4 * 8);
  CHECK(RecordNumber(record, "waiting_watches") <= 2);
}
