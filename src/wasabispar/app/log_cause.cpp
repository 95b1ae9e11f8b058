/// @file
/// @brief ExplainRequest().
#include "wasabispar/app/log_cause.hpp"

#include "wasabispar/app/ctl_json.hpp"
#include "wasabispar/app/log_part_cause.hpp"
#include "wasabispar/app/log_service_state.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace wasabispar {

namespace {

/// Responses with this status or a higher one are not a success.
constexpr std::uint64_t kFirstUnsuccessfulStatus = 300;
constexpr std::int64_t kMsPerSecond = 1000;

bool
IsAnswered(const LoggedRequest& aRequest, std::size_t aPart)
{
  return std::ranges::any_of(aRequest.mSteps, [aPart](const LoggedStep& aStep) {
    return aStep.mPart == aPart && aStep.mStep == "answered";
  });
}

std::set<std::size_t>
PartsWithSteps(const LoggedRequest& aRequest)
{
  std::set<std::size_t> parts;
  for (const auto& step : aRequest.mSteps) {
    parts.insert(step.mPart);
  }
  return parts;
}

/// The cause that most parts have; the first of them if several are as frequent.
CauseOfEnd
MostFrequent(const std::vector<CauseOfEnd>& aParts)
{
  const auto countOf = [&aParts](const CauseOfEnd& aCause) {
    return std::ranges::count(aParts, aCause.mCause, &CauseOfEnd::mCause);
  };
  return *std::ranges::max_element(aParts, {}, countOf);
}

CauseOfEnd
UnroutedCause(const LoggedEnd& aEnd)
{
  if (aEnd.mOutcome == "bad-request") {
    return { RequestCause::Caller, {}, {}, "the request is malformed" };
  }
  if (aEnd.mOutcome == "not-configured") {
    return { RequestCause::Configuration, {}, {}, "the VM had not read a configuration" };
  }
  return { RequestCause::Configuration,
           {},
           {},
           "version " + aEnd.mConfigVersion + " of the configuration has no route for " +
             aEnd.mRoute };
}

/// The parts that were given up. A request that fails as a whole fails for them, while
/// others may still wait for an answer. In a partial answer, all missing parts count.
std::vector<CauseOfEnd>
DecidingParts(const LoggedRequest& aRequest, const std::vector<CauseOfEnd>& aMissing)
{
  std::vector<CauseOfEnd> deciding;
  const auto isGivenUp = [&aRequest](const CauseOfEnd& aCause) {
    return std::ranges::any_of(aRequest.mSteps, [&aCause](const LoggedStep& aStep) {
      return aStep.mPart == aCause.mPart &&
             (aStep.mStep == "part-given-up" || aStep.mStep == "retry-denied" ||
              aStep.mStep == "blocked");
    });
  };
  std::ranges::copy_if(aMissing, std::back_inserter(deciding), isGivenUp);
  return deciding;
}

/// Explains the parts without an answer and takes the most frequent cause.
void
ExplainParts(const LoggedRequest& aRequest, RequestExplanation& aExplanation)
{
  const auto& end = *aRequest.mEnd;
  auto& missing = aExplanation.mParts;
  for (const auto part : PartsWithSteps(aRequest)) {
    if (!IsAnswered(aRequest, part)) {
      missing.push_back(ExplainMissingPart(aRequest, part, aExplanation.mUnknown));
    }
  }
  const auto expected = end.mParts - std::min(end.mParts, end.mAnswered);
  // Parts of a request that ended as a whole need not have been sent.
  const bool areAllExpected =
    missing.empty() || aExplanation.mFate == RequestFate::Partial;
  if (missing.size() < expected && areAllExpected) {
    const auto text = "the logs have no steps of " +
                      std::to_string(expected - missing.size()) + " missing parts";
    missing.push_back({ RequestCause::Unknown, {}, {}, text });
    aExplanation.mUnknown.push_back("the cause of " +
                                    std::to_string(expected - missing.size() + 1) +
                                    " missing parts: their steps are not in the logs");
  }
  if (missing.empty()) {
    aExplanation.mCause.mText = "the logs do not show which part failed";
    return;
  }
  const auto deciding = aExplanation.mFate == RequestFate::Partial
                          ? missing
                          : DecidingParts(aRequest, missing);
  aExplanation.mCause = MostFrequent(deciding.empty() ? missing : deciding);
  if (end.mParts == 1) {
    aExplanation.mCause.mPart.reset();
    missing.clear();
  }
}

std::string
AgoText(const LogFact& aFact, std::optional<std::int64_t> aAtMs)
{
  if (!aFact.mTimeMs || !aAtMs) {
    return "earlier";
  }
  const auto ms = *aAtMs - *aFact.mTimeMs;
  return ms < kMsPerSecond
           ? std::to_string(ms) + " ms before"
           : FixedText(static_cast<double>(ms) / kMsPerSecond, 1) + " s before";
}

void
AddStateNotes(const LoggedRequest& aRequest, std::vector<std::string>& aNotes)
{
  const auto at = aRequest.TimeAt(0);
  const auto end = aRequest.mEnd ? aRequest.mEnd->mTimeMs : std::nullopt;
  const auto& history = aRequest.mVm->mHistory;
  if (const auto* config = history.Last({ "config-in-force" }, at)) {
    aNotes.push_back("configuration " + config->mSubject + " in force, read " +
                     AgoText(*config, at));
  }
  for (const auto& [dataCentre, events] : aRequest.mVm->mEvacuations) {
    const auto* last = events.Last({ "evacuation-started", "evacuation-ended" }, end);
    if (last && last->mEvent == "evacuation-started") {
      aNotes.push_back("data centre " + dataCentre + " evacuated");
    }
  }
  const auto* store = history.Last({ "store-lost", "store-regained" }, end);
  if (store && store->mEvent == "store-lost") {
    aNotes.push_back("store-lost " + AgoText(*store, end) + ": source " +
                     store->mSubject + ", the VM may not have known of later changes");
  }
  const auto* pressure =
    history.Last({ "connection-pressure", "connection-pressure-ended" }, end);
  if (pressure && pressure->mEvent == "connection-pressure") {
    aNotes.push_back("connection-pressure " + AgoText(*pressure, end));
  }
  const auto* pause = history.Last({ "process-paused" }, end);
  if (pause && pause->mTimeMs && at && *pause->mTimeMs >= *at) {
    aNotes.push_back("process-paused for " + std::to_string(pause->mNumber) +
                     " ms during the request");
  }
  if (const auto* drain = history.Last({ "drain" }, end)) {
    aNotes.push_back("drain " + AgoText(*drain, end) + ": the VM was stopping");
  }
}

void
AddGaps(const LoggedRequest& aRequest, std::vector<std::string>& aUnknown)
{
  if (!aRequest.mEnd) {
    aUnknown.push_back("the end of the request: its line is not in the logs");
    return;
  }
  if (!aRequest.mEnd->mTimeMs) {
    aUnknown.push_back("times of the lines: the order in the log is used instead");
  }
  if (aRequest.mEnd->mStepsOmitted > 0) {
    aUnknown.push_back(std::to_string(aRequest.mEnd->mStepsOmitted) +
                       " steps, which the VM did not keep");
  }
}

} // namespace

