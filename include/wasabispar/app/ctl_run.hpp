/// @file
/// @brief Runs a command line of wasabisparctl.
#pragma once

#include "wasabispar/app/settings.hpp"
#include "wasabispar/base/clock.hpp"
#include "wasabispar/net/http_client.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief Exit codes; scripts depend on the numbers.
enum class CtlExit
{
  Fine = 0,
  /// A VM was not reachable, or a record or file was not found. Wins over Problem, as the
  /// report is incomplete.
  NotFound = 1,
  Usage = 2,
  /// The report shows a problem.
  Problem = 3,
};

/// @brief Everything outside the process.
struct CtlHooks
{
  EnvironmentFn mEnvironment;
  /// `GET` of a path; returns when the exchange has ended.
  std::function<HttpExchangeResult(const Endpoint&, const std::string& aPath, Duration)>
    mFetch;
  /// The content of a file; empty when it cannot be read.
  std::function<std::optional<std::string>(const std::string& aFile)> mReadFile;
  /// Calls the function for each line of a file, without its end and cut to
  /// kMaxLogLineBytes. False when the file cannot be read to its end.
  std::function<bool(const std::string& aFile,
                     const std::function<void(std::string_view)>& aOnLine)>
    mReadLines;
  /// False when the file cannot be written.
  std::function<bool(const std::string& aFile, const std::string& aContent)> mWriteFile;
};

/// @brief What the program prints and returns.
struct CtlResult
{
  CtlExit mExit = CtlExit::Fine;
  /// For standard output.
  std::string mOutput;
  /// For standard error.
  std::string mErrors;
};

/// @brief Hooks on HttpFetch(), the file system and the environment.
CtlHooks
SystemCtlHooks();

/// @brief Runs @p aArguments, which lack the program's name.
CtlResult
RunCtl(const std::vector<std::string>& aArguments, const CtlHooks& aHooks);

} // namespace wasabispar
