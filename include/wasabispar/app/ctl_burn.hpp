/// @file
/// @brief Renders `/v1/burn` as a table with plots, and as a picture.
#pragma once

#include "wasabispar/app/ctl_report.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace wasabispar {

/// Burn rates of the two alerts, as docs/operators/metrics.md defines them.
inline constexpr double kPageBurn = 14.4;
inline constexpr double kTicketBurn = 6;

/// @brief For each profile the burn rates of all windows, the alerts and a plot of the
/// last 60 minutes. Problem: an alert.
CtlReport
RenderBurn(const boost::json::object& aReport);

/// @brief Burn rates as one line of block characters, oldest first. A rate of zero is a
/// dot; the highest block stands for @p aFull and everything above it.
std::string
PlotLine(const std::vector<double>& aRates, double aFull);

/// @brief An SVG picture with one panel for each profile of each report: the burn rates
/// of the last 60 minutes and the rates of the alerts.
std::string
BurnSvg(const std::vector<boost::json::object>& aReports);

} // namespace wasabispar
