/// @file
/// @brief Tests of standin_upstream: a stand-in that does not misbehave as asked would
/// let the failure tests of the product pass without their failure.
#include "tests/harness/standin_control.hpp"
#include "tests/harness/tcp_relay.hpp"
#include "tests/standins/hit_id.hpp"
#include "tests/standins/index_layout.hpp"
#include "tests/standins/json_read.hpp"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <thread>

using namespace wasabispar;
using namespace wasabispar::harness;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

json::object
SearchBody(const std::string& aShard = "s0", int aDeadlineMs = 1000,
           const std::string& aText = "text")
{
  return { { "request_id", "1-1" },
           { "index", "index" },
           { "version", 1 },
           { "shard", aShard },
           { "query", json::object{ { "text", aText } } },
           { "deadline_ms", aDeadlineMs } };
}

CallReply
Search(const UpstreamProcess& aGroup, const json::object& aBody, Duration aTimeout = 2s)
{
  return PostJson(aGroup.Instance(0), "/search", aBody, aTimeout);
}

json::object
ExecuteBody(const std::string& aId)
{
  return { { "request_id", "2-" + aId },
           { "body", json::object{ { "id", aId } } },
           { "deadline_ms", 1000 },
           { "not_after_unix_ms", UnixMilliseconds() + 1000 } };
}

UpstreamSpec
OneInstance()
{
  UpstreamSpec spec;
  spec.mInstances = 1;
  spec.mReplicas = 1;
  return spec;
}

/// A connection that stays open over several exchanges.
class KeptConnection
{
public:
  explicit KeptConnection(const Endpoint& aEndpoint)
    : mConnection(HttpConnection::Create(mContext, aEndpoint))
  {
    mConnection->Open(1s, [&](bool aOpened, std::string) { mOpened = aOpened; });
    Run();
  }

  HttpExchangeResult Post(const std::string& aTarget, const json::object& aBody,
                          Duration aTimeout = 1s)
  {
    HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = aTarget;
    request.mBody = json::serialize(aBody);
    HttpExchangeResult result;
    mConnection->Exchange(std::move(request), aTimeout, [&](HttpExchangeResult aResult) {
      result = std::move(aResult);
    });
    Run();
    return result;
  }

private:
  void Run()
  {
    mContext.restart();
    mContext.run();
  }

  boost::asio::io_context mContext{ 1 };
  std::shared_ptr<HttpConnection> mConnection;
  bool mOpened = false;
};

} // namespace

TEST_CASE("placement puts each replica of each shard on another instance")
{
  // Guards against a layout in which one lost instance takes both replicas of a shard.
  const bool holds = rc::check([] {
    standins::LayoutSettings layout;
    layout.mInstances = *rc::gen::inRange<std::size_t>(1, 20);
    layout.mSearchers = *rc::gen::inRange<std::size_t>(1, 5);
    layout.mReplicas = *rc::gen::inRange<std::size_t>(1, layout.mInstances + 1);
    const auto shards = *rc::gen::inRange<std::size_t>(1, 40);
    std::map<std::string, std::size_t> copies;
    for (std::size_t i = 0; i < layout.mInstances; ++i) {
      for (const auto& [shard, searcher] : standins::HeldShards(layout, shards, i)) {
        ++copies[shard];
        RC_ASSERT(searcher < layout.mSearchers);
      }
    }
    RC_ASSERT(copies.size() == shards);
    for (const auto& [shard, count] : copies) {
      RC_ASSERT(count == layout.mReplicas);
    }
  });
  CHECK(holds);
}

TEST_CASE("a search answers with hits that name version, shard and query")
{
  // Guards against answers whose origin a test cannot check.
  const UpstreamProcess group(OneInstance());
  const auto reply = Search(group, SearchBody("s1", 1000, "a|b"));
  REQUIRE(reply.Code() == 200);
  const auto hits = reply.Json().at("hits").as_array();
  REQUIRE(hits.size() == 1);
  const auto id = standins::HitId::Parse(standins::ReadText(hits[0].as_object(), "id"));
  REQUIRE(id);
  CHECK(id->mVersion == 1);
  CHECK(id->mShard == "s1");
  CHECK(id->mQuery == "a|b");
  auto other = SearchBody();
  other["version"] = 9;
  CHECK(Search(group, other).Code() == 409);
  CHECK(Search(group, SearchBody("s99")).Code() == 410);
}

