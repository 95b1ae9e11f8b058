/// @file
/// @brief Renders `/v1/burn` as a table with plots.
#include "wasabispar/app/ctl_burn.hpp"

#include "wasabispar/app/ctl_json.hpp"
#include "wasabispar/app/ctl_table.hpp"

#include <algorithm>
#include <array>

namespace wasabispar {

namespace json = boost::json;

namespace {

constexpr std::array<const char*, 8> kBlocks{ "▁", "▂", "▃", "▄", "▅", "▆", "▇", "█" };

bool
IsAlert(const json::object& aProfile, std::string_view aKey)
{
  const auto alert = TextIn(aProfile, aKey);
  return alert != "none" && alert != "-";
}

std::string
WindowsText(const json::object& aProfile)
{
  CtlTable table(
    { "  window", "requests", "late", "latency burn", "incomplete", "coverage burn" });
  for (const auto& window : ObjectsIn(aProfile, "windows")) {
    table.Add({ "  " + TextIn(window, "minutes") + " min", TextIn(window, "requests"),
                TextIn(window, "latency_bad"),
                FixedText(NumberIn(window, "latency_burn").value_or(0), 2),
                TextIn(window, "coverage_bad"),
                FixedText(NumberIn(window, "coverage_burn").value_or(0), 2) });
  }
  return table.Text();
}

std::string
SeriesText(const json::object& aProfile, const std::string& aName)
{
  const auto rates = NumbersIn(aProfile, aName + "_series");
  const auto highest = rates.empty() ? 0 : *std::max_element(rates.begin(), rates.end());
  return "  " + aName + std::string(10 - aName.size(), ' ') + PlotLine(rates, kPageBurn) +
         " highest " + FixedText(highest, 1) + "\n";
}

std::string
ProfileText(const json::object& aProfile)
{
  std::string text =
    "\nprofile " + TextIn(aProfile, "profile") + ": objectives in permille latency " +
    TextIn(aProfile, "latency_objective_permille") + ", coverage " +
    TextIn(aProfile, "coverage_objective_permille") + "; alerts latency " +
    TextIn(aProfile, "latency_alert") + ", coverage " +
    TextIn(aProfile, "coverage_alert") + "\n" + WindowsText(aProfile);
  text += "  burn by minute, last 60 minutes, full block = " + FixedText(kPageBurn, 1) +
          "\n" + SeriesText(aProfile, "latency") + SeriesText(aProfile, "coverage");
  return text;
}

} // namespace

std::string
PlotLine(const std::vector<double>& aRates, double aFull)
{
  std::string line;
  for (const double rate : aRates) {
    if (rate <= 0) {
      line += ".";
      continue;
    }
    const auto share = std::min(rate / aFull, 1.0);
    const auto last = static_cast<double>(kBlocks.size() - 1);
    line += kBlocks[static_cast<std::size_t>(share * last)];
  }
  return line;
}

CtlReport
RenderBurn(const json::object& aReport)
{
  const auto profiles = ObjectsIn(aReport, "profiles");
  CtlReport report;
  report.mText = "burn rates on vm " + TextIn(aReport, "vm") +
                 " (1 uses up the error budget exactly)\n";
  if (profiles.empty()) {
    report.mText += "no requests in the last 6 hours\n";
  }
  for (const auto& profile : profiles) {
    report.mText += ProfileText(profile);
    report.mHasProblem = report.mHasProblem || IsAlert(profile, "latency_alert") ||
                         IsAlert(profile, "coverage_alert");
  }
  return report;
}

} // namespace wasabispar
