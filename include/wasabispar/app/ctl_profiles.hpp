/// @file
/// @brief Renders `/v1/profiles` of one or several VMs.
#pragma once

#include "wasabispar/app/ctl_report.hpp"

#include <boost/json/object.hpp>

#include <vector>

namespace wasabispar {

/// @brief The requests for each profile, by VM and in sum, with notes on retired profiles
/// that are still asked for, unknown ones, and those that nobody uses. The counts of a VM
/// start at zero when it starts.
CtlReport
RenderProfiles(const std::vector<boost::json::object>& aReports);

} // namespace wasabispar
