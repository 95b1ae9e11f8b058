/// @file
/// @brief Names the cause for which a part of a request was not answered, or late.
#pragma once

#include "wasabispar/app/log_cause.hpp"

#include <string>
#include <vector>

namespace wasabispar {

/// @brief The steps of one part, in their order.
std::vector<const LoggedStep*>
StepsOfPart(const LoggedRequest& aRequest, std::size_t aPart);

/// @brief Whether a step is a send to an upstream.
bool
IsSend(const LoggedStep& aStep);

/// @brief The last send of a part that has no end; null if there is none.
const LoggedStep*
OpenSend(const std::vector<const LoggedStep*>& aSteps);

/// @brief The pause of the VM that took more than half of the request's time, in
/// milliseconds; empty if the log shows none.
std::optional<std::uint64_t>
DominantPause(const LoggedRequest& aRequest);

/// @brief Why a part without an answer has none. Adds to @p aUnknown what the logs do not
/// show.
CauseOfEnd
ExplainMissingPart(const LoggedRequest& aRequest, std::size_t aPart,
                   std::vector<std::string>& aUnknown);

/// @brief What took most of the time of an answered request: its last part's upstream or
/// wait, or the VM.
CauseOfEnd
ExplainLate(const LoggedRequest& aRequest);

/// @brief Microseconds as text in milliseconds, for example `2.3 ms`.
std::string
MillisecondsText(std::uint64_t aMicroseconds);

} // namespace wasabispar
