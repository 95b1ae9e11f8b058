/// @file
/// @brief Names the cause of a request's end from what the logs tell.
#pragma once

#include "wasabispar/app/log_facts.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief How a request ended.
enum class RequestFate : std::uint8_t
{
  /// Complete, and on time as far as the log tells.
  Answered,
  Late,
  Partial,
  /// Not run.
  Rejected,
  Lost,
  Timeout,
  UpstreamFailed,
  CallerLeft,
  Unrouted,
  Unknown,
};

/// @brief Why a request or a part of it was not answered on time.
enum class RequestCause : std::uint8_t
{
  Unknown,
  NoUpstream,
  Draining,
  AnnouncedLeaving,
  Quiet,
  RequestLimit,
  Cold,
  Evacuated,
  OutsideRegions,
  Quarantined,
  /// All upstreams were busy; the request waited or would have waited too long.
  Busy,
  /// An upstream: slow, silent, lost or failing.
  Upstream,
  /// The VM itself: paused, stopping or behind.
  Vm,
  /// The route or the configuration.
  Configuration,
  Caller,
  None,
};

std::string_view
ToText(RequestFate aFate);
std::string_view
ToText(RequestCause aCause);

/// @brief The cause of one request or of one part.
struct CauseOfEnd
{
  RequestCause mCause = RequestCause::Unknown;
  /// Empty for the request as a whole.
  std::optional<std::size_t> mPart;
  /// Empty if no single upstream is at fault.
  std::string mUpstream;
  /// One line.
  std::string mText;
};

/// @brief The explanation of one request.
struct RequestExplanation
{
  /// The request without its VM's facts, which are gone.
  LoggedRequest mRequest;
  std::string mVmName;
  RequestFate mFate = RequestFate::Unknown;
  CauseOfEnd mCause;
  /// Each part without an answer.
  std::vector<CauseOfEnd> mParts;
  /// What the VM's log tells about the time of the request, one line each.
  std::vector<std::string> mNotes;
  /// What the logs do not show, one line each.
  std::vector<std::string> mUnknown;
};

/// @brief How a request ended, by its lines.
RequestFate
FateOf(const LoggedRequest& aRequest);

/// @brief Explains @p aRequest. It concludes only from lines of the logs; what they do
/// not show is listed in mUnknown.
RequestExplanation
ExplainRequest(const LoggedRequest& aRequest);

} // namespace wasabispar