std::string_view
ToText(RequestFate aFate)
{
  switch (aFate) {
    case RequestFate::Answered:
      return "answered";
    case RequestFate::Late:
      return "late";
    case RequestFate::Partial:
      return "partial";
    case RequestFate::Rejected:
      return "rejected";
    case RequestFate::Lost:
      return "lost";
    case RequestFate::Timeout:
      return "timeout";
    case RequestFate::UpstreamFailed:
      return "upstream-failed";
    case RequestFate::CallerLeft:
      return "caller-left";
    case RequestFate::Unrouted:
      return "unrouted";
    case RequestFate::Unknown:
      break;
  }
  return "unknown";
}

std::string_view
ToText(RequestCause aCause)
{
  switch (aCause) {
    case RequestCause::NoUpstream:
      return "no-upstream";
    case RequestCause::Draining:
      return "draining";
    case RequestCause::AnnouncedLeaving:
      return "announced-leaving";
    case RequestCause::Quiet:
      return "quiet";
    case RequestCause::RequestLimit:
      return "request-limit";
    case RequestCause::Cold:
      return "cold";
    case RequestCause::Evacuated:
      return "evacuated";
    case RequestCause::OutsideRegions:
      return "outside-regions";
    case RequestCause::Quarantined:
      return "quarantined";
    case RequestCause::Busy:
      return "busy";
    case RequestCause::Upstream:
      return "upstream";
    case RequestCause::Vm:
      return "vm";
    case RequestCause::Configuration:
      return "configuration";
    case RequestCause::Caller:
      return "caller";
    case RequestCause::None:
      return "none";
    case RequestCause::Unknown:
      break;
  }
  return "unknown";
}