TEST_CASE("a draining instance refuses new work and counts what still arrives")
{
  // Guards against a drain test that passes because the stand-in does not drain.
  const UpstreamProcess group(OneInstance());
  group.Set("*", { { "draining", true } });
  const auto reply = Search(group, SearchBody());
  CHECK(reply.Code() == 503);
  CHECK(reply.mResponse.Header("Upstream-Draining") == "1");
  CHECK(PostJson(group.Instance(0), "/execute", ExecuteBody("a")).Code() == 503);
  const auto record = group.Record();
  CHECK(RecordNumber(InstanceRecord(record, "upstream-0"), "received_while_draining") ==
        2);
  CHECK(RecordNumber(record, "searches_started") == 0);
  CHECK(RecordNumber(record, "executions_started") == 0);
}

TEST_CASE("a full queue sheds and a passed deadline is refused before the start")
{
  // Guards against a stand-in with endless capacity, on which no overload is seen.
  auto spec = OneInstance();
  spec.mSlots = 1;
  spec.mQueue = 1;
  spec.mBaseMs = 300;
  spec.mJitterMs = 0;
  const UpstreamProcess group(spec);
  unsigned first = 0;
  unsigned second = 0;
  std::thread running([&] { first = Search(group, SearchBody()).Code(); });
  std::this_thread::sleep_for(100ms);
  std::thread queued([&] { second = Search(group, SearchBody("s0", 50)).Code(); });
  std::this_thread::sleep_for(50ms);
  CHECK(Search(group, SearchBody()).Code() == 429);
  running.join();
  queued.join();
  CHECK(first == 200);
  CHECK(second == 504);
  CHECK(RecordNumber(group.Record(), "searches_started") == 1);
}

TEST_CASE("a cancelled search frees its slot; a started execution runs on")
{
  // Guards against hedge measurements in which cancelled work still costs a slot.
  auto spec = OneInstance();
  spec.mSlots = 1;
  spec.mBaseMs = 1500;
  spec.mJitterMs = 0;
  const UpstreamProcess group(spec);
  std::thread running([&] { CHECK(Search(group, SearchBody()).Code() == 504); });
  std::this_thread::sleep_for(100ms);
  const auto cancelled =
    PostJson(group.Instance(0), "/cancel", { { "request_id", "1-1" } });
  running.join();
  CHECK(RecordNumber(cancelled.Json(), "cancelled") == 1);
  group.Set("*", { { "base_ms", 200 } });
  std::thread executing([&] {
    CHECK(PostJson(group.Instance(0), "/execute", ExecuteBody("b")).Code() == 200);
  });
  std::this_thread::sleep_for(50ms);
  PostJson(group.Instance(0), "/cancel", { { "request_id", "2-b" } });
  executing.join();
  CHECK(MaxExecutionsOfOneBody(group.Record()) == 1);
}

TEST_CASE("the record shows a double execution")
{
  // Guards against at-most-once tests that cannot fail.
  const UpstreamProcess group(OneInstance());
  PostJson(group.Instance(0), "/execute", ExecuteBody("c"));
  CHECK(MaxExecutionsOfOneBody(group.Record()) == 1);
  PostJson(group.Instance(0), "/execute", ExecuteBody("c"));
  CHECK(MaxExecutionsOfOneBody(group.Record()) == 2);
  auto late = ExecuteBody("d");
  late["not_after_unix_ms"] = UnixMilliseconds() - 10;
  CHECK(PostJson(group.Instance(0), "/execute", late).Code() == 504);
}

TEST_CASE("a connection above the limit is closed at once")
{
  // Guards against a stand-in that hides a violated connection limit.
  auto spec = OneInstance();
  spec.mConnectionLimit = 2;
  const UpstreamProcess group(spec);
  KeptConnection first(group.Instance(0));
  KeptConnection second(group.Instance(0));
  CHECK(first.Post("/search", SearchBody()).mEnd == HttpExchangeEnd::Response);
  CHECK(second.Post("/search", SearchBody()).mEnd == HttpExchangeEnd::Response);
  CHECK(Search(group, SearchBody()).mEnd != HttpExchangeEnd::Response);
  const auto record = InstanceRecord(group.Record(), "upstream-0");
  CHECK(RecordNumber(record, "connections_open") == 2);
  CHECK(RecordNumber(record, "connections_max") == 2);
  CHECK(RecordNumber(record, "connections_refused") == 1);
}

