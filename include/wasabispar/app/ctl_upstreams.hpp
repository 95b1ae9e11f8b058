/// @file
/// @brief Renders `/v1/upstreams`.
#pragma once

#include "wasabispar/app/ctl_report.hpp"

#include <boost/json/object.hpp>

namespace wasabispar {

/// @brief One line for each upstream: why it is avoided, load, latency, connections and
/// the index versions that it holds.
CtlReport
RenderUpstreams(const boost::json::object& aReport);

} // namespace wasabispar