RequestFate
FateOf(const LoggedRequest& aRequest)
{
  if (!aRequest.mEnd) {
    return RequestFate::Unknown;
  }
  const auto& end = *aRequest.mEnd;
  const auto& outcome = end.mOutcome;
  if (!end.mIsRouted) {
    return RequestFate::Unrouted;
  }
  if (outcome == "answered") {
    const bool isSuccess = end.mStatus < kFirstUnsuccessfulStatus;
    // The daemon writes the steps of a complete and successful request only if it is
    // late.
    return isSuccess && !aRequest.mSteps.empty() ? RequestFate::Late
                                                 : RequestFate::Answered;
  }
  if (outcome == "partial") {
    return RequestFate::Partial;
  }
  if (outcome == "unavailable" || outcome == "no-permitted-upstream" ||
      outcome == "quarantined") {
    return RequestFate::Rejected;
  }
  if (outcome == "lost") {
    return RequestFate::Lost;
  }
  if (outcome == "timeout") {
    return RequestFate::Timeout;
  }
  if (outcome == "upstream-failed") {
    return RequestFate::UpstreamFailed;
  }
  return outcome == "caller-left" ? RequestFate::CallerLeft : RequestFate::Unknown;
}

RequestExplanation
ExplainRequest(const LoggedRequest& aRequest)
{
  RequestExplanation explanation;
  explanation.mRequest = aRequest;
  explanation.mRequest.mVm = nullptr;
  explanation.mVmName = aRequest.mVm->mName;
  explanation.mFate = FateOf(aRequest);
  AddGaps(aRequest, explanation.mUnknown);
  AddStateNotes(aRequest, explanation.mNotes);
  auto& cause = explanation.mCause;
  switch (explanation.mFate) {
    case RequestFate::Unknown:
      cause.mText = "the logs do not show how the request ended";
      break;
    case RequestFate::Unrouted:
      cause = UnroutedCause(*aRequest.mEnd);
      break;
    case RequestFate::Answered:
      cause = aRequest.mEnd->mStatus < kFirstUnsuccessfulStatus
                ? CauseOfEnd{ RequestCause::None, {}, {}, "complete and on time" }
                : CauseOfEnd{ RequestCause::Upstream,
                              {},
                              {},
                              "status " + std::to_string(aRequest.mEnd->mStatus) +
                                " is the upstream's own answer" };
      break;
    case RequestFate::Late:
      cause = ExplainLate(aRequest);
      break;
    case RequestFate::CallerLeft:
      ExplainParts(aRequest, explanation);
      cause = { RequestCause::Caller,
                {},
                {},
                "the caller disconnected after " +
                  MillisecondsText(aRequest.mEnd->mTookUs) };
      break;
    case RequestFate::Partial:
    case RequestFate::Rejected:
    case RequestFate::Timeout:
    case RequestFate::Lost:
    case RequestFate::UpstreamFailed:
      ExplainParts(aRequest, explanation);
      break;
  }
  return explanation;
}

} // namespace wasabispar
