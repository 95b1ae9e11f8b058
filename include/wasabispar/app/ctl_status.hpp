/// @file
/// @brief Renders `/v1/status`.
#pragma once

#include "wasabispar/app/ctl_report.hpp"

#include <boost/json/object.hpp>

namespace wasabispar {

/// @brief The VMs by data centre with state and revision, the share of VMs in force and
/// the data centres that cannot be reached. A VM is in force when it reports the highest
/// revision that any VM of the report has; dead VMs are not counted.
///
/// Problems: not ready, a VM not in force, a data centre not reachable.
CtlReport
RenderStatus(const boost::json::object& aStatus);

} // namespace wasabispar
