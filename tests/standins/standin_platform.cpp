/// @file
/// @brief Process of the platform stand-in. Prints its ports as one JSON line.
#include "tests/standins/platform_service.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

int
main()
{
  boost::asio::io_context context(1);
  wasabispar::standins::PlatformService platform(context);
  std::cout << boost::json::serialize(platform.Started()) << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}
