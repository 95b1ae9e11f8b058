/// @file
/// @brief Renders `/v1/explain/<id>`.
#pragma once

#include "wasabispar/app/ctl_report.hpp"

#include <boost/json/object.hpp>

namespace wasabispar {

/// @brief The record of a request: its sub-requests, why each was sent, and why shards
/// are missing.
CtlReport
RenderExplain(const boost::json::object& aReport);

} // namespace wasabispar
