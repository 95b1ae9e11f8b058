/// @file
/// @brief Process of the naive tier. Takes the flags of wasabispard that it needs and
/// ignores the others; prints the same line at start.
#include "bench/naive_tier.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

int
main(int aArgc, char** aArgv)
{
  namespace options = boost::program_options;
  wasabispar::bench::NaiveTierOptions tier;
  std::string platform;
  options::options_description flags("naive_tier");
  auto add = flags.add_options();
  add("vm", options::value(&tier.mVm), "name of this process in its answers");
  add("platform", options::value(&platform)->required(), "address of the platform");
  options::variables_map values;
  try {
    auto parsed = options::command_line_parser(aArgc, aArgv).options(flags);
    options::store(parsed.allow_unregistered().run(), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  tier.mPlatform = wasabispar::HandleError(
    [&] { return wasabispar::Endpoint::Parse(platform); },
    [](const wasabispar::Error&) { return wasabispar::Endpoint{}; });

  boost::asio::io_context context(1);
  wasabispar::bench::NaiveTier server(context, tier);
  const auto port = server.Start();
  std::cout << boost::json::serialize(boost::json::object{
                 { "event", "started" }, { "vm", tier.mVm }, { "caller_port", port } })
            << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}
