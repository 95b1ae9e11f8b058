/// @file
/// @brief The command line of wasabisparctl.
#pragma once

#include "wasabispar/app/settings.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/net/http_client.hpp"

#include <string>
#include <vector>

namespace wasabispar {

enum class CtlCommand
{
  /// Print mText and end.
  Print,
  Status,
  Profiles,
  Upstreams,
  Explain,
  Check,
  Diff,
  Catalogue,
  Burn,
};

/// @brief What the command line asks for.
struct CtlRequest
{
  CtlCommand mCommand = CtlCommand::Print;
  /// For Print: a help text, the version or the completion.
  std::string mText;
  /// The request id or the files.
  std::vector<std::string> mArguments;
  /// Operator addresses, at least one.
  std::vector<Endpoint> mVms;
  /// Log files for Explain; empty: ask the VMs.
  std::vector<std::string> mLogFiles;
  /// Number of requests to list from the logs; 0: explain the one that is named.
  std::size_t mWorstCount = 0;
  bool mAsJson = false;
  /// Empty: no picture.
  std::string mSvgFile;
  Duration mTimeout = std::chrono::milliseconds(2000);
};

/// @brief Parses the command line. Without `--vm`, WASABISPARCTL_VM names the operator
/// addresses, separated by commas, and 127.0.0.1:7071 is the default.
/// @return an Error with Step::Settings, the flag or subcommand as peer.
Result<CtlRequest>
ParseCtl(const std::vector<std::string>& aArguments, const EnvironmentFn& aEnvironment);

/// @brief The help text of a subcommand, or of the program for an empty name.
std::string
CtlHelp(const std::string& aCommand);

/// @brief A completion script for bash.
std::string
CtlCompletion();

} // namespace wasabispar
