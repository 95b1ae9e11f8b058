/// @file
/// @brief The text and the JSON of explanations from log files.
#include "wasabispar/app/ctl_log_explain.hpp"

#include "wasabispar/app/ctl_table.hpp"
#include "wasabispar/app/log_cause.hpp"
#include "wasabispar/app/log_part_cause.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <tuple>

namespace wasabispar {

namespace json = boost::json;

namespace {

/// Parts of which the text lists the cause; the JSON has all.
constexpr std::size_t kMaxListedParts = 20;

/// What orders the files of a VM by age, from the text after `.log`.
struct FileAge
{
  /// The current file has no text after `.log`.
  bool mIsCurrent = false;
  /// The number of a rotated file, which grows with its age, negated.
  std::int64_t mNegatedNumber = 0;
  std::string mSuffix;

  auto operator<=>(const FileAge&) const = default;
};

std::size_t
ExtensionAt(const std::string& aFile)
{
  const auto slash = aFile.rfind('/');
  const auto nameAt = slash == std::string::npos ? 0 : slash + 1;
  const auto at = aFile.find(".log", nameAt);
  return at == std::string::npos ? aFile.size() : at;
}

FileAge
AgeOf(const std::string& aFile)
{
  constexpr std::size_t kExtensionLength = 4;
  const auto at = std::min(ExtensionAt(aFile) + kExtensionLength, aFile.size());
  FileAge age{ at == aFile.size(), 0, aFile.substr(at) };
  if (age.mSuffix.starts_with('.')) {
    std::int64_t number = 0;
    const auto* end = age.mSuffix.data() + age.mSuffix.size();
    const auto [last, error] = std::from_chars(age.mSuffix.data() + 1, end, number);
    if (error == std::errc{} && last == end) {
      age.mNegatedNumber = -number;
    }
  }
  return age;
}

std::string
FigureText(const LoggedStep& aStep)
{
  if (IsSend(aStep)) {
    return "expected " + MillisecondsText(aStep.mFigure);
  }
  if (aStep.mStep == "queued") {
    return std::to_string(aStep.mFigure) + " ahead";
  }
  if (aStep.mStep == "blocked" || aStep.mStep == "held") {
    return "fingerprint " + std::to_string(aStep.mFigure);
  }
  if (aStep.mStep == "part-given-up") {
    return std::to_string(aStep.mFigure);
  }
  return aStep.mUpstream.empty() ? "" : "after " + MillisecondsText(aStep.mFigure);
}

std::string
HeadText(const RequestExplanation& aExplanation)
{
  const auto& request = aExplanation.mRequest;
  auto text = "request " + request.mId + " at VM " + aExplanation.mVmName;
  if (!request.mEnd) {
    return text + "\n";
  }
  const auto& end = *request.mEnd;
  text += std::string(end.mIsRouted ? ", route " : ", host ") + end.mRoute +
          ", configuration " + end.mConfigVersion + "\noutcome " + end.mOutcome;
  if (end.mIsRouted) {
    text += ", status " + std::to_string(end.mStatus) + ", " +
            std::to_string(end.mAnswered) + " of " + std::to_string(end.mParts) +
            " parts answered, took " + MillisecondsText(end.mTookUs);
  }
  return text + "\n";
}

std::string
StepsText(const LoggedRequest& aRequest)
{
  if (aRequest.mSteps.empty()) {
    return "";
  }
  CtlTable table({ "  at ms", "step", "part", "upstream", "figure" });
  for (const auto& step : aRequest.mSteps) {
    auto at = MillisecondsText(step.mAtUs);
    at.erase(at.find(' '));
    table.Add({ "  " + at, step.mStep, std::to_string(step.mPart),
                step.mUpstream.empty() ? "-" : step.mUpstream, FigureText(step) });
  }
  return table.Text();
}

std::string
CauseText(const RequestExplanation& aExplanation)
{
  const auto& cause = aExplanation.mCause;
  std::string text = "cause: " + std::string(ToText(aExplanation.mFate)) + ", " +
                     std::string(ToText(cause.mCause)) + ": ";
  if (cause.mPart) {
    text += "part " + std::to_string(*cause.mPart) + ": ";
  }
  return text + cause.mText + "\n";
}

std::string
PartsText(const RequestExplanation& aExplanation)
{
  std::string text;
  const auto& parts = aExplanation.mParts;
  for (std::size_t i = 0; i < std::min(parts.size(), kMaxListedParts); ++i) {
    const auto part = parts[i].mPart ? std::to_string(*parts[i].mPart) : "?";
    text += "missing part " + part + ": " + std::string(ToText(parts[i].mCause)) + ": " +
            parts[i].mText + "\n";
  }
  if (parts.size() > kMaxListedParts) {
    text += "and " + std::to_string(parts.size() - kMaxListedParts) +
            " further missing parts (see --json)\n";
  }
  return text;
}

std::string
ExplanationText(const RequestExplanation& aExplanation)
{
  auto text = HeadText(aExplanation) + StepsText(aExplanation.mRequest) +
              CauseText(aExplanation) + PartsText(aExplanation);
  for (const auto& note : aExplanation.mNotes) {
    text += "known then: " + note + "\n";
  }
  for (const auto& unknown : aExplanation.mUnknown) {
    text += "unknown: " + unknown + "\n";
  }
  return text;
}

json::object
CauseJson(const CauseOfEnd& aCause)
{
  json::object object{ { "cause", ToText(aCause.mCause) }, { "text", aCause.mText } };
  if (aCause.mPart) {
    object["part"] = *aCause.mPart;
  }
  if (!aCause.mUpstream.empty()) {
    object["upstream"] = aCause.mUpstream;
  }
  return object;
}

json::array
TextsJson(const std::vector<std::string>& aTexts)
{
  json::array array;
  for (const auto& text : aTexts) {
    array.emplace_back(text);
  }
  return array;
}

json::object
ExplanationJson(const RequestExplanation& aExplanation)
{
  const auto& request = aExplanation.mRequest;
  json::object object{ { "request", request.mId }, { "vm", aExplanation.mVmName } };
  if (const auto& end = request.mEnd) {
    object[end->mIsRouted ? "route" : "host"] = end->mRoute;
    object["config_version"] = end->mConfigVersion;
    object["outcome"] = end->mOutcome;
    object["status"] = end->mStatus;
    object["parts"] = end->mParts;
    object["answered"] = end->mAnswered;
    object["took_us"] = end->mTookUs;
  }
  json::array steps;
  for (const auto& step : request.mSteps) {
    steps.push_back(json::object{ { "at_us", step.mAtUs },
                                  { "step", step.mStep },
                                  { "part", step.mPart },
                                  { "service", step.mService },
                                  { "upstream", step.mUpstream },
                                  { "figure", step.mFigure } });
  }
  json::array parts;
  for (const auto& part : aExplanation.mParts) {
    parts.push_back(CauseJson(part));
  }
  object["steps"] = std::move(steps);
  object["fate"] = ToText(aExplanation.mFate);
  object["cause"] = CauseJson(aExplanation.mCause);
  object["missing_parts"] = std::move(parts);
  object["known_then"] = TextsJson(aExplanation.mNotes);
  object["unknown"] = TextsJson(aExplanation.mUnknown);
  return object;
}

} // namespace

std::vector<LogFile>
OrderLogFiles(const std::vector<std::string>& aFiles)
{
  std::vector<LogFile> files;
  for (const auto& name : aFiles) {
    const auto key = name.substr(0, ExtensionAt(name));
    files.push_back({ name, key, key.substr(key.rfind('/') + 1) });
  }
  std::ranges::stable_sort(files, {}, [](const LogFile& aFile) {
    return std::tuple(aFile.mVmKey, AgeOf(aFile.mName));
  });
  return files;
}

std::string
NotFoundText(const std::string& aRequestId,
             const std::map<std::string, std::uint64_t>& aRejectedForMemory)
{
  auto text = aRequestId + ": no line names this request; lines above the rate limit are "
                           "left out (wasabispar_gateway_trace_lines_dropped_total)";
  for (const auto& [vm, rejected] : aRejectedForMemory) {
    text += "; VM " + vm + " rejected " + std::to_string(rejected) +
            " requests for memory (memory-full), which are not logged by id";
  }
  return text;
}

CtlReport
RenderLogExplanations(const std::vector<RequestExplanation>& aExplanations, bool aAsJson)
{
  CtlReport report;
  for (const auto& explanation : aExplanations) {
    if (aAsJson) {
      report.mText += json::serialize(ExplanationJson(explanation)) + "\n";
    } else {
      report.mText += (report.mText.empty() ? "" : "\n") + ExplanationText(explanation);
    }
  }
  return report;
}

CtlReport
RenderWorstRequests(const std::vector<RequestExplanation>& aExplanations)
{
  if (aExplanations.empty()) {
    return { "no request failed or was late\n", false };
  }
  CtlTable table({ "request", "vm", "fate", "took", "cause" });
  for (const auto& explanation : aExplanations) {
    const auto& request = explanation.mRequest;
    const auto took = request.mEnd ? MillisecondsText(request.mEnd->mTookUs) : "-";
    table.Add({ request.mId, explanation.mVmName, std::string(ToText(explanation.mFate)),
                took,
                std::string(ToText(explanation.mCause.mCause)) + ": " +
                  explanation.mCause.mText });
  }
  return { table.Text(), false };
}

} // namespace wasabispar
