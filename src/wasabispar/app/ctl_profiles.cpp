/// @file
/// @brief Renders `/v1/profiles`.
#include "wasabispar/app/ctl_profiles.hpp"

#include "wasabispar/app/ctl_json.hpp"
#include "wasabispar/app/ctl_table.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace wasabispar {

namespace json = boost::json;

namespace {

/// Requests with the age of the last one in milliseconds.
struct Requests
{
  std::uint64_t mCount = 0;
  std::optional<double> mLast;

  void Add(const json::object& aObject)
  {
    mCount += CountIn(aObject, "requests");
    if (const auto last = NumberIn(aObject, "last_ms")) {
      mLast = std::min(mLast.value_or(*last), *last);
    }
  }

  std::string LastText() const
  {
    return mLast ? AgeIn({ { "age", *mLast } }, "age") + " ago" : "-";
  }
};

/// One profile over all VMs.
struct Usage
{
  /// VMs can differ while a change spreads.
  std::string mStatus;
  Requests mRequests;
  std::uint64_t mRefused = 0;
  std::uint64_t mOtherCallers = 0;
  std::map<std::string, Requests> mCallers;
  std::map<std::string, std::uint64_t> mByVm;
};

void
AddReport(std::map<std::string, Usage>& aUsages, const json::object& aReport)
{
  for (const auto& profile : ObjectsIn(aReport, "profiles")) {
    auto& usage = aUsages[TextIn(profile, "profile")];
    const auto status = TextIn(profile, "status");
    if (usage.mStatus.empty()) {
      usage.mStatus = status;
    } else if (usage.mStatus.find(status) == std::string::npos) {
      usage.mStatus += "/" + status;
    }
    usage.mRequests.Add(profile);
    usage.mRefused += CountIn(profile, "refused");
    usage.mOtherCallers += CountIn(profile, "other_callers");
    usage.mByVm[TextIn(aReport, "vm")] += CountIn(profile, "requests");
    for (const auto& caller : ObjectsIn(profile, "callers")) {
      usage.mCallers[TextIn(caller, "caller")].Add(caller);
    }
  }
}

std::string
CallersText(const Usage& aUsage)
{
  std::vector<std::pair<std::string, Requests>> callers(aUsage.mCallers.begin(),
                                                        aUsage.mCallers.end());
  std::stable_sort(callers.begin(), callers.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.second.mCount > aRight.second.mCount;
                   });
  std::string text;
  for (const auto& [name, requests] : callers) {
    text += (text.empty() ? "" : ", ") + name + " (" + std::to_string(requests.mCount) +
            ", " + requests.LastText() + ")";
  }
  if (aUsage.mOtherCallers > 0) {
    text += ", others (" + std::to_string(aUsage.mOtherCallers) + ")";
  }
  return text;
}

std::string
NoteOf(const Usage& aUsage)
{
  if (aUsage.mRequests.mCount == 0) {
    return "UNUSED";
  }
  const bool isRefused = aUsage.mRefused > 0;
  if (isRefused && aUsage.mStatus.find("retired") != std::string::npos) {
    return "RETIRED, STILL ASKED FOR by " + CallersText(aUsage);
  }
  if (isRefused && aUsage.mStatus.find("unknown") != std::string::npos) {
    return "UNKNOWN NAME, asked for by " + CallersText(aUsage);
  }
  return CallersText(aUsage);
}

} // namespace

CtlReport
RenderProfiles(const std::vector<json::object>& aReports)
{
  std::map<std::string, Usage> usages;
  std::vector<std::string> heads{ "profile", "status", "requests", "refused", "last" };
  std::vector<std::string> vms;
  std::uint64_t otherUnknown = 0;
  for (const auto& report : aReports) {
    AddReport(usages, report);
    otherUnknown += CountIn(report, "other_unknown");
    if (aReports.size() > 1) {
      vms.push_back(TextIn(report, "vm"));
      heads.push_back("on " + vms.back());
    }
  }
  heads.emplace_back("callers (requests, last)");
  CtlTable table(std::move(heads));
  for (const auto& [name, usage] : usages) {
    std::vector<std::string> row{ name, usage.mStatus,
                                  std::to_string(usage.mRequests.mCount),
                                  std::to_string(usage.mRefused),
                                  usage.mRequests.LastText() };
    for (const auto& vm : vms) {
      const auto found = usage.mByVm.find(vm);
      row.push_back(found == usage.mByVm.end() ? "-" : std::to_string(found->second));
    }
    row.push_back(NoteOf(usage));
    table.Add(std::move(row));
  }
  CtlReport report{ table.Text(), false };
  if (otherUnknown > 0) {
    report.mText +=
      "requests for further unknown names: " + std::to_string(otherUnknown) + "\n";
  }
  return report;
}

} // namespace wasabispar
