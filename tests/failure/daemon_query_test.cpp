/// @file
/// @brief Searches through wasabispard while upstreams fail.
#include "bench/answer_check.hpp"
#include "tests/failure/daemon_fixture.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace wasabispar;
using namespace wasabispar::harness;
using namespace std::chrono_literals;
namespace json = boost::json;

TEST_CASE("each VM answers a query with full coverage and within the connection limit")
{
  // Guards against a path that loses shards or opens more connections than its share.
  SmallSystem system;
  const auto report = bench::RunLoad(system.Load(2s, 100));
  CAPTURE(Describe(report));
  CHECK(report.mFaults == 0);
  CHECK(system.AllRunning());
  CHECK(report.mAll.mRequests > 100);
  CHECK(report.mAll.mComplete == report.mAll.mRequests);
  CHECK(system.MaxConnections() <= system.Upstream().Spec().mConnectionLimit);
  CHECK(system.RefusedConnections() == 0);
}

TEST_CASE("a shard without a replica is named as missing, and found again")
{
  // Guards against answers that hide a lost shard or wait for it without end.
  SmallSystem system;
  for (const auto holder : system.Upstream().Holders("s1")) {
    system.Upstream().Set(system.Upstream().InstanceName(holder), { { "down", true } });
  }
  const auto reply = Query(system.Vm(0).Caller(), kSearchProfile, "text", 5s);
  CAPTURE(reply.mResponse.mBody);
  CHECK(system.AllRunning());
  REQUIRE(reply.Code() == 200);
  const auto body = reply.Json();
  CHECK(body.at("partial").as_bool());
  CHECK(body.at("coverage").at("missing").as_array() == json::array{ "s1" });
  CHECK(reply.mResponse.Header("Wasabispar-Coverage") == "666");
  const auto report = bench::RunLoad(system.Load(2s));
  CAPTURE(Describe(report));
  CHECK(report.mFaults == 0);
  CHECK(system.AllRunning());
  CHECK(report.mAll.mAnswered == report.mAll.mRequests);
  CHECK(report.mAll.mCoverageMin == 666);
  for (const auto holder : system.Upstream().Holders("s1")) {
    system.Upstream().Set(system.Upstream().InstanceName(holder), { { "down", false } });
  }
  CHECK(system.System().WaitReady(kSearchProfile, 10s));
}

TEST_CASE("an upstream that leaves gets no new work after 3 s")
{
  // Guards against VMs that did not see the signal themselves and keep sending.
  SmallSystem system;
  const auto leaving = system.Upstream().InstanceName(0);
  auto load = system.Load(6s);
  // The instance still serves, so that only the header of its replies is the signal.
  load.mEvents = { { 1s, [&] {
                      system.Upstream().Set(
                        leaving, { { "drain_accepts", true }, { "draining", true } });
                    } } };
  const auto report = bench::RunLoad(load);
  CAPTURE(Describe(report));
  const auto record = InstanceRecord(system.Upstream().Record(), leaving);
  CHECK(RecordNumber(record, "last_received_after_drain_ms") < 3000);
  CHECK(report.mFaults == 0);
  CHECK(system.AllRunning());
  CHECK(report.mAll.mComplete == report.mAll.mRequests);
}

TEST_CASE("an index switch under load gives no mixed and no incomplete answer")
{
  // Guards against merged versions, and against a switch before the new version is
  // reachable in full.
  SmallSystem system;
  auto& group = system.Upstream();
  auto load = system.Load(5s);
  const json::object next{ { "version", 2 }, { "shards", 4 } };
  for (std::size_t i = 0; i < group.Spec().mInstances; ++i) {
    load.mEvents.push_back(
      { 1s + i * 100ms, [&group, i, next] {
         group.Set(group.InstanceName(i), { { "add_version", next } });
       } });
  }
  for (std::size_t i = 0; i < group.Spec().mInstances; ++i) {
    load.mEvents.push_back({ 3s + i * 100ms, [&group, i] {
                              group.Set(group.InstanceName(i), { { "drop_version", 1 } });
                            } });
  }
  const auto report = bench::RunLoad(load);
  CAPTURE(Describe(report));
  CHECK(report.mFaults == 0);
  CHECK(system.AllRunning());
  CHECK(report.mAll.mComplete == report.mAll.mRequests);
  const auto last = Query(system.Vm(0).Caller(), kSearchProfile, "text").Json();
  CHECK(last.at("coverage").at("total").to_number<int>() == 4);
}

TEST_CASE("connections that go silent are replaced")
{
  // Guards against requests that wait on a connection that will never answer while new
  // connections work.
  SmallSystem system;
  auto load = system.Load(6s);
  load.mEvents = { { 1s, [&] {
                      system.Upstream().Set("*", { { "freeze", "open" } });
                    } } };
  const auto report = bench::RunLoad(load);
  CAPTURE(Describe(report));
  CHECK(report.mFaults == 0);
  CHECK(system.AllRunning());
  CHECK(report.mLost.empty());
  CHECK(report.mLastFailure < 4s);
  CHECK(report.mLastIncomplete < 4s);
  CHECK(system.MaxConnections() <= system.Upstream().Spec().mConnectionLimit);
}

TEST_CASE("a request that crashes its upstream is quarantined in the data centre")
{
  // Guards against a resent request that takes down one upstream after the other.
  ClusterSpec spec;
  spec.mUpstreams = { SmallGroup() };
  spec.mUpstreams[0].mShards = 1;
  spec.mUpstreams[0].mReplicas = 6;
  SmallSystem system(spec);
  system.Upstream().Set("*", { { "crash_down_ms", 500 } });
  CallReply last;
  for (int attempt = 0; attempt < 20; ++attempt) {
    last = Query(system.Vm(attempt % 3).Caller(), kSearchProfile, "!crash!", 3s);
    CHECK(last.Code() != 200);
    CAPTURE(attempt);
    CAPTURE(last.mResponse.mBody);
    // Resent in turn and after a pause, so that no VM has sent it while another one's
    // report of the crash was on its way.
    CHECK(RecordNumber(system.Upstream().Record(), "crashes") <= 2);
    std::this_thread::sleep_for(300ms);
  }
  CAPTURE(last.mResponse.mBody);
  CHECK(last.mResponse.Header("Wasabispar-Outcome") == "not-run");
  CHECK(system.System().WaitReady(kSearchProfile, 10s));
}

TEST_CASE("a crashing request that is resent at once takes down a bounded number")
{
  // Guards against resends that outrun the report of the first crash. The bound is one
  // upstream for each VM, and one more; see CrashTracker.
  ClusterSpec spec;
  spec.mUpstreams = { SmallGroup() };
  spec.mUpstreams[0].mShards = 1;
  spec.mUpstreams[0].mReplicas = 6;
  SmallSystem system(spec);
  system.Upstream().Set("*", { { "crash_down_ms", 500 } });
  for (int attempt = 0; attempt < 12; ++attempt) {
    const auto reply =
      Query(system.Vm(attempt % 3).Caller(), kSearchProfile, "!crash!", 3s);
    CHECK(reply.Code() != 200);
  }
  CHECK(RecordNumber(system.Upstream().Record(), "crashes") <= 4);
  CHECK(system.AllRunning());
}
