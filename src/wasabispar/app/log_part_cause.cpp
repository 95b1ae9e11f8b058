/// @file
/// @brief The causes of single parts.
#include "wasabispar/app/log_part_cause.hpp"

#include "wasabispar/app/ctl_json.hpp"
#include "wasabispar/app/log_service_state.hpp"

#include <algorithm>
#include <set>

namespace wasabispar {

namespace {

using State = LoggedUpstreamState;

constexpr double kUsPerMs = 1000;

bool
IsEnd(const LoggedStep& aStep)
{
  return aStep.mStep == "answered" || aStep.mStep == "shed" || aStep.mStep == "failed" ||
         aStep.mStep == "lost" || aStep.mStep == "unreachable";
}

const LoggedStep*
LastOf(const std::vector<const LoggedStep*>& aSteps, std::string_view aName)
{
  const auto found =
    std::find_if(aSteps.rbegin(), aSteps.rend(),
                 [aName](const LoggedStep* aStep) { return aStep->mStep == aName; });
  return found == aSteps.rend() ? nullptr : *found;
}

const LoggedStep*
LastEnd(const std::vector<const LoggedStep*>& aSteps)
{
  const auto found = std::find_if(aSteps.rbegin(), aSteps.rend(),
                                  [](const LoggedStep* aStep) { return IsEnd(*aStep); });
  return found == aSteps.rend() ? nullptr : *found;
}

RequestCause
CauseOf(State aState)
{
  switch (aState) {
    case State::Usable:
      return RequestCause::Unknown;
    case State::Limited:
      return RequestCause::RequestLimit;
    case State::Cold:
      return RequestCause::Cold;
    case State::Quiet:
      return RequestCause::Quiet;
    case State::Evacuated:
      return RequestCause::Evacuated;
    case State::AnnouncedLeaving:
      return RequestCause::AnnouncedLeaving;
    case State::Draining:
      return RequestCause::Draining;
    case State::Removed:
      break;
  }
  return RequestCause::NoUpstream;
}

/// The most frequent state of a service's upstreams; removed ones only if there are no
/// others, because they could not be asked in any case.
State
MainState(const ServiceState& aService)
{
  auto main = State::Removed;
  std::size_t count = 0;
  for (const auto& [state, upstreams] : aService.mCounts) {
    if (state != State::Removed && upstreams > count) {
      main = state;
      count = upstreams;
    }
  }
  return main;
}

/// Which of the two limits applies to more upstreams.
State
LimitOf(const ServiceState& aService)
{
  return aService.Count(State::Cold) > aService.Count(State::Limited) ? State::Cold
                                                                      : State::Limited;
}

std::string
CountsText(const ServiceState& aService)
{
  std::string text;
  for (const auto& [state, count] : aService.mCounts) {
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + ToText(state);
  }
  return text;
}

/// The service of a part: as its steps name it, else that of an upstream to which it was
/// sent. A route may name several services, so other requests of it tell nothing.
std::optional<std::string>
ServiceOf(const LoggedRequest& aRequest, std::size_t aPart)
{
  for (const auto* step : StepsOfPart(aRequest, aPart)) {
    if (!step->mService.empty()) {
      return step->mService;
    }
    const auto found = aRequest.mVm->mUpstreams.find(step->mUpstream);
    if (found != aRequest.mVm->mUpstreams.end() && !found->second.mService.empty()) {
      return found->second.mService;
    }
  }
  return std::nullopt;
}

void
AddOnce(std::vector<std::string>& aTexts, const std::string& aText)
{
  if (std::ranges::find(aTexts, aText) == aTexts.end()) {
    aTexts.push_back(aText);
  }
}

/// Explains one part that was sent to nobody, or whose upstreams all turned it away.
class Unplaced
{
public:
  Unplaced(const LoggedRequest& aRequest, std::vector<std::string>& aUnknown,
           std::size_t aPart, std::uint64_t aAtUs, std::uint64_t aWaitUs)
    : mRequest(aRequest)
    , mUnknown(aUnknown)
    , mPart(aPart)
    , mAtMs(aRequest.TimeAt(aAtUs))
    , mWaitUs(aWaitUs)
  {
  }

