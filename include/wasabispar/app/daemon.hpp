/// @file
/// @brief Wires the services of wasabispard and runs them until a signal stops them.
#pragma once

#include "wasabispar/app/settings.hpp"

#include <memory>

namespace wasabispar {

/// @brief One daemon. Create it, call Run() once.
class Daemon
{
public:
  explicit Daemon(Settings aSettings);
  ~Daemon();

  /// @brief Serves until SIGTERM or SIGINT has stopped it gracefully. Prints one JSON
  /// line with the ports when it has started.
  /// @return the exit code: 0 stopped by signal, 1 failed.
  int Run();

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

} // namespace wasabispar
