/// @file
/// @brief Process that hosts an upstream group. Prints its ports as one JSON line.
#include "tests/standins/upstream_group.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace {

namespace options = boost::program_options;
using wasabispar::standins::GroupOptions;

options::options_description
DescribeFlags(GroupOptions& aGroup, double& aConnectionCostMs)
{
  auto& instance = aGroup.mInstance;
  auto& latency = instance.mLatency;
  options::options_description flags("standin_upstream");
  auto add = flags.add_options();
  add("help", "print the flags");
  add("name", options::value(&aGroup.mName), "instances are named NAME-0, NAME-1, ...");
  add("index", options::value(&instance.mIndex), "index name");
  add("instances", options::value(&aGroup.mInstances), "number of instances");
  add("searchers", options::value(&instance.mLayout.mSearchers),
      "searchers per instance");
  add("slots", options::value(&instance.mSlots), "slots per searcher");
  add("connection-limit", options::value(&instance.mConnectionLimit),
      "connections per instance");
  add("connection-cost-ms", options::value(&aConnectionCostMs),
      "time before the first request of a connection is read");
  add("shards", options::value(&instance.mShards), "shards of the index");
  add("replicas", options::value(&instance.mLayout.mReplicas), "replicas per shard");
  add("version", options::value(&instance.mVersion), "index version");
  add("base-ms", options::value(&latency.mBaseMs), "fixed part of the latency");
  add("jitter-ms", options::value(&latency.mJitterMs), "mean exponential part");
  add("straggler-share", options::value(&latency.mStragglerShare),
      "share of slow requests, 0 to 1");
  add("straggler-factor", options::value(&latency.mStragglerFactor),
      "latency factor of slow requests");
  add("seed", options::value(&instance.mSeed), "seed of the latency");
  add("queue", options::value(&instance.mQueueLimit), "queue per searcher before 429");
  return flags;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  GroupOptions group;
  double connectionCostMs = 6;
  try {
    const auto flags = DescribeFlags(group, connectionCostMs);
    options::variables_map values;
    options::store(options::parse_command_line(aArgc, aArgv, flags), values);
    options::notify(values);
    if (values.count("help") > 0) {
      std::cout << flags;
      return 0;
    }
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  group.mInstance.mConnectionCost =
    std::chrono::microseconds(static_cast<std::int64_t>(connectionCostMs * 1000));

  boost::asio::io_context context(1);
  wasabispar::standins::UpstreamGroup upstream(context, group);
  std::cout << boost::json::serialize(upstream.Started()) << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}
