/// @file
/// @brief Renders explanations of requests that were read from log files.
#pragma once

#include "wasabispar/app/ctl_report.hpp"
#include "wasabispar/app/log_cause.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief A log file and the VM that wrote it.
struct LogFile
{
  std::string mName;
  /// The same for all files of a VM: the path up to the extension `.log`.
  std::string mVmKey;
  /// The same without directory.
  std::string mVmName;
};

/// @brief Brings the files of each VM together, oldest first: `a.log.2`, `a.log.1`,
/// `a.log`, and by name where the rest after `.log` is no number.
std::vector<LogFile>
OrderLogFiles(const std::vector<std::string>& aFiles);

/// @brief Why the request is not explained, with the requests that each VM rejected for
/// lack of memory, which are not logged by id.
std::string
NotFoundText(const std::string& aRequestId,
             const std::map<std::string, std::uint64_t>& aRejectedForMemory);

/// @brief The steps and the cause of each request, in text, or one JSON object a line.
CtlReport
RenderLogExplanations(const std::vector<RequestExplanation>& aExplanations, bool aAsJson);

/// @brief One line for each request.
CtlReport
RenderWorstRequests(const std::vector<RequestExplanation>& aExplanations);

} // namespace wasabispar
