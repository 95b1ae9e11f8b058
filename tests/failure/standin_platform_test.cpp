/// @file
/// @brief Tests of standin_platform: revisions, watches, modes and counts.
#include "tests/harness/standin_control.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace wasabispar;
using namespace wasabispar::harness;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

json::object
Values(const PlatformProcess& aPlatform)
{
  return Call(aPlatform.Address(), "GET", "/v1/values?prefix=profiles/").Json();
}

} // namespace

TEST_CASE("of two operators with the same expected revision one wins")
{
  // Guards against race tests in which both writes are accepted.
  const PlatformProcess platform;
  const auto first = platform.Put("profiles/a", "{}", 0);
  REQUIRE(first);
  CHECK(platform.Put("profiles/a", "{\"x\":1}", *first));
  CHECK_FALSE(platform.Put("profiles/a", "{\"x\":2}", *first));
  CHECK_FALSE(platform.Delete("profiles/a", *first));
  const auto items = Values(platform).at("items").as_array();
  REQUIRE(items.size() == 1);
  CHECK(items[0].at("value").as_string() == "{\"x\":1}");
}

TEST_CASE("a watch waits for a change, shows deletions and ends at its time-out")
{
  // Guards against watches that answer at once, which would hide missing deltas.
  const PlatformProcess platform;
  platform.Put("profiles/a", "{}");
  json::object seen;
  std::thread watch([&] {
    seen = Call(platform.Address(), "GET",
                "/v1/watch?prefix=profiles/&after=1&timeout_ms=5000")
             .Json();
  });
  CHECK(WaitUntil(
    2s, [&] { return RecordNumber(platform.Record(), "waiting_watches") == 1; }));
  platform.Put("other/b", "{}");
  platform.Delete("profiles/a");
  watch.join();
  const auto items = seen.at("items").as_array();
  REQUIRE(items.size() == 1);
  CHECK(items[0].at("deleted").as_bool());
  CHECK(RecordNumber(seen, "revision") == 3);
  const auto empty =
    Call(platform.Address(), "GET", "/v1/watch?prefix=profiles/&after=3&timeout_ms=50")
      .Json();
  CHECK(empty.at("items").as_array().empty());
  CHECK(RecordNumber(platform.Record(), "calls_total") == 2);
}

TEST_CASE("down closes connections and stale shows an older revision")
{
  // Guards against outage tests with a platform that still answers.
  const PlatformProcess platform;
  platform.Put("profiles/a", "{}");
  platform.Put("profiles/b", "{}");
  platform.Control({ { "mode", "stale" }, { "stale_revision", 1 } });
  CHECK(Values(platform).at("items").as_array().size() == 1);
  platform.SetMode("down");
  CHECK(Call(platform.Address(), "GET", "/v1/vms").Code() == 0);
  platform.SetMode("normal");
  CHECK(Values(platform).at("items").as_array().size() == 2);
}

TEST_CASE("the list of VMs lags")
{
  // Guards against membership tests that rely on a list that is always current.
  const PlatformProcess platform;
  platform.Control({ { "vm_list_lag_ms", 300 } });
  platform.PutList({ { "vms", json::array{ 1 } }, { "upstreams", json::array{} } });
  const auto size = [&] {
    const auto list = Call(platform.Address(), "GET", "/v1/vms").Json();
    return list.at("vms").as_array().size();
  };
  CHECK(size() == 0);
  CHECK(WaitUntil(2s, [&] { return size() == 1; }));
}
