/// @file
/// @brief What a subcommand of wasabisparctl shows.
#pragma once

#include <string>

namespace wasabispar {

/// @brief A rendered report.
struct CtlReport
{
  std::string mText;
  /// The report shows a problem that the exit code must tell.
  bool mHasProblem = false;
};

} // namespace wasabispar