TEST_CASE("silenced connections hang while new ones work")
{
  // Guards against tests of hanging connections that only see closed ones.
  const UpstreamProcess group(OneInstance());
  KeptConnection old(group.Instance(0));
  CHECK(old.Post("/search", SearchBody()).mEnd == HttpExchangeEnd::Response);
  group.Set("*", { { "freeze", "open" } });
  CHECK(Search(group, SearchBody()).Code() == 200);
  CHECK(old.Post("/search", SearchBody(), 200ms).mEnd == HttpExchangeEnd::TimedOut);
}

TEST_CASE("a frozen instance answers nothing until the freeze ends")
{
  // Guards against a freeze that drops requests instead of handling them late.
  const UpstreamProcess group(OneInstance());
  group.Set("*", { { "freeze", "all" } });
  std::thread late([&] { CHECK(Search(group, SearchBody()).Code() == 200); });
  CHECK(Search(group, SearchBody(), 200ms).mEnd == HttpExchangeEnd::TimedOut);
  group.Set("*", { { "freeze", "none" } });
  late.join();
}

TEST_CASE("a crash resets connections, refuses new ones and recovers")
{
  // Guards against crash tests whose request does not crash its upstream.
  const UpstreamProcess group(OneInstance());
  group.Set("*", { { "crash_down_ms", 300 } });
  const auto crashed = Search(group, SearchBody("s0", 1000, "!crash!"));
  CHECK(crashed.mEnd == HttpExchangeEnd::ConnectionLost);
  CHECK(Search(group, SearchBody()).mEnd == HttpExchangeEnd::ConnectFailed);
  CHECK(WaitUntil(2s, [&] { return Search(group, SearchBody()).Code() == 200; }));
  CHECK(RecordNumber(group.Record(), "crashes") == 1);
  group.Set("*", { { "down", true } });
  CHECK(Search(group, SearchBody()).mEnd == HttpExchangeEnd::ConnectFailed);
  group.Set("*", { { "down", false } });
  CHECK(Search(group, SearchBody()).Code() == 200);
}

TEST_CASE("versions are added and dropped and change the map")
{
  // Guards against index switches that leave the old map in place.
  const UpstreamProcess group(OneInstance());
  group.Set("*",
            { { "add_version", json::object{ { "version", 2 }, { "shards", 5 } } } });
  group.Set("*", { { "drop_version", 1 } });
  const auto state = Call(group.Instance(0), "GET", "/state").Json();
  const auto versions = state.at("versions").as_array();
  REQUIRE(versions.size() == 1);
  CHECK(RecordNumber(versions[0].as_object(), "version") == 2);
  CHECK(versions[0].at("map").as_array().size() == 5);
  CHECK(Search(group, SearchBody()).Code() == 409);
}

TEST_CASE("the relay cuts and silences connections")
{
  // Guards against partitions that do not part the processes.
  const UpstreamProcess group(OneInstance());
  TcpRelay relay(group.Instance(0));
  const auto post = [&](Duration aTimeout) {
    return PostJson(relay.Address(), "/search", SearchBody(), aTimeout).mEnd;
  };
  CHECK(post(2s) == HttpExchangeEnd::Response);
  KeptConnection kept(relay.Address());
  // The relay has accepted a connection for certain only after an exchange on it.
  CHECK(kept.Post("/search", SearchBody()).mEnd == HttpExchangeEnd::Response);
  relay.SilenceOpenConnections();
  CHECK(kept.Post("/search", SearchBody(), 200ms).mEnd == HttpExchangeEnd::TimedOut);
  CHECK(post(2s) == HttpExchangeEnd::Response);
  relay.SetMode(RelayMode::Silent);
  CHECK(post(200ms) == HttpExchangeEnd::TimedOut);
  relay.SetMode(RelayMode::Cut);
  CHECK(post(200ms) == HttpExchangeEnd::ConnectFailed);
  relay.SetMode(RelayMode::Pass);
  CHECK(post(2s) == HttpExchangeEnd::Response);
}
