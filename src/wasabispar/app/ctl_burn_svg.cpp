/// @file
/// @brief Draws burn rates as SVG.
#include "wasabispar/app/ctl_burn.hpp"
#include "wasabispar/app/ctl_json.hpp"

#include <algorithm>
#include <cmath>

namespace wasabispar {

namespace json = boost::json;

namespace {

/// Sizes in pixels.
constexpr double kWidth = 720;
constexpr double kPanelHeight = 180;
constexpr double kLeft = 48;
constexpr double kPlotWidth = 640;
constexpr double kTop = 32;
constexpr double kPlotHeight = 120;
constexpr std::size_t kMinutes = 60;
/// Room above the highest alert, so that its line is not the upper edge.
constexpr double kLowestFull = 16;

std::string
Escaped(const std::string& aText)
{
  std::string text;
  for (const char character : aText) {
    switch (character) {
      case '<':
        text += "&lt;";
        break;
      case '>':
        text += "&gt;";
        break;
      case '&':
        text += "&amp;";
        break;
      case '"':
        text += "&quot;";
        break;
      default:
        text += character;
    }
  }
  return text;
}

std::string
Label(double aX, double aY, const std::string& aText, const std::string& aColour)
{
  return "<text x=\"" + FixedText(aX, 1) + "\" y=\"" + FixedText(aY, 1) + "\" fill=\"" +
         aColour + "\">" + Escaped(aText) + "</text>\n";
}

/// One panel; rates are drawn from its bottom up to the full height for mFull.
struct Panel
{
  double mOffset;
  double mFull;

  double YOf(double aRate) const
  {
    return mOffset + kTop + kPlotHeight * (1 - std::min(aRate / mFull, 1.0));
  }

  std::string Threshold(double aRate, const std::string& aText) const
  {
    const auto y = FixedText(YOf(aRate), 1);
    return "<line x1=\"" + FixedText(kLeft, 1) + "\" x2=\"" +
           FixedText(kLeft + kPlotWidth, 1) + "\" y1=\"" + y + "\" y2=\"" + y +
           "\" stroke=\"#999\" stroke-dasharray=\"4 3\"/>\n" +
           Label(4, YOf(aRate) + 4, aText, "#555");
  }

  std::string Line(const std::vector<double>& aRates, const std::string& aColour) const
  {
    std::string points;
    for (std::size_t i = 0; i < aRates.size(); ++i) {
      const auto x =
        kLeft + kPlotWidth * static_cast<double>(i) / static_cast<double>(kMinutes - 1);
      points += FixedText(x, 1) + "," + FixedText(YOf(aRates[i]), 1) + " ";
    }
    return "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + aColour +
           "\" points=\"" + points + "\"/>\n";
  }
};

std::string
PanelSvg(const json::object& aProfile, const std::string& aVm, double aOffset)
{
  constexpr double kLegendLeft = 500;
  const std::string latencyColour = "#c0392b";
  const std::string coverageColour = "#2c6fbb";
  const auto latency = NumbersIn(aProfile, "latency_series");
  const auto coverage = NumbersIn(aProfile, "coverage_series");
  double full = kLowestFull;
  for (const auto& series : { latency, coverage }) {
    for (const double rate : series) {
      full = std::max(full, std::ceil(rate));
    }
  }
  const Panel panel{ aOffset, full };
  return Label(kLeft, aOffset + 20,
               TextIn(aProfile, "profile") + " on " + aVm + ", last 60 minutes", "#000") +
         Label(kLegendLeft, aOffset + 20, "latency burn", latencyColour) +
         Label(kLegendLeft + 100, aOffset + 20, "coverage burn", coverageColour) +
         panel.Threshold(0, "0") + panel.Threshold(kTicketBurn, "ticket") +
         panel.Threshold(kPageBurn, "page") + panel.Line(latency, latencyColour) +
         panel.Line(coverage, coverageColour);
}

} // namespace

std::string
BurnSvg(const std::vector<json::object>& aReports)
{
  std::string panels;
  double height = 0;
  for (const auto& report : aReports) {
    for (const auto& profile : ObjectsIn(report, "profiles")) {
      panels += PanelSvg(profile, TextIn(report, "vm"), height);
      height += kPanelHeight;
    }
  }
  height = std::max(height, kPanelHeight);
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + FixedText(kWidth, 0) +
         "\" height=\"" + FixedText(height, 0) +
         "\" font-family=\"sans-serif\" font-size=\"12\">\n"
         "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n" +
         panels + "</svg>\n";
}

} // namespace wasabispar
