/// @file
/// @brief Renders `/v1/upstreams`.
#include "wasabispar/app/ctl_upstreams.hpp"

#include "wasabispar/app/ctl_json.hpp"
#include "wasabispar/app/ctl_table.hpp"

namespace wasabispar {

namespace json = boost::json;

namespace {

std::string
VersionsText(const json::object& aUpstream)
{
  std::string text;
  for (const auto& version : ObjectsIn(aUpstream, "versions")) {
    const auto* held = version.if_contains("held");
    const auto count = held && held->is_array() ? held->get_array().size() : 0;
    text += (text.empty() ? "" : ", ") + TextIn(version, "version") + " (" +
            std::to_string(count) + " of " + TextIn(version, "shards") + " shards)";
  }
  return text.empty() ? "-" : text;
}

} // namespace

CtlReport
RenderUpstreams(const json::object& aReport)
{
  CtlTable table({ "upstream", "index", "address", "avoided", "in flight", "slots",
                   "latency ms", "last reply", "open/share/limit", "versions" });
  for (const auto& upstream : ObjectsIn(aReport, "upstreams")) {
    table.Add({ TextIn(upstream, "upstream"), TextIn(upstream, "index"),
                TextIn(upstream, "address"), TextIn(upstream, "avoided"),
                TextIn(upstream, "in_flight"), TextIn(upstream, "slot_limit"),
                FixedText(NumberIn(upstream, "mean_latency_ms").value_or(0), 1),
                AgeIn(upstream, "last_reply_ms"),
                TextIn(upstream, "open") + "/" + TextIn(upstream, "share") + "/" +
                  TextIn(upstream, "connection_limit"),
                VersionsText(upstream) });
  }
  return { "upstreams as vm " + TextIn(aReport, "vm") + " sees them\n" + table.Text(),
           false };
}

} // namespace wasabispar
