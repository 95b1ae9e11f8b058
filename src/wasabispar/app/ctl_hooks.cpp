/// @file
/// @brief The hooks of wasabisparctl on the network, the file system and the environment.
#include "wasabispar/app/ctl_run.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace wasabispar {

namespace {

HttpExchangeResult
Fetch(const Endpoint& aVm, const std::string& aPath, Duration aTimeout)
{
  boost::asio::io_context context(1);
  HttpRequest request;
  request.mTarget = aPath;
  HttpExchangeResult ended;
  HttpFetch(context, aVm, std::move(request), aTimeout,
            [&](HttpExchangeResult aResult) { ended = std::move(aResult); });
  context.run();
  return ended;
}

} // namespace

CtlHooks
SystemCtlHooks()
{
  CtlHooks hooks;
  hooks.mEnvironment = [](const std::string& aName) -> std::optional<std::string> {
    const char* value = std::getenv(aName.c_str());
    return value ? std::optional<std::string>(value) : std::nullopt;
  };
  hooks.mFetch = Fetch;
  hooks.mReadFile = [](const std::string& aFile) -> std::optional<std::string> {
    // Reading a directory as a stream throws.
    if (std::filesystem::is_directory(aFile)) {
      return std::nullopt;
    }
    std::ifstream file(aFile, std::ios::binary);
    std::string content((std::istreambuf_iterator<char>(file)), {});
    return file ? std::optional(std::move(content)) : std::nullopt;
  };
  hooks.mWriteFile = [](const std::string& aFile, const std::string& aContent) {
    std::ofstream file(aFile, std::ios::binary);
    file << aContent << std::flush;
    return file.good();
  };
  return hooks;
}

} // namespace wasabispar
