/// @file
/// @brief The hooks of wasabisparctl on the network, the file system and the environment.
#include "wasabispar/app/ctl_run.hpp"

#include "wasabispar/app/log_line.hpp"

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

/// Joins the pieces of a file to lines of a bounded length.
class LineSplitter
{
public:
  explicit LineSplitter(const std::function<void(std::string_view)>& aOnLine)
    : mOnLine(aOnLine)
  {
  }

  void Add(std::string_view aPiece)
  {
    for (auto end = aPiece.find('\n'); end != std::string_view::npos;
         end = aPiece.find('\n')) {
      Append(aPiece.substr(0, end));
      mOnLine(mLine);
      mLine.clear();
      aPiece.remove_prefix(end + 1);
    }
    Append(aPiece);
  }

  /// Passes on the last line if the file does not end with a line end.
  void Finish() const
  {
    if (!mLine.empty()) {
      mOnLine(mLine);
    }
  }

private:
  const std::function<void(std::string_view)>& mOnLine;
  /// At most kMaxLogLineBytes.
  std::string mLine;

  void Append(std::string_view aText)
  {
    mLine += aText.substr(0, kMaxLogLineBytes - mLine.size());
  }
};

bool
ReadLines(const std::string& aFile, const std::function<void(std::string_view)>& aOnLine)
{
  if (std::filesystem::is_directory(aFile)) {
    return false;
  }
  constexpr std::size_t kPieceBytes = std::size_t{ 64 } * 1024;
  std::ifstream file(aFile, std::ios::binary);
  LineSplitter lines(aOnLine);
  std::vector<char> piece(kPieceBytes);
  while (file) {
    file.read(piece.data(), static_cast<std::streamsize>(piece.size()));
    lines.Add({ piece.data(), static_cast<std::size_t>(file.gcount()) });
  }
  lines.Finish();
  return file.eof();
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
  hooks.mReadLines = ReadLines;
  hooks.mWriteFile = [](const std::string& aFile, const std::string& aContent) {
    std::ofstream file(aFile, std::ios::binary);
    file << aContent << std::flush;
    return file.good();
  };
  return hooks;
}

} // namespace wasabispar