  CauseOfEnd Explain(const std::optional<std::string>& aService) const
  {
    if (mRequest.mEnd && mRequest.mEnd->mOutcome == "no-permitted-upstream") {
      return With(RequestCause::OutsideRegions,
                  "no upstream in the regions in which the request may be served");
    }
    if (mRequest.mVm->mIsMixed) {
      return Unknown("the file has lines of several VMs, so the state of this one's "
                     "upstreams cannot be told");
    }
    if (!aService) {
      return WithoutService();
    }
    const auto service = ServiceStateAt(*mRequest.mVm, *aService, mAtMs);
    if (service.mIsUncertain) {
      AddOnce(mUnknown, "service " + *aService +
                          ": lines lack the time or the data centre that tells whether "
                          "a quiet or cold period or an evacuation applied");
    }
    return service.Total() == 0 ? WithoutUpstreams(*aService)
                                : FromStates(*aService, service);
  }

private:
  const LoggedRequest& mRequest;
  std::vector<std::string>& mUnknown;
  std::size_t mPart;
  std::optional<std::int64_t> mAtMs;
  /// The expected wait for an upstream; 0 if there was none to wait for.
  std::uint64_t mWaitUs;

  CauseOfEnd With(RequestCause aCause, const std::string& aText) const
  {
    return { aCause, mPart, {}, aText };
  }

  CauseOfEnd Unknown(const std::string& aReason) const
  {
    AddOnce(mUnknown, aReason);
    return mWaitUs > 0
             ? With(RequestCause::Busy, "the expected wait for an upstream, " +
                                          MillisecondsText(mWaitUs) + ", was too long")
             : With(RequestCause::Unknown, "no upstream could be asked; why is unknown");
  }

  CauseOfEnd WithoutService() const
  {
    const auto route = mRequest.mEnd ? mRequest.mEnd->mRoute : "-";
    return Unknown("the service of part " + std::to_string(mPart) + " of route " + route +
                   ": the lines of older versions do not name it");
  }

  CauseOfEnd WithoutUpstreams(const std::string& aService) const
  {
    if (!mRequest.mVm->mHasStart || mRequest.mVm->mIsIncomplete) {
      return Unknown("the upstreams of service " + aService +
                     ": the log does not begin with the VM's start");
    }
    return With(RequestCause::NoUpstream,
                "no upstream of service " + aService + " was known to this VM");
  }

  CauseOfEnd FromStates(const std::string& aService, const ServiceState& aState) const
  {
    const auto upstreams = "upstreams of service " + aService + ": " + CountsText(aState);
    if (!mRequest.mVm->mHasStart) {
      AddOnce(mUnknown, "further upstreams of service " + aService +
                          ": the log does not begin with the VM's start");
    }
    const bool isLimited = aState.Count(State::Limited) + aState.Count(State::Cold) > 0;
    if (aState.Count(State::Usable) > 0) {
      if (mWaitUs > 0) {
        return With(RequestCause::Busy, "the expected wait for an upstream, " +
                                          MillisecondsText(mWaitUs) + ", was too long; " +
                                          upstreams);
      }
      AddOnce(mUnknown, "why usable upstreams of service " + aService +
                          " were not asked; connections that fail are not logged, see "
                          "wasabispar_gateway_exchanges_total{end=\"unreachable\"}");
      return With(RequestCause::Unknown, "no upstream could be asked; " + upstreams);
    }
    if (isLimited) {
      return With(CauseOf(LimitOf(aState)),
                  "the next request that the limits permit would have been late; " +
                    upstreams);
    }
    return With(CauseOf(MainState(aState)), "no upstream could be asked; " + upstreams);
  }
};

std::string
EndText(const LoggedStep& aEnd)
{
  const auto after = " after " + MillisecondsText(aEnd.mFigure);
  if (aEnd.mStep == "lost") {
    return aEnd.mUpstream + " lost the request or sent an invalid answer" + after;
  }
  if (aEnd.mStep == "failed") {
    return aEnd.mUpstream + " ran the request and failed" + after;
  }
  if (aEnd.mStep == "shed") {
    return aEnd.mUpstream + " turned the request away" + after;
  }
  return aEnd.mUpstream + " was not reached" + after;
}

/// The cause of a part whose last exchange ended without an answer.
CauseOfEnd
FromEnd(const LoggedRequest& aRequest, const LoggedStep& aEnd)
{
  CauseOfEnd cause{ RequestCause::Upstream, aEnd.mPart, aEnd.mUpstream, EndText(aEnd) };
  const auto upstream = aRequest.mVm->mUpstreams.find(aEnd.mUpstream);
  const bool isNotRun = aEnd.mStep == "shed" || aEnd.mStep == "unreachable";
  if (!isNotRun || upstream == aRequest.mVm->mUpstreams.end() || aRequest.mVm->mIsMixed) {
    return cause;
  }
  // A line on the upstream that its answer caused has the time of the step.
  auto at = aRequest.TimeAt(aEnd.mAtUs);
  at = at ? std::optional(*at + 1) : at;
  const auto state = UpstreamStateAt(*aRequest.mVm, upstream->second, at);
  if (state && *state != State::Usable) {
    cause.mCause = CauseOf(*state);
    cause.mText += "; it was " + ToText(*state);
    const auto& service = upstream->second.mService;
    cause.mText += "; upstreams of service " + service + ": " +
                   CountsText(ServiceStateAt(*aRequest.mVm, service, at));
  }
  return cause;
}

/// The cause of a part that waits for an answer.
CauseOfEnd
FromOpenSend(const LoggedRequest& aRequest, const LoggedStep& aSend)
{
  CauseOfEnd cause{ RequestCause::Upstream, aSend.mPart, aSend.mUpstream, {} };
  const auto took = aRequest.mEnd ? aRequest.mEnd->mTookUs : aSend.mAtUs;
  cause.mText =
    aSend.mUpstream + " had not answered " +
    MillisecondsText(took - std::min(took, aSend.mAtUs)) +
    " after the request was sent to it (expected: " + MillisecondsText(aSend.mFigure) +
    ")";
  if (const auto pause = DominantPause(aRequest)) {
    cause.mCause = RequestCause::Vm;
    cause.mText = "this VM did not run for " + std::to_string(*pause) +
                  " ms (process-paused) while it waited for " + aSend.mUpstream;
  } else if (aRequest.mEnd && aRequest.mEnd->mOutcome == "lost") {
    cause.mCause = RequestCause::Unknown;
    cause.mText += "; why the VM ended the request is unknown";
    if (aRequest.mVm->mHistory.Last({ "drain" }, aRequest.mEnd->mTimeMs)) {
      cause.mCause = RequestCause::Vm;
      cause.mText = "this VM stopped while " + aSend.mUpstream + " ran the request";
    }
  }
  return cause;
}

/// A part that waited in the queue and was never sent.
CauseOfEnd
FromQueue(const LoggedRequest& aRequest, const LoggedStep& aQueued,
          const std::optional<std::string>& aService)
{
  const auto took = aRequest.mEnd ? aRequest.mEnd->mTookUs : aQueued.mAtUs;
  const auto wait = "it waited in the queue for " +
                    MillisecondsText(took - std::min(took, aQueued.mAtUs)) + ", with " +
                    std::to_string(aQueued.mFigure) + " ahead at first";
  if (aService && !aRequest.mVm->mIsMixed) {
    const auto state =
      ServiceStateAt(*aRequest.mVm, *aService, aRequest.TimeAt(aQueued.mAtUs));
    const bool isHeldBack = state.Count(State::Usable) == 0 &&
                            state.Count(State::Limited) + state.Count(State::Cold) > 0;
    if (isHeldBack) {
      return { CauseOf(LimitOf(state)),
               aQueued.mPart,
               {},
               wait + "; upstreams of service " + *aService + ": " + CountsText(state) };
    }
  }
  return { RequestCause::Busy, aQueued.mPart, {}, "all upstreams were busy; " + wait };
}

/// The answer that completed the request: the latest of the first answers of all parts.
const LoggedStep*
LastAnswer(const LoggedRequest& aRequest)
{
  const LoggedStep* last = nullptr;
  std::set<std::size_t> answered;
  for (const auto& step : aRequest.mSteps) {
    if (step.mStep == "answered" && answered.insert(step.mPart).second) {
      last = !last || step.mAtUs >= last->mAtUs ? &step : last;
    }
  }
  return last;
}

} // namespace

std::string
MillisecondsText(std::uint64_t aMicroseconds)
{
  return FixedText(static_cast<double>(aMicroseconds) / kUsPerMs, 1) + " ms";
}

std::vector<const LoggedStep*>
StepsOfPart(const LoggedRequest& aRequest, std::size_t aPart)
{
  std::vector<const LoggedStep*> steps;
  for (const auto& step : aRequest.mSteps) {
    if (step.mPart == aPart) {
      steps.push_back(&step);
    }
  }
  return steps;
}

bool
IsSend(const LoggedStep& aStep)
{
  return aStep.mStep == "sent" || aStep.mStep == "hedged" || aStep.mStep == "retried";
}

const LoggedStep*
OpenSend(const std::vector<const LoggedStep*>& aSteps)
{
  for (auto send = aSteps.rbegin(); send != aSteps.rend(); ++send) {
    const auto endsIt = [&send](const LoggedStep* aStep) {
      return IsEnd(*aStep) && aStep->mUpstream == (*send)->mUpstream;
    };
    if (IsSend(**send) && std::none_of(aSteps.rbegin(), send, endsIt)) {
      return *send;
    }
  }
  return nullptr;
}

std::optional<std::uint64_t>
DominantPause(const LoggedRequest& aRequest)
{
  const auto end = aRequest.mEnd ? aRequest.mEnd->mTimeMs : std::nullopt;
  const auto* pause = aRequest.mVm->mHistory.Last({ "process-paused" }, end);
  if (!end || !pause || !pause->mTimeMs) {
    return std::nullopt;
  }
  const auto arrival = aRequest.TimeAt(0).value_or(*end);
  const auto begin = *pause->mTimeMs - static_cast<std::int64_t>(pause->mNumber);
  const auto overlap = *pause->mTimeMs - std::max(begin, arrival);
  return overlap * 2 > *end - arrival ? std::optional(pause->mNumber) : std::nullopt;
}

CauseOfEnd
ExplainMissingPart(const LoggedRequest& aRequest, std::size_t aPart,
                   std::vector<std::string>& aUnknown)
{
  const auto steps = StepsOfPart(aRequest, aPart);
  if (const auto* blocked = LastOf(steps, "blocked")) {
    return { RequestCause::Quarantined,
             aPart,
             {},
             "too many upstreams crashed with this request, fingerprint " +
               std::to_string(blocked->mFigure) };
  }
  if (const auto* send = OpenSend(steps)) {
    auto cause = FromOpenSend(aRequest, *send);
    cause.mText += LastOf(steps, "hedge-denied")
                     ? "; no hedge, because the budget for extra sends was used up"
                     : "";
    return cause;
  }
  if (const auto* end = LastEnd(steps)) {
    auto cause = FromEnd(aRequest, *end);
    cause.mText += LastOf(steps, "retry-denied")
                     ? "; no retry, because the budget for extra sends was used up"
                     : "";
    return cause;
  }
  const auto* queued = LastOf(steps, "queued");
  const auto* givenUp = LastOf(steps, "part-given-up");
  if (givenUp) {
    const auto wait = queued ? 0 : givenUp->mFigure;
    return Unplaced(aRequest, aUnknown, aPart, givenUp->mAtUs, wait)
      .Explain(ServiceOf(aRequest, aPart));
  }
  if (LastOf(steps, "held")) {
    return { RequestCause::Quarantined,
             aPart,
             {},
             "held back, because upstreams crashed with this request" };
  }
  if (queued) {
    return FromQueue(aRequest, *queued, ServiceOf(aRequest, aPart));
  }
  return { RequestCause::Unknown, aPart, {}, "its last steps are not in the logs" };
}

CauseOfEnd
ExplainLate(const LoggedRequest& aRequest)
{
  const auto* last = LastAnswer(aRequest);
  if (!last) {
    return { RequestCause::Unknown, {}, {}, "the logs have no answered step" };
  }
  if (const auto pause = DominantPause(aRequest)) {
    return { RequestCause::Vm,
             {},
             {},
             "this VM did not run for " + std::to_string(*pause) +
               " ms (process-paused)" };
  }
  const auto steps = StepsOfPart(aRequest, last->mPart);
  const auto firstSend =
    std::ranges::find_if(steps, [](const LoggedStep* aStep) { return IsSend(*aStep); });
  const auto sentAt = firstSend == steps.end() ? 0 : (*firstSend)->mAtUs;
  const auto* queued = LastOf(steps, "queued");
  const auto queuedUs =
    queued && queued->mAtUs < sentAt ? sentAt - queued->mAtUs : std::uint64_t{ 0 };
  const auto upstreamUs = last->mAtUs - std::min(last->mAtUs, sentAt);
  const auto took = aRequest.mEnd->mTookUs;
  const auto vmUs = took - std::min(took, queuedUs + upstreamUs);
  const auto shares = "of " + MillisecondsText(took) + ": " + MillisecondsText(queuedUs) +
                      " in the queue, " + MillisecondsText(upstreamUs) +
                      " at upstreams, " + MillisecondsText(vmUs) + " in this VM";
  if (queuedUs >= upstreamUs && queuedUs >= vmUs) {
    return { RequestCause::Busy, last->mPart, {}, "waited for an upstream; " + shares };
  }
  if (vmUs > upstreamUs) {
    return { RequestCause::Vm, last->mPart, {}, "this VM was slow; " + shares };
  }
  // After a hedge or a retry, the upstream that was asked first is the slow one if most
  // of the time had passed when the answering one was asked.
  const bool wasFirstSlow = firstSend != steps.end() && last->mFigure * 2 < upstreamUs;
  const auto& upstream = wasFirstSlow ? (*firstSend)->mUpstream : last->mUpstream;
  return { RequestCause::Upstream, last->mPart, upstream,
           upstream + " was slow; " + shares };
}

} // namespace wasabispar
